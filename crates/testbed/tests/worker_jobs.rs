//! Tests how a stand-in worker handles jobs: execution, callbacks, rejections, scripted misbehavior and the
//! death of the worker.
#![allow(missing_docs)]

mod common;

use common::{TestWorker, ENDLESS_WORK, TEST_TIMEOUT};
use rstest::rstest;
use std::time::Duration;
use vetchbridge_testbed::runs::{run_result, RunEnd};
use vetchbridge_testbed::wire::{HttpConnection, Message};
use vetchbridge_testbed::worker::{JobBehavior, WorkerSpec};

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_worker_runs_a_job_and_retries_its_callbacks_until_they_are_answered() {
    let worker = TestWorker::start(WorkerSpec::new("s-0")).await;
    let mut connection = worker.send(0xab, "", "").await;
    assert_eq!(connection.read().await.expect("an answer").status(), "202");
    // The worker's first attempt to send the callback receives no response.
    drop(worker.accept_callback().await);
    assert_eq!(worker.next_state().await, "started");
    let done: serde_json::Value =
        serde_json::from_slice(&worker.next_callback().await.body).expect("the callback is JSON");
    assert_eq!(
        (done["state"].as_str(), done["result"].as_str()),
        (Some("done"), Some(&*run_result(0xab, 0)))
    );
    assert_eq!(worker.runs.all()[0].end, RunEnd::Finished);
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_rejecting_or_draining_worker_accepts_no_job_and_a_draining_worker_returns_waiting_jobs() {
    let spec = WorkerSpec {
        slots: 1,
        reports_start: false,
        progress_interval: Duration::ZERO,
        ..WorkerSpec::new("s-0")
    };
    let worker = TestWorker::start(spec).await;
    let expect_rejected = async |id| {
        let answer = worker.send(id, "", "").await.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("x-never-ran")), ("503", Some("1")));
    };
    worker.worker.reject_jobs(true);
    expect_rejected(1).await;
    worker.worker.reject_jobs(false);
    for (id, work) in [(2, ENDLESS_WORK), (3, "")] {
        assert_eq!(worker.send(id, "", work).await.read().await.expect("an answer").status(), "202");
    }
    worker.worker.drain();
    // This is the worker's first callback: the running job continues, and this worker does not report starts.
    assert_eq!(worker.next_state().await, "returned");
    expect_rejected(4).await;
}

/// A job must end even if the last step of its work is shorter than the resolution of the clock.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn work_of_any_length_finishes() {
    let worker = TestWorker::start(WorkerSpec { speed: 1.7, ..WorkerSpec::new("s-0") }).await;
    for work_us in [1, 333, 50_001, 100_003] {
        worker.send(work_us, "", &format!("work_us={work_us}")).await.read().await.expect("an answer");
        assert_eq!(
            (worker.next_state().await.as_str(), worker.next_state().await.as_str()),
            ("started", "done")
        );
    }
}

#[rstest]
#[case::reject(JobBehavior::Answer { status: 503, never_ran: true }, Some("503"), &[])]
#[case::no_response(JobBehavior::NoResponse, None, &[])]
#[case::reset_in_body(JobBehavior::ResetInBody, None, &[])]
#[case::reset_before_answer(JobBehavior::ResetBeforeAnswer, None, &[])]
#[case::half_an_answer(JobBehavior::HalfAnswer, None, &[])]
#[case::lose(JobBehavior::Lose, Some("202"), &["started", "lost"])]
#[case::fail(JobBehavior::Fail, Some("202"), &["started", "failed"])]
#[case::return_unstarted(JobBehavior::ReturnUnstarted, Some("202"), &["returned"])]
#[case::no_callback(JobBehavior::NoCallback, Some("202"), &[])]
#[case::byte_by_byte(JobBehavior::ByteByByte, Some("202"), &["started", "done"])]
#[case::repeated_callback(JobBehavior::RepeatCallback(3), Some("202"), &["started", "done", "done", "done"])]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_worker_misbehaves_as_scripted_for_one_job(
    #[case] behavior: JobBehavior,
    #[case] answer: Option<&str>,
    #[case] states: &[&str],
) {
    let worker = TestWorker::start(WorkerSpec::new("s-0")).await;
    let receives_no_response = behavior == JobBehavior::NoResponse;
    worker.worker.script_jobs([behavior]);
    let mut connection = worker.send(1, "", "").await;
    if receives_no_response {
        tokio::io::AsyncWriteExt::shutdown(connection.socket()).await.expect("the sending side closes");
    }
    assert_eq!(connection.read().await.as_ref().map(Message::status), answer);
    for state in states {
        assert_eq!(worker.next_state().await, *state);
    }
    let mut connection = worker.send(2, "", "").await;
    assert_eq!(connection.read().await.expect("the next job is served").status(), "202");
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_full_worker_rejects_jobs_without_running_them_and_a_keyed_job_finishes_once() {
    let worker = TestWorker::start(WorkerSpec {
        slots: 1,
        max_queued: 1,
        progress_interval: Duration::ZERO,
        ..WorkerSpec::new("s-0")
    })
    .await;
    let key = "idempotency-key: k\r\n";
    let mut running = worker.send(1, key, ENDLESS_WORK).await;
    assert_eq!(running.read().await.expect("an answer").status(), "202");
    assert_eq!(worker.next_state().await, "started");
    let mut waiting = worker.send(2, key, "").await;
    assert_eq!(waiting.read().await.expect("an answer").status(), "202");
    let rejected = worker.send(3, "", "").await.read().await.expect("an answer");
    assert_eq!((rejected.status(), rejected.header("x-never-ran")), ("503", Some("1")));
    running.write("DELETE /jobs/0000000000000001 HTTP/1.1\r\n\r\n").await.expect("the request is sent");
    assert_eq!(running.read().await.expect("an answer").status(), "200");
    // The run of the first job with the key was cancelled, so the waiting job with the same key runs.
    assert_eq!(worker.next_state().await, "started");
    assert_eq!(worker.next_state().await, "done");
    worker.send(4, key, "").await.read().await.expect("an answer");
    assert_eq!(worker.next_state().await, "done");
    assert_eq!(
        worker.runs.all().iter().map(|run| run.end).collect::<Vec<_>>(),
        [RunEnd::Cancelled, RunEnd::Finished]
    );
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_killed_worker_resets_connections_refuses_new_ones_and_restarts_at_its_port() {
    let worker =
        TestWorker::start(WorkerSpec { progress_interval: Duration::ZERO, ..WorkerSpec::new("s-0") }).await;
    let mut connection = worker.send(1, "", ENDLESS_WORK).await;
    assert_eq!(connection.read().await.expect("an answer").status(), "202");
    assert_eq!(worker.next_state().await, "started");
    worker.worker.kill(true).await;
    assert_eq!(worker.next_state().await, "lost");
    assert_eq!(worker.runs.all()[0].end, RunEnd::Lost);
    assert!(connection.read().await.is_none());
    assert!(HttpConnection::connect(worker.address()).await.is_err());
    worker.worker.restart().expect("the port is still reserved");
    assert!(worker.worker.started_at_ms() > 0);
    assert_eq!(worker.send(2, "", "").await.read().await.expect("an answer").status(), "202");
}

/// A script can make a worker send a job's callbacks before its response with status 202, or send an invalid
/// callback. A worker that is slowed to a tenth of its speed reports a job that takes 20 ms at full speed as
/// done no earlier than 190 ms after the test starts to send the job.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_worker_sends_callbacks_early_invalid_or_late_as_scripted() {
    let worker =
        TestWorker::start(WorkerSpec { progress_interval: Duration::ZERO, ..WorkerSpec::new("s-0") }).await;
    worker.worker.script_jobs([JobBehavior::CallbackBeforeAnswer, JobBehavior::InvalidCallback]);
    let mut connection = worker.send(1, "", "").await;
    assert_eq!((worker.next_state().await, worker.next_state().await), ("started".into(), "done".into()));
    assert_eq!(connection.read().await.expect("the answer follows the callbacks").status(), "202");
    let mut connection = worker.send(2, "", "").await;
    assert_eq!(connection.read().await.expect("an answer").status(), "202");
    assert!(serde_json::from_slice::<serde_json::Value>(&worker.next_callback().await.body).is_err());
    assert_eq!((worker.next_state().await, worker.next_state().await), ("started".into(), "done".into()));
    worker.worker.set_slowdown(10.0);
    let start = std::time::Instant::now();
    let mut connection = worker.send(3, "", "work_us=20000").await;
    connection.read().await.expect("an answer");
    assert_eq!((worker.next_state().await, worker.next_state().await), ("started".into(), "done".into()));
    assert!(start.elapsed() >= Duration::from_millis(190), "{:?}", start.elapsed());
}
