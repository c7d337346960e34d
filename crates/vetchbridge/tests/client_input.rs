//! The daemon's handling of clients that send invalid or incomplete requests, or nothing at all.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;

/// Invalid requests get an error response, do not stop the daemon, and are not sent to a worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn invalid_input_gets_an_error_response() {
    let mut harness = Harness::start(1).await;
    for (target, headers, body, expected) in invalid_requests() {
        let mut client = dial(harness.daemon.address).await;
        client.post_request(target, &headers, &body).await;
        assert_eq!(status(client.read().await.as_ref()), expected, "{target} {headers}");
    }
    // The daemon rejects the request because of the length in its header, before the client has sent a byte
    // of the body.
    let mut too_large = dial(harness.daemon.address).await;
    too_large.send("POST /safe/k HTTP/1.1\r\nhost: x\r\ncontent-length: 62914560\r\n\r\n").await;
    assert_eq!(status(too_large.read().await.as_ref()), "413");
    let (mut client, id) = harness.submit_job("safe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    // A second request with the id of a request that is not answered yet is rejected. Otherwise the second
    // client would get the response to the first request.
    let mut duplicate = dial(harness.daemon.address).await;
    duplicate.post_request("/safe/k", &format!("X-Trace-Id: {id}\r\n"), "").await;
    assert_eq!(status(duplicate.read().await.as_ref()), "409");
    worker.send(ACCEPTED).await;
    harness.send_callback(&id, number, "done").await;
    assert_eq!(status(client.read().await.as_ref()), "200");
}

/// Returns invalid requests, each as its target, headers, body and the expected status of the response.
fn invalid_requests() -> Vec<(&'static str, String, String, &'static str)> {
    let id = "X-Trace-Id: 00000000000000ab\r\n";
    let too_long = "x".repeat(64 * 1024 + 1);
    let cases = [
        ("/safe/k", String::new(), "", "400"),
        ("/safe/k", "X-Trace-Id: zz\r\n".to_string(), "", "400"),
        ("/safe/k", "X-Trace-Id: +0000000000000ab\r\n".to_string(), "", "400"),
        ("/odd/k", id.to_string(), "", "400"),
        ("/safe/k", format!("{id}X-Expires-In: soon\r\n"), "", "400"),
        ("/safe/k", format!("{id}X-Expires-In: -5m\r\n"), "", "400"),
        ("/safe/k", format!("{id}X-Expires-In: 1e9m\r\n"), "", "400"),
        ("/safe/k", format!("{id}X-Size-Hint: big\r\n"), "", "400"),
        ("/safe/k", format!("{id}X-Size-Hint: inf\r\n"), "", "400"),
        ("/safe/k", format!("{id}X-Qos: unsafe\r\n"), "", "400"),
        ("/safe/k", format!("{id}{id}"), "", "400"),
        ("/safe/k", format!("{id}X-Qos: safe\r\nX-Qos: safe\r\n"), "", "400"),
        ("/safe/k\u{e9}", id.to_string(), "", "400"),
        ("*", id.to_string(), "", "400"),
        ("/keyed/k", id.to_string(), "", "400"),
        ("/safe/k", format!("{id}Content-Length: -1\r\n"), "", "400"),
        ("/safe/k", format!("{id}Content-Length: 62914560\r\n"), "", "400"),
        ("/safe/k", format!("{id}Transfer-Encoding: chunked\r\n"), "0\r\n\r\nGET / HTTP/1.1\r\n\r\n", "400"),
        ("/safe/k", format!("{id}X-Qos: s\u{e9}\r\n"), "", "400"),
        ("/safe/k", id.to_string(), too_long.as_str(), "413"),
        ("/callback", String::new(), "{\"id\":", "400"),
        ("/callback", String::new(), "{\"id\":\"0\",\"from\":\"?\",\"state\":\"done\"}", "200"),
    ];
    cases.map(|(target, headers, body, status)| (target, headers, body.to_string(), status)).to_vec()
}

/// The daemon closes a client connection that has not sent a complete request within the time limit. If only
/// the body is incomplete, the client gets a response before the close.
#[rstest]
#[case::silent("", None)]
#[case::half_a_head("POST /safe/k HTTP/1.1\r\nX-Tr", None)]
#[case::half_a_body("POST /safe/k HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nwork", Some("408"))]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_incomplete_request_times_out(#[case] input: &str, #[case] expected: Option<&str>) {
    let harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    client.send(input).await;
    let response = client.read().await;
    assert_eq!(response.is_some().then(|| status(response.as_ref())), expected);
    assert!(client.read().await.is_none(), "the connection is closed");
}

/// Any number of client connections that send nothing leaves enough file descriptors for a client with a job,
/// a worker and a callback.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn connections_without_input_do_not_block_a_client() {
    let mut harness = Harness::start(1).await;
    let mut connections = Vec::new();
    for _ in 0..2 * DESCRIPTOR_LIMIT {
        connections.push(dial(harness.daemon.address).await);
    }
    let (mut client, id) = harness.submit_job("safe", "k").await;
    harness.serve_next_attempt(&id).await;
    assert_eq!(status(client.read().await.as_ref()), "200");
}

/// Client connections may use more than half of the daemon's file descriptors when workers need few of them.
/// Any number of jobs in flight, idle connections and incomplete requests leaves enough file descriptors for
/// a further job.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn one_more_job_is_accepted_when_all_connections_are_in_use() {
    let mut harness = Harness::start_with_descriptor_limit(1, &[], 2 * DESCRIPTOR_LIMIT).await;
    let (mut in_flight, mut evictable) = (Vec::new(), Vec::new());
    for round in 0..68 {
        let mut idle = dial(harness.daemon.address).await;
        idle.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
        assert_eq!(status(idle.read().await.as_ref()), "200");
        evictable.push(idle);
        if round % 16 == 0 {
            let mut incomplete = dial(harness.daemon.address).await;
            incomplete.send("POST /safe/k HTTP/1.1\r\nX-Tr").await;
            evictable.push(incomplete);
        }
        in_flight.push(harness.submit_job("safe", "k").await);
        let (_, mut worker) = harness.accept_worker_connection().await;
        worker.read().await.expect("the job");
        // The worker closes its connection, so that the next job needs a new connection.
        worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
    }
    for (client, id) in &mut in_flight {
        harness.send_callback(id, 0, "done").await;
        assert_eq!(status(client.read().await.as_ref()), "200");
    }
}

/// Guards against a client whose framing never ends and kept the scheduler busy until a time limit: it is
/// rejected after a few KiB, and another client is served beside it.
#[rstest]
#[case::zeros_of_a_chunk_length("", "0")]
#[case::blanks_after_a_chunk_length("1", " ")]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_chunked_body_whose_framing_never_ends_is_rejected(#[case] start: &str, #[case] repeated: &str) {
    let harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    let head = "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000ab\r\ntransfer-encoding: chunked\r\n\r\n";
    client.send(&format!("{head}{start}")).await;
    client.send(&repeated.repeat(32 * 1024)).await;
    assert_eq!(status(client.read().await.as_ref()), "413");
}
