//! The upstream group: the workers in the endpoint list, and the limits on connections to them.

use super::callbacks::{Callback, CallbackRouter};
use super::client::WorkerClient;
use super::connection_count::ConnectionCount;
use super::endpoint::{Availability, Worker, WorkerEndpoint};
use super::load_report::LoadReportSettings;
use super::lock_ignoring_poison;
use super::permission::ListExpiry;
use crate::memory::MemoryBudget;
use hyper::http::uri::Authority;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tracing::warn;
use vetchbridge_scheduling::{EndpointState, EndpointUpdate, WorkerId};

/// How long a worker may take to accept a job if the settings have no dial timeout.
const DEFAULT_ACCEPT_TIMEOUT: Duration = Duration::from_secs(1);

/// The workers in the endpoint list, and the attempts and probes in flight to them.
///
/// The group never chooses a worker or the time of a probe, and never retries a request by itself. The group
/// writes no request to a worker that is draining, even if the worker started to drain while the attempt was
/// waiting for a connection.
pub struct UpstreamGroup {
    workers: Mutex<HashMap<WorkerId, Arc<Worker>>>,
    pub(super) callbacks: CallbackRouter,
    timeouts: Mutex<Timeouts>,
    load_report_settings: Mutex<LoadReportSettings>,
    /// One permit for each probe that may be in flight at once. The number of probes is limited because each
    /// probe may use a file descriptor.
    pub(super) probe_permits: Semaphore,
    connection_count: ConnectionCount,
    /// The budget in which connections to workers and their responses are counted.
    pub(super) memory: MemoryBudget,
    /// When the endpoint list expires; from then on no attempt is sent.
    pub(super) list_expiry: ListExpiry,
    /// The number of connections to workers beyond which idle connections are closed.
    max_connections: AtomicUsize,
}

/// The time limits of exchanges with workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Timeouts {
    /// How long opening a connection to a worker (a dial) may take; zero for no limit.
    pub(super) dial: Duration,
    /// How long a worker may take, once connected, to respond that it accepts or rejects a job.
    pub(super) accept: Duration,
    /// How long a connection to a worker may be idle before the daemon closes it.
    pub(super) idle: Duration,
}

impl Timeouts {
    /// Creates the time limits of exchanges with workers. `worker_idle_timeout` is how long workers keep an
    /// idle connection open.
    fn new(dial: Duration, worker_idle_timeout: Duration) -> Timeouts {
        // Half of the timeout after which workers close an idle connection, so that no request is written to
        // a connection that its worker is just closing.
        let idle = worker_idle_timeout / 2;
        // The accept timeout equals the dial timeout, since a responsive worker needs one round trip for
        // either.
        let accept = if dial.is_zero() { DEFAULT_ACCEPT_TIMEOUT } else { dial };
        Timeouts { dial, accept, idle }
    }
}

impl UpstreamGroup {
    /// Creates a group without workers.
    ///
    /// `worker_idle_timeout` is how long workers keep an idle connection open; `max_probes` is the maximum
    /// number of probes in flight at once.
    pub fn new(dial_timeout: Duration, worker_idle_timeout: Duration, max_probes: usize) -> UpstreamGroup {
        UpstreamGroup {
            workers: Mutex::default(),
            callbacks: CallbackRouter::default(),
            timeouts: Mutex::new(Timeouts::new(dial_timeout, worker_idle_timeout)),
            load_report_settings: Mutex::default(),
            probe_permits: Semaphore::new(max_probes),
            connection_count: ConnectionCount::default(),
            memory: MemoryBudget::new(usize::MAX),
            list_expiry: ListExpiry::default(),
            max_connections: AtomicUsize::new(usize::MAX),
        }
    }

    /// Returns this group with a limit on the memory that its connections share with other owners. Without
    /// this call, the memory is unlimited.
    #[must_use]
    pub fn with_memory_budget(self, memory: MemoryBudget) -> UpstreamGroup {
        UpstreamGroup { memory, ..self }
    }

    /// Sets which load reports of workers are used and how they are interpreted. Until this call, every load
    /// report is ignored.
    pub fn set_load_report_settings(&self, settings: LoadReportSettings) {
        *lock_ignoring_poison(&self.load_report_settings) = settings;
    }

    /// Returns the live count of connections to workers, including connections that are still being opened.
    pub fn connection_count(&self) -> ConnectionCount {
        self.connection_count.clone()
    }

    /// Sets the number of connections to workers beyond which idle connections are closed. Until this call,
    /// the number is unlimited.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.store(max_connections, Ordering::Relaxed);
    }

    /// Sets new time limits for the exchanges with every worker. Attempts in flight keep the old limits.
    pub fn set_timeouts(&self, dial_timeout: Duration, worker_idle_timeout: Duration) {
        let timeouts = Timeouts::new(dial_timeout, worker_idle_timeout);
        if std::mem::replace(&mut *lock_ignoring_poison(&self.timeouts), timeouts) != timeouts {
            self.close_all_idle_connections();
        }
    }

    /// Applies an update of the endpoint list to the group's workers.
    pub fn apply_endpoints<'a>(
        &self,
        update: EndpointUpdate,
        endpoints: impl Iterator<Item = WorkerEndpoint<'a>>,
    ) {
        let workers = &mut *lock_ignoring_poison(&self.workers);
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

    /// Sets when the endpoint list expires; `None` if it does not expire.
    pub fn set_list_expiry(&self, expires_at: Option<Instant>) {
        self.list_expiry.set(expires_at);
    }

    /// Adds the worker that an entry of the endpoint list describes, or replaces the worker if the entry
    /// describes a new process, and sets the worker's availability.
    fn update_worker(&self, workers: &mut HashMap<WorkerId, Arc<Worker>>, endpoint: &WorkerEndpoint<'_>) {
        let WorkerEndpoint { worker_id, name, address, state, .. } = *endpoint;
        match address.parse::<Authority>() {
            Ok(address) => {
                let current = workers.get(&worker_id);
                if !current.is_some_and(|worker| worker.is_same_process(endpoint, &address)) {
                    let worker = Arc::new(Worker::new(endpoint, address, self.new_client()));
                    if let Some(replaced) = workers.insert(worker_id, worker) {
                        replaced.availability.send_replace(Availability::Replaced);
                    }
                }
            }
            Err(error) => warn!(worker = name, address, %error, "worker.address_invalid"),
        }
        if let Some(worker) = workers.get(&worker_id) {
            worker.availability.send_replace(Availability::from_state(state));
        }
    }

    /// Closes the idle connections to a worker by replacing the worker's connection pool.
    pub fn close_idle_connections(&self, worker_id: WorkerId) {
        if let Some(worker) = lock_ignoring_poison(&self.workers).get(&worker_id) {
            *lock_ignoring_poison(&worker.client) = self.new_client();
        }
    }

    /// Closes the idle connections to every worker.
    pub fn close_all_idle_connections(&self) {
        for worker in lock_ignoring_poison(&self.workers).values() {
            *lock_ignoring_poison(&worker.client) = self.new_client();
        }
    }

    /// Closes idle connections while the number of connections to workers exceeds its maximum, starting with
    /// the least recently used worker.
    ///
    /// All idle connections of a chosen worker are closed. A connection of that worker that is in use is
    /// closed when its exchange has ended.
    pub(super) fn evict_idle_connections(&self) {
        let max_connections = self.max_connections.load(Ordering::Relaxed);
        if self.connection_count.get() <= max_connections {
            return;
        }
        let workers = lock_ignoring_poison(&self.workers);
        let mut clients: Vec<_> =
            workers.values().map(|worker| lock_ignoring_poison(&worker.client)).collect();
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

    /// Returns the number of workers in the endpoint list.
    pub fn worker_count(&self) -> usize {
        lock_ignoring_poison(&self.workers).len()
    }

    /// Returns a worker's name for the log; empty if the worker is not in the endpoint list.
    pub fn worker_name(&self, worker_id: WorkerId) -> String {
        lock_ignoring_poison(&self.workers)
            .get(&worker_id)
            .map(|worker| worker.name.clone())
            .unwrap_or_default()
    }

    /// Dispatches a worker's callback to the attempt that the callback is about. Returns false if this
    /// process has no such attempt.
    pub fn dispatch_callback(&self, callback: &Callback) -> bool {
        self.callbacks.dispatch(callback)
    }

    pub(super) fn worker(&self, worker_id: WorkerId) -> Option<Arc<Worker>> {
        lock_ignoring_poison(&self.workers).get(&worker_id).cloned()
    }

    pub(super) fn accept_timeout(&self) -> Duration {
        lock_ignoring_poison(&self.timeouts).accept
    }

    pub(super) fn load_report_settings(&self) -> LoadReportSettings {
        *lock_ignoring_poison(&self.load_report_settings)
    }

    fn new_client(&self) -> WorkerClient {
        let timeouts = *lock_ignoring_poison(&self.timeouts);
        WorkerClient::new(timeouts, self.connection_count.clone(), self.memory.clone())
    }
}
