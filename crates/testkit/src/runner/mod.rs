//! Runs a load against a deployment, shows the load's progress, and injects faults during the load. This
//! module does not judge the result.

mod faults;
mod interrupt;
mod progress;

pub use faults::SchedulerFault;
pub use interrupt::Interrupt;
pub use progress::Progress;

use crate::deployment::Deployment;
use crate::plan::PlannedFault;
use crate::Failure;
use faults::{inject_planned_faults, inject_scheduler_faults};
use std::time::Duration;
use tokio::time::Instant;
use vetchbridge_testbed::audit::Outage;
use vetchbridge_testbed::client::{Clients, LoadRecord};

/// How long the runner leaves a killed scheduler down before it restarts the scheduler.
pub const RESTART_DELAY: Duration = Duration::from_secs(2);
/// How long, beyond the load balancer's detection delay, the load balancer may still send clients to a killed
/// scheduler: the time of the last readiness check and of the scheduler's response to it.
pub const DETECTION_SLACK: Duration = Duration::from_millis(700);

/// The duration of a load and the faults during it.
#[derive(Clone, Copy, Debug)]
pub struct LoadPlan<'a> {
    /// How long the load lasts.
    pub duration: Duration,
    /// Faults of schedulers, injected at even intervals during the load.
    pub scheduler_faults: &'a [SchedulerFault],
    /// Faults of the plan, injected at their configured times.
    pub planned_faults: &'a [PlannedFault],
}

/// The record of a load and of its outages; times count from the deployment's epoch.
#[derive(Debug)]
pub struct LoadRun {
    /// The jobs of the load and their requests.
    pub record: LoadRecord,
    /// The periods in which attempts may be lost because a scheduler was killed.
    pub outages: Vec<Outage>,
}

/// Sends a load to a deployment while faults are injected, until the load ends, and returns the record of the
/// load.
pub async fn run(
    deployment: &mut Deployment,
    clients: Clients,
    plan: LoadPlan<'_>,
    interrupt: &Interrupt,
) -> Result<LoadRun, Failure> {
    let mut progress = Progress::new(plan.duration);
    let started = Instant::now();
    let offset = started.duration_since(deployment.epoch);
    let load =
        clients.run(started, plan.duration, interrupt.subscribe(), move |current| progress.show(current));
    let Deployment { schedulers, workers, discovery, load_balancer, .. } = &mut *deployment;
    let mut outages = Vec::new();
    let scheduler_faults = inject_scheduler_faults(
        plan.scheduler_faults,
        schedulers,
        started,
        plan.duration,
        load_balancer.detection_delay(),
        &mut outages,
    );
    let planned_faults = inject_planned_faults(plan.planned_faults, discovery, workers, started);
    tokio::pin!(load);
    let record = tokio::select! {
        record = &mut load => record,
        injected = async { tokio::try_join!(scheduler_faults, planned_faults) } => {
            injected?;
            load.await
        }
    };
    let mut record = record.map_err(|error| Failure::BadInput(error.to_string()))?;
    deployment.check_running()?;
    shift_times(&mut record, offset);
    for outage in &mut outages {
        outage.from += offset;
        outage.until += offset;
    }
    Ok(LoadRun { record, outages })
}

/// Shifts a record's times, which count from the load's start, to count from the deployment's epoch. The load
/// started `offset` after the epoch.
pub fn shift_times(record: &mut LoadRecord, offset: Duration) {
    for job in &mut record.jobs {
        job.arrival.at += offset;
        for attempt in &mut job.attempts {
            attempt.sent += offset;
            attempt.ended += offset;
            attempt.resent = attempt.resent.map(|resent| resent + offset);
        }
    }
}
