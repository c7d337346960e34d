//! The fleet: the workers that a scheduler knows, and the hash ring of these workers. Updates of the endpoint
//! list change both.

use crate::events::{Endpoint, EndpointState, EndpointUpdate};
use crate::ids::{Micros, WorkerId};
use crate::ring::Ring;
use crate::settings::WeightSource;
use crate::slow_start::StartBounds;
use crate::worker::Worker;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// Limit on the workers that the fleet keeps: the fleet drops removed workers once the number of all its
/// workers reaches twice the number of ready workers plus this number.
const MAX_REMOVED_WORKERS: usize = 64;
/// A change of a worker's weight in the endpoint list by at most this fraction of the weight is ignored.
const MIN_WEIGHT_CHANGE: f64 = 0.01;

/// The workers that a scheduler knows, in the order in which the endpoint list first contained them, and the
/// hash ring of these workers.
#[derive(Default)]
pub(crate) struct Fleet {
    workers: Vec<Worker>,
    /// Index of each worker in the list `workers`, by the worker's id.
    index_by_id: BTreeMap<WorkerId, usize>,
    ring: Ring,
    ready_count: usize,
    start_bounds: StartBounds,
}

impl Fleet {
    /// Applies an update of the endpoint list to the workers and to the ring.
    pub(crate) fn update(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        weights: WeightSource,
    ) {
        if update.is_complete() {
            self.remove_unlisted(&endpoints);
        }
        let mut changed = Vec::new();
        for endpoint in endpoints {
            changed.extend(self.apply_entry(now, endpoint, weights));
        }
        if update.is_response() || update == EndpointUpdate::HandedOver {
            self.start_bounds.record_response(now);
        }
        self.ring.place_points(&mut self.workers, changed);
        self.ready_count = self.workers.iter().filter(|worker| worker.is_ready).count();
        self.drop_removed();
    }

    /// Marks the workers that are missing from a complete endpoint list as not ready.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
        for worker in &mut self.workers {
            worker.is_ready &= listed.contains(&worker.endpoint.worker);
        }
    }

    /// Applies one entry of the endpoint list. Returns the worker's index if the worker's virtual points have
    /// to be placed on the hash ring.
    fn apply_entry(&mut self, now: Micros, endpoint: Endpoint, weights: WeightSource) -> Option<usize> {
        let weight = listed_weight(&endpoint, weights);
        let is_ready = endpoint.state == EndpointState::Ready;
        let started_at = self.start_bounds.started_at(now, endpoint.started_at);
        let Some(index) = self.index_of(endpoint.worker) else {
            return is_ready.then(|| self.add(Worker::new(endpoint, weight, started_at)));
        };
        let worker = &mut self.workers[index];
        worker.is_ready = is_ready;
        if endpoint.state == EndpointState::Removed {
            return None;
        }
        let (zone, machine_type, cell) = (endpoint.zone, endpoint.machine_type, endpoint.cell);
        // Start times are compared only for equality, because the other machine's wall clock that gives them
        // may be stepped. The entry of a worker that is not ready may contain an older start time, which is
        // ignored.
        if is_ready && endpoint.started_at != 0 && endpoint.started_at != worker.endpoint.started_at {
            worker.restart(endpoint, weight, started_at);
        }
        (worker.endpoint.zone, worker.endpoint.machine_type, worker.endpoint.cell) =
            (zone, machine_type, cell);
        if (weight / worker.weight - 1.0).abs() <= MIN_WEIGHT_CHANGE {
            return None;
        }
        worker.weight = weight;
        Some(index)
    }

    fn add(&mut self, worker: Worker) -> usize {
        let index = self.workers.len();
        self.index_by_id.insert(worker.endpoint.worker, index);
        self.workers.push(worker);
        index
    }

    /// Drops the removed workers that have no attempts in flight, once the fleet has more workers than
    /// [`MAX_REMOVED_WORKERS`] allows. Otherwise the fleet's memory would grow as machines come and go.
    fn drop_removed(&mut self) {
        if self.workers.len() < 2 * self.ready_count + MAX_REMOVED_WORKERS {
            return;
        }
        self.workers.retain(|worker| worker.is_ready || !worker.in_flight.is_empty());
        let ids = self.workers.iter().map(|worker| worker.endpoint.worker);
        self.index_by_id = ids.zip(0..).collect();
        self.ring.rebuild(&mut self.workers);
    }

    pub(crate) fn ring(&self) -> &Ring {
        &self.ring
    }

    pub(crate) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.ready_count
    }

    pub(crate) fn ready(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter().filter(|worker| worker.is_ready)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        self.workers.iter_mut()
    }

    pub(crate) fn index_of(&self, worker: WorkerId) -> Option<usize> {
        self.index_by_id.get(&worker).copied()
    }

    pub(crate) fn get(&self, worker: WorkerId) -> Option<&Worker> {
        self.index_of(worker).map(|index| &self.workers[index])
    }
}

impl Index<usize> for Fleet {
    type Output = Worker;

    fn index(&self, index: usize) -> &Worker {
        &self.workers[index]
    }
}

impl IndexMut<usize> for Fleet {
    fn index_mut(&mut self, index: usize) -> &mut Worker {
        &mut self.workers[index]
    }
}

/// Returns the weight in a worker's entry of the endpoint list if the weight is a valid size, otherwise 1.
fn listed_weight(endpoint: &Endpoint, weights: WeightSource) -> f64 {
    let is_valid = weights == WeightSource::Size && endpoint.weight.is_finite() && endpoint.weight > 0.0;
    if is_valid {
        endpoint.weight
    } else {
        1.0
    }
}

#[cfg(test)]
mod tests;
