//! Stories of clients that leave: once a connection has gone, nothing more is begun for the job on it.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use vetchbridge_testbed::wire::Wire;

/// The next request of one who doesn't wait for the answer to the first.
const NEXT: &str =
    "POST /safe/x HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cc\r\ncontent-length: 4\r\n\r\nnext";

/// A connection of which neither side has closed anything, and one that is being made, in the kernel's words.
const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaves {
    Closes,
    Resets,
}

impl Leaves {
    /// Leaves, and waits until the daemon's kernel knows, whatever the daemon does.
    async fn leave(self, mut client: Wire) {
        let (here, there) = ends(&mut client);
        {
            let _alone = alone();
            match self {
                Leaves::Closes => drop(client),
                Leaves::Resets => client.reset(),
            }
        }
        while entry(there, here).is_some_and(|(state, _)| state == ESTABLISHED) {
            tokio::task::yield_now().await;
        }
    }
}

/// A client that has gone before the first worker is listed has its job sent to nobody, whatever it wrote after it.
/// `at_once`: list and departure reach the daemon in this order, and before it can look at either.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_job_that_waits_for_a_worker_ends_with_its_client(
    #[values("", "\r\n", NEXT, &NEXT.repeat(2000))] after: &str,
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
    #[values(true, false)] at_once: bool,
) {
    let mut stage = Stage::set(0).await;
    let mut watch = Wire::new(stage.discovery.accept().await.expect("the watch").0);
    watch.asked().await;
    let (mut client, id) = stage.job("safe", "k").await;
    client.send(after).await;
    let mut twin = dial(stage.daemon.address).await;
    twin.hand_in("/safe/k", &format!("X-Trace-Id: {id}\r\n"), "").await;
    assert_eq!(status(&twin.read().await), "409", "the job is open");

    stage.workers.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
    let list = json!([instance(0, stage.workers[0].local_addr().expect("bound"), "up")]);
    if at_once {
        stage.daemon.freeze().await;
        watch.list(5, list).await;
        delivered(&mut watch).await;
        how.leave(client).await;
        stage.daemon.thaw();
    } else {
        how.leave(client).await;
        watch.list(5, list).await;
    }
    watch.asked().await;
    assert_eq!(stage.only_one_more_arrives().await, 0, "nobody is dialled for it");
}

/// A client that has gone when its first attempt fails has no second one.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn no_attempt_follows_a_failed_one_once_the_client_has_gone(
    #[values("", NEXT)] after: &str,
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    let mut stage = Stage::set(2).await;
    let (mut client, _) = stage.job("unsafe", "k").await;
    client.send(after).await;
    let (_, mut worker) = stage.worker().await;
    worker.read().await.expect("the job");
    stage.daemon.freeze().await;
    worker.send("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
    delivered(&mut worker).await;
    how.leave(client).await;
    stage.daemon.thaw();
    worker.closed().await;
    assert_eq!(stage.only_one_more_arrives().await, 0, "nobody is dialled for it");
}

/// A client that pipelines and leaves has its attempt given up as any other.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn what_a_client_wrote_after_its_job_hides_no_departure(
    #[values("\r\n", NEXT, &NEXT.repeat(2000))] after: &str,
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    let mut stage = Stage::set(1).await;
    let (mut client, _) = stage.job("safe", "k").await;
    client.send(after).await;
    let (_, mut worker) = stage.worker().await;
    worker.read().await.expect("the job");
    how.leave(client).await;
    assert!(worker.read().await.is_none(), "the attempt is given up by its connection");
    assert_eq!(stage.only_one_more_arrives().await, 0, "nobody is dialled for it");
}

/// The same of a job whose length only its last chunk tells, however its chunks are written.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn what_a_client_wrote_after_a_chunked_job_hides_no_departure(
    #[values(
        "4\r\nwork\r\n0\r\n\r\n",
        "1;a=\"b\"\r\nw\r\n003 \r\nork\r\n00\r\nx-sum: 1\r\n\r\n",
        "0\r\n\r\n"
    )]
    body: &str,
    #[values("\r\n", NEXT, &NEXT.repeat(2000))] after: &str,
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
    #[values(true, false)] at_once: bool,
) {
    let mut stage = Stage::set(1).await;
    let mut client = dial(stage.daemon.address).await;
    let head = "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ntransfer-encoding: chunked\r\n\r\n";
    if at_once {
        client.send(&format!("{head}{body}{after}")).await;
    } else {
        client.write_in_pieces(&format!("{head}{body}")).await.expect("the daemon reads");
        client.send(after).await;
    }
    let (number, mut worker) = stage.worker().await;
    let job = worker.read().await.expect("the job");
    assert_eq!(job.text(), if body.len() > 5 { "work" } else { "" });
    // Once it is taken, nothing but its client's departure calls the attempt off.
    worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
    stage.call_back("00000000000000cd", number, "started").await;
    how.leave(client).await;
    let (_, mut worker) = stage.worker().await;
    assert_eq!(worker.read().await.expect("a call").line, "DELETE /jobs/00000000000000cd HTTP/1.1");
    drop(worker);
    assert_eq!(stage.only_one_more_arrives().await, 0, "nobody is dialled for it");
}

/// A job whose client goes before its last byte, or together with it, is not taken at all.
#[rstest]
#[case::half_a_head("POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ncont")]
#[case::half_a_body(
    "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ncontent-length: 4\r\n\r\nwo"
)]
#[case::whole(
    "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000cd\r\ncontent-length: 4\r\n\r\nwork"
)]
#[case::many(&NEXT.repeat(50))]
#[timeout(HANG)]
#[tokio::test]
async fn a_job_that_comes_together_with_its_clients_end_is_not_taken(
    #[case] sent: &str,
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    let mut stage = Stage::set(1).await;
    let mut client = dial(stage.daemon.address).await;
    client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(&client.read().await), "200");
    stage.daemon.freeze().await;
    client.send(sent).await;
    how.leave(client).await;
    stage.daemon.thaw();
    assert_eq!(stage.only_one_more_arrives().await, 0, "nobody is dialled for it");
}

/// Who pipelines all the same is answered in turn, and one job is out at a time.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_request_that_came_too_early_has_its_turn() {
    let stage = Stage::set(1).await;
    let mut client = dial(stage.daemon.address).await;
    let post =
        |id: u32| format!("POST /safe/k HTTP/1.1\r\nx-trace-id: {id:016x}\r\ncontent-length: 4\r\n\r\nwork");
    let all: String = (1..=20).map(post).collect();
    client.send(&all).await;
    for id in 1..=20 {
        let id = format!("{id:016x}");
        let (number, mut worker) = stage.worker().await;
        assert_eq!(worker.read().await.expect("the job").header("x-trace-id"), Some(id.as_str()));
        worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
        stage.call_back(&id, number, "done").await;
        assert_eq!(status(&client.read().await), "200");
    }
    client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(&client.read().await), "200", "it is kept");
}

/// A client that goes while its job waits for a connection to the worker has it written to none.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_connection_that_comes_up_too_late_carries_nothing(
    #[values("", NEXT)] after: &str,
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let full = socket.listen(1).expect("it listens");
    let address = full.local_addr().expect("bound");
    let mut stage = Stage::set_with(0, &[address]).await;
    // As many as the kernel keeps; who comes next has no answer until one of them is accepted.
    let filling = [TcpStream::connect(address).await, TcpStream::connect(address).await];
    let (mut client, _) = stage.job("safe", "k").await;
    client.send(after).await;
    let dialling = format!(":{:04X} {SYN_SENT} ", address.port());
    while !std::fs::read_to_string("/proc/net/tcp").expect("read").contains(&dialling) {
        tokio::task::yield_now().await;
    }
    how.leave(client).await;
    for _ in &filling {
        drop(full.accept().await.expect("one of those that fill it"));
    }
    stage.workers.push(full);
    // The dial that was on its way may have come up.
    assert!(stage.only_one_more_arrives().await <= 1);
}
