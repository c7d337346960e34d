//! The command `demo`: starts a deployment, sends it a load while faults happen, and prints a report.

use super::options::{ensure_descriptors, override_load, DeploymentOptions};
use super::output::print_and_check;
use crate::plan::Plan;
use crate::report::{Report, WorkerRecord};
use crate::runner::{self, Interrupt, LoadPlan, SchedulerFault};
use crate::Failure;
use clap::Args;
use std::iter::repeat_n;
use std::path::PathBuf;
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::client::Clients;

/// Number of the kit's file descriptors for each job per second of the load's rate.
const DESCRIPTORS_PER_RATE: f64 = 4.0;
/// Number of the kit's file descriptors per worker of the deployment.
const DESCRIPTORS_PER_WORKER: u64 = 64;

#[derive(Debug, Args)]
pub(super) struct DemoCommand {
    /// The plan: a file, or the name of a built-in plan (demo, scans) [default: demo]
    plan: Option<PathBuf>,
    /// Number of schedulers to kill by SIGKILL during the load; each is restarted after 2 s
    #[arg(long, default_value_t = 0)]
    kill: usize,
    /// Number of schedulers to upgrade during the load: a new process takes over, and no client request fails
    #[arg(long, default_value_t = 0)]
    upgrade: usize,
    /// Number of schedulers to drain during the load, each for 2 s
    #[arg(long, default_value_t = 0)]
    drain: usize,
    /// Kill the old process of each upgrade by SIGKILL; the report must then list the lost requests
    #[arg(long, requires = "upgrade")]
    careless: bool,
    /// How long the load lasts, such as 30s [default: as in the plan]
    #[arg(long = "for", value_name = "DURATION")]
    duration: Option<HumanDuration>,
    /// Jobs per second [default: as in the plan]
    #[arg(long)]
    rate: Option<f64>,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    deployment: DeploymentOptions,
}

impl DemoCommand {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let mut plan = Plan::read(self.plan.as_deref())?;
        override_load(&mut plan, self.rate, self.duration)?;
        ensure_descriptors(needed_descriptors(&plan))?;
        let interrupt = Interrupt::listen()?;
        let mut deployment = self.deployment.start(&plan, &interrupt).await?;
        let clients = Clients::new(plan.load_spec(), vec![deployment.load_balancer.address()]);
        let clients = clients.map_err(|error| Failure::BadInput(error.to_string()))?;
        let load = LoadPlan {
            duration: plan.load.duration.duration(),
            scheduler_faults: &self.scheduler_faults(),
            planned_faults: &plan.faults,
        };
        let run = runner::run(&mut deployment, clients, load, &interrupt).await?;
        let counts = deployment.runs.counts();
        let workers = WorkerRecord {
            runs: deployment.runs.all(),
            attempts: counts.arrived,
            repeats_dropped: counts.deduplicated,
            probes: plan.probes.as_ref().map(|_| deployment.runs.probes()),
        };
        let failed_shutdowns = deployment.shut_down().await;
        let report = Report::new(&plan.load_spec(), &run.record, Some(&workers), &run.outages);
        print_and_check(&report, self.json, &failed_shutdowns)
    }

    /// Returns the scheduler faults in the order in which they are injected: drains, upgrades, kills.
    fn scheduler_faults(&self) -> Vec<SchedulerFault> {
        let upgrade = if self.careless { SchedulerFault::AbruptUpgrade } else { SchedulerFault::Upgrade };
        let drains = repeat_n(SchedulerFault::Drain, self.drain);
        drains
            .chain(repeat_n(upgrade, self.upgrade))
            .chain(repeat_n(SchedulerFault::Kill, self.kill))
            .collect()
    }
}

fn needed_descriptors(plan: &Plan) -> u64 {
    let clients = (plan.load.rate * DESCRIPTORS_PER_RATE).ceil() as u64;
    clients + DESCRIPTORS_PER_WORKER * plan.worker_specs().len() as u64
}
