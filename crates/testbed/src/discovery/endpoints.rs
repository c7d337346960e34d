//! The endpoint list of the stand-in discovery service: one entry for each worker, with the list version at
//! which the entry last changed.

use crate::worker::Worker;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The lifecycle state of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The worker accepts jobs.
    Up,
    /// The worker finishes its jobs and accepts no new ones.
    Draining,
    /// The worker is no longer part of the endpoint list.
    Removed,
}

impl Lifecycle {
    /// Returns the value of an entry's `lifecycle` field in the endpoint list's JSON.
    fn as_str(self) -> &'static str {
        match self {
            Lifecycle::Up => "up",
            Lifecycle::Draining => "draining",
            Lifecycle::Removed => "removed",
        }
    }
}

/// The entry of one worker in the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker's name.
    pub name: String,
    /// The address at which each scheduler reaches the worker, in the order of the schedulers.
    pub addresses: Vec<SocketAddr>,
    /// The worker's zone.
    pub zone: String,
    /// The worker's machine type.
    pub kind: String,
    /// The number of the worker's cell.
    pub cell: u32,
    /// The worker's lifecycle state.
    pub lifecycle: Lifecycle,
    /// The worker's weight, which the schedulers use to distribute jobs.
    pub weight: f64,
    /// The worker's last restart as Unix time in milliseconds; 0 if the worker was never restarted.
    pub started_at_ms: u64,
}

impl Endpoint {
    /// Creates the entry of a worker from its configuration and addresses.
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

    /// Returns the entry as JSON, with the address at which one scheduler reaches the worker.
    fn json(&self, scheduler: usize) -> Value {
        let address = self.addresses.get(scheduler).map(SocketAddr::to_string).unwrap_or_default();
        json!({"instanceId": self.name, "hostPort": address, "zone": self.zone, "machineType": self.kind,
               "cell": self.cell, "lifecycle": self.lifecycle.as_str(), "weight": self.weight,
               "startedAtMs": self.started_at_ms})
    }
}

/// An endpoint and the list version at which it last changed.
struct VersionedEndpoint {
    endpoint: Endpoint,
    version: u64,
}

/// All endpoints by name, including those of removed workers.
pub(super) struct EndpointList {
    version: u64,
    endpoints: BTreeMap<String, VersionedEndpoint>,
}

impl Default for EndpointList {
    /// Returns an empty endpoint list; versions start at 1.
    fn default() -> EndpointList {
        EndpointList { version: 1, endpoints: BTreeMap::new() }
    }
}

impl EndpointList {
    /// Returns the version of the list, which each change increases by 1.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Adds an endpoint, or replaces the endpoint of the same name, and increases the list's version.
    pub(super) fn update(&mut self, endpoint: Endpoint) {
        self.version += 1;
        let entry = VersionedEndpoint { endpoint, version: self.version };
        self.endpoints.insert(entry.endpoint.name.clone(), entry);
    }

    /// Returns the JSON document that a scheduler receives: the changes after version `since`, or the
    /// complete list if `since` is absent or greater than the current version.
    pub(super) fn document(&self, scheduler: usize, since: Option<u64>) -> Value {
        let since = since.filter(|since| *since <= self.version);
        let selected = self.endpoints.values().filter(|entry| match since {
            Some(since) => entry.version > since,
            None => entry.endpoint.lifecycle != Lifecycle::Removed,
        });
        let instances: Vec<Value> = selected.map(|entry| entry.endpoint.json(scheduler)).collect();
        json!({"generation": self.version, "reset": since.is_none(), "instances": instances})
    }
}
