//! The schedulers of a plan: their table in the format, and the configuration file of each.

use super::Plan;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use vetchbridge::config::file;
use vetchbridge::config::units::{Address, HumanDuration, Seed};
use vetchbridge_testbed::worker::WorkerSpec;

/// An odd constant that spreads the plan's seed over its schedulers: 2^64 divided by the golden ratio.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The schedulers.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Schedulers {
    /// How many.
    #[schemars(range(min = 1, max = 10000))]
    pub count: usize,
    /// How late the front notices that one has gone.
    #[serde(default = "default_detection_delay", rename = "notice")]
    pub detection_delay: HumanDuration,
    /// How late discovery learns of changes.
    #[serde(default, rename = "lateness")]
    pub publication_delay: HumanDuration,
}

fn default_detection_delay() -> HumanDuration {
    HumanDuration::from_secs(2)
}

/// A worker that a scheduler knows before it polls discovery.
pub struct KnownWorker {
    /// The worker's configuration.
    pub spec: WorkerSpec,
    /// Where this scheduler reaches it.
    pub address: SocketAddr,
}

impl KnownWorker {
    fn entry(&self) -> file::Worker {
        file::Worker {
            name: self.spec.name.clone(),
            address: Address(self.address),
            zone: Some(self.spec.zone.clone()),
            kind: Some(self.spec.kind.clone()),
            cell: self.spec.cell,
            weight: self.spec.weight,
        }
    }
}

/// What the configuration of one scheduler needs beyond the plan.
pub struct SchedulerSpec<'a> {
    /// Its number, from 0.
    pub number: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it reaches discovery.
    pub discovery: SocketAddr,
    /// The workers that it knows at its start.
    pub known: &'a [KnownWorker],
    /// The socket at which a successor takes over; none if absent.
    pub handover: Option<PathBuf>,
}

impl Plan {
    /// The text of one scheduler's configuration file.
    pub fn scheduler_config(&self, spec: SchedulerSpec<'_>) -> String {
        let mut file = self.daemon.clone();
        let seed = self.seed.wrapping_mul(SEED_MULTIPLIER).wrapping_add(spec.number as u64);
        let zones = &file.fleet.zones;
        file.tier.me = spec.number as u32;
        file.tier.schedulers = self.schedulers.count as u32;
        file.tier.zone = Some(zones[spec.number % zones.len()].clone());
        file.name = format!("n{}", spec.number);
        file.listen = Address(spec.listen);
        file.discovery = Some(Address(spec.discovery));
        file.handover = spec.handover;
        file.seed = Some(Seed(seed));
        file.workers = spec.known.iter().map(KnownWorker::entry).collect();
        // A File is plain data, which TOML can always represent.
        toml::to_string(&file).unwrap_or_default()
    }

    /// The name of a scheduler's configuration file.
    pub fn file_name(number: usize) -> PathBuf {
        PathBuf::from(format!("n{number}.toml"))
    }
}
