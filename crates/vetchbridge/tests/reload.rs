//! Reloads of the daemon's configuration by SIGHUP, while the daemon starts and while it serves.
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
use vetchbridge_testbed::wire::HttpConnection;

/// What the starting daemon does when SIGHUP arrives.
#[derive(Clone, Copy, PartialEq)]
enum StartPhase {
    ReadingConfiguration,
    WaitingForAddress,
}

/// A daemon process that is starting. Dropping the value kills the process.
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
            command.spawn().expect("the daemon starts")
        };
        let lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
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
        panic!("the process ended before it logged {event}: {seen:?}");
    }
}

/// Replaces the contents of a file atomically, by renaming another file.
fn replace_file(path: &Path, text: &str) {
    let temporary = path.with_extension("fresh");
    fs::write(&temporary, text).expect("the write succeeds");
    fs::rename(temporary, path).expect("the rename succeeds");
}

fn run(program: &str, arguments: &[&str]) {
    let started = {
        let _lock = spawn_lock();
        Command::new(program).args(arguments).spawn()
    };
    assert!(started.and_then(|mut child| child.wait()).expect("the program runs").success(), "{program}");
}

/// An operator may change the configuration and send SIGHUP while the daemon is still starting. SIGHUP must
/// not end the process, and the process must not keep the configuration that it read before SIGHUP.
#[rstest]
#[case::reading_configuration(StartPhase::ReadingConfiguration)]
#[case::waiting_for_address(StartPhase::WaitingForAddress)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_sighup_during_the_start_takes_effect_once_the_daemon_listens(#[case] phase: StartPhase) {
    let bind = || async { TcpListener::bind("127.0.0.1:0").await.expect("a free port") };
    let (old_discovery, new_discovery, address_holder) = (bind().await, bind().await, bind().await);
    let address = |listener: &TcpListener| listener.local_addr().expect("a bound listener");
    let listen: SocketAddr = address(&address_holder);
    let config_text = |discovery: &TcpListener| {
        let mut config = daemon_config(address(discovery), json!([]));
        config["listen"] = listen.to_string().into();
        config.to_string()
    };
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut command, path) = daemon_command(&config_text(&old_discovery));
    command.env("BALANCER_DISCOVERY", address(&old_discovery).to_string()).env("TMPDIR", folder.path());
    let mut process = match phase {
        StartPhase::ReadingConfiguration => {
            // The configuration file is a named pipe. Opening the pipe's write end succeeds once the daemon
            // has opened the pipe to read its configuration.
            fs::remove_file(&path).expect("the file exists");
            run("mkfifo", &[path.to_str().expect("a UTF-8 path")]);
            let process = StartingProcess::spawn(&mut command);
            let pipe = path.clone();
            let opened = spawn_blocking(move || fs::OpenOptions::new().write(true).open(pipe));
            let mut writer = opened.await.expect("the task does not panic").expect("the pipe opens");
            replace_file(&path, &config_text(&new_discovery));
            run("kill", &["-HUP", &process.child.id().to_string()]);
            writer.write_all(config_text(&old_discovery).as_bytes()).expect("the process reads the pipe");
            process
        }
        StartPhase::WaitingForAddress => {
            let mut process = StartingProcess::spawn(&mut command);
            process.wait_for_log("address.in_use").await;
            replace_file(&path, &config_text(&new_discovery));
            run("kill", &["-HUP", &process.child.id().to_string()]);
            process
        }
    };
    drop(address_holder);
    process.wait_for_log("daemon.listening").await;
    process.wait_for_log("configuration.applied").await;
    let mut connection = HttpConnection::new(new_discovery.accept().await.expect("a call to discovery").0);
    assert_eq!(
        connection.read_target().await,
        "/registry/instances",
        "the daemon calls the discovery service of the new configuration"
    );
}

/// The settings refer to zones and machine types by index, and a reload may change the indices. The reload
/// must convert the endpoint list in the same step, even if discovery sends no update. Otherwise a job that
/// may run on only one machine type would be sent to a worker of the other machine type.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn renumbered_machine_types_apply_without_an_update_from_discovery() {
    let mut workers = Vec::new();
    for _ in 0..2 {
        workers.push(TcpListener::bind("127.0.0.1:0").await.expect("a free port"));
    }
    let entry = |(number, kind): (usize, &str)| {
        let mut instance = instance(number, workers[number].local_addr().expect("a bound listener"), "up");
        instance["machineType"] = kind.into();
        instance
    };
    let endpoints: Vec<_> = ["small", "large"].into_iter().enumerate().map(entry).collect();
    let mut config = daemon_config("127.0.0.1:1".parse().expect("a valid address"), json!(endpoints));
    config["settings"]["kinds"] = json!(["small", "large"]);
    config["settings"]["specifics"] = json!({"class_kind": [1, -1, -1]});
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut daemon, _discovery) = Process::start_serving(&mut config, folder.path()).await;
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
            assert_eq!(worker, 1, "round {round}, job {number}: the job is bound to large machines");
            let mut connection = HttpConnection::new(accepted.expect("a connection").0);
            connection.read().await.expect("the job");
            connection.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
            let mut callback = dial(daemon.address).await;
            let body = json!({"id": id, "from": "s-1", "state": "done", "result": "made"}).to_string();
            callback.post_request("/callback", "", &body).await;
            assert_eq!(status(callback.read().await.as_ref()), "200");
            assert_eq!(status(client.read().await.as_ref()), "200");
        }
        replace_file(&daemon.config_path, &config.to_string());
        daemon.signal("-HUP");
        daemon.wait_for_log("configuration.applied").await;
    }
}

/// After SIGHUP the daemon watches the discovery service that its configuration file names, whatever the
/// environment variables say. Generations of two discovery services can't be compared, so the daemon first
/// fetches the new service's complete endpoint list and accepts it even with a lower generation. An invalid
/// configuration file changes nothing, and a job in flight is not affected.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn sighup_switches_to_the_new_discovery_service() {
    let mut harness = Harness::start(1).await;
    let worker_address = harness.workers[0].local_addr().unwrap();
    let mut watch = HttpConnection::new(harness.discovery.accept().await.expect("the watch").0);
    assert!(watch.read_target().await.contains("index=1&"));
    watch.send_endpoints(70, json!([instance(0, worker_address, "up")])).await;
    assert!(watch.read_target().await.contains("index=70&"));
    let (mut client, id) = harness.submit_job("safe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(ACCEPTED).await;

    std::fs::write(&harness.daemon.config_path, "{").expect("the write succeeds");
    harness.daemon.signal("-HUP");
    for generation in [3, 2] {
        let new_service = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = new_service.local_addr().unwrap();
        let file = daemon_config(address, json!([])).to_string();
        std::fs::write(&harness.daemon.config_path, file).expect("the write succeeds");
        harness.daemon.signal("-HUP");
        let mut watch = HttpConnection::new(new_service.accept().await.expect("the new watch").0);
        assert_eq!(watch.read_target().await, "/registry/instances");
        watch.send_endpoints(generation, json!([instance(0, worker_address, "up")])).await;
        assert!(watch.read_target().await.contains(&format!("index={generation}&")));
    }

    harness.daemon.signal("-TERM");
    harness.daemon.signal("-HUP");
    harness.send_callback(&id, number, "done").await;
    assert_eq!(status(client.read().await.as_ref()), "200");
    assert!(harness.daemon.child.wait().expect("the daemon ends").success());
}

/// New settings apply at SIGHUP, even if they give the classes other numbers. An open request keeps the class
/// under which it was accepted, including in its retries, even if the new settings no longer have this class.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn new_settings_apply_and_open_requests_keep_their_class() {
    let mut harness = Harness::start(2).await;
    let (mut unsafe_client, unsafe_id) = harness.submit_job("unsafe", "k").await;
    let (first_worker, mut connection) = harness.accept_worker_connection().await;
    connection.read().await.expect("the job");
    connection.send(ACCEPTED).await;
    let (mut safe_client, safe_id) = harness.submit_job("safe", "k").await;
    let (_, mut second_connection) = harness.accept_worker_connection().await;
    second_connection.read().await.expect("the job, at the idle worker");

    let mut new_config = daemon_config(harness.discovery.local_addr().unwrap(), json!(harness.instances));
    let services = new_config["settings"]["services"].as_array_mut().expect("a list of classes");
    // The classes safe, unsafe, keyed become keyed, fresh, safe. Jobs of the new class safe may not be
    // retried.
    services.rotate_right(1);
    services[1] = services[2].clone();
    services[1]["name"] = "fresh".into();
    services[2]["name"] = "safe".into();
    services[2]["repeat"] = "unsafe".into();
    services[0].as_object_mut().expect("a class object").remove("window");
    services[0]["repeat"] = "safe".into();
    std::fs::write(&harness.daemon.config_path, new_config.to_string()).expect("the write succeeds");
    harness.daemon.signal("-HUP");
    assert!(harness.daemon.wait_for_log("configuration.applied").await.contains("keyed,fresh,safe"));

    let mut late_unsafe_client = dial(harness.daemon.address).await;
    late_unsafe_client.post_request("/unsafe/k", "X-Trace-Id: 00000000000000aa\r\n", "").await;
    assert_eq!(status(late_unsafe_client.read().await.as_ref()), "400", "the class no longer exists");
    // The worker's connection fails before a 202 response. The job that was accepted when class safe allowed
    // retries is retried; a job of the new class safe is not.
    drop(second_connection);
    connection.read().await.expect("the retried job");
    connection.send(ACCEPTED).await;
    harness.send_callback(&safe_id, first_worker, "done").await;
    assert_eq!(status(safe_client.read().await.as_ref()), "200");
    let (mut new_safe_client, _) = harness.submit_job("safe", "k").await;
    let (_, mut second_connection) = harness.accept_worker_connection().await;
    second_connection.read().await.expect("the job");
    drop(second_connection);
    assert_eq!(status(new_safe_client.read().await.as_ref()), "502");
    let (mut fresh_client, fresh_id) = harness.submit_job("fresh", "k").await;
    connection.read().await.expect("the job, since the other worker has failed twice");
    connection.send(ACCEPTED).await;
    harness.send_callback(&fresh_id, first_worker, "done").await;
    assert_eq!(status(fresh_client.read().await.as_ref()), "200");
    harness.send_callback(&unsafe_id, first_worker, "done").await;
    assert_eq!(status(unsafe_client.read().await.as_ref()), "200");
}

/// An invalid configuration file is rejected as a whole, including its valid `discovery` address and classes,
/// and the log names each fault.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_invalid_configuration_is_rejected_completely() {
    let mut harness = Harness::start(0).await;
    let mut new_config = daemon_config(SocketAddr::from(([127, 0, 0, 1], 9)), json!([]));
    new_config["settings"]["services"][1]["name"] = "fresh".into();
    for (invalid, key) in invalid_configurations(&new_config) {
        std::fs::write(&harness.daemon.config_path, &invalid).expect("the write succeeds");
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
    // A configuration file with two faults causes two log lines.
    let two_faults =
        with_value(&new_config, DEADLINE, json!(0)).replace("\"max_attempts\":2", "\"max_attempts\":0");
    std::fs::write(&harness.daemon.config_path, two_faults).expect("the write succeeds");
    harness.daemon.signal("-HUP");
    assert!(harness.daemon.wait_for_log("services[2].deadline").await.contains("expected a number above 0"));
    assert!(harness.daemon.wait_for_log("limits.max_attempts").await.contains("expected a number above 0"));
}

/// Guards against a keyed job that runs twice: a class that was added without a deduplication scope, which only
/// keyed classes have, must not let a later file without the scope of a keyed class pass.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_keyed_class_without_a_scope_is_rejected_beside_a_class_that_needs_none() {
    let mut harness = Harness::start(0).await;
    let mut config = daemon_config(harness.discovery.local_addr().unwrap(), json!([]));
    let services = config["settings"]["services"].as_array_mut().expect("a list of classes");
    let mut added = services[0].clone();
    added["name"] = "added".into();
    for key in ["group", "window"] {
        added.as_object_mut().expect("a class object").remove(key).expect("the class has the key");
    }
    services.push(added);
    replace_file(&harness.daemon.config_path, &config.to_string());
    harness.daemon.signal("-HUP");
    assert!(harness.daemon.wait_for_log("configuration.applied").await.contains("added"));
    let incomplete = without_key(&config, "/settings/services/2", "group");
    replace_file(&harness.daemon.config_path, &incomplete);
    harness.daemon.signal("-HUP");
    let logged = harness.daemon.wait_for_log("configuration.").await;
    assert!(logged.contains("configuration.invalid") && logged.contains("services[].group"), "{logged}");
    harness.daemon.wait_for_log("configuration.unchanged").await;
}

/// Guards against a key that a new file lacks unnoticed, so that its default applies: the entries of the
/// classes are compared by name, although another class in force has no such key.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_class_keeps_each_of_its_keys_although_another_class_lacks_it() {
    let mut config = daemon_config("127.0.0.1:1".parse().expect("a valid address"), json!([]));
    let first = config["settings"]["services"][0].as_object_mut().expect("a class object");
    first.remove("late_share").expect("the class has the key");
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut daemon, _discovery) = Process::start_serving(&mut config, folder.path()).await;
    replace_file(&daemon.config_path, &without_key(&config, "/settings/services/2", "late_share"));
    daemon.signal("-HUP");
    let logged = daemon.wait_for_log("configuration.").await;
    assert!(logged.contains("configuration.invalid"), "{logged}");
    assert!(logged.contains("settings.services[2].late_share: missing"), "{logged}");
    daemon.wait_for_log("configuration.unchanged").await;
}

const DEADLINE: &str = "/settings/services/2/deadline";
const MAX_ATTEMPTS: &str = "/settings/limits/max_attempts";

/// Returns the text of the configuration with the value at `path` replaced.
fn with_value(config: &Value, path: &str, value: Value) -> String {
    let mut invalid = config.clone();
    *invalid.pointer_mut(path).expect("the configuration has the key") = value;
    invalid.to_string()
}

/// Returns the text of the configuration without `key` of the object at `path`.
fn without_key(config: &Value, path: &str, key: &str) -> String {
    let mut invalid = config.clone();
    let object = invalid.pointer_mut(path).and_then(Value::as_object_mut).expect("an object");
    object.remove(key).expect("the configuration has the key");
    invalid.to_string()
}

/// Guards against a check of a new file that is too strict: a list that is empty in force may be filled.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_list_that_is_empty_in_force_may_be_filled() {
    let mut config = daemon_config("127.0.0.1:1".parse().expect("a valid address"), json!([]));
    config["settings"]["stats"] = json!({"via": "off", "fields": []});
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (mut daemon, _discovery) = Process::start_serving(&mut config, folder.path()).await;
    config["settings"]["stats"] = json!({"via": "inline", "fields": ["queue"]});
    replace_file(&daemon.config_path, &config.to_string());
    daemon.signal("-HUP");
    let logged = daemon.wait_for_log("configuration.").await;
    assert!(logged.contains("configuration.applied"), "{logged}");
}

/// Returns invalid configuration texts, each with the key or fault that the log must name.
fn invalid_configurations(valid: &Value) -> Vec<(String, &'static str)> {
    let text = valid.to_string();
    let without_key = |path: &str, key: &str| without_key(valid, path, key);
    let mut cases = vec![
        (String::new(), "class"),
        ("{}".to_string(), "settings"),
        (text[..text.len() / 2].to_string(), "not a JSON object"),
        (text[..text.len() - 1].to_string(), "not a JSON object"),
        (text.replace("60000000", "NaN"), "not a JSON object"),
        (text.replace("60000000", "1e999"), "not a JSON object"),
        (without_key("", "settings"), "settings"),
        (without_key("", "discovery"), "discovery"),
        (without_key("", "limits"), "limits"),
        (without_key("", "admin"), "admin"),
        (without_key("", "known"), "known"),
        (without_key("/settings", "services"), "settings.services"),
        (without_key("/settings/limits", "dial_timeout"), "settings.limits.dial_timeout"),
        (without_key("/settings/rules", "cold"), "settings.rules.cold"),
        (without_key("/settings/services/1", "importance"), "settings.services[1].importance"),
        (without_key("/settings/services/2", "deadline"), "settings.services[2].deadline"),
        (without_key("/settings/services/2", "window"), "window"),
        (without_key("/settings/services/2", "group"), "group"),
        (with_value(valid, "/settings/areas", json!(null)), "settings.areas"),
    ];
    for value in [json!(0), json!(-1), json!(0.5), json!("5"), json!(null), json!(true), json!([])] {
        cases.push((with_value(valid, DEADLINE, value.clone()), "settings.services[2].deadline"));
        cases.push((with_value(valid, MAX_ATTEMPTS, value), "settings.limits.max_attempts"));
    }
    cases.push((with_value(valid, MAX_ATTEMPTS, json!(1u64 << 32)), "settings.limits.max_attempts"));
    cases
}
