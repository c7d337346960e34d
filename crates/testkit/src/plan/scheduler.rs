//! The schedulers of a plan: their table in the plan's file format, and the configuration file of each
//! scheduler.

use super::Plan;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;
use vetchbridge::config::file;
use vetchbridge::config::units::{Address, HumanDuration, Seed};
use vetchbridge_testbed::worker::WorkerSpec;

/// An odd constant, 2^64 divided by the golden ratio. It multiplies the plan's seed before a scheduler's
/// number is added, so that the schedulers of plans with different seeds get distinct seeds.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The schedulers.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Schedulers {
    /// The number of schedulers.
    #[schemars(range(min = 1, max = 10000))]
    pub count: usize,
    /// How long the load balancer takes to detect that a scheduler no longer answers.
    #[serde(default = "default_detection_delay", rename = "notice")]
    pub detection_delay: HumanDuration,
    /// How long discovery takes to publish a change.
    #[serde(default, rename = "lateness")]
    pub publication_delay: HumanDuration,
}

fn default_detection_delay() -> HumanDuration {
    HumanDuration::from_secs(2)
}

/// A worker that a scheduler's configuration lists, so that the scheduler knows the worker before the first
/// poll of discovery.
pub struct KnownWorker {
    /// The worker's configuration.
    pub spec: WorkerSpec,
    /// The address at which the configured scheduler reaches the worker.
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

/// The values in one scheduler's configuration that the kit, not the plan, determines.
pub struct SchedulerSpec<'a> {
    /// The scheduler's number, from 0.
    pub number: usize,
    /// The address on which the scheduler listens.
    pub listen: SocketAddr,
    /// The address at which the scheduler reaches discovery.
    pub discovery: SocketAddr,
    /// The workers that the scheduler knows when it starts.
    pub known: &'a [KnownWorker],
    /// The path of the socket at which a successor process takes over from the scheduler; `None` disables
    /// upgrades.
    pub handover: Option<PathBuf>,
}

impl Plan {
    /// Returns the text of the configuration file of the scheduler that `spec` describes.
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
        // Serialization cannot fail: a `File` is plain data, which TOML can always represent.
        toml::to_string(&file).unwrap_or_default()
    }

    /// Returns the file name of a scheduler's configuration.
    pub fn file_name(number: usize) -> PathBuf {
        PathBuf::from(format!("n{number}.toml"))
    }
}
