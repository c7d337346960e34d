//! The command `up`: starts a deployment and keeps it running until Ctrl-C.

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

/// The interval between two checks that every scheduler still runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Args)]
pub(super) struct UpCommand {
    /// The plan: a file, or the name of a built-in plan (demo, scans) [default: demo]
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

/// Returns a text that lists the addresses of the deployment's parts and a command that sends a load to it.
fn describe(deployment: &Deployment) -> String {
    let load_balancer = deployment.load_balancer.address();
    let mut text = format!("load balancer {load_balancer}\n");
    for (number, scheduler) in deployment.schedulers.iter().enumerate() {
        let (address, log) = (scheduler.address(), scheduler.log_path().display());
        let admin = scheduler.admin_address().map(|address| format!("  admin {address}"));
        let admin = admin.unwrap_or_default();
        text.push_str(&format!("scheduler {number:<3} {address}{admin}  log {log}\n"));
    }
    for worker in &deployment.workers {
        let (spec, addresses) = (worker.spec(), worker.addresses());
        let first = addresses.first().map(ToString::to_string).unwrap_or_default();
        text.push_str(&format!("worker        {first}  {} {} {}\n", spec.name, spec.zone, spec.kind));
    }
    text.push_str(&format!(
        "\nTo send a load: vetchbridge-testkit load --to {load_balancer}\nTo stop: Ctrl-C\n"
    ));
    text
}
