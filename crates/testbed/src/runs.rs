//! The record of what workers ran, and the deduplication of keyed jobs.
//!
//! Times are passed in. Whether a run should have happened is checked by [`crate::audit`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It has not ended.
    Running,
    /// It completed.
    Finished,
    /// It failed.
    Failed,
    /// It was cancelled while it ran.
    Cancelled,
    /// Its process ended.
    Lost,
}

/// One run of a job at one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request's id.
    pub id: u64,
    /// The idempotency key.
    pub key: Option<String>,
    /// The class, as in the path.
    pub class: String,
    /// The object of the request, as in the path.
    pub object: String,
    /// The worker's name.
    pub worker: String,
    /// When it started, from the beginning of the record.
    pub started: Duration,
    /// How it ended.
    pub end: RunEnd,
}

/// What a worker does with a job that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs the job, as the run of this number.
    Run(usize),
    /// The job repeats the finished run of this number, and has its result.
    Finished(usize),
    /// The job repeats the run of this number, which has not ended.
    Running(usize),
}

/// An attempt that arrived complete at a worker, whatever the worker did with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptArrival {
    /// The request's id.
    pub id: u64,
    /// The worker's name.
    pub worker: String,
    /// When it arrived, from the beginning of the record.
    pub at: Duration,
    /// How long the scheduler waits for the job's end, if its request has that.
    pub expires_in: Option<Duration>,
}

/// Numbers of attempts that arrived at workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// All that arrived.
    pub arrived: u64,
    /// Those that repeated a keyed job and did not run.
    pub deduplicated: u64,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    arrivals: Vec<AttemptArrival>,
    /// The last run of each idempotency key.
    runs_by_key: HashMap<String, usize>,
    deduplicated: u64,
    probes: u64,
}

impl State {
    /// The run that a job repeats: of the same key, within the deduplication window, and neither failed nor
    /// lost.
    fn repeated_run(&self, run: &Run, window: Duration) -> Option<Admission> {
        let number = *self.runs_by_key.get(run.key.as_ref()?)?;
        let earlier = &self.runs[number];
        if run.started.saturating_sub(earlier.started) >= window {
            return None;
        }
        match earlier.end {
            RunEnd::Finished => Some(Admission::Finished(number)),
            RunEnd::Running => Some(Admission::Running(number)),
            RunEnd::Failed | RunEnd::Cancelled | RunEnd::Lost => None,
        }
    }
}

/// The record of what workers ran. Clones share one record.
#[derive(Clone, Default)]
pub struct Runs {
    state: Arc<Mutex<State>>,
    run_ended: Arc<Notify>,
}

impl Runs {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an attempt that arrived complete at a worker.
    pub fn record_attempt(&self, arrival: AttemptArrival) {
        self.state().arrivals.push(arrival);
    }

    /// The attempts that arrived, in their order.
    pub fn arrivals(&self) -> Vec<AttemptArrival> {
        self.state().arrivals.clone()
    }

    /// Records a health check that arrived at a worker.
    pub fn record_probe(&self) {
        self.state().probes += 1;
    }

    /// Number of health checks that arrived.
    pub fn probes(&self) -> u64 {
        self.state().probes
    }

    /// Starts a run, unless it repeats one of the same key that started within `window`.
    pub fn start(&self, run: Run, window: Duration) -> Admission {
        let state = &mut *self.state();
        if let Some(repeated) = state.repeated_run(&run, window) {
            state.deduplicated += 1;
            return repeated;
        }
        let number = state.runs.len();
        if let Some(key) = &run.key {
            state.runs_by_key.insert(key.clone(), number);
        }
        state.runs.push(run);
        Admission::Run(number)
    }

    /// Ends a run; an end that is already recorded stays.
    pub fn end(&self, number: usize, end: RunEnd) {
        if let Some(run) = self.state().runs.get_mut(number).filter(|run| run.end == RunEnd::Running) {
            run.end = end;
            self.run_ended.notify_waiters();
        }
    }

    /// Waits for the end of a run.
    pub async fn wait_for_end(&self, number: usize) -> RunEnd {
        loop {
            let notified = self.run_ended.notified();
            match self.end_of(number) {
                RunEnd::Running => notified.await,
                end => return end,
            }
        }
    }

    /// The id of the request that a run was for.
    pub fn id_of(&self, number: usize) -> u64 {
        self.state().runs[number].id
    }

    /// How a run ended, if it has.
    pub fn end_of(&self, number: usize) -> RunEnd {
        self.state().runs[number].end
    }

    /// All runs so far, in the order of their numbers.
    pub fn all(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Numbers of attempts so far.
    pub fn counts(&self) -> AttemptCounts {
        let state = self.state();
        AttemptCounts { arrived: state.arrivals.len() as u64, deduplicated: state.deduplicated }
    }
}

/// The result of a run; it names the run, so that an answer can be traced to it.
pub fn run_result(id: u64, number: usize) -> String {
    format!("{id:016x}:{number}")
}
