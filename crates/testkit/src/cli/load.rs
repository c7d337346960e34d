//! The command `load`: sends a load to given addresses and prints a report.

use super::options::{ensure_descriptors, override_load};
use super::output::print_and_check;
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

/// Number of the kit's file descriptors for everything but the load's connections.
const SPARE_DESCRIPTORS: u64 = 64;

#[derive(Debug, Args)]
pub(super) struct LoadCommand {
    /// Address to send the load to; repeat for several addresses, which are used in turn
    #[arg(long, required = true, value_name = "ADDRESS")]
    to: Vec<SocketAddr>,
    /// Rate of an open loop, in jobs per second [default: as in the plan]
    #[arg(long, conflicts_with = "connections")]
    rate: Option<f64>,
    /// Number of connections of a closed loop, each of which sends its next job when the previous one has
    /// ended; replaces the rate
    #[arg(long)]
    connections: Option<usize>,
    /// How long the load lasts, such as 30s [default: as in the plan]
    #[arg(long = "for", value_name = "DURATION")]
    duration: Option<HumanDuration>,
    /// The plan that defines the classes and their jobs: a file, or the name of a built-in plan [default:
    /// demo]
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Print the report as JSON
    #[arg(long)]
    json: bool,
}

impl LoadCommand {
    pub(super) async fn run(self) -> Result<(), Failure> {
        let mut plan = Plan::read(self.plan.as_deref())?;
        override_load(&mut plan, self.rate, self.duration)?;
        // An open loop has about as many connections as jobs in flight. As an estimate, this is the number of
        // jobs that arrive in one second.
        let connections = self.connections.map_or(plan.load.rate.ceil() as u64, |count| count as u64);
        ensure_descriptors(connections + SPARE_DESCRIPTORS)?;
        let clients = Clients::new(plan.load_spec(), self.to);
        let clients = clients.map_err(|error| Failure::BadInput(error.to_string()))?;
        let (interrupt, duration) = (Interrupt::listen()?, plan.load.duration.duration());
        let record = match self.connections {
            Some(0) => return Err(Failure::BadInput("--connections 0: must be at least 1".to_string())),
            Some(connections) => {
                interrupt
                    .run_unless_stopped(async { Ok(clients.run_closed_loop(connections, duration).await) })
                    .await?
            }
            None => {
                let mut progress = Progress::new(duration);
                clients
                    .run(Instant::now(), duration, interrupt.subscribe(), |current| progress.show(current))
                    .await
            }
        };
        let record = record.map_err(|error| Failure::BadInput(error.to_string()))?;
        print_and_check(&Report::new(&plan.load_spec(), &record, None, &[]), self.json, &[])
    }
}
