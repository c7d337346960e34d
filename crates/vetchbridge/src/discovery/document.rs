//! The discovery service's endpoint document, and its conversion to the decision module's types.
//!
//! This module alone defines the JSON field names of the discovery protocol.

use crate::snapshot::NameTables;
use crate::workers::worker_id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use vetchbridge_scheduling::{CellId, Endpoint, EndpointState, MachineTypeId, ZoneId};

/// Microseconds per millisecond. Times in the discovery protocol are in milliseconds, and times in the
/// decision module are in microseconds.
const MICROS_PER_MILLI: u64 = 1000;

/// The source from which the daemon gets the endpoint list.
#[derive(Clone, Debug)]
pub enum EndpointSource {
    /// The discovery service at this address.
    Service(SocketAddr),
    /// An endpoint list in the configuration, which changes only when the configuration does.
    Fixed(EndpointDocument),
}

/// A complete endpoint list, or the changes since an earlier endpoint list.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointDocument {
    /// The generation (version number) of the endpoint list, which grows with each change of the list.
    pub generation: u64,
    /// Whether `instances` is the complete endpoint list rather than the changes to an earlier endpoint list.
    pub reset: bool,
    /// The workers in the complete endpoint list, or the workers whose entries have changed.
    pub instances: Vec<Instance>,
}

/// One worker in an endpoint document.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The worker's name, which is the same at every scheduler.
    pub instance_id: String,
    /// The address at which this scheduler reaches the worker.
    #[serde(default)]
    pub host_port: String,
    /// The worker's zone.
    #[serde(default)]
    pub zone: String,
    /// The worker's machine type.
    #[serde(default)]
    pub machine_type: String,
    /// The worker's cell; `None` if the entry has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cell: Option<u32>,
    /// The worker's state as the discovery service reports it.
    pub lifecycle: InstanceState,
    /// The worker's capacity relative to that of other workers.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// When the worker's process last started, as Unix time in milliseconds; 0 if the start time is unknown
    /// or long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// A worker's state as the discovery service reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The worker accepts new jobs.
    Up,
    /// The worker finishes its current jobs and accepts no new jobs.
    Draining,
    /// The worker has left the endpoint list. This state appears only in documents that list changes.
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

impl Instance {
    /// Returns the worker's state, converted to the decision module's type.
    pub fn endpoint_state(&self) -> EndpointState {
        match self.lifecycle {
            InstanceState::Up => EndpointState::Ready,
            InstanceState::Draining => EndpointState::Draining,
            InstanceState::Removed => EndpointState::Removed,
        }
    }

    /// Converts the worker's entry to the decision module's type, in which zones and machine types are
    /// indices into `names`.
    pub fn to_endpoint(&self, names: &NameTables) -> Endpoint {
        Endpoint {
            worker: worker_id(&self.instance_id),
            zone: index_of(&names.zones, &self.zone).map_or(ZoneId::UNKNOWN, ZoneId),
            machine_type: index_of(&names.machine_types, &self.machine_type)
                .map_or(MachineTypeId::UNKNOWN, MachineTypeId),
            cell: self.cell.map_or(CellId::UNKNOWN, CellId),
            state: self.endpoint_state(),
            weight: self.weight,
            // Only the unit of the start time is converted, since the engine's clock reads Unix time too.
            started_at: self.started_at_ms.saturating_mul(MICROS_PER_MILLI),
        }
    }
}

/// Returns the index of a name that the settings list; `None` for other names.
fn index_of(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|index| index as u32)
}
