//! The endpoint list: one entry for each worker, with the version of its last change.

use crate::worker::Worker;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Where a worker is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes jobs.
    Up,
    /// It finishes its jobs and takes no more.
    Draining,
    /// It is no longer listed.
    Removed,
}

impl Lifecycle {
    /// The value on the wire.
    fn as_str(self) -> &'static str {
        match self {
            Lifecycle::Up => "up",
            Lifecycle::Draining => "draining",
            Lifecycle::Removed => "removed",
        }
    }
}

/// The entry of one worker.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker's name.
    pub name: String,
    /// Where each scheduler reaches it.
    pub addresses: Vec<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Where it is in its life.
    pub lifecycle: Lifecycle,
    /// Its weight.
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds.
    pub started_at_ms: u64,
}

impl Endpoint {
    /// A worker's entry.
    pub fn of(worker: &Worker, lifecycle: Lifecycle) -> Endpoint {
        let spec = worker.spec();
        Endpoint {
            name: spec.name.clone(),
            addresses: worker.addresses(),
            zone: spec.zone.clone(),
            kind: spec.kind.clone(),
            cell: spec.cell,
            lifecycle,
            weight: spec.weight,
            started_at_ms: worker.started_at_ms(),
        }
    }

    /// The entry on the wire, as one scheduler gets it.
    fn json(&self, scheduler: usize) -> Value {
        let address = self.addresses.get(scheduler).map(SocketAddr::to_string).unwrap_or_default();
        json!({"instanceId": self.name, "hostPort": address, "zone": self.zone, "machineType": self.kind,
               "cell": self.cell, "lifecycle": self.lifecycle.as_str(), "weight": self.weight,
               "startedAtMs": self.started_at_ms})
    }
}

/// An endpoint and the version of its last change.
struct VersionedEndpoint {
    endpoint: Endpoint,
    version: u64,
}

/// All endpoints by name, also those that were removed.
pub(super) struct EndpointList {
    version: u64,
    endpoints: BTreeMap<String, VersionedEndpoint>,
}

impl Default for EndpointList {
    /// An empty list; versions count from 1.
    fn default() -> EndpointList {
        EndpointList { version: 1, endpoints: BTreeMap::new() }
    }
}

impl EndpointList {
    /// The version of the last change.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Adds or replaces an endpoint, as the next version.
    pub(super) fn update(&mut self, endpoint: Endpoint) {
        self.version += 1;
        let entry = VersionedEndpoint { endpoint, version: self.version };
        self.endpoints.insert(entry.endpoint.name.clone(), entry);
    }

    /// The document for a scheduler: the changes after version `since`, or else the complete list. A version
    /// that the list has not reached counts as none.
    pub(super) fn document(&self, scheduler: usize, since: Option<u64>) -> Value {
        let since = since.filter(|since| *since <= self.version);
        let listed = self.endpoints.values().filter(|entry| match since {
            Some(since) => entry.version > since,
            None => entry.endpoint.lifecycle != Lifecycle::Removed,
        });
        let instances: Vec<Value> = listed.map(|entry| entry.endpoint.json(scheduler)).collect();
        json!({"generation": self.version, "reset": since.is_none(), "instances": instances})
    }
}
