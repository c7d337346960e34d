//! Tests how a stand-in worker responds to probes, and the load reports in its responses and callbacks.
#![allow(missing_docs)]

mod common;

use common::{TestWorker, ENDLESS_WORK, TEST_TIMEOUT};
use rstest::rstest;
use std::time::Duration;
use vetchbridge_testbed::stats::{Field, StatsSpec};
use vetchbridge_testbed::wire::{HttpConnection, Message};
use vetchbridge_testbed::worker::{JobBehavior, ProbeBehavior, ProbeSpec, WorkerSpec};

/// Returns a configuration of load reports without delay; `in_answers` is whether responses and callbacks
/// that end an attempt carry a load report.
fn load_reports(in_answers: bool) -> StatsSpec {
    let fields = vec![Field::Inflight, Field::Queue, Field::X0];
    StatsSpec { fields, refresh_interval: Duration::ZERO, delay: Duration::ZERO, in_answers }
}

/// Sends a `GET` request and returns the response, or `None` if the connection ends without a response.
async fn get(connection: &mut HttpConnection, target: &str) -> Option<Message> {
    connection
        .write(&format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n"))
        .await
        .expect("the request is sent");
    connection.read().await
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_worker_with_probes_reports_its_load_and_a_worker_without_probes_answers_404() {
    let probes = Some(ProbeSpec { deep: false, work: Duration::ZERO });
    let spec = WorkerSpec { slots: 1, stats: Some(load_reports(false)), probes, ..WorkerSpec::new("s-0") };
    let worker = TestWorker::start(spec).await;
    let mut connection = worker.send(1, "", ENDLESS_WORK).await;
    connection.read().await.expect("an answer");
    assert_eq!(worker.next_state().await, "started");
    let post =
        format!("POST /c/k HTTP/1.1\r\nhost: x\r\nx-trace-id: {:016x}\r\ncontent-length: 0\r\n\r\n", 2);
    connection.write(&post).await.expect("the request is sent");
    connection.read().await.expect("an answer");
    let load = get(&mut connection, "/stats").await.expect("an answer");
    assert_eq!((load.status(), &*load.text()), ("200", r#"{"inflight":2,"queue":1,"x0":0}"#));
    let live = get(&mut connection, "/health/live").await.expect("an answer");
    assert_eq!((live.status(), &*live.text()), ("200", ""));
    assert_eq!((worker.runs.probes(), worker.runs.counts().arrived), (2, 2));

    let worker =
        TestWorker::start(WorkerSpec { stats: Some(load_reports(true)), ..WorkerSpec::new("s-0") }).await;
    worker.worker.script_jobs([JobBehavior::NoResponse]);
    let mut connection = HttpConnection::connect(worker.address()).await.expect("the worker listens");
    for target in ["/stats", "/health/live", "/jobs/1"] {
        let answer = get(&mut connection, target).await.expect("an answer");
        assert_eq!((answer.status(), &*answer.text()), ("404", ""), "{target}");
    }
    assert_eq!(worker.runs.probes(), 0);
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_deep_probe_waits_for_a_slot_and_is_rejected_when_a_job_would_be() {
    let probes = Some(ProbeSpec { deep: true, work: Duration::from_millis(2) });
    let spec = WorkerSpec {
        slots: 1,
        max_queued: 1,
        stats: Some(load_reports(false)),
        probes,
        ..WorkerSpec::new("s-0")
    };
    let worker = TestWorker::start(spec).await;
    let mut running = worker.send(1, "", ENDLESS_WORK).await;
    running.read().await.expect("an answer");
    assert_eq!(worker.next_state().await, "started");
    let mut probe = HttpConnection::connect(worker.address()).await.expect("the worker listens");
    probe.write("GET /stats HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("the request is sent");
    running.write("DELETE /jobs/1 HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("the request is sent");
    assert_eq!(running.read().await.expect("an answer").status(), "200");
    assert_eq!(probe.read().await.expect("the probe is answered once the slot is free").status(), "200");
    worker.send(2, "", ENDLESS_WORK).await.read().await.expect("an answer");
    assert_eq!(worker.next_state().await, "started");
    // The worker has put job 3 into the queue before it reads the next request on the same connection.
    let mut waiting = worker.send(3, "", ENDLESS_WORK).await;
    waiting.read().await.expect("an answer");
    assert_eq!(get(&mut waiting, "/stats").await.expect("a worker without capacity answers").status(), "503");
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_probe_is_delayed_rejected_unanswered_or_reset_as_scripted() {
    let probes = Some(ProbeSpec { deep: false, work: Duration::ZERO });
    let worker = TestWorker::start(WorkerSpec { probes, ..WorkerSpec::new("s-0") }).await;
    let delay = Duration::from_millis(50);
    worker.worker.script_probes([
        ProbeBehavior::Delay(delay),
        ProbeBehavior::Reject,
        ProbeBehavior::NoResponse,
        ProbeBehavior::Reset,
    ]);
    let mut connection = HttpConnection::connect(worker.address()).await.expect("the worker listens");
    let start = std::time::Instant::now();
    assert_eq!(get(&mut connection, "/health/live").await.expect("the late answer").status(), "200");
    assert!(start.elapsed() >= delay);
    assert_eq!(get(&mut connection, "/health/live").await.expect("the rejection").status(), "503");
    connection.write("GET /health/live HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("the request is sent");
    tokio::io::AsyncWriteExt::shutdown(connection.socket()).await.expect("the sending side closes");
    assert!(connection.read().await.is_none(), "the probe was answered");
    let mut connection = HttpConnection::connect(worker.address()).await.expect("the worker listens");
    assert!(get(&mut connection, "/health/live").await.is_none(), "the connection was not reset");
    let mut connection = HttpConnection::connect(worker.address()).await.expect("the worker listens");
    assert_eq!(
        get(&mut connection, "/health/live").await.expect("the answer after the scripted probes").status(),
        "200"
    );
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn answers_and_callbacks_that_end_an_attempt_carry_a_load_report_where_configured() {
    let spec = WorkerSpec {
        slots: 1,
        max_queued: 0,
        reports_start: false,
        stats: Some(load_reports(true)),
        ..WorkerSpec::new("s-0")
    };
    let worker = TestWorker::start(spec).await;
    worker.send(1, "", "").await.read().await.expect("an answer");
    let done: serde_json::Value =
        serde_json::from_slice(&worker.next_callback().await.body).expect("the callback is JSON");
    assert_eq!(done["load"], serde_json::json!({"inflight": 0, "queue": 0, "x0": 1}), "{done}");
    worker.worker.reject_jobs(true);
    let rejected = worker.send(2, "", "").await.read().await.expect("an answer");
    assert_eq!(rejected.header("endpoint-load-metrics"), Some("TEXT inflight=0, queue=0, x0=1"));
    let without_reports =
        TestWorker::start(WorkerSpec { stats: Some(load_reports(false)), ..WorkerSpec::new("s-0") }).await;
    without_reports.worker.reject_jobs(true);
    let rejected = without_reports.send(2, "", "").await.read().await.expect("an answer");
    assert_eq!(rejected.header("endpoint-load-metrics"), None);
}
