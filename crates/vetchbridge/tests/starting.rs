//! The start of the daemon as a process: what its readiness waits for, and for how long.
#![allow(missing_docs)]

mod common;

use common::*;
use futures_util::FutureExt;
use rstest::rstest;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use vetchbridge_testbed::wire::Wire;

/// The process before this one may still be ending: binding its address is retried.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_start_waits_for_an_address_in_use() {
    let other = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = other.local_addr().expect("bound");
    let folder = tempfile::tempdir().expect("a folder");
    let mut config = daemon_config("127.0.0.1:1".parse().expect("an address"), json!([]));
    config["listen"] = address.to_string().into();
    let (mut command, _) = daemon_command(&config.to_string());
    let mut child = command.env("TMPDIR", folder.path()).spawn().expect("it starts");
    let log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let listens = tokio::task::spawn_blocking(move || {
        let mut log = log.map_while(Result::ok);
        let in_use = log.by_ref().any(|line| line.contains("address.in_use"));
        // Not before the daemon has failed to bind it.
        drop(other);
        in_use && log.any(|line| line.contains("daemon.listening"))
    });
    let listens = listens.await.expect("it is read");
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    assert!(listens, "it retries until it listens");
}

/// A daemon that has just started, with a saved list of these workers, and its discovery, which sends nothing by itself.
async fn start_unconfirmed(delivery: &str, saved: Value) -> (TcpListener, Process, tempfile::TempDir) {
    let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let mut config = daemon_config(discovery.local_addr().expect("bound"), saved);
    config["settings"]["discovery"] = delivery.into();
    let folder = tempfile::tempdir().expect("a folder");
    let daemon = Process::start(&config, folder.path());
    (discovery, daemon, folder)
}

async fn readiness(daemon: &Process) -> String {
    let mut load_balancer = dial(daemon.address).await;
    load_balancer.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    load_balancer.read().await.expect("an answer").status().to_string()
}

/// Sends a job and waits until the daemon has accepted it. Sent twice, it is rejected once: whichever of the two came first
/// is open then, and its connection is returned.
async fn accepted_job(daemon: &Process) -> Wire {
    let headers = format!("X-Trace-Id: {JOB}\r\nX-Qos: safe\r\n");
    let (mut one, mut other) = (dial(daemon.address).await, dial(daemon.address).await);
    one.post_request("/safe/k", &headers, "work").await;
    other.post_request("/safe/k", &headers, "work").await;
    let (answer, open) = tokio::select! {
        answer = one.read() => (answer, other),
        answer = other.read() => (answer, one),
    };
    assert_eq!(status(answer.as_ref()), "409");
    open
}

/// The id of the job in these tests.
const JOB: &str = "00000000000000ab";

async fn worker() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Serves the job at the worker of this number, which must get it next.
async fn serve(daemon: &Process, worker: &TcpListener, number: usize, client: &mut Wire) {
    let mut connection = Wire::new(worker.accept().await.expect("the job's connection").0);
    assert_eq!(connection.read().await.expect("the job").header("x-trace-id"), Some(JOB));
    connection.send(ACCEPTED).await;
    let done = json!({"id": JOB, "from": format!("s-{number}"), "state": "done", "result": "made"});
    let mut callback = dial(daemon.address).await;
    callback.post_request("/callback", "", &done.to_string()).await;
    assert_eq!(status(callback.read().await.as_ref()), "200");
    assert_eq!(status(client.read().await.as_ref()), "200");
}

/// A worker that was removed while no process of this scheduler ran is still in the saved list. The process is not ready before
/// discovery has confirmed the list, and a job that arrives all the same is not sent to a removed worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_worker_removed_before_the_start_gets_no_job(#[values("push", "ask")] delivery: &str) {
    let ((removed, removed_at), (added, added_at)) = (worker().await, worker().await);
    let (discovery, daemon, _folder) =
        start_unconfirmed(delivery, json!([instance(0, removed_at, "up")])).await;
    let mut watch = Wire::new(discovery.accept().await.expect("the first call").0);
    assert_eq!(
        watch.read_target().await,
        "/registry/instances?index=1&wait=0",
        "the first call does not wait for a change"
    );
    let mut client = accepted_job(&daemon).await;
    assert_eq!(readiness(&daemon).await, "503");
    assert!(daemon.admin_command("health").await.starts_with("fail"));
    watch.send_endpoints(2, json!([instance(1, added_at, "up")])).await;
    serve(&daemon, &added, 1, &mut client).await;
    while readiness(&daemon).await != "200" {}
    assert!(removed.accept().now_or_never().is_none(), "the removed worker was dialled");
}

/// Where discovery can't be reached there is no better list than the saved one: after a while the scheduler is ready, and jobs
/// that arrived before are placed by that list.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_list_that_is_not_confirmed_prevents_readiness_only_for_a_while(
    #[values("push", "ask")] delivery: &str,
) {
    let (saved, saved_at) = worker().await;
    let (_discovery, daemon, _folder) =
        start_unconfirmed(delivery, json!([instance(0, saved_at, "up")])).await;
    let mut client = accepted_job(&daemon).await;
    while readiness(&daemon).await != "200" {}
    serve(&daemon, &saved, 0, &mut client).await;
}

/// The list that a successor inherits is confirmed only if its predecessor's was.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_successor_of_a_process_with_an_unconfirmed_list_waits_for_confirmation_too() {
    let (discovery, first, folder) = start_unconfirmed("ask", json!([])).await;
    let mut config = daemon_config(discovery.local_addr().expect("bound"), json!([]));
    config["listen"] = first.address.to_string().into();
    let successor = Process::start(&config, folder.path());
    assert!(successor.admin_command("health").await.starts_with("fail"));
    while successor.admin_command("health").await != "ok serving\n" {}
}

/// An invalid configuration ends the start, and the log names the key.
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
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut config = daemon_config(nowhere, json!([]));
    match config.pointer_mut(path) {
        Some(old) => *old = value,
        None => config[&path[1..]] = value,
    }
    let mut daemon = daemon_command(&config.to_string()).0.spawn().expect("the daemon starts");
    assert!(!daemon.wait().expect("it ends").success());
    let mut log = String::new();
    daemon.stderr.take().expect("piped").read_to_string(&mut log).expect("text");
    assert!(log.contains(&format!(".json: {key}: ")), "{log}");
}
