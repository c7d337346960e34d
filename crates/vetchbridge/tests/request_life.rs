//! Requests through the daemon as a process, between a scripted client and scripted workers: forwarding,
//! callbacks, cancellation and rejection.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use tokio::net::TcpListener;
use vetchbridge_testbed::wire::HttpConnection;

/// A worker receives the target, headers and body that the client sent. A callback of the worker may arrive
/// before the worker's 202 response, twice, or for an unknown attempt.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_is_forwarded_unchanged_and_its_callback_may_arrive_before_the_202() {
    let harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    let headers =
        "X-Trace-Id: 00000000000000ab\r\nX-Qos: safe\r\nX-Expires-In: 30000m\r\nIdempotency-Key: 5c0f\r\n";
    client.post_request("/safe/a%2Fb?q=%20", headers, "some work").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    let job = worker.read().await.expect("the job");
    assert_eq!(job.start_line, "POST /safe/a%2Fb?q=%20 HTTP/1.1");
    assert_eq!(job.header("x-trace-id"), Some("00000000000000ab"));
    assert_eq!(job.header("idempotency-key"), Some("5c0f"));
    assert!(job.header("x-expires-in").is_some_and(|remaining| remaining.ends_with('u')), "{job:?}");
    assert_eq!(job.text(), "some work");
    harness.send_callback("00000000000000ab", 7, "done").await;
    harness.send_callback("not an id", number, "done").await;
    harness.send_callback("00000000000000ab", number, "started").await;
    harness.send_callback("00000000000000ab", number, "done").await;
    harness.send_callback("00000000000000ab", number, "done").await;
    let answer = client.read().await;
    assert_eq!((status(answer.as_ref()), answer.as_ref().unwrap().text().as_str()), ("200", "made"));
    // The daemon reads the worker's 202 response although the job is already done, so that it can reuse the
    // connection.
    worker.send(ACCEPTED).await;
    client.post_request("/safe/c", "X-Trace-Id: 00000000000000ac\r\n", "more").await;
    assert_eq!(worker.read_target().await, "/safe/c");
}

/// Responses and callbacks of workers may arrive in pieces of any size, and the daemon reads them completely.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_response_and_a_callback_may_arrive_a_byte_at_a_time() {
    let mut harness = Harness::start(1).await;
    let (mut client, id) = harness.submit_job("unsafe", "k").await;
    let (_, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.write_byte_by_byte(ACCEPTED).await.expect("the daemon reads");
    let body = json!({"id": id, "from": "s-0", "state": "done", "result": "made"}).to_string();
    let callback =
        format!("POST /callback HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let mut caller = dial(harness.daemon.address).await;
    caller.write_byte_by_byte(&callback).await.expect("the daemon reads");
    assert_eq!(status(caller.read().await.as_ref()), "200");
    assert_eq!(client.read().await.expect("an answer").text(), "made");
}

/// When a client disconnects, the attempt of its request is cancelled. After the worker's 202 response the
/// daemon sends a `DELETE` request, and before the 202 the daemon closes its connection to the worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_client_that_disconnects_has_its_attempt_cancelled(#[values(true, false)] accepted: bool) {
    let mut harness = Harness::start(1).await;
    let (client, id) = harness.submit_job("safe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    if accepted {
        worker.send(ACCEPTED).await;
        // The response to the callback shows that the daemon has read the 202 response, which the worker sent
        // before the callback.
        harness.send_callback(&id, number, "started").await;
    }
    drop(client);
    let cancellation = worker.read().await.map(|call| call.start_line);
    assert_eq!(cancellation, accepted.then(|| format!("DELETE /jobs/{id} HTTP/1.1")));
}

/// A request that every worker rejects is rejected at once, with a Retry-After header: the time after which
/// the client may send the request again.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_rejected_by_every_worker_is_rejected_with_retry_after() {
    let mut harness = Harness::start(2).await;
    let (mut client, _) = harness.submit_job("unsafe", "k").await;
    for _ in 0..2 {
        let (_, mut worker) = harness.accept_worker_connection().await;
        worker.read().await.expect("the job");
        worker.send("HTTP/1.1 504 No\r\nX-Never-Ran: 1\r\ncontent-length: 0\r\n\r\n").await;
    }
    let answer = client.read().await;
    assert_eq!(status(answer.as_ref()), "503");
    let seconds: f64 =
        answer.as_ref().unwrap().header("retry-after").expect("a retry-after").parse().expect("a number");
    assert!(seconds > 0.0 && seconds <= 2.0, "{seconds}");
}

/// A job that arrives while the endpoint list is empty waits for the first endpoint. The endpoint list may
/// arrive seconds after the daemon has started.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_without_a_worker_waits_for_the_first_endpoint() {
    let mut harness = Harness::start(0).await;
    let (mut client, id) = harness.submit_job("safe", "k").await;
    let workers = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut watch = HttpConnection::new(harness.discovery.accept().await.expect("the watch").0);
    watch.read_target().await;
    watch.send_endpoints(5, json!([instance(0, workers.local_addr().expect("a bound socket"), "up")])).await;
    let mut worker = HttpConnection::new(workers.accept().await.expect("the job's connection").0);
    worker.read().await.expect("the job");
    worker.send(ACCEPTED).await;
    harness.send_callback(&id, 0, "done").await;
    assert_eq!(status(client.read().await.as_ref()), "200");
}
