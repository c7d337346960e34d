//! The state that the tasks of a stand-in worker share: its configuration, load, speed, and the cancellation
//! signals of jobs.

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

/// The smallest factor by which the worker can be slower than configured; a factor below 1 makes the worker
/// faster.
const MIN_SLOWDOWN: f64 = 1e-3;
/// The shortest slow start, in seconds; this minimum prevents a division by zero.
const MIN_SLOW_START_TIME: f64 = 1e-9;

/// The time of a worker's last restart, by the monotonic clock and as Unix time in milliseconds.
#[derive(Clone, Copy)]
struct Restart {
    at: Instant,
    unix_ms: u64,
}

/// The part of a worker's state that changes while the worker runs.
pub(super) struct MutableState {
    /// Scripted behavior of the worker towards the next jobs and probes.
    pub(super) script: Script,
    /// The worker's past loads, from which its load reports are made.
    pub(super) load_history: LoadHistory,
    /// Whether the worker rejects every job without running it.
    pub(super) rejecting: bool,
    /// Whether [`super::Worker::kill`] has ended the worker's simulated process.
    pub(super) killed: bool,
    /// Factor by which the worker is slower than its configured speed.
    slowdown: f64,
    last_restart: Option<Restart>,
    /// Number of jobs that wait for slots.
    waiting: usize,
    /// Number of jobs that run.
    running: usize,
    /// Cancellation signals of the jobs that wait for slots or run, by request id; a signal's value is true
    /// once its job is cancelled.
    cancellations: HashMap<u64, Vec<watch::Sender<bool>>>,
}

/// The state that the tasks of one worker share.
pub(super) struct WorkerState {
    /// The worker's configuration.
    pub(super) spec: WorkerSpec,
    /// The record of runs, which other workers share.
    pub(super) runs: Runs,
    /// The start of the recording, from which the times of runs and of load reports count.
    recording_start: Instant,
    /// The worker's slots and the jobs that wait for them.
    pub(super) slots: Queue,
    /// The cache of the objects that the worker's jobs need.
    pub(super) cache: ObjectCache,
    /// Whether the worker drains: it returns the jobs that wait for slots to the scheduler and rejects new
    /// jobs.
    pub(super) draining: watch::Sender<bool>,
    /// The HTTP client by which the worker sends callbacks.
    pub(super) callbacks: CallbackClient,
    mutable: Mutex<MutableState>,
}

impl WorkerState {
    /// Creates the state of a worker at full speed without jobs.
    pub(super) fn new(spec: WorkerSpec, runs: Runs, recording_start: Instant) -> WorkerState {
        let mutable = MutableState {
            script: Script::default(),
            load_history: LoadHistory::new(spec.stats.as_ref(), spec.slots),
            rejecting: false,
            killed: false,
            slowdown: 1.0,
            last_restart: None,
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
            recording_start,
        }
    }

    /// Locks the changing part of the worker's state; the caller must not hold the guard across an `.await`.
    pub(super) fn lock(&self) -> MutexGuard<'_, MutableState> {
        self.mutable.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when the worker was last restarted, as Unix time in milliseconds; 0 if the worker was never
    /// restarted.
    pub(super) fn restarted_at_ms(&self) -> u64 {
        self.lock().last_restart.map_or(0, |restart| restart.unix_ms)
    }

    /// Sets the factor by which the worker is slower than its configured speed.
    pub(super) fn set_slowdown(&self, factor: f64) {
        self.lock().slowdown = factor.max(MIN_SLOWDOWN);
    }

    /// Resets the state that a process loses when it dies, and begins the slow start.
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
            state.last_restart = Some(Restart { at: Instant::now(), unix_ms: unix.as_millis() as u64 });
        }
        self.cache.clear();
        self.draining.send_replace(false);
    }

    /// Whether the worker would accept another job at present.
    pub(super) fn has_capacity(&self) -> bool {
        let state = self.lock();
        let has_capacity = state.waiting < self.spec.max_queued || self.slots.free() > state.waiting;
        has_capacity && !state.rejecting && !*self.draining.borrow()
    }

    /// Returns the current speed: the work that one slot completes per second, in seconds of work at speed 1.
    pub(super) fn rate(&self) -> f64 {
        let state = self.lock();
        let warm_up_fraction = state.last_restart.map_or(1.0, |restart| {
            let share = restart.at.elapsed().as_secs_f64()
                / self.spec.slow_start_time.as_secs_f64().max(MIN_SLOW_START_TIME);
            self.spec.slow_start_floor + (1.0 - self.spec.slow_start_floor) * share.min(1.0)
        });
        self.spec.speed * warm_up_fraction / state.slowdown
    }

    /// Returns the time since the start of the recording of runs.
    pub(super) fn elapsed(&self) -> Duration {
        self.recording_start.elapsed()
    }
}

/// Load reports of the worker.
impl WorkerState {
    /// Adds the worker's current load to its load history.
    pub(super) fn record_load(&self) {
        let free = self.slots.free();
        let state = &mut *self.lock();
        let inflight = state.waiting + state.running;
        let load = Load { inflight, queue: state.waiting, free, slots: self.spec.slots };
        state.load_history.record(self.elapsed(), load);
    }

    /// Returns the load that a load report made at present states. As configured, that load may be out of
    /// date.
    pub(super) fn reported_load(&self) -> Load {
        self.lock().load_history.reported(self.elapsed())
    }

    /// Returns the configuration of load reports if responses and callbacks that end an attempt carry a load
    /// report.
    pub(super) fn stats_in_answers(&self) -> Option<&StatsSpec> {
        self.spec.stats.as_ref().filter(|stats| stats.in_answers)
    }

    /// Returns the header line with the load report for a response that ends an attempt, or an empty string
    /// if such responses carry no load report.
    pub(super) fn load_header(&self) -> String {
        let line =
            |stats: &StatsSpec| format!("endpoint-load-metrics: {}\r\n", stats.text(&self.reported_load()));
        self.stats_in_answers().map(line).unwrap_or_default()
    }
}

/// Counts and cancellation of the jobs that wait for slots or run.
impl WorkerState {
    /// Counts a new job that waits for slots, and returns the job's cancellation signal.
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

    /// Counts a job that waited for slots as running.
    pub(super) fn move_to_running(&self) {
        {
            let mut state = self.lock();
            state.waiting = state.waiting.saturating_sub(1);
            state.running += 1;
        }
        self.record_load();
    }

    /// Removes a job that waits for slots from the counts.
    pub(super) fn leave_queue(&self) {
        let mut state = self.lock();
        state.waiting = state.waiting.saturating_sub(1);
    }

    /// Removes a running job from the counts.
    pub(super) fn leave_slot(&self) {
        let mut state = self.lock();
        state.running = state.running.saturating_sub(1);
    }

    /// Cancels every job that waits for slots or runs and has the request id `id`.
    pub(super) fn cancel(&self, id: u64) {
        if let Some(cancellations) = self.lock().cancellations.get(&id) {
            for cancel in cancellations {
                cancel.send_replace(true);
            }
        }
    }

    /// Removes the cancellation signal of a job that has ended; `cancelled` identifies the job among those
    /// with the same request id.
    pub(super) fn remove_cancellation(&self, id: u64, cancelled: &watch::Receiver<bool>) {
        let mut state = self.lock();
        let Some(cancellations) = state.cancellations.get_mut(&id) else { return };
        cancellations.retain(|cancel| !cancel.subscribe().same_channel(cancelled));
        if cancellations.is_empty() {
            state.cancellations.remove(&id);
        }
    }

    /// Returns the request ids of the jobs that wait for slots or run.
    pub(super) fn open_jobs(&self) -> Vec<u64> {
        self.lock().cancellations.keys().copied().collect()
    }
}
