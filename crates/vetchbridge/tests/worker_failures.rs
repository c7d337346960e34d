//! The ways in which a worker may fail, and the effects of the failure on the attempt and on its request.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket};
use vetchbridge_testbed::wire::HttpConnection;

/// A job that may have run on the failed worker is retried only if its class is idempotent. A job that never
/// ran is always retried.
#[rstest]
#[case::error("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n", "", true)]
#[case::unavailable("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", "", true)]
#[case::never_ran("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\ncontent-length: 0\r\n\r\n", "", false)]
#[case::broken_before_the_202("", "", true)]
#[case::returned(ACCEPTED, "returned", false)]
#[case::failed(ACCEPTED, "failed", true)]
#[case::lost(ACCEPTED, "lost", true)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_that_may_have_run_is_retried_only_if_it_is_idempotent(
    #[case] answer: &str,
    #[case] callback: &str,
    #[case] may_have_run: bool,
    #[values("safe", "unsafe")] class: &str,
) {
    let mut harness = Harness::start(2).await;
    let (mut client, id) = harness.submit_job(class, "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(answer).await;
    if callback.is_empty() {
        drop(worker);
    } else {
        harness.send_callback(&id, number, callback).await;
    }
    let retried = class == "safe" || !may_have_run;
    if retried {
        harness.serve_next_attempt(&id).await;
    }
    assert_eq!(status(client.read().await.as_ref()), if retried { "200" } else { "502" });
}

/// Guards against a keyed job that runs twice: workers whose zones the settings do not name, or whose entries
/// in the endpoint list have no cell, do not count as one group that drops the job's repeat.
#[rstest]
#[case::one_zone("zone", json!({"zone": "a"}), json!({"zone": "a"}), true)]
#[case::unnamed_zones("zone", json!({"zone": "x"}), json!({"zone": "y"}), false)]
#[case::no_zones("zone", json!({"zone": ""}), json!({"zone": ""}), false)]
#[case::one_cell("cell", json!({"cell": 7}), json!({"cell": 7}), true)]
#[case::no_cells("cell", json!({"cell": null}), json!({"cell": null}), false)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_keyed_job_that_may_have_run_is_retried_only_in_a_known_group(
    #[case] group: &str,
    #[case] first: Value,
    #[case] second: Value,
    #[case] retried: bool,
) {
    let mut listeners = Vec::new();
    let mut endpoints = Vec::new();
    for (number, keys) in [first, second].into_iter().enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut endpoint = instance(number, listener.local_addr().expect("a bound socket"), "up");
        for (key, value) in keys.as_object().expect("an object") {
            endpoint[key] = value.clone();
        }
        if endpoint["cell"].is_null() {
            endpoint.as_object_mut().expect("an object").remove("cell");
        }
        endpoints.push(endpoint);
        listeners.push(listener);
    }
    let mut config = daemon_config("127.0.0.1:1".parse().expect("a valid address"), json!(endpoints));
    config["settings"]["services"][2]["group"] = group.into();
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (daemon, _discovery) = Process::start_serving(&mut config, folder.path()).await;
    let mut client = dial(daemon.address).await;
    let headers = "X-Trace-Id: 00000000000000ab\r\nIdempotency-Key: 1\r\nX-Expires-In: 1000m\r\n";
    client.post_request("/keyed/k", headers, "work").await;
    let (accepted, other) = tokio::select! {
        accepted = listeners[0].accept() => (accepted, &listeners[1]),
        accepted = listeners[1].accept() => (accepted, &listeners[0]),
    };
    let mut worker = HttpConnection::new(accepted.expect("a connection").0);
    worker.read().await.expect("the job");
    worker.send("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n").await;
    let is_retried = tokio::select! {
        biased;
        _ = other.accept() => true,
        answer = client.read() => {
            assert_eq!(status(answer.as_ref()), "502");
            false
        }
    };
    assert_eq!(is_retried, retried);
}

/// A callback about an attempt that has ended is acknowledged and otherwise ignored, even if the callback
/// carries a result. When the callback arrives, the job is in flight at another worker, and the first attempt
/// may have failed before it completed.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_callback_of_a_finished_attempt_is_acknowledged_and_ignored(
    #[values("started", "running", "done", "failed", "returned", "lost")] state: &str,
    #[values(ACCEPTED, "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n")] answer: &str,
) {
    let mut harness = Harness::start(2).await;
    let (mut client, id) = harness.submit_job("safe", "k").await;
    let (first, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(answer).await;
    if answer == ACCEPTED {
        harness.send_callback(&id, first, "failed").await;
    }
    let (second, mut worker) = harness.accept_worker_connection().await;
    assert_ne!(first, second);
    worker.read().await.expect("the job again");
    worker.send(ACCEPTED).await;
    let mut caller = dial(harness.daemon.address).await;
    let late = json!({"id": id, "from": format!("s-{first}"), "state": state, "result": "late"}).to_string();
    caller.post_request("/callback", "", &late).await;
    assert_eq!(status(caller.read().await.as_ref()), "200");
    harness.send_callback(&id, second, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), ("200", "made"));
}

/// An attempt at a worker that accepts the connection but does not accept the job times out long before the
/// client's deadline.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_attempt_at_an_unresponsive_worker_times_out(#[values("safe", "unsafe")] class: &str) {
    let mut harness = Harness::start(2).await;
    let (mut client, id) = harness.submit_job(class, "k").await;
    let (_, mut unresponsive) = harness.accept_worker_connection().await;
    unresponsive.read().await.expect("the job");
    if class == "safe" {
        harness.serve_next_attempt(&id).await;
    }
    assert_eq!(status(client.read().await.as_ref()), if class == "safe" { "200" } else { "502" });
    assert!(unresponsive.read().await.is_none(), "the daemon cancels the attempt by closing the connection");
}

/// A request that one worker finds invalid (status 400) would be invalid at every worker. The request is not
/// retried, and the failure does not count against the worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_that_a_worker_finds_invalid_fails_without_a_retry() {
    let mut harness = Harness::start(2).await;
    let mut first = None;
    for _ in 0..3 {
        let (mut client, _) = harness.submit_job("safe", "k").await;
        let (number, mut worker) = harness.accept_worker_connection().await;
        worker.read().await.expect("the job");
        worker.send("HTTP/1.1 400 No\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
        assert_eq!(status(client.read().await.as_ref()), "502");
        assert_eq!(*first.get_or_insert(number), number, "jobs with the same key go to the same worker");
    }
}

/// A job whose worker refuses the connection never ran, so a non-idempotent job is retried too.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_whose_connection_is_refused_is_retried_at_another_worker() {
    // The socket is bound but does not listen: the kernel refuses every connection, and gives the port to no
    // other test.
    let refusing = TcpSocket::new_v4().expect("a socket");
    refusing.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let mut harness =
        Harness::start_with_other_workers(1, &[refusing.local_addr().expect("a bound socket")]).await;
    harness.serve_jobs_at_worker_0("unsafe").await;
}

/// The daemon never writes a request to a connection that the worker closed while the connection was idle.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_connection_closed_by_the_worker_is_not_reused() {
    let mut harness = Harness::start(1).await;
    let (mut client, id) = harness.submit_job("unsafe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(ACCEPTED).await;
    harness.send_callback(&id, number, "done").await;
    assert_eq!(status(client.read().await.as_ref()), "200");
    worker.socket().shutdown().await.expect("the socket is shut down");
    assert!(worker.read().await.is_none(), "the daemon closes its side too");
    let (mut client, id) = harness.submit_job("unsafe", "k").await;
    harness.serve_next_attempt(&id).await;
    assert_eq!(status(client.read().await.as_ref()), "200");
}
