//! Options that several commands share, and the check of the process's limit on file descriptors.

use crate::deployment::Deployment;
use crate::plan::Plan;
use crate::runner::Interrupt;
use crate::Failure;
use clap::Args;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::path::PathBuf;
use vetchbridge::config::units::HumanDuration;

/// The highest rate of a load that the command line accepts, in jobs per second.
const MAX_RATE: f64 = 1e6;

/// Options of the commands that start schedulers.
#[derive(Debug, Args)]
pub(super) struct DeploymentOptions {
    /// The daemon's binary [default: the one beside this program]
    #[arg(long, value_name = "FILE")]
    pub(super) daemon: Option<PathBuf>,
    /// Keep the schedulers' configurations and logs in this folder
    #[arg(long, value_name = "FOLDER")]
    pub(super) logs: Option<PathBuf>,
    /// The schedulers' log filter, in the format of `RUST_LOG`
    #[arg(long, value_name = "FILTER")]
    pub(super) log_filter: Option<String>,
}

impl DeploymentOptions {
    /// Starts the deployment of a plan, or fails if Ctrl-C or SIGTERM interrupts the start.
    pub(super) async fn start(&self, plan: &Plan, interrupt: &Interrupt) -> Result<Deployment, Failure> {
        let arguments = self.scheduler_arguments();
        let starting = Deployment::start(plan, self.daemon.as_deref(), self.logs.as_deref(), &arguments);
        interrupt.run_unless_stopped(starting).await
    }

    fn scheduler_arguments(&self) -> Vec<String> {
        let filter = self.log_filter.iter();
        filter.flat_map(|filter| ["--log-filter".to_string(), filter.clone()]).collect()
    }
}

/// Replaces the rate and the duration of a plan's load by those of the command line, where given.
pub(super) fn override_load(
    plan: &mut Plan,
    rate: Option<f64>,
    duration: Option<HumanDuration>,
) -> Result<(), Failure> {
    if let Some(rate) = rate {
        if !(rate > 0.0 && rate <= MAX_RATE) {
            return Err(Failure::BadInput(format!(
                "--rate {rate}: must be above 0 and at most {MAX_RATE} jobs per second"
            )));
        }
        plan.load.rate = rate;
    }
    plan.load.duration = duration.unwrap_or(plan.load.duration);
    Ok(())
}

/// Raises the process's limit on file descriptors as far as possible, and fails if the limit stays below
/// `needed`.
pub(super) fn ensure_descriptors(needed: u64) -> Result<(), Failure> {
    let limit = getrlimit(Resource::Nofile);
    if limit.current.is_some_and(|current| current < needed) {
        // A failure needs no handling: the comparison below finds a limit that is too low.
        let _ = setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum });
    }
    match getrlimit(Resource::Nofile).current {
        Some(current) if current < needed => Err(Failure::System(format!(
            "{needed} file descriptors are needed, but the limit is {current}: raise it \
             (ulimit -n) or lower the load"
        ))),
        _ => Ok(()),
    }
}
