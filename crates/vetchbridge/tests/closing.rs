//! Client connections that the daemon closes: the last response arrives complete, and no input after the
//! answered request is forwarded to a worker.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use vetchbridge_testbed::wire::HttpConnection;

/// The code in `/proc/net/tcp` for the TCP state `CLOSE_WAIT`: only the remote side has closed the
/// connection.
const CLOSE_WAIT: &str = "08";
const READINESS_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n";
/// A worker's response that accepts a job and closes the connection, so that the next job needs a new
/// connection.
const ACCEPTED_AND_CLOSE: &str = "HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

fn job_request(id: &str, length: usize) -> String {
    format!(
        "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: {id}\r\ncontent-length: {length}\r\n\r\n{}",
        "x".repeat(length)
    )
}

/// Checks that the daemon closes its side of a client connection without a TCP reset. A reset would discard
/// data that is in transit.
///
/// If `running_daemon` is given, the daemon must still be running, and it answers another request after the
/// close. A reset would have arrived by then.
async fn assert_closed_without_reset(client: &mut HttpConnection, running_daemon: Option<&Harness>) {
    let mut unread = Vec::new();
    let (client_address, daemon_address) = local_and_peer_addresses(client);
    client.socket().read_to_end(&mut unread).await.expect("no reset");
    assert!(unread.is_empty(), "{}", unread.escape_ascii());
    if let Some(harness) = running_daemon {
        harness.get_readiness().await;
    }
    let state = tcp_table_entry(client_address, daemon_address).map(|connection| connection.state);
    assert_eq!(state.as_deref(), Some(CLOSE_WAIT), "only the daemon has closed the connection");
}

/// The client receives a response after which the daemon closes the connection, even if the daemon has not
/// read all input of the client.
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
    assert_closed_without_reset(&mut client, Some(&harness)).await;
    assert_eq!(harness.get_readiness().await.status(), "200");
}

/// After a request whose response closes the client connection, no further request on this connection reaches
/// a worker, whether the client sends the further request before or after the response.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn no_request_after_the_last_answered_request_is_forwarded(#[values(100, 20_000)] length: usize) {
    let mut harness = Harness::start(1).await;
    harness.daemon.admin_command("quiesce").await;
    let mut client = dial(harness.daemon.address).await;
    client.send(&job_request("00000000000000a1", 4)).await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    client.send(&job_request("00000000000000a2", length)).await;
    worker.send(ACCEPTED_AND_CLOSE).await;
    harness.send_callback("00000000000000a1", number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    client.send(&job_request("00000000000000a3", length)).await;
    assert_closed_without_reset(&mut client, Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}

/// A job with a chunked body is the last request on its client connection. No request after this job reaches
/// a worker, whether the client sends the requests in one write or byte by byte.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn no_request_after_a_chunked_job_is_forwarded(#[values(true, false)] in_one_write: bool) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    let head = "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000a1\r\ntransfer-encoding: chunked\r\n\r\n";
    let requests = format!("{head}4\r\nwork\r\n0\r\n\r\n{}", job_request("00000000000000a2", 4));
    if in_one_write {
        client.send(&requests).await;
    } else {
        client.write_byte_by_byte(&requests).await.expect("the daemon reads the request");
    }
    let (number, mut worker) = harness.accept_worker_connection().await;
    assert_eq!(worker.read().await.expect("the job").text(), "work");
    worker.send(ACCEPTED_AND_CLOSE).await;
    harness.send_callback("00000000000000a1", number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    assert_closed_without_reset(&mut client, Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}

/// A quiesced daemon closes idle client connections. A connection on which a part of a request has arrived is
/// not idle: the daemon reads the rest of the request and answers the request.
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
    // The daemon closes the idle connection after half a second. If the daemon took `client` for idle, it
    // would close this connection too.
    assert_closed_without_reset(&mut idle, Some(&harness)).await;
    client.send(&job[received..]).await;
    let (number, mut worker) = tokio::select! {
        dialled = harness.accept_worker_connection() => dialled,
        response = client.read() => panic!("the connection was closed after {response:?}"),
    };
    worker.read().await.expect("the job");
    worker.send(ACCEPTED_AND_CLOSE).await;
    harness.send_callback("00000000000000a1", number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    assert_closed_without_reset(&mut client, Some(&harness)).await;
}

/// A request may arrive at the moment when the daemon closes its idle client connection. Then either the
/// request is answered completely, or the connection is closed and the request is not forwarded to a worker.
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
    // The idle timeout of the client connection (half a second) expires while the daemon is suspended.
    tokio::time::sleep(Duration::from_millis(600)).await;
    client.send(&job_request("00000000000000a1", 4)).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.resume();
    let serve_job = async {
        let (number, mut worker) = harness.accept_worker_connection().await;
        worker.read().await.expect("the job");
        worker.send(ACCEPTED_AND_CLOSE).await;
        harness.send_callback("00000000000000a1", number, "done").await;
    };
    let answer = tokio::select! {
        // Either the worker gets the job and the client gets its response, or the daemon closes the client
        // connection.
        () = serve_job => Some(client.read().await.expect("an answer")),
        response = client.read() => response,
    };
    if let Some(answer) = answer {
        assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    }
    assert_closed_without_reset(&mut client, Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}

/// The last responses of a daemon that shuts down arrive complete, whether a client sends a further request
/// before or after its response.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn no_response_is_lost_when_the_process_exits() {
    let mut harness = Harness::start(1).await;
    let (mut pipelining_client, _) = harness.submit_job("safe", "k").await;
    let (mut late_client, _) = harness.submit_job("safe", "k").await;
    for _ in 0..2 {
        let (_, mut worker) = harness.accept_worker_connection().await;
        worker.read().await.expect("the job");
    }
    pipelining_client.send(&job_request("00000000000000a2", 20_000)).await;
    harness.daemon.signal("-TERM");
    assert_eq!(status(late_client.read().await.as_ref()), "503");
    late_client.send(&job_request("00000000000000a3", 20_000)).await;
    assert!(harness.daemon.child.wait().expect("the daemon exits").success());
    assert_eq!(status(pipelining_client.read().await.as_ref()), "503");
    assert_closed_without_reset(&mut pipelining_client, None).await;
    assert_closed_without_reset(&mut late_client, None).await;
}

/// A request may arrive, on an open or a new client connection, at the moment when the drain period of a
/// daemon that shuts down ends. Then either the request is answered completely, or its connection is closed
/// and the request is not forwarded to a worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_that_coincides_with_the_end_of_the_drain_is_answered_or_not_forwarded(
    #[values(true, false)] on_open_connection: bool,
) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    if on_open_connection {
        client.send(READINESS_REQUEST).await;
        assert_eq!(status(client.read().await.as_ref()), "200");
    }
    harness.daemon.signal("-TERM");
    harness.daemon.wait_for_log("state=\"ending\"").await;
    harness.daemon.suspend().await;
    // The drain period of the shutdown expires while the daemon is suspended.
    tokio::time::sleep(Duration::from_millis(3400)).await;
    client.send(&job_request("00000000000000a1", 4)).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.resume();
    let answer = client.read().await;
    assert!(harness.daemon.child.wait().expect("the daemon exits").success());
    if let Some(answer) = answer {
        assert_eq!((answer.status(), answer.header("connection")), ("503", Some("close")));
    } else {
        // If the daemon had dialled the worker for the request, the worker would accept that connection
        // before this one.
        let mut marker = dial(harness.workers[0].local_addr().expect("a bound socket")).await;
        let (_, mut first) = harness.accept_worker_connection().await;
        assert_eq!(
            local_and_peer_addresses(&mut first).1,
            local_and_peer_addresses(&mut marker).0,
            "no connection was dialled for the request"
        );
    }
}

/// A client connection that the daemon evicts to admit other clients is closed without a TCP reset. The
/// daemon admits new clients even if the evicted client is slow to close its side.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_evicted_connection_is_not_reset_and_new_clients_are_admitted() {
    let mut harness = Harness::start(1).await;
    let mut clients = Vec::new();
    for _ in 0..4 * DESCRIPTOR_LIMIT {
        let mut client = dial(harness.daemon.address).await;
        client.send(READINESS_REQUEST).await;
        assert_eq!(status(client.read().await.as_ref()), "200");
        clients.push(client);
    }
    // The daemon evicts the oldest of the idle connections first.
    assert_closed_without_reset(&mut clients[0], Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}
