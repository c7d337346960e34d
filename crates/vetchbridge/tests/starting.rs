//! The start of the daemon as a process: what the daemon waits for before it is ready for clients, and for
//! how long.
#![allow(missing_docs)]

mod common;

use common::*;
use futures_util::FutureExt;
use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use vetchbridge_testbed::wire::HttpConnection;

/// The previous process of the daemon may still hold the listen address, so the daemon retries to bind the
/// address.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_start_waits_for_an_address_in_use() {
    let address_holder = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = address_holder.local_addr().expect("a bound listener");
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut config = daemon_config("127.0.0.1:1".parse().expect("a valid address"), json!([]));
    config["listen"] = address.to_string().into();
    let (mut command, _) = daemon_command(&config.to_string());
    let mut child = command.env("TMPDIR", folder.path()).spawn().expect("the daemon starts");
    let log = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
    let listens = tokio::task::spawn_blocking(move || {
        let mut log = log.map_while(Result::ok);
        let in_use = log.by_ref().any(|line| line.contains("address.in_use"));
        // The test frees the address only after the daemon has failed to bind it.
        drop(address_holder);
        in_use && log.any(|line| line.contains("daemon.listening"))
    });
    let listens = listens.await.expect("the log is read");
    child.kill().expect("the daemon runs");
    child.wait().expect("the daemon ends");
    assert!(listens, "the daemon retries until it listens");
}

/// Starts a daemon with this saved endpoint list, which discovery has not confirmed. Returns the listener of
/// the daemon's discovery service, which does not answer by itself, the daemon, and the daemon's folder.
async fn start_unconfirmed(delivery: &str, saved: Value) -> (TcpListener, Process, tempfile::TempDir) {
    let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut config = daemon_config(discovery.local_addr().expect("a bound listener"), saved);
    config["settings"]["discovery"] = delivery.into();
    let folder = tempfile::tempdir().expect("a temporary folder");
    let daemon = Process::start(&config, folder.path());
    (discovery, daemon, folder)
}

/// Returns the status code of the daemon's response to a readiness check.
async fn readiness(daemon: &Process) -> String {
    let mut load_balancer = dial(daemon.address).await;
    load_balancer.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    load_balancer.read().await.expect("an answer").status().to_string()
}

/// Submits a job and waits until the daemon has accepted it. The job is sent on two connections: the daemon
/// accepts one copy and rejects the other as a duplicate, which shows that the job is open. Returns the
/// connection of the accepted job.
async fn submit_accepted_job(daemon: &Process) -> HttpConnection {
    let headers = format!("X-Trace-Id: {JOB_ID}\r\nX-Qos: safe\r\n");
    let (mut first, mut second) = (dial(daemon.address).await, dial(daemon.address).await);
    first.post_request("/safe/k", &headers, "work").await;
    second.post_request("/safe/k", &headers, "work").await;
    let (duplicate_answer, accepted) = tokio::select! {
        answer = first.read() => (answer, second),
        answer = second.read() => (answer, first),
    };
    assert_eq!(status(duplicate_answer.as_ref()), "409");
    accepted
}

/// The request id of the job that these tests submit.
const JOB_ID: &str = "00000000000000ab";

async fn bind_worker() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    (listener, address)
}

/// Accepts the next connection to `worker`, checks that it carries the job, and completes the job. `number`
/// is the worker's number in the endpoint list.
async fn serve(daemon: &Process, worker: &TcpListener, number: usize, client: &mut HttpConnection) {
    let mut connection = HttpConnection::new(worker.accept().await.expect("the job's connection").0);
    assert_eq!(connection.read().await.expect("the job").header("x-trace-id"), Some(JOB_ID));
    connection.send(ACCEPTED).await;
    let done = json!({"id": JOB_ID, "from": format!("s-{number}"), "state": "done", "result": "made"});
    let mut callback = dial(daemon.address).await;
    callback.post_request("/callback", "", &done.to_string()).await;
    assert_eq!(status(callback.read().await.as_ref()), "200");
    assert_eq!(status(client.read().await.as_ref()), "200");
}

/// The saved endpoint list still has a worker that was removed while no process of this scheduler ran. The
/// new process must not be ready before discovery has confirmed the list, and must not send a job that
/// arrives before the confirmation to the removed worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_worker_removed_before_the_start_gets_no_job(#[values("push", "ask")] delivery: &str) {
    let ((removed, removed_address), (added, added_address)) = (bind_worker().await, bind_worker().await);
    let (discovery, daemon, _folder) =
        start_unconfirmed(delivery, json!([instance(0, removed_address, "up")])).await;
    let mut watch = HttpConnection::new(discovery.accept().await.expect("the first call").0);
    assert_eq!(
        watch.read_target().await,
        "/registry/instances?index=1&wait=0",
        "the first call does not wait for a change"
    );
    let mut client = submit_accepted_job(&daemon).await;
    assert_eq!(readiness(&daemon).await, "503");
    assert!(daemon.admin_command("health").await.starts_with("fail"));
    watch.send_endpoints(2, json!([instance(1, added_address, "up")])).await;
    serve(&daemon, &added, 1, &mut client).await;
    while readiness(&daemon).await != "200" {}
    assert!(removed.accept().now_or_never().is_none(), "the removed worker was dialled");
}

/// If discovery can't be reached, the saved endpoint list is the best available list. After a time limit the
/// scheduler must be ready and must choose workers for waiting jobs from the saved list.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_unconfirmed_list_prevents_readiness_only_for_a_limited_time(
    #[values("push", "ask")] delivery: &str,
) {
    let (saved, saved_address) = bind_worker().await;
    let (_discovery, daemon, _folder) =
        start_unconfirmed(delivery, json!([instance(0, saved_address, "up")])).await;
    let mut client = submit_accepted_job(&daemon).await;
    while readiness(&daemon).await != "200" {}
    serve(&daemon, &saved, 0, &mut client).await;
}

/// The endpoint list that a successor process inherits counts as confirmed by discovery only if the
/// predecessor's list was confirmed.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_successor_of_a_process_with_an_unconfirmed_list_waits_for_confirmation_too() {
    let (discovery, first, folder) = start_unconfirmed("ask", json!([])).await;
    let mut config = daemon_config(discovery.local_addr().expect("a bound listener"), json!([]));
    config["listen"] = first.address.to_string().into();
    let successor = Process::start(&config, folder.path());
    assert!(successor.admin_command("health").await.starts_with("fail"));
    while successor.admin_command("health").await != "ok serving\n" {}
}

/// If its configuration is invalid, the daemon exits with an error, and the log names the invalid key.
#[rstest]
#[case::listen("/listen", json!("nowhere"), "listen")]
#[case::seed("/seed", json!("seed"), "seed")]
#[case::sockets("/limits", json!({"sockets": "many"}), "limits.sockets")]
#[case::known("/known", json!({"generation": 1}), "known")]
#[case::settings("/settings", json!([]), "settings")]
#[case::attempts("/settings/limits/max_attempts", json!(0), "settings.limits.max_attempts")]
#[case::window("/settings/rules/cold", json!("late"), "settings.rules.cold")]
#[case::class("/settings/services/0/name", Value::Null, "settings.services[].name")]
fn an_invalid_key_is_named(#[case] path: &str, #[case] value: Value, #[case] key: &str) {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut config = daemon_config(unused_address, json!([]));
    match config.pointer_mut(path) {
        Some(old) => *old = value,
        None => config[&path[1..]] = value,
    }
    let mut daemon = daemon_command(&config.to_string()).0.spawn().expect("the daemon starts");
    assert!(!daemon.wait().expect("the daemon ends").success());
    let mut log = String::new();
    daemon.stderr.take().expect("stderr is piped").read_to_string(&mut log).expect("UTF-8 text");
    assert!(log.contains(&format!(".json: {key}: ")), "{log}");
}
