//! The upstream group: the workers in the endpoint list, and the limits on connections to them.

use super::callbacks::{Callback, CallbackRouter};
use super::client::WorkerClient;
use super::connection_count::ConnectionCount;
use super::endpoint::{Availability, Worker, WorkerEndpoint};
use super::load_report::LoadReportSettings;
use super::lock;
use hyper::http::uri::Authority;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tracing::warn;
use vetchbridge_scheduling::{EndpointState, EndpointUpdate, WorkerId};

/// How long a worker may take to accept a job where the settings put no limit on a dial.
const DEFAULT_ACCEPT_TIMEOUT: Duration = Duration::from_secs(1);

/// The workers that may get requests, and the attempts and probes in flight to them.
///
/// The group never chooses a worker or the time of a probe, and never repeats a request by itself. It writes no request to a
/// worker that is draining, even if the attempt started before that and still waits for its connection.
pub struct UpstreamGroup {
    workers: Mutex<HashMap<WorkerId, Arc<Worker>>>,
    pub(super) callbacks: CallbackRouter,
    timeouts: Mutex<Timeouts>,
    load_reports: Mutex<LoadReportSettings>,
    /// One permit for each probe that may be in flight, since each may use a descriptor.
    pub(super) probe_permits: Semaphore,
    connections: ConnectionCount,
    /// With more connections than this, idle ones are closed.
    max_connections: AtomicUsize,
}

/// Time limits of the exchanges with workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Timeouts {
    /// Of a dial; zero for none.
    pub(super) dial: Duration,
    /// From the connection to the response that accepts or rejects a job.
    pub(super) accept: Duration,
    /// Of an idle connection.
    pub(super) idle: Duration,
}

impl Timeouts {
    /// `worker_idle_timeout` is when workers close an idle connection themselves.
    fn new(dial: Duration, worker_idle_timeout: Duration) -> Timeouts {
        // Half of the workers' own timeout: no request is written to a connection that may just have expired.
        let idle = worker_idle_timeout / 2;
        // As long as a dial: each is one round trip of a responsive worker.
        let accept = if dial.is_zero() { DEFAULT_ACCEPT_TIMEOUT } else { dial };
        Timeouts { dial, accept, idle }
    }
}

impl UpstreamGroup {
    /// A group without workers.
    ///
    /// `worker_idle_timeout` is when workers close an idle connection themselves; `max_probes` limits the probes in flight.
    pub fn new(dial_timeout: Duration, worker_idle_timeout: Duration, max_probes: usize) -> UpstreamGroup {
        UpstreamGroup {
            workers: Mutex::default(),
            callbacks: CallbackRouter::default(),
            timeouts: Mutex::new(Timeouts::new(dial_timeout, worker_idle_timeout)),
            load_reports: Mutex::default(),
            probe_permits: Semaphore::new(max_probes),
            connections: ConnectionCount::default(),
            max_connections: AtomicUsize::new(usize::MAX),
        }
    }

    /// Sets how load reports are read; until this is called none counts.
    pub fn set_load_reports(&self, settings: LoadReportSettings) {
        *lock(&self.load_reports) = settings;
    }

    /// The number of connections to workers, including dials.
    pub fn connections(&self) -> ConnectionCount {
        self.connections.clone()
    }

    /// Sets the number of connections beyond which idle ones are closed; there is no limit until this is called.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.store(max_connections, Ordering::Relaxed);
    }

    /// Sets new time limits for every worker; they do not apply to attempts in flight.
    pub fn set_timeouts(&self, dial_timeout: Duration, worker_idle_timeout: Duration) {
        let timeouts = Timeouts::new(dial_timeout, worker_idle_timeout);
        if std::mem::replace(&mut *lock(&self.timeouts), timeouts) != timeouts {
            self.close_all_idle_connections();
        }
    }

    /// Applies an update of the endpoint list.
    pub fn apply_endpoints<'a>(
        &self,
        update: EndpointUpdate,
        endpoints: impl Iterator<Item = WorkerEndpoint<'a>>,
    ) {
        let workers = &mut *lock(&self.workers);
        let mut removed: HashSet<WorkerId> =
            if update.is_complete() { workers.keys().copied().collect() } else { HashSet::new() };
        for endpoint in endpoints {
            removed.remove(&endpoint.worker_id);
            if endpoint.state == EndpointState::Removed {
                removed.insert(endpoint.worker_id);
            } else {
                self.update_worker(workers, &endpoint);
            }
        }
        for worker_id in removed {
            if let Some(worker) = workers.remove(&worker_id) {
                worker.availability.send_replace(Availability::Draining);
            }
        }
    }

    /// Adds the worker of an endpoint, replaces it where its process is a new one, and sets its availability.
    fn update_worker(&self, workers: &mut HashMap<WorkerId, Arc<Worker>>, endpoint: &WorkerEndpoint<'_>) {
        let WorkerEndpoint { worker_id, name, address, state, .. } = *endpoint;
        match address.parse::<Authority>() {
            Ok(address) => {
                let known = workers.get(&worker_id);
                if !known.is_some_and(|worker| worker.is_same_process(endpoint, &address)) {
                    let worker = Arc::new(Worker::new(endpoint, address, self.new_client()));
                    if let Some(replaced) = workers.insert(worker_id, worker) {
                        replaced.availability.send_replace(Availability::Replaced);
                    }
                }
            }
            Err(error) => warn!(worker = name, address, %error, "worker.address_invalid"),
        }
        if let Some(worker) = workers.get(&worker_id) {
            worker.availability.send_replace(Availability::of(state));
        }
    }

    /// Closes the idle connections to a worker, by replacing its pool.
    pub fn close_idle_connections(&self, worker_id: WorkerId) {
        if let Some(worker) = lock(&self.workers).get(&worker_id) {
            *lock(&worker.client) = self.new_client();
        }
    }

    /// Closes the idle connections to every worker.
    pub fn close_all_idle_connections(&self) {
        for worker in lock(&self.workers).values() {
            *lock(&worker.client) = self.new_client();
        }
    }

    /// Closes idle connections beyond the limit, those of the least recently used workers first.
    ///
    /// A connection in use is closed once its exchange has ended.
    pub(super) fn evict_idle_connections(&self) {
        let max_connections = self.max_connections.load(Ordering::Relaxed);
        if self.connections.get() <= max_connections {
            return;
        }
        let workers = lock(&self.workers);
        let mut clients: Vec<_> = workers.values().map(|worker| lock(&worker.client)).collect();
        clients.retain(|client| client.connection_count() > 0);
        clients.sort_by_key(|client| client.last_used());
        let total: usize = clients.iter().map(|client| client.connection_count()).sum();
        let mut excess = total.saturating_sub(max_connections);
        for client in &mut clients {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(client.connection_count());
            **client = self.new_client();
        }
    }

    /// A worker's name, for the log; empty if the worker is not in the endpoint list.
    pub fn worker_name(&self, worker_id: WorkerId) -> String {
        lock(&self.workers).get(&worker_id).map(|worker| worker.name.clone()).unwrap_or_default()
    }

    /// Dispatches a callback to the attempt that it is about; false if there is no such attempt here.
    pub fn dispatch_callback(&self, callback: &Callback) -> bool {
        self.callbacks.dispatch(callback)
    }

    pub(super) fn worker(&self, worker_id: WorkerId) -> Option<Arc<Worker>> {
        lock(&self.workers).get(&worker_id).cloned()
    }

    pub(super) fn accept_timeout(&self) -> Duration {
        lock(&self.timeouts).accept
    }

    pub(super) fn load_reports(&self) -> LoadReportSettings {
        *lock(&self.load_reports)
    }

    fn new_client(&self) -> WorkerClient {
        WorkerClient::new(*lock(&self.timeouts), self.connections.clone())
    }
}
