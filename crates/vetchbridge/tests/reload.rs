//! Configuration changes by SIGHUP in the daemon as a process: during its start, and at work.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::{json, Value};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::spawn_blocking;
use vetchbridge_testbed::wire::Wire;

/// How far a start has come when the signal arrives.
#[derive(Clone, Copy, PartialEq)]
enum Moment {
    ReadingConfiguration,
    WaitingForAddress,
}

/// A process that is starting; killed when dropped.
struct StartingProcess {
    child: Child,
    log: UnboundedReceiver<String>,
}

impl Drop for StartingProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl StartingProcess {
    fn spawn(command: &mut Command) -> StartingProcess {
        let mut child = {
            let _lock = spawn_lock();
            command.spawn().expect("it starts")
        };
        let lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (sender, log) = unbounded_channel();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(sender.send(line))));
        StartingProcess { child, log }
    }

    async fn wait_for_log(&mut self, event: &str) {
        let mut seen = Vec::new();
        while let Some(line) = self.log.recv().await {
            if line.contains(event) {
                return;
            }
            seen.push(line);
        }
        panic!("it ended before {event}: {seen:?}");
    }
}

/// Puts a file in another's place in one step.
fn replace(path: &Path, text: &str) {
    let fresh = path.with_extension("fresh");
    fs::write(&fresh, text).expect("written");
    fs::rename(fresh, path).expect("replaced");
}

fn run(program: &str, arguments: &[&str]) {
    let started = {
        let _lock = spawn_lock();
        Command::new(program).args(arguments).spawn()
    };
    assert!(started.and_then(|mut child| child.wait()).expect("it runs").success(), "{program}");
}

/// Whoever changes the configuration sends SIGHUP, and can't know that a process is only starting: it must neither end by
/// that, nor keep what it read before.
#[rstest]
#[case::reading_configuration(Moment::ReadingConfiguration)]
#[case::waiting_for_address(Moment::WaitingForAddress)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_sighup_during_the_start_takes_effect_once_the_daemon_listens(#[case] moment: Moment) {
    let bind = || async { TcpListener::bind("127.0.0.1:0").await.expect("a port") };
    let (before, after, other) = (bind().await, bind().await, bind().await);
    let address = |listener: &TcpListener| listener.local_addr().expect("bound");
    let listen: SocketAddr = address(&other);
    let text = |discovery: &TcpListener| {
        let mut config = daemon_config(address(discovery), json!([]));
        config["listen"] = listen.to_string().into();
        config.to_string()
    };
    let folder = tempfile::tempdir().expect("a folder");
    let (mut command, path) = daemon_command(&text(&before));
    command.env("BALANCER_DISCOVERY", address(&before).to_string()).env("TMPDIR", folder.path());
    let mut process = match moment {
        Moment::ReadingConfiguration => {
            // The process reads from a pipe, whose writer is there once it has begun to.
            fs::remove_file(&path).expect("it is there");
            run("mkfifo", &[path.to_str().expect("text")]);
            let process = StartingProcess::spawn(&mut command);
            let pipe = path.clone();
            let opened = spawn_blocking(move || fs::OpenOptions::new().write(true).open(pipe));
            let mut writer = opened.await.expect("no panic").expect("it is opened");
            replace(&path, &text(&after));
            run("kill", &["-HUP", &process.child.id().to_string()]);
            writer.write_all(text(&before).as_bytes()).expect("it reads on");
            process
        }
        Moment::WaitingForAddress => {
            let mut process = StartingProcess::spawn(&mut command);
            process.wait_for_log("address.in_use").await;
            replace(&path, &text(&after));
            run("kill", &["-HUP", &process.child.id().to_string()]);
            process
        }
    };
    drop(other);
    process.wait_for_log("daemon.listening").await;
    process.wait_for_log("configuration.applied").await;
    let mut wire = Wire::new(after.accept().await.expect("a call").0);
    assert_eq!(
        wire.read_target().await,
        "/registry/instances",
        "it follows the discovery service that is named now"
    );
}

/// The settings number zones and machine types, and may renumber them. The endpoint list follows in the same step, also while
/// discovery sends nothing: a job bound to a machine type must not go to the other one.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn renumbered_machine_types_apply_without_an_update_from_discovery() {
    let mut workers = Vec::new();
    for _ in 0..2 {
        workers.push(TcpListener::bind("127.0.0.1:0").await.expect("a port"));
    }
    let listed = |(number, kind): (usize, &str)| {
        let mut instance = instance(number, workers[number].local_addr().expect("bound"), "up");
        instance["machineType"] = kind.into();
        instance
    };
    let known: Vec<_> = ["small", "large"].into_iter().enumerate().map(listed).collect();
    let mut config = daemon_config("127.0.0.1:1".parse().expect("an address"), json!(known));
    config["settings"]["kinds"] = json!(["small", "large"]);
    config["settings"]["specifics"] = json!({"class_kind": [1, -1, -1]});
    let folder = tempfile::tempdir().expect("a folder");
    let (mut daemon, _silent) = Process::start_serving(&mut config, folder.path()).await;
    config["settings"]["kinds"] = json!(["large", "small"]);
    config["settings"]["specifics"] = json!({"class_kind": [0, -1, -1]});
    for round in 0..2 {
        for number in 0..8 {
            let id = format!("{:016x}", 0xab00 + 16 * round + number);
            let mut client = dial(daemon.address).await;
            client.post_request(&format!("/safe/{number}"), &format!("X-Trace-Id: {id}\r\n"), "work").await;
            let (worker, accepted) = tokio::select! {
                accepted = workers[0].accept() => (0, accepted),
                accepted = workers[1].accept() => (1, accepted),
            };
            assert_eq!(worker, 1, "round {round}, job {number}: it is bound to large machines");
            let mut wire = Wire::new(accepted.expect("a connection").0);
            wire.read().await.expect("the job");
            wire.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
            let mut callback = dial(daemon.address).await;
            let body = json!({"id": id, "from": "s-1", "state": "done", "result": "made"}).to_string();
            callback.post_request("/callback", "", &body).await;
            assert_eq!(status(callback.read().await.as_ref()), "200");
            assert_eq!(status(client.read().await.as_ref()), "200");
        }
        replace(&daemon.config_path, &config.to_string());
        daemon.signal("-HUP");
        daemon.wait_for_log("configuration.applied").await;
    }
}

/// SIGHUP moves the watch to the discovery service that the file now names, whatever the environment says. Versions of two
/// services can't be compared: the new one's complete list is fetched first, also under a lower version. A file that can't be
/// used changes nothing, and a job in flight is not affected.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn sighup_switches_to_the_new_discovery_service() {
    let mut harness = Harness::start(1).await;
    let worker_address = harness.workers[0].local_addr().unwrap();
    let mut watch = Wire::new(harness.discovery.accept().await.expect("the watch").0);
    assert!(watch.read_target().await.contains("index=1&"));
    watch.send_endpoints(70, json!([instance(0, worker_address, "up")])).await;
    assert!(watch.read_target().await.contains("index=70&"));
    let (mut client, id) = harness.submit_job("safe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(ACCEPTED).await;

    std::fs::write(&harness.daemon.config_path, "{").expect("written");
    harness.daemon.signal("-HUP");
    for version in [3, 2] {
        let moved = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = moved.local_addr().unwrap();
        let file = daemon_config(address, json!([])).to_string();
        std::fs::write(&harness.daemon.config_path, file).expect("written");
        harness.daemon.signal("-HUP");
        let mut watch = Wire::new(moved.accept().await.expect("the new watch").0);
        assert_eq!(watch.read_target().await, "/registry/instances");
        watch.send_endpoints(version, json!([instance(0, worker_address, "up")])).await;
        assert!(watch.read_target().await.contains(&format!("index={version}&")));
    }

    harness.daemon.signal("-TERM");
    harness.daemon.signal("-HUP");
    harness.send_callback(&id, number, "done").await;
    assert_eq!(status(client.read().await.as_ref()), "200");
    assert!(harness.daemon.child.wait().expect("it ends").success());
}

/// New settings apply at SIGHUP, also where a class has another's number now. An open request keeps the class that it was
/// accepted under, through its retries, also when there is no such class any more.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn new_settings_apply_and_open_requests_keep_their_class() {
    let mut harness = Harness::start(2).await;
    let (mut removed_class, removed_class_id) = harness.submit_job("unsafe", "k").await;
    let (removed_class_worker, mut wire) = harness.accept_worker_connection().await;
    wire.read().await.expect("the job");
    wire.send(ACCEPTED).await;
    let (mut once_safe, once_safe_id) = harness.submit_job("safe", "k").await;
    let (_, mut second) = harness.accept_worker_connection().await;
    second.read().await.expect("the job, at the worker that has none yet");

    let mut other = daemon_config(harness.discovery.local_addr().unwrap(), json!(harness.instances));
    let services = other["settings"]["services"].as_array_mut().expect("classes");
    // safe, unsafe, keyed become keyed, fresh, safe; and safe may not be retried any more.
    services.rotate_right(1);
    services[1] = services[2].clone();
    services[1]["name"] = "fresh".into();
    services[2]["name"] = "safe".into();
    services[2]["repeat"] = "unsafe".into();
    services[0].as_object_mut().expect("a class").remove("window");
    services[0]["repeat"] = "safe".into();
    std::fs::write(&harness.daemon.config_path, other.to_string()).expect("written");
    harness.daemon.signal("-HUP");
    assert!(harness.daemon.wait_for_log("configuration.applied").await.contains("keyed,fresh,safe"));

    let mut gone = dial(harness.daemon.address).await;
    gone.post_request("/unsafe/k", "X-Trace-Id: 00000000000000aa\r\n", "").await;
    assert_eq!(status(gone.read().await.as_ref()), "400", "there is no such class any more");
    // The connection fails before the 202: a job that was accepted as safe is retried, a new one is not.
    drop(second);
    wire.read().await.expect("the job again");
    wire.send(ACCEPTED).await;
    harness.send_callback(&once_safe_id, removed_class_worker, "done").await;
    assert_eq!(status(once_safe.read().await.as_ref()), "200");
    let (mut now_unsafe, _) = harness.submit_job("safe", "k").await;
    let (_, mut second) = harness.accept_worker_connection().await;
    second.read().await.expect("the job");
    drop(second);
    assert_eq!(status(now_unsafe.read().await.as_ref()), "502");
    let (mut fresh, fresh_id) = harness.submit_job("fresh", "k").await;
    wire.read().await.expect("the job, where the other worker has broken off twice");
    wire.send(ACCEPTED).await;
    harness.send_callback(&fresh_id, removed_class_worker, "done").await;
    assert_eq!(status(fresh.read().await.as_ref()), "200");
    harness.send_callback(&removed_class_id, removed_class_worker, "done").await;
    assert_eq!(status(removed_class.read().await.as_ref()), "200");
}

/// A file that can't be used is rejected completely, `discovery` and classes included, and each fault is named.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_invalid_configuration_is_rejected_completely() {
    let mut harness = Harness::start(0).await;
    let mut other = daemon_config(SocketAddr::from(([127, 0, 0, 1], 9)), json!([]));
    other["settings"]["services"][1]["name"] = "fresh".into();
    for (invalid, key) in invalid_configurations(&other) {
        std::fs::write(&harness.daemon.config_path, &invalid).expect("written");
        harness.daemon.signal("-HUP");
        let mut logged = harness.daemon.wait_for_log("configuration.").await;
        while !logged.contains("configuration.unchanged") {
            assert!(!logged.contains("configuration.applied"), "{key}: {invalid}");
            logged += &harness.daemon.wait_for_log("configuration.").await;
        }
        assert!(logged.contains(key), "{key} in {logged} for {invalid}");
    }
    let mut client = dial(harness.daemon.address).await;
    client.post_request("/fresh/k", "X-Trace-Id: 00000000000000aa\r\n", "").await;
    assert_eq!(status(client.read().await.as_ref()), "400");
    // Two faults, two lines.
    let both = with(&other, DEADLINE, json!(0)).replace("\"max_attempts\":2", "\"max_attempts\":0");
    std::fs::write(&harness.daemon.config_path, both).expect("written");
    harness.daemon.signal("-HUP");
    assert!(harness.daemon.wait_for_log("services[2].deadline").await.contains("no number above 0"));
    assert!(harness.daemon.wait_for_log("limits.max_attempts").await.contains("no number above 0"));
}

const DEADLINE: &str = "/settings/services/2/deadline";
const MAX_ATTEMPTS: &str = "/settings/limits/max_attempts";

/// The configuration with another value of a key.
fn with(config: &Value, path: &str, value: Value) -> String {
    let mut invalid = config.clone();
    *invalid.pointer_mut(path).expect("a key") = value;
    invalid.to_string()
}

/// The configuration without a key of an object.
fn without(config: &Value, path: &str, key: &str) -> String {
    let mut invalid = config.clone();
    let object = invalid.pointer_mut(path).and_then(Value::as_object_mut).expect("an object");
    object.remove(key).expect("a key");
    invalid.to_string()
}

/// Texts that are no valid configuration, each with what the log must name.
fn invalid_configurations(valid: &Value) -> Vec<(String, &'static str)> {
    let text = valid.to_string();
    let without = |path: &str, key: &str| without(valid, path, key);
    let mut cases = vec![
        (String::new(), "class"),
        ("{}".to_string(), "settings"),
        (text[..text.len() / 2].to_string(), "not a JSON object"),
        (text[..text.len() - 1].to_string(), "not a JSON object"),
        (text.replace("60000000", "NaN"), "not a JSON object"),
        (text.replace("60000000", "1e999"), "not a JSON object"),
        (without("", "settings"), "settings"),
        (without("", "discovery"), "discovery"),
        (without("", "limits"), "limits"),
        (without("", "admin"), "admin"),
        (without("/settings", "services"), "settings.services"),
        (without("/settings/limits", "dial_timeout"), "settings.limits.dial_timeout"),
        (without("/settings/rules", "cold"), "settings.rules.cold"),
        (without("/settings/services/1", "importance"), "settings.services[1].importance"),
        (without("/settings/services/2", "deadline"), "settings.services[2].deadline"),
        (without("/settings/services/2", "window"), "window"),
    ];
    for value in [json!(0), json!(-1), json!(0.5), json!("5"), json!(null), json!(true), json!([])] {
        cases.push((with(valid, DEADLINE, value.clone()), "settings.services[2].deadline"));
        cases.push((with(valid, MAX_ATTEMPTS, value), "settings.limits.max_attempts"));
    }
    cases.push((with(valid, MAX_ATTEMPTS, json!(1u64 << 32)), "settings.limits.max_attempts"));
    cases
}
