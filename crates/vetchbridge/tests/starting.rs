//! Stories over loopback sockets of how a scheduler starts: what its readiness waits for, and for how long. No bench is needed.
#![allow(missing_docs)]

mod common;

use common::*;
use platform::wire::Wire;
use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use tokio::net::TcpListener;

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
        let taken = log.by_ref().any(|line| line.contains("address.taken"));
        // Not before the daemon has met it.
        drop(held);
        taken && log.any(|line| line.contains("daemon.listens"))
    });
    let listens = listens.await.expect("it is read");
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    assert!(listens, "it waits, and listens then");
}

/// One whose list is pushed, or asked for.
async fn follower(discovers: &str) -> (TcpListener, Process, tempfile::TempDir) {
    let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut config = config(discovery.local_addr().expect("bound"), json!([]));
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

/// What a pushed list tells counts from the first moment of a process: clients are not sent here before it is in hand.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_pushed_list_is_in_hand_before_clients_are_sent_here() {
    let (discovery, daemon, _folder) = follower("push").await;
    let mut wire = Wire::new(discovery.accept().await.expect("the watch").0);
    wire.read().await.expect("a call");
    assert_eq!(ready(&daemon).await, "503");
    wire.list(2, Value::Array(Vec::new())).await;
    // The watch goes on once the list has been taken in.
    wire.read().await.expect("the next call");
    while ready(&daemon).await != "200" {}
}

/// Readiness waits for no list that does not come, and for none that is asked for.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_list_that_does_not_come_keeps_nobody_from_being_ready(#[values("push", "ask")] discovers: &str) {
    let (_discovery, daemon, _folder) = follower(discovers).await;
    while ready(&daemon).await != "200" {}
}
