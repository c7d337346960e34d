//! `demo`: a deployment under load, with faults, and the report of what came of it.

use super::options::{ensure_descriptors, override_load, DeploymentOptions};
use super::output::finish;
use crate::plan::Plan;
use crate::report::{Report, WorkerRecord};
use crate::runner::{self, Interrupt, LoadPlan, SchedulerFault};
use crate::Failure;
use clap::Args;
use std::iter::repeat_n;
use std::path::PathBuf;
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::client::Clients;

/// Descriptors for each job a second of the load.
const DESCRIPTORS_PER_RATE: f64 = 4.0;
/// Descriptors for each worker.
const DESCRIPTORS_PER_WORKER: u64 = 64;

#[derive(Debug, Args)]
pub(super) struct DemoCommand {
    /// The plan: a file, or the name of a built-in one (demo, scans); `demo` where it is absent
    plan: Option<PathBuf>,
    /// Kill so many schedulers by SIGKILL along the load; each is back after 2 s
    #[arg(long, default_value_t = 0)]
    kill: usize,
    /// Replace so many schedulers by a process that takes over, which no client may notice
    #[arg(long, default_value_t = 0)]
    upgrade: usize,
    /// Drain so many schedulers, each for 2 s
    #[arg(long, default_value_t = 0)]
    drain: usize,
    /// End each replaced process by SIGKILL: what is lost then is to show in the account
    #[arg(long, requires = "upgrade")]
    careless: bool,
    /// For how long; the plan's where it is absent
    #[arg(long = "for", value_name = "SPAN")]
    duration: Option<HumanDuration>,
    /// Jobs a second; the plan's where it is absent
    #[arg(long)]
    rate: Option<f64>,
    /// Print JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    deployment: DeploymentOptions,
}

impl DemoCommand {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let mut plan = Plan::read(self.plan.as_deref())?;
        override_load(&mut plan, self.rate, self.duration)?;
        ensure_descriptors(descriptors(&plan))?;
        let interrupt = Interrupt::listen()?;
        let mut deployment = self.deployment.start(&plan, &interrupt).await?;
        let clients = Clients::new(plan.load_spec(), vec![deployment.front.address()]);
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
        finish(&report, self.json, &failed_shutdowns)
    }

    /// The faults in their order: drains, upgrades, kills.
    fn scheduler_faults(&self) -> Vec<SchedulerFault> {
        let upgrade = if self.careless { SchedulerFault::AbruptUpgrade } else { SchedulerFault::Upgrade };
        let drains = repeat_n(SchedulerFault::Drain, self.drain);
        drains
            .chain(repeat_n(upgrade, self.upgrade))
            .chain(repeat_n(SchedulerFault::Kill, self.kill))
            .collect()
    }
}

fn descriptors(plan: &Plan) -> u64 {
    let clients = (plan.load.rate * DESCRIPTORS_PER_RATE).ceil() as u64;
    clients + DESCRIPTORS_PER_WORKER * plan.worker_specs().len() as u64
}
