//! Clients that disconnect: once a client's connection has ended, no attempt is started for the client's job.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use vetchbridge_testbed::wire::HttpConnection;

/// A pipelined request: the client sends this request before it has the response to its earlier request.
const PIPELINED_REQUEST: &str =
    "POST /safe/x HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cc\r\ncontent-length: 4\r\n\r\nnext";

/// The codes in `/proc/net/tcp` for states of a TCP connection.
const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";

/// How a client closes its connection to the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disconnect {
    Close,
    Reset,
}

impl Disconnect {
    /// Disconnects the client, and waits until the kernel has registered the disconnect at the daemon's end
    /// of the connection.
    async fn run(self, mut client: HttpConnection) {
        let (client_address, daemon_address) = local_and_peer_addresses(&mut client);
        {
            let _lock = spawn_lock();
            match self {
                Disconnect::Close => drop(client),
                Disconnect::Reset => client.reset(),
            }
        }
        while tcp_table_entry(daemon_address, client_address)
            .is_some_and(|connection| connection.state == ESTABLISHED)
        {
            tokio::task::yield_now().await;
        }
    }
}

/// A job that waits for a worker is not sent if its client disconnects before the endpoint list contains a
/// worker, whatever input follows the job. If `while_suspended` is true, the daemon is suspended while first
/// the endpoint list and then the disconnect arrive.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_queued_job_is_not_sent_once_its_client_has_disconnected(
    #[values("", "\r\n", PIPELINED_REQUEST, &PIPELINED_REQUEST.repeat(2000))] pipelined: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] disconnect: Disconnect,
    #[values(true, false)] while_suspended: bool,
) {
    let mut harness = Harness::start(0).await;
    let mut watch = HttpConnection::new(harness.discovery.accept().await.expect("the watch").0);
    watch.read_target().await;
    let (mut client, id) = harness.submit_job("safe", "k").await;
    client.send(pipelined).await;
    let mut duplicate = dial(harness.daemon.address).await;
    duplicate.post_request("/safe/k", &format!("X-Trace-Id: {id}\r\n"), "").await;
    assert_eq!(status(duplicate.read().await.as_ref()), "409", "the job is open");

    harness.workers.push(TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
    let list = json!([instance(0, harness.workers[0].local_addr().expect("a bound socket"), "up")]);
    if while_suspended {
        harness.daemon.suspend().await;
        watch.send_endpoints(5, list).await;
        wait_until_delivered(&mut watch).await;
        disconnect.run(client).await;
        harness.daemon.resume();
    } else {
        disconnect.run(client).await;
        watch.send_endpoints(5, list).await;
    }
    watch.read_target().await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for the job");
}

/// The daemon does not retry a job if its client has disconnected by the time at which the first attempt
/// fails.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_failed_attempt_is_not_retried_once_the_client_has_disconnected(
    #[values("", PIPELINED_REQUEST)] pipelined: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] disconnect: Disconnect,
) {
    let mut harness = Harness::start(2).await;
    let (mut client, _) = harness.submit_job("unsafe", "k").await;
    client.send(pipelined).await;
    let (_, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    harness.daemon.suspend().await;
    worker.send("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
    wait_until_delivered(&mut worker).await;
    disconnect.run(client).await;
    harness.daemon.resume();
    worker.wait_for_close().await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for the job");
}

/// A client's disconnect cancels the attempt of its job, even if pipelined input follows the job.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_disconnect_is_noticed_despite_pipelined_input_after_a_job(
    #[values("\r\n", PIPELINED_REQUEST, &PIPELINED_REQUEST.repeat(2000))] pipelined: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] disconnect: Disconnect,
) {
    let mut harness = Harness::start(1).await;
    let (mut client, _) = harness.submit_job("safe", "k").await;
    client.send(pipelined).await;
    let (_, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    disconnect.run(client).await;
    assert!(worker.read().await.is_none(), "the attempt is cancelled by closing its connection");
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for the job");
}

/// A client's disconnect cancels the attempt of its job, even if pipelined input follows a job with a chunked
/// body. The client sends the job in one write or byte by byte.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_disconnect_is_noticed_despite_pipelined_input_after_a_chunked_job(
    #[values(
        "4\r\nwork\r\n0\r\n\r\n",
        "1;a=\"b\"\r\nw\r\n003 \r\nork\r\n00\r\nx-sum: 1\r\n\r\n",
        "0\r\n\r\n"
    )]
    body: &str,
    #[values("\r\n", PIPELINED_REQUEST, &PIPELINED_REQUEST.repeat(2000))] pipelined: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] disconnect: Disconnect,
    #[values(true, false)] in_one_write: bool,
) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    let head = "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ntransfer-encoding: chunked\r\n\r\n";
    if in_one_write {
        client.send(&format!("{head}{body}{pipelined}")).await;
    } else {
        client.write_byte_by_byte(&format!("{head}{body}")).await.expect("the daemon reads the job");
        client.send(pipelined).await;
    }
    let (number, mut worker) = harness.accept_worker_connection().await;
    let job = worker.read().await.expect("the job");
    assert_eq!(job.text(), if body.len() > 5 { "work" } else { "" });
    // The worker accepts the job. From then on, only the client's disconnect cancels the attempt.
    worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
    harness.send_callback("00000000000000cd", number, "started").await;
    disconnect.run(client).await;
    let (_, mut worker) = harness.accept_worker_connection().await;
    assert_eq!(worker.read().await.expect("a request").start_line, "DELETE /jobs/00000000000000cd HTTP/1.1");
    drop(worker);
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for the job");
}

/// The daemon does not accept a job if its client disconnects before the last byte of the job, or together
/// with this byte.
#[rstest]
#[case::half_a_head("POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ncont")]
#[case::half_a_body(
    "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ncontent-length: 4\r\n\r\nwo"
)]
#[case::complete(
    "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ncontent-length: 4\r\n\r\nwork"
)]
#[case::many(&PIPELINED_REQUEST.repeat(50))]
#[case::much_unread_input(&PIPELINED_REQUEST.repeat(900))]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_that_arrives_together_with_its_clients_disconnect_is_not_accepted(
    #[case] input: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] disconnect: Disconnect,
) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(client.read().await.as_ref()), "200");
    harness.daemon.suspend().await;
    client.send(input).await;
    disconnect.run(client).await;
    harness.daemon.resume();
    assert_eq!(harness.assert_only_next_job_arrives().await, 0, "no worker is dialled for the job");
}

/// Guards against a job that runs twice because its client left and sent it again with the same id: the scheduler
/// forgot the id together with the request.
#[rstest]
#[case::not_idempotent("unsafe", "409")]
#[case::keyed("keyed", "409")]
#[case::idempotent("safe", "200")]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_that_may_have_run_is_not_sent_again_under_the_same_id(
    #[case] class: &str,
    #[case] expected: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] disconnect: Disconnect,
) {
    let harness = Harness::start(1).await;
    let headers = "X-Trace-Id: 00000000000000ab\r\nIdempotency-Key: a\r\n";
    let mut client = dial(harness.daemon.address).await;
    client.post_request(&format!("/{class}/k"), headers, "work").await;
    let (_, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    disconnect.run(client).await;
    assert!(worker.read().await.is_none(), "the attempt is cancelled by closing its connection");
    let mut client = dial(harness.daemon.address).await;
    client.post_request(&format!("/{class}/k"), headers, "work").await;
    let answer = tokio::select! {
        answer = client.read() => answer,
        () = harness.serve_next_attempt("00000000000000ab") => client.read().await,
    };
    assert_eq!(status(answer.as_ref()), expected);
}

/// The pipelined requests of a client are answered in the order of their arrival, with one job in flight at a
/// time.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    let job_request =
        |id: u32| format!("POST /safe/k HTTP/1.1\r\nx-trace-id: {id:016x}\r\ncontent-length: 4\r\n\r\nwork");
    let requests: String = (1..=20).map(job_request).collect();
    client.send(&requests).await;
    for id in 1..=20 {
        let id = format!("{id:016x}");
        let (number, mut worker) = harness.accept_worker_connection().await;
        assert_eq!(worker.read().await.expect("the job").header("x-trace-id"), Some(id.as_str()));
        worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
        harness.send_callback(&id, number, "done").await;
        assert_eq!(status(client.read().await.as_ref()), "200");
    }
    client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(client.read().await.as_ref()), "200", "the connection is reused");
}

/// A job that waits for a connection to its worker is not sent if its client disconnects before the
/// connection is established.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_connection_established_after_the_disconnect_carries_no_job(
    #[values("", PIPELINED_REQUEST)] pipelined: &str,
    #[values(Disconnect::Close, Disconnect::Reset)] disconnect: Disconnect,
) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let full_listener = socket.listen(1).expect("a listener");
    let address = full_listener.local_addr().expect("a bound socket");
    let mut harness = Harness::start_with_other_workers(0, &[address]).await;
    // These connections fill the worker's accept queue. No other connection to the worker is established
    // until one of them is accepted.
    let queue_fillers = [TcpStream::connect(address).await, TcpStream::connect(address).await];
    let (mut client, _) = harness.submit_job("safe", "k").await;
    client.send(pipelined).await;
    let dial_in_progress = format!(":{:04X} {SYN_SENT} ", address.port());
    while !std::fs::read_to_string("/proc/net/tcp").expect("a connection table").contains(&dial_in_progress) {
        tokio::task::yield_now().await;
    }
    disconnect.run(client).await;
    for _ in &queue_fillers {
        drop(full_listener.accept().await.expect("a connection that fills the queue"));
    }
    harness.workers.push(full_listener);
    // The daemon's dial that was in progress may have succeeded. No request may be sent on its connection.
    assert!(harness.assert_only_next_job_arrives().await <= 1);
}
