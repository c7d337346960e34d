//! The endpoint list as last published, with the entries in the form in which the discovery service sent
//! them.
//!
//! The [watcher](super::watcher) updates the list. An upgrade hands the list over to the successor process. A
//! configuration reload that changes the numbers of zones or machine types converts the entries again.

use crate::discovery::document::{EndpointSource, Instance, InstanceState};
use crate::snapshot::NameTables;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vetchbridge_scheduling::{Endpoint, EndpointUpdate};

/// The complete endpoint list of this scheduler and the list's generation.
#[derive(Debug, Default)]
pub struct EndpointList {
    source: Option<SocketAddr>,
    generation: Option<u64>,
    instances: BTreeMap<String, Instance>,
}

impl EndpointList {
    /// Records that updates of the endpoint list come from another source from now on. The entries are kept
    /// until the new source has responded. The generation is cleared, since the generations of two sources
    /// can't be compared.
    pub fn change_source(&mut self, source: &EndpointSource) {
        self.source = match source {
            EndpointSource::Service(address) => Some(*address),
            EndpointSource::Fixed(_) => None,
        };
        self.generation = None;
    }

    /// Applies an update of the endpoint list. An update without a generation, such as an update read from a
    /// truncated document, keeps the previous generation.
    pub fn apply(&mut self, update: EndpointUpdate, generation: Option<u64>, instances: &[Instance]) {
        if update.is_complete() {
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

    /// Returns the entries of the endpoint list, and their generation if the current source has provided a
    /// generation.
    pub fn snapshot(&self) -> (Vec<Instance>, Option<u64>) {
        (self.instances.values().cloned().collect(), self.generation)
    }

    /// Returns the entries of the endpoint list, converted to the decision module's type.
    pub fn endpoints(&self, names: &NameTables) -> Vec<Endpoint> {
        self.instances.values().map(|instance| instance.to_endpoint(names)).collect()
    }

    /// Returns the address of the discovery service that the endpoint list comes from; `None` if the list
    /// comes from the configuration.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source
    }
}

#[cfg(test)]
mod tests;
