//! Injects faults into a deployment during a load: scheduler faults at even intervals, and the plan's faults
//! at their configured times.

use super::{DETECTION_SLACK, RESTART_DELAY};
use crate::plan::{PlannedFault, PlannedFaultKind};
use crate::scheduler::{PredecessorEnd, Scheduler};
use crate::{io_failure, Failure};
use futures_util::future::try_join_all;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};
use vetchbridge_testbed::audit::Outage;
use vetchbridge_testbed::discovery::Discovery;
use vetchbridge_testbed::worker::Worker;

/// How long a scheduler stays drained before it resumes.
const DRAINED_TIME: Duration = Duration::from_secs(2);

/// A fault that is injected into a scheduler during a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerFault {
    /// The scheduler is killed by SIGKILL and restarted after [`RESTART_DELAY`].
    Kill,
    /// A successor process takes over, and the predecessor process shuts down gracefully.
    Upgrade,
    /// A successor process takes over, and the predecessor process is killed by SIGKILL as soon as the
    /// successor process is ready.
    AbruptUpgrade,
    /// The scheduler is drained and resumes after `DRAINED_TIME`.
    Drain,
}

/// Injects `faults` at even intervals during a load, into the schedulers in turn. Pushes to `outages` the
/// periods, counted from the load's start, in which attempts may be lost: only a kill excuses a loss. Uses an
/// output parameter, so that the periods are kept when the load ends before the last fault does.
pub(super) async fn inject_scheduler_faults(
    faults: &[SchedulerFault],
    schedulers: &mut [Scheduler],
    started: Instant,
    duration: Duration,
    detection_delay: Duration,
    outages: &mut Vec<Outage>,
) -> Result<(), Failure> {
    for (index, fault) in faults.iter().enumerate() {
        sleep_until(started + duration.mul_f64((index + 1) as f64 / (faults.len() + 1) as f64)).await;
        let target = index % schedulers.len();
        let scheduler = &mut schedulers[target];
        match fault {
            SchedulerFault::Kill => {
                let from = started.elapsed();
                scheduler.kill().await;
                outages.push(Outage { from, until: from + detection_delay + DETECTION_SLACK });
                sleep(RESTART_DELAY).await;
                scheduler.restart()?;
            }
            SchedulerFault::Upgrade => scheduler.upgrade(PredecessorEnd::Graceful).await?,
            SchedulerFault::AbruptUpgrade => scheduler.upgrade(PredecessorEnd::Killed).await?,
            SchedulerFault::Drain => scheduler.drain(DRAINED_TIME).await?,
        }
    }
    Ok(())
}

/// Injects the faults of a plan at their configured times. None of these faults excuses a lost attempt.
pub(super) async fn inject_planned_faults(
    faults: &[PlannedFault],
    discovery: &Discovery,
    workers: &[Worker],
    started: Instant,
) -> Result<(), Failure> {
    let inject = async |fault: &PlannedFault| {
        sleep_until(started + fault.at.duration()).await;
        inject_planned_fault(fault, discovery, workers).await
    };
    try_join_all(faults.iter().map(inject)).await.map(drop)
}

async fn inject_planned_fault(
    fault: &PlannedFault,
    discovery: &Discovery,
    workers: &[Worker],
) -> Result<(), Failure> {
    let duration = fault.duration.duration();
    if let Some(mode) = fault.kind.response_mode() {
        discovery.fail(mode, duration).await;
    } else if fault.kind == PlannedFaultKind::LoadReportDelay {
        delay_load_reports(workers, fault.delay.duration(), duration).await;
    } else {
        let is_target = |worker: &&Worker| Some(&worker.spec().name) == fault.worker.as_ref();
        let Some(worker) = workers.iter().find(is_target) else { return Ok(()) };
        crash_worker(worker, discovery, duration).await?;
    }
    Ok(())
}

async fn delay_load_reports(workers: &[Worker], delay: Duration, duration: Duration) {
    for worker in workers {
        worker.set_report_delay(delay);
    }
    sleep(duration).await;
    for worker in workers {
        worker.set_report_delay(worker.spec().stats.as_ref().map_or(Duration::ZERO, |stats| stats.delay));
    }
}

async fn crash_worker(worker: &Worker, discovery: &Discovery, duration: Duration) -> Result<(), Failure> {
    worker.kill(true).await;
    discovery.remove(worker);
    sleep(duration).await;
    worker.restart().map_err(io_failure("a worker"))?;
    discovery.list_as_up(worker);
    Ok(())
}
