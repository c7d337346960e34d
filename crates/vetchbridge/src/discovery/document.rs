//! The list of workers in discovery's form, and its translation into the module's terms.
//!
//! Owns the names of the list's fields. It must never ask for a list or judge one.

use crate::workers::worker_id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vetchbridge_scheduling::interface::*;

/// What the settings' indices are called on the sockets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
}

/// A list, or the changes of one, in discovery's form.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct EndpointDocument {
    /// The list's version.
    pub generation: u64,
    /// It is the whole list, not changes alone.
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Instance>,
}

/// One entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The worker's name, the same at every scheduler.
    pub instance_id: String,
    /// Where this scheduler reaches it.
    #[serde(default)]
    pub host_port: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default)]
    pub machine_type: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Its state.
    pub lifecycle: InstanceState,
    /// Its size, to compare with other workers'.
    #[serde(default = "one")]
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// A worker's state as discovery words it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// Takes jobs.
    Up,
    /// Finishes what it has.
    Draining,
    /// Has left; among changes only.
    Removed,
}

fn one() -> f64 {
    1.0
}

impl Instance {
    /// Its state in the module's terms.
    pub fn state(&self) -> EndpointState {
        match self.lifecycle {
            InstanceState::Up => EndpointState::Ready,
            InstanceState::Draining => EndpointState::Draining,
            InstanceState::Removed => EndpointState::Removed,
        }
    }

    /// The entry in the module's terms.
    pub fn endpoint(&self, names: &Names) -> Endpoint {
        // A name that the settings don't know gets an index that no class or scheduler has.
        let index = |names: &[String], name: &str| {
            names.iter().position(|known| known == name).map_or(u32::MAX, |at| at as u32)
        };
        Endpoint {
            worker: worker_id(&self.instance_id),
            zone: ZoneId(index(&names.zones, &self.zone)),
            kind: KindId(index(&names.kinds, &self.machine_type)),
            cell: CellId(self.cell),
            state: self.state(),
            weight: self.weight,
            // The module's clock starts from Unix time.
            started_at: self.started_at_ms.saturating_mul(1000),
        }
    }
}

/// The whole list as last told, in discovery's form: what a successor begins with.
#[derive(Debug, Default)]
pub struct EndpointList {
    source: Option<SocketAddr>,
    generation: Option<u64>,
    instances: BTreeMap<String, Instance>,
}

impl EndpointList {
    /// The list comes from here from now on; versions of the one before mean nothing any more.
    pub fn move_to(&mut self, source: &Source) {
        self.source = match source {
            Source::Service(address) => Some(*address),
            Source::Fixed(_) => None,
        };
        self.generation = None;
    }

    /// Takes news in. News without a version, such as a broken list's, leaves the version as it was.
    pub fn tell(&mut self, kind: EndpointUpdate, generation: Option<u64>, instances: &[Instance]) {
        if kind.is_complete() {
            self.instances.clear();
        }
        for instance in instances {
            if instance.lifecycle == InstanceState::Removed {
                self.instances.remove(&instance.instance_id);
            } else {
                self.instances.insert(instance.instance_id.clone(), instance.clone());
            }
        }
        self.generation = generation.or(self.generation);
    }

    /// The list, and its version at its source if it has one.
    pub fn whole(&self) -> (Vec<Instance>, Option<u64>) {
        (self.instances.values().cloned().collect(), self.generation)
    }

    /// The list in the module's terms.
    pub fn endpoints(&self, names: &Names) -> Vec<Endpoint> {
        self.instances.values().map(|instance| instance.endpoint(names)).collect()
    }

    /// The discovery service that it is from.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source
    }
}

/// Where the list comes from.
#[derive(Clone, Debug)]
pub enum Source {
    /// A discovery service at this address.
    Service(SocketAddr),
    /// The configuration; the list changes only with it.
    Fixed(EndpointDocument),
}
