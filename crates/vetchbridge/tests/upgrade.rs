//! Upgrades of the daemon: a new process (the successor) takes over from the process that serves (the
//! predecessor, or old process).
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use std::path::Path;
use vetchbridge::upgrade::{self, message::VERSION};
use vetchbridge_testbed::wire::HttpConnection;

/// The old process and its successor work as one scheduler during an upgrade. Client connections and the
/// endpoint list are handed over, and no client connection is closed. A callback reaches its attempt in
/// either process, and a request id that is open in one process is rejected by the other. SIGTERM ends only
/// the old process.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_successor_takes_over_without_any_client_noticing() {
    let mut harness = Harness::start(1).await;
    let mut watch = HttpConnection::new(harness.discovery.accept().await.expect("the watch").0);
    watch.read_target().await;
    watch.send_endpoints(70, json!(harness.instances)).await;
    assert!(watch.read_target().await.contains("index=70&"));
    let mut idle_client = dial(harness.daemon.address).await;
    idle_client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(idle_client.read().await.as_ref()), "200");
    let mut unused_client = dial(harness.daemon.address).await;
    let (mut early_client, early_id) = harness.submit_job("unsafe", "k").await;
    let (number, mut old_worker) = harness.accept_worker_connection().await;
    old_worker.read().await.expect("the job");
    old_worker.send(ACCEPTED).await;
    harness.send_callback(&early_id, number, "started").await;

    let successor = harness.start_successor();
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    let mut watch = HttpConnection::new(harness.discovery.accept().await.expect("the successor's watch").0);
    assert!(
        watch.read_target().await.contains("index=70&"),
        "the successor watches from the generation handed over"
    );
    // By the time at which the old process hands connections over, it knows of its successor, so the
    // successor serves this job.
    let (mut client, id) = harness.submit_job("safe", "k").await;
    let (number, mut new_worker) = harness.accept_worker_connection().await;
    assert_eq!(new_worker.read().await.expect("the job").header("x-trace-id"), Some(id.as_str()));
    new_worker.send(ACCEPTED).await;
    let mut duplicate = dial(harness.daemon.address).await;
    duplicate.post_request("/safe/k", &format!("X-Trace-Id: {early_id}\r\n"), "").await;
    assert_eq!(status(duplicate.read().await.as_ref()), "409", "the request is open in the old process");
    harness.send_callback(&early_id, number, "done").await;
    harness.send_callback(&id, number, "done").await;
    for client in [&mut early_client, &mut client] {
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), ("200", None));
    }
    harness.daemon.signal("-TERM");
    assert!(harness.daemon.child.wait().expect("the old process ends").success());
    assert!(old_worker.read().await.is_none(), "the old process closed its connections to workers");
    for (number, connection) in
        [&mut idle_client, &mut unused_client, &mut early_client, &mut client].into_iter().enumerate()
    {
        connection.post_request("/safe/k", &format!("X-Trace-Id: 00000000000000a{number}\r\n"), "work").await;
        assert_eq!(
            new_worker.read_target().await,
            "/safe/k",
            "the successor serves the same client connection"
        );
        new_worker.send(ACCEPTED).await;
        harness.send_callback(&format!("00000000000000a{number}"), 0, "done").await;
        assert_eq!(status(connection.read().await.as_ref()), "200");
    }
}

/// Guards against a job that runs twice because its id comes again at the other process of an upgrade, after its
/// client has left the first one: before the upgrade, or while both processes serve.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_that_may_have_run_is_not_sent_again_by_the_other_process(
    #[values(true, false)] client_leaves_before_upgrade: bool,
    #[values(true, false)] predecessor_ends: bool,
) {
    let mut harness = Harness::start(1).await;
    let (client, id) = harness.submit_job("unsafe", "k").await;
    let (_, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    let mut client = Some(client);
    if client_leaves_before_upgrade {
        client = None;
        assert!(worker.read().await.is_none(), "the attempt is cancelled by closing its connection");
    }
    let mut successor = harness.start_successor();
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    assert_eq!(harness.daemon.admin_command("quiesce").await, "fail handed over; ask the successor\n");
    if client.take().is_some() {
        assert!(worker.read().await.is_none(), "the attempt is cancelled by closing its connection");
    }
    if predecessor_ends {
        harness.daemon.signal("-TERM");
        assert!(harness.daemon.child.wait().expect("the old process ends").success());
        successor.wait_for_log("upgrade.link_closed").await;
    }
    let mut client = dial(harness.daemon.address).await;
    client.post_request("/unsafe/k", &format!("X-Trace-Id: {id}\r\n"), "work").await;
    let answer = tokio::select! {
        answer = client.read() => answer,
        () = harness.serve_next_attempt(&id) => client.read().await,
    };
    assert_eq!(status(answer.as_ref()), "409");
}

/// If a successor process starts and dies while a request is in flight, the request's client connection stays
/// with the old process.
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
    // This response of the admin interface shows that the old process knows of its successor.
    assert_eq!(harness.daemon.admin_command("quiesce").await, "fail handed over; ask the successor\n");
    successor.child.kill().expect("the process is killed");
    harness.daemon.wait_for_log("upgrade.successor_lost").await;
    harness.send_callback(&id, number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", None));
    client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(client.read().await.as_ref()), "200", "the connection is still served");
}

/// Guards against a file that SIGHUP has rejected and that the successor of an upgrade applies: both processes
/// are one scheduler, and the successor keeps the settings in force. A complete file applies again.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_successor_keeps_the_settings_in_force_if_its_file_lacks_a_key() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut config = daemon_config("127.0.0.1:1".parse().expect("a valid address"), json!([]));
    config["settings"]["specifics"] = json!({"class_kind": [-1, -1, 0]});
    let (first, _discovery) = Process::start_serving(&mut config, folder.path()).await;
    config["listen"] = first.address.to_string().into();
    let mut incomplete = config.clone();
    incomplete["settings"]["services"][0]["name"] = "fresh".into();
    incomplete["settings"].as_object_mut().expect("an object").remove("specifics");
    let mut successor = Process::start(&incomplete, folder.path());
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    let mut client = dial(successor.address).await;
    client.post_request("/fresh/k", "X-Trace-Id: 00000000000000aa\r\n", "").await;
    assert_eq!(status(client.read().await.as_ref()), "400", "the file was not applied");
    // The successor holds a new file to the settings in force too.
    successor.signal("-HUP");
    assert!(successor.wait_for_log("configuration.").await.contains("settings.specifics: missing"));
    successor.wait_for_log("configuration.unchanged").await;
    config["settings"]["services"][0]["name"] = "fresh".into();
    std::fs::write(&successor.config_path, config.to_string()).expect("the write succeeds");
    successor.signal("-HUP");
    assert!(successor.wait_for_log("configuration.applied").await.contains("fresh"));
}

/// The UDP socket for messages between schedulers is handed over to the successor process too: two processes
/// can't both bind its address, and the address must stay bound throughout the upgrade.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn the_peer_socket_stays_bound_through_an_upgrade() {
    let mut harness = Harness::start(0).await;
    let reserved = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let peer_address = reserved.local_addr().expect("a bound socket");
    drop(reserved);
    let mut config = daemon_config(harness.discovery.local_addr().unwrap(), json!([]));
    config["name"] = "n1".into();
    config["peer_listen"] = peer_address.to_string().into();
    config["peers"] = json!([peer_address.to_string()]);
    config["settings"]["limits"]["peers"] = true.into();
    let (daemon, _discovery) = Process::start_serving(&mut config, harness.folder.path()).await;
    harness.daemon = daemon;
    config["listen"] = harness.daemon.address.to_string().into();
    let successor = Process::start(&config, harness.folder.path());
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    harness.daemon.child.kill().expect("the process is killed");
    harness.daemon.child.wait().expect("the old process ends");
    let error = std::net::UdpSocket::bind(peer_address).expect_err("the successor has the address");
    assert_eq!(error.kind(), std::io::ErrorKind::AddrInUse);
}

/// After a successor process has died, the old process serves as before and another successor can take over,
/// also while the scheduler is quiesced.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn after_a_successor_has_died_the_next_one_takes_over() {
    let harness = Harness::start(1).await;
    for _ in 0..2 {
        let mut successor = harness.start_successor();
        assert_eq!(successor.admin_command("health").await, "ok serving\n");
        successor.child.kill().expect("the process is killed");
        // New client connections wait in the shared listener's queue until the old process notices the
        // successor's death.
        assert_eq!(harness.get_readiness().await.status(), "200");
    }
    harness.daemon.admin_command("quiesce").await;
    let second = harness.start_successor();
    assert!(second.admin_command("health").await.starts_with("ok drain"));
    assert_eq!(harness.get_readiness().await.status(), "503");
    second.admin_command("resume").await;
    let third = harness.start_successor();
    // The first process rejects the command, because its lifecycle state is no longer the state of the
    // scheduler.
    assert_eq!(harness.daemon.admin_command("quiesce").await, "fail handed over; ask the successor\n");
    assert_eq!(third.admin_command("health").await, "ok serving\n");
    second.signal("-TERM");
    harness.daemon.signal("-TERM");
    assert_eq!(harness.get_readiness().await.status(), "200");
}

/// The daemon can start regardless of which file exists at the path of its handover socket.
#[rstest]
#[case::nothing(|_: &Path| {})]
#[case::garbage(|path: &Path| std::fs::write(path, "garbage").expect("the write succeeds"))]
#[case::left_by_a_crash(|path: &Path| drop(std::os::unix::net::UnixListener::bind(path).expect("bound")))]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_process_starts_whatever_is_at_the_hand_over_path(#[case] create_file: fn(&Path)) {
    let harness = Harness::start(0).await;
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    create_file(&folder.join(HANDOVER_SOCKET));
    let mut config = daemon_config(harness.discovery.local_addr().unwrap(), json!([]));
    let (first, _discovery) = Process::start_serving(&mut config, folder).await;
    let mut successor_config = config.clone();
    successor_config["listen"] = first.address.to_string().into();
    let successor = Process::start(&successor_config, folder);
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
}

/// A process that connects to the daemon's handover socket does not disturb the daemon if the process is not
/// a successor of the daemon, or if it is a successor that hangs.
#[rstest]
#[case::garbage(b"garbage".to_vec(), "Refused")]
#[case::another_name(hello(VERSION, "n1"), "Refused")]
#[case::another_version(hello(VERSION + 1, "n0"), "Refused")]
#[case::successor_that_hangs(hello(VERSION, "n0"), "Offer")]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_process_that_does_not_take_over_changes_nothing(#[case] sent: Vec<u8>, #[case] expected: &str) {
    let harness = Harness::start(0).await;
    let sent =
        String::from_utf8(sent).expect("valid UTF-8").replace("LISTEN", &harness.daemon.address.to_string());
    let socket = upgrade::socket::HandoverSocket::connect(&harness.folder.path().join(HANDOVER_SOCKET))
        .expect("the daemon listens");
    socket.send(sent.as_bytes(), &[]).await.expect("the send succeeds");
    let mut buffer = vec![0; 65536];
    let received = socket
        .receive(&mut buffer)
        .await
        .expect("a message")
        .expect("a message before the connection closes");
    let message = String::from_utf8_lossy(&buffer[..received.length]).into_owned();
    assert!(message.starts_with(&format!("{{\"{expected}\"")), "{message}");
    assert_eq!(harness.get_readiness().await.status(), "200");
    assert_eq!(harness.start_successor().admin_command("health").await, "ok serving\n");
}

/// Returns the `Hello` message with which a successor process begins a handover. The test replaces `LISTEN`
/// in the message with the daemon's address.
fn hello(version: u32, name: &str) -> Vec<u8> {
    json!({"Hello": {"version": version, "name": name, "listen": "LISTEN"}}).to_string().into_bytes()
}

/// If the daemon can't create its Unix socket for handovers, it still starts, and the next process of the
/// daemon starts beside it at the same address.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn without_a_hand_over_socket_two_processes_share_the_listen_address() {
    let mut harness = Harness::start(0).await;
    let missing_folder = harness.folder.path().join("missing-folder");
    let mut config = daemon_config(harness.discovery.local_addr().unwrap(), json!([]));
    let (first, _discovery) = Process::start_serving(&mut config, &missing_folder).await;
    config["listen"] = first.address.to_string().into();
    let (second, _discovery) = Process::start_serving(&mut config, &missing_folder).await;
    assert_eq!(second.admin_command("health").await, "ok serving\n");
    drop(first);
    harness.daemon = second;
    assert_eq!(harness.get_readiness().await.status(), "200");
}
