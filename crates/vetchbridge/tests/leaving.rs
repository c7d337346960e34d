//! Clients that disconnect: once a client's connection has ended, no attempt is started for the job on it.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use vetchbridge_testbed::wire::Wire;

/// The next request of a client that doesn't wait for the response to the first.
const NEXT: &str =
    "POST /safe/x HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cc\r\ncontent-length: 4\r\n\r\nnext";

/// The kernel's codes of the states of a connection.
const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disconnect {
    Close,
    Reset,
}

impl Disconnect {
    /// Disconnects, and waits until the daemon's kernel knows, whatever the daemon does.
    async fn run(self, mut client: Wire) {
        let (here, there) = addresses(&mut client);
        {
            let _lock = spawn_lock();
            match self {
                Disconnect::Close => drop(client),
                Disconnect::Reset => client.reset(),
            }
        }
        while kernel_connection(there, here).is_some_and(|connection| connection.state == ESTABLISHED) {
            tokio::task::yield_now().await;
        }
    }
}

/// A job whose client disconnects before the first endpoint is listed is sent to no worker, whatever the client wrote after it.
/// `at_once`: list and disconnect reach the daemon in this order, and before it can read either.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_queued_job_ends_with_its_clients_connection(
    #[values("", "\r\n", NEXT, &NEXT.repeat(2000))] after: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
    #[values(true, false)] at_once: bool,
) {
    let mut harness = Harness::start(0).await;
    let mut watch = Wire::new(harness.discovery.accept().await.expect("the watch").0);
    watch.read_target().await;
    let (mut client, id) = harness.submit_job("safe", "k").await;
    client.send(after).await;
    let mut twin = dial(harness.daemon.address).await;
    twin.post_request("/safe/k", &format!("X-Trace-Id: {id}\r\n"), "").await;
    assert_eq!(status(twin.read().await.as_ref()), "409", "the job is open");

    harness.workers.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
    let list = json!([instance(0, harness.workers[0].local_addr().expect("bound"), "up")]);
    if at_once {
        harness.daemon.suspend().await;
        watch.send_endpoints(5, list).await;
        wait_until_delivered(&mut watch).await;
        how.run(client).await;
        harness.daemon.resume();
    } else {
        how.run(client).await;
        watch.send_endpoints(5, list).await;
    }
    watch.read_target().await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for it");
}

/// A job whose client has disconnected when its first attempt fails is not retried.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_failed_attempt_is_not_retried_once_the_client_has_disconnected(
    #[values("", NEXT)] after: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    let mut harness = Harness::start(2).await;
    let (mut client, _) = harness.submit_job("unsafe", "k").await;
    client.send(after).await;
    let (_, mut worker) = harness.accept_worker().await;
    worker.read().await.expect("the job");
    harness.daemon.suspend().await;
    worker.send("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
    wait_until_delivered(&mut worker).await;
    how.run(client).await;
    harness.daemon.resume();
    worker.wait_for_close().await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for it");
}

/// A client that pipelines and disconnects has its attempt canceled as any other.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn pipelined_input_after_a_job_hides_no_disconnect(
    #[values("\r\n", NEXT, &NEXT.repeat(2000))] after: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    let mut harness = Harness::start(1).await;
    let (mut client, _) = harness.submit_job("safe", "k").await;
    client.send(after).await;
    let (_, mut worker) = harness.accept_worker().await;
    worker.read().await.expect("the job");
    how.run(client).await;
    assert!(worker.read().await.is_none(), "the attempt is canceled by closing its connection");
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for it");
}

/// The same for a job in chunks, however they are written.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn pipelined_input_after_a_chunked_job_hides_no_disconnect(
    #[values(
        "4\r\nwork\r\n0\r\n\r\n",
        "1;a=\"b\"\r\nw\r\n003 \r\nork\r\n00\r\nx-sum: 1\r\n\r\n",
        "0\r\n\r\n"
    )]
    body: &str,
    #[values("\r\n", NEXT, &NEXT.repeat(2000))] after: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
    #[values(true, false)] at_once: bool,
) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    let head = "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ntransfer-encoding: chunked\r\n\r\n";
    if at_once {
        client.send(&format!("{head}{body}{after}")).await;
    } else {
        client.write_byte_by_byte(&format!("{head}{body}")).await.expect("the daemon reads");
        client.send(after).await;
    }
    let (number, mut worker) = harness.accept_worker().await;
    let job = worker.read().await.expect("the job");
    assert_eq!(job.text(), if body.len() > 5 { "work" } else { "" });
    // Once it is accepted, nothing but its client's disconnect cancels the attempt.
    worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
    harness.send_callback("00000000000000cd", number, "started").await;
    how.run(client).await;
    let (_, mut worker) = harness.accept_worker().await;
    assert_eq!(worker.read().await.expect("a call").line, "DELETE /jobs/00000000000000cd HTTP/1.1");
    drop(worker);
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for it");
}

/// A job whose client disconnects before its last byte, or together with it, is not accepted at all.
#[rstest]
#[case::half_a_head("POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ncont")]
#[case::half_a_body(
    "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ncontent-length: 4\r\n\r\nwo"
)]
#[case::complete(
    "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ncontent-length: 4\r\n\r\nwork"
)]
#[case::many(&NEXT.repeat(50))]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_that_arrives_together_with_its_clients_disconnect_is_not_accepted(
    #[case] sent: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(client.read().await.as_ref()), "200");
    harness.daemon.suspend().await;
    client.send(sent).await;
    how.run(client).await;
    harness.daemon.resume();
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for it");
}

/// Pipelined requests get their responses in turn, with one job in flight at a time.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn pipelined_requests_are_served_in_turn() {
    let harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    let post =
        |id: u32| format!("POST /safe/k HTTP/1.1\r\nx-trace-id: {id:016x}\r\ncontent-length: 4\r\n\r\nwork");
    let all: String = (1..=20).map(post).collect();
    client.send(&all).await;
    for id in 1..=20 {
        let id = format!("{id:016x}");
        let (number, mut worker) = harness.accept_worker().await;
        assert_eq!(worker.read().await.expect("the job").header("x-trace-id"), Some(id.as_str()));
        worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
        harness.send_callback(&id, number, "done").await;
        assert_eq!(status(client.read().await.as_ref()), "200");
    }
    client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(client.read().await.as_ref()), "200", "the connection is reused");
}

/// A job whose client disconnects while it waits for a connection to the worker is written to none.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_connection_established_after_the_disconnect_carries_no_job(
    #[values("", NEXT)] after: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let full = socket.listen(1).expect("it listens");
    let address = full.local_addr().expect("bound");
    let mut harness = Harness::start_with_listed(0, &[address]).await;
    // As many as the kernel queues; the next one is not established until one of them is accepted.
    let filling = [TcpStream::connect(address).await, TcpStream::connect(address).await];
    let (mut client, _) = harness.submit_job("safe", "k").await;
    client.send(after).await;
    let dialling = format!(":{:04X} {SYN_SENT} ", address.port());
    while !std::fs::read_to_string("/proc/net/tcp").expect("read").contains(&dialling) {
        tokio::task::yield_now().await;
    }
    how.run(client).await;
    for _ in &filling {
        drop(full.accept().await.expect("one of those that fill it"));
    }
    harness.workers.push(full);
    // The dial that was in progress may have succeeded.
    assert!(harness.assert_only_next_job_arrives().await <= 1);
}
