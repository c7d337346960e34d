//! The endpoint list as last published, in the discovery service's form.
//!
//! The [watcher](super::watcher) writes it. An upgrade hands it to the successor process, and a reload that renumbers
//! zones or kinds translates it again.

use crate::discovery::document::{EndpointSource, Instance, InstanceState};
use crate::snapshot::NameTables;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use vetchbridge_scheduling::{Endpoint, EndpointUpdate};

/// The complete endpoint list, with its generation at its source.
#[derive(Debug, Default)]
pub struct EndpointList {
    source: Option<SocketAddr>,
    generation: Option<u64>,
    instances: BTreeMap<String, Instance>,
}

impl EndpointList {
    /// Takes the list from another source from now on. The entries stay until the new source has answered; the
    /// generation goes, since generations of two sources can't be compared.
    pub fn change_source(&mut self, source: &EndpointSource) {
        self.source = match source {
            EndpointSource::Service(address) => Some(*address),
            EndpointSource::Fixed(_) => None,
        };
        self.generation = None;
    }

    /// Applies an update. One without a generation, such as what was read of a broken document, leaves the generation
    /// as it was.
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

    /// The entries, and their generation at the source if they have one.
    pub fn snapshot(&self) -> (Vec<Instance>, Option<u64>) {
        (self.instances.values().cloned().collect(), self.generation)
    }

    /// The entries in the scheduler's terms.
    pub fn endpoints(&self, names: &NameTables) -> Vec<Endpoint> {
        self.instances.values().map(|instance| instance.to_endpoint(names)).collect()
    }

    /// The address of the discovery service that the list comes from, if it comes from one.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source
    }
}

#[cfg(test)]
mod tests;
