//! `load`: sends a load to given addresses.

use super::options::{ensure_descriptors, override_load};
use super::output::finish;
use crate::plan::Plan;
use crate::report::Report;
use crate::runner::{Interrupt, Progress};
use crate::Failure;
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;
use tokio::time::Instant;
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::client::Clients;

/// Descriptors beside those of connections.
const SPARE_DESCRIPTORS: u64 = 64;

#[derive(Debug, Args)]
pub(super) struct LoadCommand {
    /// Where to; several are taken in turn
    #[arg(long, required = true, value_name = "ADDRESS")]
    to: Vec<SocketAddr>,
    /// Jobs a second, as an open loop; the plan's where it is absent
    #[arg(long, conflicts_with = "connections")]
    rate: Option<f64>,
    /// Keep so many connections busy instead
    #[arg(long)]
    connections: Option<usize>,
    /// For how long; the plan's where it is absent
    #[arg(long = "for", value_name = "SPAN")]
    duration: Option<HumanDuration>,
    /// Classes and their jobs come from this plan
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl LoadCommand {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let mut plan = Plan::read(self.plan.as_deref())?;
        override_load(&mut plan, self.rate, self.duration)?;
        // An open loop has at least as many connections as jobs in flight: about a second's.
        let connections = self.connections.map_or(plan.load.rate.ceil() as u64, |count| count as u64);
        ensure_descriptors(connections + SPARE_DESCRIPTORS)?;
        let clients = Clients::new(plan.load_spec(), self.to);
        let clients = clients.map_err(|error| Failure::BadInput(error.to_string()))?;
        let (interrupt, duration) = (Interrupt::listen()?, plan.load.duration.duration());
        let record = match self.connections {
            Some(0) => return Err(Failure::BadInput("--connections 0: at least 1".to_string())),
            Some(connections) => {
                interrupt.or_stop(async { Ok(clients.run_closed_loop(connections, duration).await) }).await?
            }
            None => {
                let mut progress = Progress::new(duration);
                clients.run(Instant::now(), duration, interrupt.subscribe(), |at| progress.show(at)).await
            }
        };
        let record = record.map_err(|error| Failure::BadInput(error.to_string()))?;
        finish(&Report::new(&plan.load_spec(), &record, None, &[]), self.json, &[])
    }
}
