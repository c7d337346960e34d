//! A worker's probes, and its load reports in answers and callbacks.
#![allow(missing_docs)]

mod common;

use common::{TestWorker, ENDLESS_WORK, HANG};
use rstest::rstest;
use std::time::Duration;
use vetchbridge_testbed::stats::{Field, StatsSpec};
use vetchbridge_testbed::wire::{Message, Wire};
use vetchbridge_testbed::worker::{JobBehavior, ProbeBehavior, ProbeSpec, WorkerSpec};

fn load_reports(in_answers: bool) -> StatsSpec {
    let fields = vec![Field::Inflight, Field::Queue, Field::X0];
    StatsSpec { fields, refresh_interval: Duration::ZERO, delay: Duration::ZERO, in_answers }
}

async fn get(wire: &mut Wire, target: &str) -> Option<Message> {
    wire.write(&format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n")).await.expect("sent");
    wire.read().await
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_worker_with_probes_reports_its_load_and_one_without_answers_404() {
    let probes = Some(ProbeSpec { deep: false, work: Duration::ZERO });
    let spec = WorkerSpec { slots: 1, stats: Some(load_reports(false)), probes, ..WorkerSpec::new("s-0") };
    let worker = TestWorker::start(spec).await;
    let mut wire = worker.send(1, "", ENDLESS_WORK).await;
    wire.read().await.expect("an answer");
    assert_eq!(worker.next_state().await, "started");
    let post =
        format!("POST /c/k HTTP/1.1\r\nhost: x\r\nx-trace-id: {:016x}\r\ncontent-length: 0\r\n\r\n", 2);
    wire.write(&post).await.expect("sent");
    wire.read().await.expect("an answer");
    let load = get(&mut wire, "/stats").await.expect("an answer");
    assert_eq!((load.status(), &*load.text()), ("200", r#"{"inflight":2,"queue":1,"x0":0}"#));
    let live = get(&mut wire, "/health/live").await.expect("an answer");
    assert_eq!((live.status(), &*live.text()), ("200", ""));
    assert_eq!((worker.runs.probes(), worker.runs.counts().arrived), (2, 2));

    let worker =
        TestWorker::start(WorkerSpec { stats: Some(load_reports(true)), ..WorkerSpec::new("s-0") }).await;
    worker.worker.script_jobs([JobBehavior::NoResponse]);
    let mut wire = Wire::dial(worker.address()).await.expect("it listens");
    for target in ["/stats", "/health/live", "/jobs/1"] {
        let answer = get(&mut wire, target).await.expect("an answer");
        assert_eq!((answer.status(), &*answer.text()), ("404", ""), "{target}");
    }
    assert_eq!(worker.runs.probes(), 0);
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_deep_probe_queues_and_is_rejected_where_a_job_would_be() {
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
    let mut probe = Wire::dial(worker.address()).await.expect("it listens");
    probe.write("GET /stats HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    running.write("DELETE /jobs/1 HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    assert_eq!(running.read().await.expect("an answer").status(), "200");
    assert_eq!(probe.read().await.expect("once the slot is free").status(), "200");
    worker.send(2, "", ENDLESS_WORK).await.read().await.expect("an answer");
    assert_eq!(worker.next_state().await, "started");
    // The connection's next message is read once the job is in the queue.
    let mut waiting = worker.send(3, "", ENDLESS_WORK).await;
    waiting.read().await.expect("an answer");
    assert_eq!(get(&mut waiting, "/stats").await.expect("no capacity").status(), "503");
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_probe_is_delayed_rejected_unanswered_or_reset_as_scripted() {
    let probes = Some(ProbeSpec { deep: false, work: Duration::ZERO });
    let worker = TestWorker::start(WorkerSpec { probes, ..WorkerSpec::new("s-0") }).await;
    let late = Duration::from_millis(50);
    worker.worker.script_probes([
        ProbeBehavior::Delay(late),
        ProbeBehavior::Reject,
        ProbeBehavior::NoResponse,
        ProbeBehavior::Reset,
    ]);
    let mut wire = Wire::dial(worker.address()).await.expect("it listens");
    let began = std::time::Instant::now();
    assert_eq!(get(&mut wire, "/health/live").await.expect("late").status(), "200");
    assert!(began.elapsed() >= late);
    assert_eq!(get(&mut wire, "/health/live").await.expect("rejected").status(), "503");
    wire.write("GET /health/live HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("sent");
    tokio::io::AsyncWriteExt::shutdown(wire.socket()).await.expect("closed");
    assert!(wire.read().await.is_none(), "unanswered");
    let mut wire = Wire::dial(worker.address()).await.expect("it listens");
    assert!(get(&mut wire, "/health/live").await.is_none(), "reset");
    let mut wire = Wire::dial(worker.address()).await.expect("it listens");
    assert_eq!(get(&mut wire, "/health/live").await.expect("as configured").status(), "200");
}

#[rstest]
#[timeout(HANG)]
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
    let done: serde_json::Value = serde_json::from_slice(&worker.next_callback().await.body).expect("JSON");
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
