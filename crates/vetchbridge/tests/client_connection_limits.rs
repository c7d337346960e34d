//! The daemon's limits on client connections: idle clients leave enough file descriptors for the callbacks of
//! workers, readiness checks and jobs.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use vetchbridge_testbed::wire::HttpConnection;

const READINESS_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n";

impl Harness {
    /// Sets the operating system's limit on the file descriptors of the running daemon. The limit in the
    /// daemon's configuration stays the same.
    fn limit_descriptors(&self, max: u64) {
        let pid = Pid::from_raw(self.daemon.child.id() as i32).expect("a process");
        let limit = Rlimit { current: Some(max), maximum: Some(1024) };
        prlimit(Some(pid), Resource::Nofile, limit).expect("the limit is set");
    }

    /// Opens client connections until the daemon has no free file descriptor and fails to accept a
    /// connection. Returns the client connections.
    async fn use_up_descriptors(&mut self) -> Vec<HttpConnection> {
        const DESCRIPTORS: u64 = 40;
        self.limit_descriptors(DESCRIPTORS);
        let mut clients = Vec::new();
        for _ in 0..=DESCRIPTORS {
            let mut client = dial(self.daemon.address).await;
            // The daemon keeps the idle connection of a client that had a response, and closes the connection
            // of a client that sent nothing after a timeout.
            client.send(READINESS_REQUEST).await;
            clients.push(client);
        }
        self.daemon.wait_for_log("accept.failed").await;
        clients
    }

    /// Answers one watch with the complete endpoint list and then stops the discovery service, so that the
    /// daemon's connection to discovery no longer uses a file descriptor.
    async fn stop_discovery(&mut self) {
        let mut watch = HttpConnection::new(self.discovery.accept().await.expect("the watch").0);
        watch.read_target().await;
        watch.send_endpoints(5, json!(self.instances)).await;
        watch.read_target().await;
        drop(std::mem::replace(
            &mut self.discovery,
            TcpListener::bind("127.0.0.1:0").await.expect("a free port"),
        ));
        drop(watch);
        self.daemon.wait_for_log("discovery.failed").await;
    }
}

/// Idle connections of clients and callbacks use up the budget of client connections, discovery is down, and
/// no connection to a worker is open. The daemon still dials a worker for a job, accepts the worker's
/// callback, answers the job and answers readiness checks.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn idle_connections_block_no_job_while_discovery_is_down() {
    let mut harness = Harness::start(1).await;
    drop(std::mem::replace(
        &mut harness.discovery,
        TcpListener::bind("127.0.0.1:0").await.expect("a free port"),
    ));
    let (mut first, id) = harness.submit_job("safe", "k").await;
    harness.serve_next_attempt(&id).await;
    assert_eq!(status(first.read().await.as_ref()), "200");
    let mut clients = vec![first];
    for number in 0..4 * DESCRIPTOR_LIMIT {
        let mut client = dial(harness.daemon.address).await;
        if number % 2 == 0 {
            client.send(READINESS_REQUEST).await;
        } else {
            let body = json!({"id": id, "from": "s-0", "state": "done", "result": "made"}).to_string();
            client.post_request("/callback", "", &body).await;
        }
        assert_eq!(status(client.read().await.as_ref()), "200");
        clients.push(client);
    }
    for _ in 0..DESCRIPTOR_LIMIT {
        assert_eq!(harness.assert_only_next_job_arrives().await, 0);
        assert_eq!(harness.get_readiness().await.status(), "200");
    }
}

/// The daemon pauses accepting connections when the operating system permits fewer file descriptors than the
/// daemon's configuration and none is free. The daemon accepts connections again once file descriptors are
/// free.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn accepting_resumes_after_the_last_descriptor_was_taken() {
    const FAILURES: u32 = 10;
    let mut harness = Harness::start_with_descriptor_limit(0, &[], 1024).await;
    harness.limit_descriptors(40);
    let start = Instant::now();
    let mut clients: Vec<HttpConnection> = Vec::new();
    for _ in 0..100 {
        clients.push(dial(harness.daemon.address).await);
    }
    for _ in 0..FAILURES {
        harness.daemon.wait_for_log("accept.failed").await;
    }
    assert!(
        start.elapsed() >= (FAILURES - 1) * Duration::from_millis(20),
        "the daemon pauses after each failure"
    );
    drop(clients);
    assert_eq!(harness.get_readiness().await.status(), "200");
}

/// If no file descriptor is free to dial a worker, the attempt never ran and does not count as a failure of
/// the worker. Even a non-idempotent job is rejected at once, with a short Retry-After that does not grow
/// when further jobs are rejected. A job succeeds once file descriptors are free again.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_dial_without_a_descriptor_is_no_failure_of_its_worker() {
    const REPETITIONS: usize = 2;
    // The daemon uses its only worker even if the worker is ejected as an outlier. The Retry-After header
    // would reveal an ejection, because the header would contain the remaining time of the ejection.
    let mut harness = Harness::start_with_descriptor_limit(1, &[], 1024).await;
    harness.stop_discovery().await;
    let mut client = dial(harness.daemon.address).await;
    client.send(READINESS_REQUEST).await;
    assert_eq!(status(client.read().await.as_ref()), "200");
    let clients = harness.use_up_descriptors().await;
    for id in 0..REPETITIONS {
        client.post_request("/unsafe/k", &format!("X-Trace-Id: {id:016x}\r\n"), "work").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!(answer.status(), "503", "the attempt never ran: {answer:?}");
        let retry_after: f64 = answer.header("retry-after").expect("a Retry-After").parse().expect("seconds");
        assert!(retry_after <= 0.6, "Retry-After {retry_after} after {id} earlier jobs");
    }
    harness.limit_descriptors(1024);
    client.post_request("/unsafe/k", "X-Trace-Id: 00000000000000ab\r\n", "work").await;
    harness.serve_next_attempt("00000000000000ab").await;
    assert_eq!(status(client.read().await.as_ref()), "200");
    drop(clients);
}

/// Submits jobs for the only worker until the daemon rejects a new connection. Returns the client connections
/// that await a response, each with the id of its job.
async fn fill_budget_with_pending_requests(harness: &mut Harness) -> Vec<(HttpConnection, String)> {
    let mut pending = Vec::new();
    loop {
        let (mut client, id) = harness.submit_job("safe", "k").await;
        tokio::select! {
            closed = client.read() => {
                assert_eq!(closed, None, "no response");
                assert!(pending.len() >= DESCRIPTOR_LIMIT as usize / 4, "{} connections", pending.len());
                return pending;
            }
            (_, mut worker) = harness.accept_worker_connection() => {
                let job = worker.read().await.expect("the job");
                assert_eq!(job.header("x-trace-id"), Some(id.as_str()), "no rejected job reaches the worker");
                worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
                worker.wait_for_close().await;
                pending.push((client, id));
            }
        }
    }
}

/// If every client connection awaits a response, the daemon can evict none of them. The daemon closes a new
/// connection at once without reading from it, and the other connections are not affected.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_new_connection_is_closed_unread_if_no_other_can_be_evicted() {
    let mut harness = Harness::start(1).await;
    let mut pending = fill_budget_with_pending_requests(&mut harness).await;
    for (client, _) in &mut pending {
        assert!(
            futures_util::poll!(std::pin::pin!(client.read())).is_pending(),
            "the client still waits for its response"
        );
    }
}

/// The daemon serves a worker's callback even if it admits no other new connection, since the response to a
/// pending request may depend on the callback.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_callback_is_served_even_if_every_connection_awaits_a_response() {
    let mut harness = Harness::start(1).await;
    let pending = fill_budget_with_pending_requests(&mut harness).await;
    let mut callbacks = Vec::new();
    for (_, id) in &pending {
        // The connections of the earlier callbacks stay open, since the daemon must serve a callback even if
        // workers keep such connections open.
        let mut callback = dial(harness.daemon.address).await;
        let body = json!({"id": id, "from": "s-0", "state": "started"}).to_string();
        callback.post_request("/callback", "", &body).await;
        assert_eq!(status(callback.read().await.as_ref()), "200");
        callbacks.push(callback);
    }
    for (mut client, id) in pending {
        harness.send_callback(&id, 0, "done").await;
        assert_eq!(status(client.read().await.as_ref()), "200");
    }
}

/// Any number of pipelined requests on one client connection does not block requests on other connections. If
/// the client disconnects, none of its requests is sent to a worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn many_pipelined_requests_on_one_connection_affect_no_other_connection() {
    let mut harness = Harness::start(1).await;
    let requests: String = (1..=200)
        .map(|id| format!("POST /safe/k HTTP/1.1\r\nx-trace-id: {id:016x}\r\ncontent-length: 4\r\n\r\nwork"))
        .collect();
    let mut clients = Vec::new();
    for _ in 0..20 {
        let mut client = dial(harness.daemon.address).await;
        harness.daemon.suspend().await;
        client.send(&requests).await;
        client.socket().shutdown().await.expect("the client closes its side");
        wait_until_delivered(&mut client).await;
        harness.daemon.resume();
        clients.push(client);
        // The daemon may have dialled the worker for the client's first job before it noticed the disconnect.
        // The daemon must not write a request on the connection that it dialled.
        harness.assert_only_next_job_arrives().await;
    }
    for client in &mut clients {
        assert!(client.read().await.is_none(), "the connection is closed without a response");
    }
}
