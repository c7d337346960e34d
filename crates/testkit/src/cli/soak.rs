//! The command `soak`: runs many schedulers under overlapping faults and checks invariants.

use super::options::{ensure_descriptors, DeploymentOptions};
use super::output::print;
use crate::soak::{self, SoakSpec};
use crate::Failure;
use clap::Args;
use vetchbridge::config::units::HumanDuration;

/// The number of the kit's file descriptors for the listeners of each worker (one per scheduler), connection
/// floods, the load's connections and jobs in flight.
const DESCRIPTORS: u64 = 8192;
/// The schedulers' log filter unless the user specifies one.
const DEFAULT_LOG_FILTER: &str = "info";

#[derive(Debug, Args)]
pub(super) struct SoakCommand {
    /// The seed of all faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long the load lasts, such as 60s
    #[arg(long = "for", default_value = "30s", value_name = "DURATION")]
    duration: HumanDuration,
    /// The number of schedulers [default: 24]
    #[arg(long, value_parser = clap::value_parser!(u64).range(3..=48))]
    schedulers: Option<u64>,
    #[command(flatten)]
    deployment: DeploymentOptions,
}

impl SoakCommand {
    pub(super) async fn run(self) -> Result<(), Failure> {
        ensure_descriptors(DESCRIPTORS)?;
        let DeploymentOptions { daemon, logs, log_filter } = &self.deployment;
        let spec = SoakSpec {
            seed: self.seed,
            duration: self.duration.duration(),
            schedulers: self.schedulers.map(|count| count as usize),
        };
        let filter = log_filter.as_deref().unwrap_or(DEFAULT_LOG_FILTER);
        let report = soak::run(spec, daemon.as_deref(), logs.as_deref(), filter).await?;
        print(&report.text())?;
        if report.passed() {
            return Ok(());
        }
        Err(Failure::CheckFailed("an invariant was violated, or a kind of fault did not happen".to_string()))
    }
}
