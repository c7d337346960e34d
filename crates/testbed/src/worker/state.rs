//! State of a worker that its tasks share: configuration, load, speed, and the jobs that can be cancelled.

use super::callbacks::CallbackClient;
use super::script::Script;
use super::spec::WorkerSpec;
use crate::queue::Queue;
use crate::runs::Runs;
use crate::stats::{Load, LoadHistory, StatsSpec};
use crate::store::ObjectCache;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::Instant;

/// The smallest factor by which a worker can be slowed down.
const MIN_SLOWDOWN: f64 = 1e-3;
/// The shortest slow start, in seconds; it prevents a division by zero.
const MIN_SLOW_START_TIME: f64 = 1e-9;

/// When a worker was last restarted.
#[derive(Clone, Copy)]
struct Restart {
    at: Instant,
    unix_ms: u64,
}

/// What changes while a worker runs.
pub(super) struct MutableState {
    /// What it does with the next jobs and probes.
    pub(super) script: Script,
    /// Load reports of the past.
    pub(super) load_history: LoadHistory,
    /// Whether every job is rejected.
    pub(super) rejecting: bool,
    /// Whether its process counts as dead.
    pub(super) killed: bool,
    /// Factor by which it is slower than configured.
    slowdown: f64,
    restarted: Option<Restart>,
    waiting: usize,
    running: usize,
    /// Signals by which jobs are cancelled, by request id.
    cancellations: HashMap<u64, Vec<watch::Sender<bool>>>,
}

/// State of a worker that its tasks share.
pub(super) struct WorkerState {
    /// Its configuration.
    pub(super) spec: WorkerSpec,
    /// The record of runs.
    pub(super) runs: Runs,
    /// When the record of runs began.
    began: Instant,
    /// Its slots and the jobs that wait for them.
    pub(super) slots: Queue,
    /// Objects that it caches.
    pub(super) cache: ObjectCache,
    /// Whether waiting jobs are returned.
    pub(super) draining: watch::Sender<bool>,
    /// Client for callbacks.
    pub(super) callbacks: CallbackClient,
    mutable: Mutex<MutableState>,
}

impl WorkerState {
    /// A worker at full speed without jobs.
    pub(super) fn new(spec: WorkerSpec, runs: Runs, began: Instant) -> WorkerState {
        let mutable = MutableState {
            script: Script::default(),
            load_history: LoadHistory::new(spec.stats.as_ref(), spec.slots),
            rejecting: false,
            killed: false,
            slowdown: 1.0,
            restarted: None,
            waiting: 0,
            running: 0,
            cancellations: HashMap::new(),
        };
        WorkerState {
            slots: Queue::new(spec.slots, spec.order),
            cache: ObjectCache::new(spec.cache.clone()),
            draining: watch::Sender::new(false),
            callbacks: CallbackClient::new(),
            mutable: Mutex::new(mutable),
            spec,
            runs,
            began,
        }
    }

    /// Locks what changes; the guard must not live across an await.
    pub(super) fn lock(&self) -> MutexGuard<'_, MutableState> {
        self.mutable.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When it was last restarted, as Unix time in milliseconds; 0 for never.
    pub(super) fn restarted_at_ms(&self) -> u64 {
        self.lock().restarted.map_or(0, |restart| restart.unix_ms)
    }

    /// Sets the factor by which it is slower than configured.
    pub(super) fn set_slowdown(&self, factor: f64) {
        self.lock().slowdown = factor.max(MIN_SLOWDOWN);
    }

    /// Resets everything that a process loses by its death, and begins the slow start.
    pub(super) fn restart(&self) {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        {
            let mut state = self.lock();
            state.killed = false;
            state.rejecting = false;
            state.slowdown = 1.0;
            state.waiting = 0;
            state.running = 0;
            state.cancellations.clear();
            state.restarted = Some(Restart { at: Instant::now(), unix_ms: unix.as_millis() as u64 });
        }
        self.cache.clear();
        self.draining.send_replace(false);
    }

    /// Whether it accepts another job.
    pub(super) fn has_capacity(&self) -> bool {
        let state = self.lock();
        let has_capacity = state.waiting < self.spec.max_queued || self.slots.free() > state.waiting;
        has_capacity && !state.rejecting && !*self.draining.borrow()
    }

    /// Work that one slot completes per second now, in seconds at speed 1.
    pub(super) fn rate(&self) -> f64 {
        let state = self.lock();
        let warm_up_fraction = state.restarted.map_or(1.0, |restart| {
            let share = restart.at.elapsed().as_secs_f64()
                / self.spec.slow_start_time.as_secs_f64().max(MIN_SLOW_START_TIME);
            self.spec.slow_start_floor + (1.0 - self.spec.slow_start_floor) * share.min(1.0)
        });
        self.spec.speed * warm_up_fraction / state.slowdown
    }

    /// Time since the record of runs began.
    pub(super) fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

/// Load reports.
impl WorkerState {
    /// Records the load as it is now.
    pub(super) fn record_load(&self) {
        let free = self.slots.free();
        let state = &mut *self.lock();
        let inflight = state.waiting + state.running;
        let load = Load { inflight, queue: state.waiting, free, slots: self.spec.slots };
        state.load_history.record(self.elapsed(), load);
    }

    /// The load that a report has now; it may be out of date, as configured.
    pub(super) fn reported_load(&self) -> Load {
        self.lock().load_history.reported(self.elapsed())
    }

    /// The form of load reports in answers and callbacks that end an attempt, if they carry any.
    pub(super) fn stats_in_answers(&self) -> Option<&StatsSpec> {
        self.spec.stats.as_ref().filter(|stats| stats.in_answers)
    }

    /// The header line with the load report of an answer that ends an attempt; empty if it carries none.
    pub(super) fn load_header(&self) -> String {
        let line =
            |stats: &StatsSpec| format!("endpoint-load-metrics: {}\r\n", stats.text(&self.reported_load()));
        self.stats_in_answers().map(line).unwrap_or_default()
    }
}

/// Jobs that wait or run.
impl WorkerState {
    /// Counts a job that waits now; its cancellation signal.
    pub(super) fn enqueue(&self, id: u64) -> watch::Receiver<bool> {
        let (cancel, cancelled) = watch::channel(false);
        {
            let mut state = self.lock();
            state.waiting += 1;
            state.cancellations.entry(id).or_default().push(cancel);
        }
        self.record_load();
        cancelled
    }

    /// Counts a waiting job as running from now on.
    pub(super) fn begin(&self) {
        {
            let mut state = self.lock();
            state.waiting = state.waiting.saturating_sub(1);
            state.running += 1;
        }
        self.record_load();
    }

    /// Removes a job that waited.
    pub(super) fn leave_queue(&self) {
        let mut state = self.lock();
        state.waiting = state.waiting.saturating_sub(1);
    }

    /// Removes a job that ran.
    pub(super) fn leave_slot(&self) {
        let mut state = self.lock();
        state.running = state.running.saturating_sub(1);
    }

    /// Cancels every job of a request.
    pub(super) fn cancel(&self, id: u64) {
        if let Some(cancellations) = self.lock().cancellations.get(&id) {
            for cancel in cancellations {
                cancel.send_replace(true);
            }
        }
    }

    /// Forgets the cancellation signal of a job that has ended.
    pub(super) fn forget_cancellation(&self, id: u64, cancelled: &watch::Receiver<bool>) {
        let mut state = self.lock();
        let Some(cancellations) = state.cancellations.get_mut(&id) else { return };
        cancellations.retain(|cancel| !cancel.subscribe().same_channel(cancelled));
        if cancellations.is_empty() {
            state.cancellations.remove(&id);
        }
    }

    /// Ids of the requests whose jobs wait or run.
    pub(super) fn open_jobs(&self) -> Vec<u64> {
        self.lock().cancellations.keys().copied().collect()
    }
}
