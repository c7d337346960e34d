//! Upgrades of the daemon: a new process takes over from the one that serves.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use std::path::Path;
use vetchbridge::upgrade::{self, message::VERSION};
use vetchbridge_testbed::wire::Wire;

/// Two processes work as one scheduler. Connections, jobs in flight and the endpoint list are handed over; no connection is
/// closed, a callback reaches its attempt, an open id is open in both, and only the old process ends.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_successor_takes_over_without_any_client_noticing() {
    let mut harness = Harness::start(1).await;
    let mut watch = Wire::new(harness.discovery.accept().await.expect("the watch").0);
    watch.read_target().await;
    watch.send_endpoints(70, json!(harness.instances)).await;
    assert!(watch.read_target().await.contains("index=70&"));
    let mut idle = dial(harness.daemon.address).await;
    idle.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(idle.read().await.as_ref()), "200");
    let mut fresh = dial(harness.daemon.address).await;
    let (mut early, early_id) = harness.submit_job("unsafe", "k").await;
    let (number, mut old_worker) = harness.accept_worker_connection().await;
    old_worker.read().await.expect("the job");
    old_worker.send(ACCEPTED).await;
    harness.send_callback(&early_id, number, "started").await;

    let successor = harness.start_successor();
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    let mut watch = Wire::new(harness.discovery.accept().await.expect("the successor's watch").0);
    assert!(watch.read_target().await.contains("index=70&"), "it goes on from the list that it was given");
    // The old process knows of its successor once it hands connections over.
    let (mut client, id) = harness.submit_job("safe", "k").await;
    let (number, mut new_worker) = harness.accept_worker_connection().await;
    assert_eq!(new_worker.read().await.expect("the job").header("x-trace-id"), Some(id.as_str()));
    new_worker.send(ACCEPTED).await;
    let mut twin = dial(harness.daemon.address).await;
    twin.post_request("/safe/k", &format!("X-Trace-Id: {early_id}\r\n"), "").await;
    assert_eq!(status(twin.read().await.as_ref()), "409", "the old one has it open");
    harness.send_callback(&early_id, number, "done").await;
    harness.send_callback(&id, number, "done").await;
    for client in [&mut early, &mut client] {
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), ("200", None));
    }
    harness.daemon.signal("-TERM");
    assert!(harness.daemon.child.wait().expect("it ends").success());
    assert!(old_worker.read().await.is_none(), "its connections have gone with it");
    for (number, kept) in [&mut idle, &mut fresh, &mut early, &mut client].into_iter().enumerate() {
        kept.post_request("/safe/k", &format!("X-Trace-Id: 00000000000000a{number}\r\n"), "work").await;
        assert_eq!(new_worker.read_target().await, "/safe/k", "the same connection, another process");
        new_worker.send(ACCEPTED).await;
        harness.send_callback(&format!("00000000000000a{number}"), 0, "done").await;
        assert_eq!(status(kept.read().await.as_ref()), "200");
    }
}

/// A request that was in flight when a successor started and died leaves its connection at the old process.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_connection_stays_if_the_successor_dies_before_it_is_handed_over() {
    let mut harness = Harness::start(1).await;
    let (mut client, id) = harness.submit_job("safe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(ACCEPTED).await;
    let mut successor = harness.start_successor();
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    // The old process knows of its successor before this response.
    assert_eq!(harness.daemon.admin_command("quiesce").await, "fail handed over; ask the successor\n");
    successor.child.kill().expect("killed");
    harness.daemon.wait_for_log("upgrade.successor_lost").await;
    harness.send_callback(&id, number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", None));
    client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(client.read().await.as_ref()), "200", "the connection is still served");
}

/// The peers' socket is handed over too: two processes can't both bind its address, and it must not be free in between.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn the_peer_socket_stays_bound_through_an_upgrade() {
    let mut harness = Harness::start(0).await;
    let reserved = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let peers = reserved.local_addr().expect("bound");
    drop(reserved);
    let mut config = daemon_config(harness.discovery.local_addr().unwrap(), json!([]));
    config["name"] = "n1".into();
    config["peer_listen"] = peers.to_string().into();
    config["peers"] = json!([peers.to_string()]);
    config["settings"]["limits"]["peers"] = true.into();
    let (daemon, _discovery) = Process::start_serving(&mut config, harness.folder.path()).await;
    harness.daemon = daemon;
    config["listen"] = harness.daemon.address.to_string().into();
    let successor = Process::start(&config, harness.folder.path());
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    harness.daemon.child.kill().expect("killed");
    harness.daemon.child.wait().expect("it ends");
    let error = std::net::UdpSocket::bind(peers).expect_err("the successor has it");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
}

/// A successor that dies leaves the old process as it was; the next one may start, also while drained.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn after_a_successor_has_died_the_next_one_takes_over() {
    let harness = Harness::start(1).await;
    for _ in 0..2 {
        let mut successor = harness.start_successor();
        assert_eq!(successor.admin_command("health").await, "ok serving\n");
        successor.child.kill().expect("killed");
        // Connections queue at the listener, which both had, until the old process has noticed.
        assert_eq!(harness.get_readiness().await.status(), "200");
    }
    harness.daemon.admin_command("quiesce").await;
    let second = harness.start_successor();
    assert!(second.admin_command("health").await.starts_with("ok drain"));
    assert_eq!(harness.get_readiness().await.status(), "503");
    second.admin_command("resume").await;
    let third = harness.start_successor();
    // Its state would not be the scheduler's any more.
    assert_eq!(harness.daemon.admin_command("quiesce").await, "fail handed over; ask the successor\n");
    assert_eq!(third.admin_command("health").await, "ok serving\n");
    second.signal("-TERM");
    harness.daemon.signal("-TERM");
    assert_eq!(harness.get_readiness().await.status(), "200");
}

/// Whatever is at the path where a predecessor would listen, a process starts all the same.
#[rstest]
#[case::nothing(|_: &Path| {})]
#[case::garbage(|path: &Path| std::fs::write(path, "garbage").expect("written"))]
#[case::left_by_a_crash(|path: &Path| drop(std::os::unix::net::UnixListener::bind(path).expect("bound")))]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn what_a_crash_left_behind_does_not_prevent_a_start(#[case] leave: fn(&Path)) {
    let harness = Harness::start(0).await;
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    leave(&folder.join(HANDOVER_SOCKET));
    let mut config = daemon_config(harness.discovery.local_addr().unwrap(), json!([]));
    let (first, _discovery) = Process::start_serving(&mut config, folder).await;
    let mut next = config.clone();
    next["listen"] = first.address.to_string().into();
    let next = Process::start(&next, folder);
    assert_eq!(next.admin_command("health").await, "ok serving\n");
}

/// A process that connects to the hand-over socket and is no successor, or hangs as one, changes nothing.
#[rstest]
#[case::garbage(b"garbage".to_vec(), "Refused")]
#[case::another_name(hello(VERSION, "n1"), "Refused")]
#[case::another_version(hello(VERSION + 1, "n0"), "Refused")]
#[case::one_that_hangs(hello(VERSION, "n0"), "Offer")]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_process_that_is_no_successor_changes_nothing(#[case] sent: Vec<u8>, #[case] expected: &str) {
    let harness = Harness::start(0).await;
    let sent = String::from_utf8(sent).expect("text").replace("LISTEN", &harness.daemon.address.to_string());
    let socket = upgrade::socket::HandoverSocket::connect(&harness.folder.path().join(HANDOVER_SOCKET))
        .expect("it listens");
    socket.send(sent.as_bytes(), &[]).await.expect("sent");
    let mut buffer = vec![0; 65536];
    let received = socket
        .receive(&mut buffer)
        .await
        .expect("a message")
        .expect("it does not close the connection first");
    let message = String::from_utf8_lossy(&buffer[..received.length]).into_owned();
    assert!(message.starts_with(&format!("{{\"{expected}\"")), "{message}");
    assert_eq!(harness.get_readiness().await.status(), "200");
    assert_eq!(harness.start_successor().admin_command("health").await, "ok serving\n");
}

fn hello(version: u32, name: &str) -> Vec<u8> {
    json!({"Hello": {"version": version, "name": name, "listen": "LISTEN"}}).to_string().into_bytes()
}

/// Where no Unix socket can be created a process starts all the same, and so does the next one beside it.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn without_a_hand_over_socket_two_processes_still_share_the_address() {
    let mut harness = Harness::start(0).await;
    let nowhere = harness.folder.path().join("not-there");
    let mut config = daemon_config(harness.discovery.local_addr().unwrap(), json!([]));
    let (first, _discovery) = Process::start_serving(&mut config, &nowhere).await;
    config["listen"] = first.address.to_string().into();
    let (second, _discovery) = Process::start_serving(&mut config, &nowhere).await;
    assert_eq!(second.admin_command("health").await, "ok serving\n");
    drop(first);
    harness.daemon = second;
    assert_eq!(harness.get_readiness().await.status(), "200");
}
