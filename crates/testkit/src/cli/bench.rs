//! `bench`: the daemon's cost beside a bare relay's.

use super::options::ensure_descriptors;
use super::output::{print, to_json};
use crate::plan::Plan;
use crate::{bench, Failure};
use clap::Args;
use std::path::PathBuf;
use vetchbridge::config::units::HumanDuration;

/// Descriptors for each connection, over all contenders.
const DESCRIPTORS_PER_CONNECTION: u64 = 8;
/// Descriptors beside those of connections.
const SPARE_DESCRIPTORS: u64 = 256;

#[derive(Debug, Args)]
pub(super) struct BenchCommand {
    /// Connections to keep busy
    #[arg(long, default_value_t = 32)]
    connections: usize,
    /// How long a turn takes
    #[arg(long, default_value = "3s", value_name = "SPAN")]
    turn: HumanDuration,
    /// Turns of each
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// The daemon's binary; the one beside this program where it is absent
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
    /// Print JSON
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
