//! Stories over loopback sockets of how a scheduler starts: what its readiness waits for, and for how long. No bench is needed.
#![allow(missing_docs)]

mod common;

use common::*;
use futures_util::FutureExt;
use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use vetchbridge_testbed::wire::Wire;

/// The process before this one may still be on its way out: its address is waited for, and not given up at once.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_start_waits_for_an_address_that_is_still_taken() {
    let held = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = held.local_addr().expect("bound");
    let folder = tempfile::tempdir().expect("a folder");
    let mut config = config("127.0.0.1:1".parse().expect("an address"), json!([]));
    config["listen"] = address.to_string().into();
    let (mut command, _) = daemon(&config.to_string());
    let mut child = command.env("TMPDIR", folder.path()).spawn().expect("it starts");
    let log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let listens = tokio::task::spawn_blocking(move || {
        let mut log = log.map_while(Result::ok);
        let taken = log.by_ref().any(|line| line.contains("address.in_use"));
        // Not before the daemon has met it.
        drop(held);
        taken && log.any(|line| line.contains("daemon.listening"))
    });
    let listens = listens.await.expect("it is read");
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    assert!(listens, "it waits, and listens then");
}

/// A daemon that has just started, with a saved list of these workers, and its discovery, which says nothing by itself.
async fn starting(discovers: &str, saved: Value) -> (TcpListener, Process, tempfile::TempDir) {
    let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut config = config(discovery.local_addr().expect("bound"), saved);
    config["settings"]["discovery"] = discovers.into();
    let folder = tempfile::tempdir().expect("a folder");
    let daemon = Process::start(&config, folder.path());
    (discovery, daemon, folder)
}

async fn ready(daemon: &Process) -> String {
    let mut front = dial(daemon.address).await;
    front.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    front.read().await.expect("an answer").status().to_string()
}

/// Hands in a job and waits until the daemon has taken it. Handed in twice, it is turned away once: whichever of the two came
/// first is open then, and its connection is returned.
async fn taken_job(daemon: &Process) -> Wire {
    let headers = format!("X-Trace-Id: {JOB}\r\nX-Qos: safe\r\n");
    let (mut one, mut other) = (dial(daemon.address).await, dial(daemon.address).await);
    one.hand_in("/safe/k", &headers, "work").await;
    other.hand_in("/safe/k", &headers, "work").await;
    let (answer, open) = tokio::select! {
        answer = one.read() => (answer, other),
        answer = other.read() => (answer, one),
    };
    assert_eq!(status(&answer), "409");
    open
}

/// The job of this file's stories.
const JOB: &str = "00000000000000ab";

async fn worker() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Serves the job at the worker of this number, which must be asked next.
async fn serve(daemon: &Process, worker: &TcpListener, number: usize, client: &mut Wire) {
    let mut connection = Wire::new(worker.accept().await.expect("the job's connection").0);
    assert_eq!(connection.read().await.expect("the job").header("x-trace-id"), Some(JOB));
    connection.send(ACCEPTED).await;
    let done = json!({"id": JOB, "from": format!("s-{number}"), "state": "done", "result": "made"});
    let mut callback = dial(daemon.address).await;
    callback.hand_in("/callback", "", &done.to_string()).await;
    assert_eq!(status(&callback.read().await), "200");
    assert_eq!(status(&client.read().await), "200");
}

/// What left while no process of this scheduler ran is still in the saved list. Neither are clients sent here before discovery
/// has confirmed the list, nor does a job that comes all the same go to a worker that has left.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_worker_that_left_before_the_start_gets_no_job(#[values("push", "ask")] discovers: &str) {
    let ((left, left_at), (joined, joined_at)) = (worker().await, worker().await);
    let (discovery, daemon, _folder) = starting(discovers, json!([instance(0, left_at, "up")])).await;
    let mut watch = Wire::new(discovery.accept().await.expect("the first call").0);
    assert_eq!(watch.asked().await, "/registry/instances?index=1&wait=0", "no news is waited for");
    let mut client = taken_job(&daemon).await;
    assert_eq!(ready(&daemon).await, "503");
    assert!(daemon.operate("health").await.starts_with("fail"));
    watch.list(2, json!([instance(1, joined_at, "up")])).await;
    serve(&daemon, &joined, 1, &mut client).await;
    while ready(&daemon).await != "200" {}
    assert!(left.accept().now_or_never().is_none(), "the worker that has left was dialled");
}

/// Where discovery is out of reach there is no better list than the saved one: after a while the scheduler is ready, and what
/// came before then is sent by it.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_list_that_does_not_come_keeps_nobody_from_being_ready(#[values("push", "ask")] discovers: &str) {
    let (saved, saved_at) = worker().await;
    let (_discovery, daemon, _folder) = starting(discovers, json!([instance(0, saved_at, "up")])).await;
    let mut client = taken_job(&daemon).await;
    while ready(&daemon).await != "200" {}
    serve(&daemon, &saved, 0, &mut client).await;
}

/// The list that a successor is handed is as good as its predecessor's, and no better.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_successor_of_a_process_whose_list_is_not_confirmed_waits_as_well() {
    let (discovery, first, folder) = starting("ask", json!([])).await;
    let mut config = config(discovery.local_addr().expect("bound"), json!([]));
    config["listen"] = first.address.to_string().into();
    let successor = Process::start(&config, folder.path());
    assert!(successor.operate("health").await.starts_with("fail"));
    while successor.operate("health").await != "ok serving\n" {}
}
