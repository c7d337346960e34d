//! Remembers which workers are leaving by documents that have not arrived whole.
//!
//! Several answers of the discovery service may arrive at the same time, and an older one may end last. It must
//! not make a worker ready again that a newer one has reported as leaving.

use crate::discovery::document::{Instance, InstanceState};
use std::collections::BTreeMap;

/// The entries of leaving workers in incomplete documents that are newer than the endpoint list.
#[derive(Debug, Default)]
pub(super) struct LeavingWorkers {
    /// The entries by the names of the workers, with the generations of their documents.
    entries: BTreeMap<String, (u64, Instance)>,
}

impl LeavingWorkers {
    /// Records the leaving workers among the entries of an incomplete document of this generation.
    pub(super) fn record(&mut self, generation: u64, instances: &[Instance]) {
        for instance in instances.iter().filter(|instance| instance.lifecycle != InstanceState::Up) {
            let latest = self.entries.get(&instance.instance_id).map(|(latest, _)| *latest);
            if latest.is_none_or(|latest| latest <= generation) {
                self.entries.insert(instance.instance_id.clone(), (generation, instance.clone()));
            }
        }
    }

    /// Whether a document that is newer than `generation` has reported the worker as leaving.
    pub(super) fn contains_after(&self, generation: u64, name: &str) -> bool {
        self.entries.get(name).is_some_and(|(latest, _)| *latest > generation)
    }

    /// Forgets the entries that are no newer than a complete list of this generation, and returns the others.
    pub(super) fn retain_after(&mut self, generation: u64) -> Vec<Instance> {
        self.entries.retain(|_, (latest, _)| *latest > generation);
        self.entries.values().map(|(_, instance)| instance.clone()).collect()
    }

    /// Forgets all entries, because generations of another service can't be compared.
    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }
}

#[cfg(test)]
mod tests;
