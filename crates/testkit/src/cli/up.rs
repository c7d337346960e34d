//! `up`: starts a deployment and leaves it running.

use super::options::DeploymentOptions;
use super::output::{check_shutdowns, print};
use crate::deployment::Deployment;
use crate::plan::Plan;
use crate::runner::Interrupt;
use crate::Failure;
use clap::Args;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::interval;

/// Between two checks that every scheduler still runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Args)]
pub(super) struct UpCommand {
    /// The plan: a file, or the name of a built-in one; `demo` where it is absent
    plan: Option<PathBuf>,
    #[command(flatten)]
    deployment: DeploymentOptions,
}

impl UpCommand {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let plan = Plan::read(self.plan.as_deref())?;
        let interrupt = Interrupt::listen()?;
        let mut deployment = self.deployment.start(&plan, &interrupt).await?;
        print(&describe(&deployment))?;
        let mut checks = interval(CHECK_INTERVAL);
        loop {
            tokio::select! {
                () = interrupt.requested() => break,
                _ = checks.tick() => deployment.check_running()?,
            }
        }
        check_shutdowns(&deployment.shut_down().await)
    }
}

/// The addresses of a deployment's parts, and how to send it a load.
fn describe(deployment: &Deployment) -> String {
    let front = deployment.front.address();
    let mut text = format!("front       {front}\n");
    for (number, scheduler) in deployment.schedulers.iter().enumerate() {
        let (address, log) = (scheduler.address(), scheduler.log_path().display());
        let admin = scheduler.admin_address().map(|address| format!("  operators {address}"));
        let admin = admin.unwrap_or_default();
        text.push_str(&format!("scheduler {number} {address}{admin}  log {log}\n"));
    }
    for worker in &deployment.workers {
        let (spec, addresses) = (worker.spec(), worker.addresses());
        let first = addresses.first().map(ToString::to_string).unwrap_or_default();
        text.push_str(&format!("worker      {first}  {} {} {}\n", spec.name, spec.zone, spec.kind));
    }
    text.push_str(&format!("\nvetchbridge-testkit load --to {front}   sends it jobs; Ctrl-C ends\n"));
    text
}
