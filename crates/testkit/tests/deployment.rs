//! Tests a deployment whose plan has nothing in common with the demonstration's: real schedulers run the
//! built-in plan `scans` while its workers misbehave and its discovery is unavailable.
#![allow(missing_docs)]

mod common;

use common::daemon;
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};
use vetchbridge::config::file;
use vetchbridge_testbed::audit::{audit_jobs, Audit, Violation};
use vetchbridge_testbed::client::Clients;
use vetchbridge_testbed::discovery::ResponseMode;
use vetchbridge_testbed::worker::JobBehavior;
use vetchbridge_testkit::deployment::Deployment;
use vetchbridge_testkit::plan::Plan;

/// The time after which a test counts as hanging.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the load lasts.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// When discovery becomes unavailable, counted from the load's start.
const OUTAGE_START: Duration = Duration::from_millis(500);
/// How long discovery stays unavailable.
const OUTAGE_TIME: Duration = Duration::from_secs(2);

/// Returns the scripted behaviors of a worker that reports, or fails to report, whether a job ran; each
/// behavior twice.
fn misbehavior() -> Vec<JobBehavior> {
    let once = [
        JobBehavior::Lose,
        JobBehavior::ResetBeforeAnswer,
        JobBehavior::ReturnUnstarted,
        JobBehavior::Fail,
        JobBehavior::Answer { status: 503, never_ran: true },
        JobBehavior::Answer { status: 500, never_ran: false },
        JobBehavior::HalfAnswer,
        JobBehavior::ResetInBody,
    ];
    once.iter().chain(&once).cloned().collect()
}

/// Runs a deployment while its discovery is unavailable and each worker misbehaves, and audits the run. The
/// schedulers are configured by `scheduler_plan`; the clients and the audit use `plan`, which may differ from
/// it.
async fn run_deployment(scheduler_plan: &Plan, plan: &Plan, outage: ResponseMode) -> Audit {
    let mut deployment =
        Deployment::start(scheduler_plan, Some(&daemon()), None, &[]).await.expect("a deployment");
    let (started, spec) = (Instant::now(), plan.load_spec());
    let (_stop, stopped) = watch::channel(false);
    let clients = Clients::new(spec.clone(), vec![deployment.load_balancer.address()]).expect("a load");
    let load = clients.run(started, LOAD_TIME, stopped, |_| {});
    let faults = async {
        deployment.workers.iter().for_each(|worker| worker.script_jobs(misbehavior()));
        sleep(OUTAGE_START).await;
        deployment.discovery.fail(outage, OUTAGE_TIME).await;
        let calls = deployment.discovery.calls();
        // Each scheduler draws the time of its next call to discovery at random; this loop waits for the
        // first call after the outage of discovery.
        while deployment.discovery.calls() == calls {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let (record, ()) = tokio::join!(load, faults);
    let record = record.expect("a load");
    assert!(record.jobs.len() > 150 && record.jobs.iter().all(|job| !job.attempts.is_empty()));
    deployment.check_running().expect("every scheduler runs");
    let verdict = audit_jobs(&spec.classes, &record.jobs, Some(&deployment.runs.all()), &[]);
    assert_eq!(deployment.shut_down().await, [], "every scheduler shut down cleanly");
    verdict
}

fn scans() -> Plan {
    let mut plan = Plan::read(Some(Path::new("scans"))).expect("a plan");
    plan.faults.clear();
    for class in &mut plan.load.classes {
        class.spread = 0.3;
    }
    plan
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_jobs_run_once_and_each_has_one_answer_while_discovery_is_unavailable() {
    let plan = scans();
    let runs = async {
        tokio::join!(
            run_deployment(&plan, &plan, ResponseMode::Error),
            run_deployment(&plan, &plan, ResponseMode::Reset)
        )
    };
    let (failing, resetting) = timeout(TEST_TIMEOUT, runs).await.expect("the runs end in time");
    for verdict in [failing, resetting] {
        assert_eq!(verdict.violations, [], "{verdict:?}");
        let answers = verdict.answers;
        assert_eq!((answers.lost, answers.unanswered, answers.unreachable), (0, 0, 0), "{verdict:?}");
        // Jobs that may have run and must not run again fail; clients get the results of all other jobs.
        assert!(answers.failed > 0 && answers.served > 5 * answers.failed, "{verdict:?}");
    }
}

/// The audit must detect schedulers that are configured to treat the non-idempotent class as idempotent.
#[tokio::test(flavor = "multi_thread")]
async fn schedulers_that_retry_non_idempotent_jobs_are_detected() {
    let (mut scheduler_plan, plan) = (scans(), scans());
    scheduler_plan.daemon.class.iter_mut().for_each(|class| class.repeat = file::Repeat::Safe);
    let verdict = timeout(TEST_TIMEOUT, run_deployment(&scheduler_plan, &plan, ResponseMode::Error))
        .await
        .expect("the runs end in time");
    assert!(
        verdict.violations.iter().any(|violation| matches!(violation, Violation::NonIdempotentRanTwice(_))),
        "{verdict:?}"
    );
}
