//! The endpoint list in the discovery service's form, and its translation into the scheduler's terms.
//!
//! The only place that knows the names of the protocol's fields.

use crate::snapshot::NameTables;
use crate::workers::worker_id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use vetchbridge_scheduling::{CellId, Endpoint, EndpointState, MachineTypeId, ZoneId};

/// The index of a zone or machine type that the settings do not name: no class or scheduler has it.
const UNKNOWN_INDEX: u32 = u32::MAX;
/// Microseconds in a millisecond: the protocol gives times in the latter, the scheduler takes the former.
const MICROS_PER_MILLI: u64 = 1000;

/// Where the endpoint list comes from.
#[derive(Clone, Debug)]
pub enum EndpointSource {
    /// A discovery service at this address.
    Service(SocketAddr),
    /// The configuration; the list changes only with it.
    Fixed(EndpointDocument),
}

/// A complete endpoint list, or the changes since an earlier one.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointDocument {
    /// The list's version; it grows with each change.
    pub generation: u64,
    /// Whether this is the complete list and not changes alone.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Instance>,
}

/// One entry of an endpoint list: a worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The worker's name, the same at every scheduler.
    pub instance_id: String,
    /// The address at which this scheduler reaches the worker.
    #[serde(default)]
    pub host_port: String,
    /// The worker's zone.
    #[serde(default)]
    pub zone: String,
    /// The worker's kind of machine.
    #[serde(default)]
    pub machine_type: String,
    /// The worker's cell.
    #[serde(default)]
    pub cell: u32,
    /// The worker's state.
    pub lifecycle: InstanceState,
    /// The worker's capacity relative to that of other workers.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// When the worker last started, as Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// A worker's state in the discovery service's terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Takes new jobs.
    Up,
    /// Finishes the jobs that it has and takes no new ones.
    Draining,
    /// Has left; appears among changes only.
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

impl Instance {
    /// The worker's state in the scheduler's terms.
    pub fn endpoint_state(&self) -> EndpointState {
        match self.lifecycle {
            InstanceState::Up => EndpointState::Ready,
            InstanceState::Draining => EndpointState::Draining,
            InstanceState::Removed => EndpointState::Removed,
        }
    }

    /// The entry in the scheduler's terms.
    pub fn to_endpoint(&self, names: &NameTables) -> Endpoint {
        Endpoint {
            worker: worker_id(&self.instance_id),
            zone: ZoneId(index_of(&names.zones, &self.zone)),
            machine_type: MachineTypeId(index_of(&names.kinds, &self.machine_type)),
            cell: CellId(self.cell),
            state: self.endpoint_state(),
            weight: self.weight,
            // The engine's clock reads Unix time.
            started_at: self.started_at_ms.saturating_mul(MICROS_PER_MILLI),
        }
    }
}

fn index_of(names: &[String], name: &str) -> u32 {
    names.iter().position(|known| known == name).map_or(UNKNOWN_INDEX, |index| index as u32)
}
