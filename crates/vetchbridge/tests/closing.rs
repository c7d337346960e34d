//! Client connections that the daemon closes: the last response arrives complete, and nothing after it is forwarded.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use vetchbridge_testbed::wire::Wire;

/// The kernel's code for a connection that only the other side has closed.
const CLOSE_WAIT: &str = "08";
const READINESS_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n";
/// A worker's response that closes its connection, so that each job is dialled for.
const ACCEPTED_AND_CLOSE: &str = "HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

fn job_request(id: &str, length: usize) -> String {
    format!(
        "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: {id}\r\ncontent-length: {length}\r\n\r\n{}",
        "x".repeat(length)
    )
}

/// Checks that the daemon closes its side without a reset, which would discard what is still in transit.
///
/// `daemon`: it keeps running, and has answered another request after that; a reset would have arrived by then.
async fn closes_without_reset(client: &mut Wire, daemon: Option<&Harness>) {
    let mut unread = Vec::new();
    let (here, there) = addresses(client);
    client.socket().read_to_end(&mut unread).await.expect("no reset");
    assert!(unread.is_empty(), "{}", unread.escape_ascii());
    if let Some(harness) = daemon {
        harness.readiness().await;
    }
    let state = kernel_connection(here, there).map(|connection| connection.state);
    assert_eq!(state.as_deref(), Some(CLOSE_WAIT), "only the other side has closed");
}

/// A response that closes its connection is not lost because of input that the daemon has not read.
#[rstest]
#[case::too_large("POST /safe/k HTTP/1.1\r\nhost: x\r\ncontent-length: 62914560\r\n\r\n", "413")]
#[case::malformed("POST /safe/k HTTP/1.1\r\nno header\r\n\r\n", "400")]
#[case::no_such_method("PUT /safe/k HTTP/1.1\r\nhost: x\r\ncontent-length: 60000\r\n\r\n", "405")]
#[case::closed_at_the_clients_request(
    "GET /health/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    "200"
)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_response_is_not_lost_because_of_unread_input(#[case] head: &str, #[case] expected: &str) {
    let harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    harness.daemon.suspend().await;
    client.send(&format!("{head}{}", "x".repeat(40_000))).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.resume();
    assert_eq!(status(client.read().await.as_ref()), expected);
    closes_without_reset(&mut client, Some(&harness)).await;
    assert_eq!(harness.readiness().await.status(), "200");
}

/// Nothing after a request whose response closes the connection reaches a worker, whether it was read before or after.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn nothing_after_the_last_response_is_forwarded(#[values(100, 20_000)] length: usize) {
    let mut harness = Harness::start(1).await;
    harness.daemon.admin_command("quiesce").await;
    let mut client = dial(harness.daemon.address).await;
    client.send(&job_request("00000000000000a1", 4)).await;
    let (number, mut worker) = harness.accept_worker().await;
    worker.read().await.expect("the job");
    client.send(&job_request("00000000000000a2", length)).await;
    worker.send(ACCEPTED_AND_CLOSE).await;
    harness.send_callback("00000000000000a1", number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    client.send(&job_request("00000000000000a3", length)).await;
    closes_without_reset(&mut client, Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}

/// A chunked job is the last of its connection: however it arrived, nothing after it reaches a worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn nothing_after_a_chunked_job_is_forwarded(#[values(true, false)] at_once: bool) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    let head = "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000a1\r\ntransfer-encoding: chunked\r\n\r\n";
    let requests = format!("{head}4\r\nwork\r\n0\r\n\r\n{}", job_request("00000000000000a2", 4));
    if at_once {
        client.send(&requests).await;
    } else {
        client.write_byte_by_byte(&requests).await.expect("the daemon reads");
    }
    let (number, mut worker) = harness.accept_worker().await;
    assert_eq!(worker.read().await.expect("the job").text(), "work");
    worker.send(ACCEPTED_AND_CLOSE).await;
    harness.send_callback("00000000000000a1", number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    closes_without_reset(&mut client, Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}

/// Idle connections are closed while a request is arriving: the rest of that request is read, and it is answered.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_connection_with_a_partial_request_is_not_idle(#[values(1, 30, 120)] received: usize) {
    let harness = Harness::start(1).await;
    let (mut client, mut idle) = (dial(harness.daemon.address).await, dial(harness.daemon.address).await);
    for connection in [&mut client, &mut idle] {
        connection.send(READINESS_REQUEST).await;
        assert_eq!(status(connection.read().await.as_ref()), "200");
    }
    let job = job_request("00000000000000a1", 60);
    client.send(&job[..received]).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.admin_command("quiesce").await;
    // Closed half a second later, as the other one would be if it counted as idle.
    closes_without_reset(&mut idle, Some(&harness)).await;
    client.send(&job[received..]).await;
    let (number, mut worker) = tokio::select! {
        dialled = harness.accept_worker() => dialled,
        response = client.read() => panic!("it was closed after {response:?}"),
    };
    worker.read().await.expect("the job");
    worker.send(ACCEPTED_AND_CLOSE).await;
    harness.send_callback("00000000000000a1", number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    closes_without_reset(&mut client, Some(&harness)).await;
}

/// The daemon finds a request at the moment when it closes the idle connection: the request is answered completely, or the
/// connection is closed and nothing is forwarded.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_that_coincides_with_the_idle_timeout_is_answered_or_not_forwarded() {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    client.send(READINESS_REQUEST).await;
    assert_eq!(status(client.read().await.as_ref()), "200");
    harness.daemon.admin_command("quiesce").await;
    harness.daemon.suspend().await;
    // Its clock goes on, past the idle timeout.
    tokio::time::sleep(Duration::from_millis(600)).await;
    client.send(&job_request("00000000000000a1", 4)).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.resume();
    let served = async {
        let (number, mut worker) = harness.accept_worker().await;
        worker.read().await.expect("the job");
        worker.send(ACCEPTED_AND_CLOSE).await;
        harness.send_callback("00000000000000a1", number, "done").await;
    };
    let answer = tokio::select! {
        // Either the worker gets the job, and the client its response, or the connection is closed.
        () = served => Some(client.read().await.expect("an answer")),
        response = client.read() => response,
    };
    if let Some(answer) = answer {
        assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    }
    closes_without_reset(&mut client, Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}

/// The last responses of a process that shuts down are complete, whether the client writes more before or after them.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn no_response_is_lost_when_the_process_ends() {
    let mut harness = Harness::start(1).await;
    let (mut before, _) = harness.submit_job("safe", "k").await;
    let (mut after, _) = harness.submit_job("safe", "k").await;
    for _ in 0..2 {
        let (_, mut worker) = harness.accept_worker().await;
        worker.read().await.expect("the job");
    }
    before.send(&job_request("00000000000000a2", 20_000)).await;
    harness.daemon.signal("-TERM");
    assert_eq!(status(after.read().await.as_ref()), "503");
    after.send(&job_request("00000000000000a3", 20_000)).await;
    assert!(harness.daemon.child.wait().expect("it ends").success());
    assert_eq!(status(before.read().await.as_ref()), "503");
    closes_without_reset(&mut before, None).await;
    closes_without_reset(&mut after, None).await;
}

/// A request that coincides with the end of the drain, on an open or a new connection, is answered completely, or its connection
/// is closed and nothing is forwarded.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_that_coincides_with_the_end_of_the_drain_is_answered_or_not_forwarded(
    #[values(true, false)] open: bool,
) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    if open {
        client.send(READINESS_REQUEST).await;
        assert_eq!(status(client.read().await.as_ref()), "200");
    }
    harness.daemon.signal("-TERM");
    harness.daemon.wait_for_log("state=\"ending\"").await;
    harness.daemon.suspend().await;
    // Its clock goes on, past the end of the drain.
    tokio::time::sleep(Duration::from_millis(3400)).await;
    client.send(&job_request("00000000000000a1", 4)).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.resume();
    let answer = client.read().await;
    assert!(harness.daemon.child.wait().expect("it ends").success());
    if let Some(answer) = answer {
        assert_eq!((answer.status(), answer.header("connection")), ("503", Some("close")));
    } else {
        // A connection dialled for the request would come before this one.
        let mut marker = dial(harness.workers[0].local_addr().expect("bound")).await;
        let (_, mut first) = harness.accept_worker().await;
        assert_eq!(addresses(&mut first).1, addresses(&mut marker).0, "nothing was forwarded");
    }
}

/// An evicted connection ends without a reset, and one whose client is slow to close does not keep new clients out.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_evicted_connection_is_not_reset_and_keeps_no_new_client_out() {
    let mut harness = Harness::start(1).await;
    let mut clients = Vec::new();
    for _ in 0..4 * DESCRIPTOR_LIMIT {
        let mut client = dial(harness.daemon.address).await;
        client.send(READINESS_REQUEST).await;
        assert_eq!(status(client.read().await.as_ref()), "200");
        clients.push(client);
    }
    // The oldest connection is evicted first.
    closes_without_reset(&mut clients[0], Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}
