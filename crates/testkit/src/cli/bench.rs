//! The command `bench`: measures the daemon's processor time per request and compares it with a plain
//! relay's.

use super::options::ensure_descriptors;
use super::output::{print, to_json};
use crate::plan::Plan;
use crate::{bench, Failure};
use clap::Args;
use std::path::PathBuf;
use vetchbridge::config::units::HumanDuration;

/// Number of the kit's file descriptors per connection of the load, over all targets.
const DESCRIPTORS_PER_CONNECTION: u64 = 8;
/// Number of the kit's file descriptors for everything but the load's connections.
const SPARE_DESCRIPTORS: u64 = 256;

#[derive(Debug, Args)]
pub(super) struct BenchCommand {
    /// The number of connections to keep busy
    #[arg(long, default_value_t = 32)]
    connections: usize,
    /// How long each turn lasts, such as 3s
    #[arg(long, default_value = "3s", value_name = "DURATION")]
    turn: HumanDuration,
    /// The number of turns of the relay and of each daemon variant
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// The daemon's binary [default: the one beside this program]
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
}

impl BenchCommand {
    pub(super) async fn run(self) -> Result<(), Failure> {
        if self.connections == 0 || self.rounds == 0 {
            return Err(Failure::BadInput("--connections and --rounds must be at least 1".to_string()));
        }
        ensure_descriptors(self.connections as u64 * DESCRIPTORS_PER_CONNECTION + SPARE_DESCRIPTORS)?;
        let plan = Plan::read(None)?;
        let (daemon, turn) = (self.daemon.as_deref(), self.turn.duration());
        let comparison = bench::compare(&plan, daemon, self.connections, turn, self.rounds).await?;
        print(&if self.json { to_json(&comparison)? } else { comparison.text() })
    }
}
