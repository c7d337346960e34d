//! The record of the jobs that workers ran, and the deduplication of keyed jobs.
//!
//! Callers pass the times in. [`crate::audit`] checks whether the runs were allowed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// The end of a run, if it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run has not ended.
    Running,
    /// The run completed the job.
    Finished,
    /// The run failed.
    Failed,
    /// The run was cancelled.
    Cancelled,
    /// The worker lost the run, for example because the worker was killed.
    Lost,
}

/// One run of a job at one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request's id.
    pub id: u64,
    /// The idempotency key, if the request has one.
    pub key: Option<String>,
    /// The job's class, from the request path.
    pub class: String,
    /// The object that the job needs, from the request path.
    pub object: String,
    /// The worker's name.
    pub worker: String,
    /// When the run started, from the start of the recording.
    pub started: Duration,
    /// The end of the run.
    pub end: RunEnd,
}

/// What a worker does with a job that has its slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The worker runs the job as the run with this number.
    Run(usize),
    /// The job repeats the finished run with this number and gets the result of that run.
    Finished(usize),
    /// The job repeats the run with this number, which has not ended.
    Running(usize),
}

/// An attempt whose complete request arrived at a worker, whether or not the worker accepted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptArrival {
    /// The request's id.
    pub id: u64,
    /// The worker's name.
    pub worker: String,
    /// When the attempt arrived, from the start of the recording.
    pub at: Duration,
    /// How long the scheduler waits for the job's end, if the request states that time.
    pub expires_in: Option<Duration>,
}

/// Numbers of attempts that arrived at workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Number of attempts that arrived.
    pub arrived: u64,
    /// Number of attempts that did not run because they repeated a keyed job.
    pub deduplicated: u64,
}

/// The content of the record.
#[derive(Default)]
struct State {
    runs: Vec<Run>,
    arrivals: Vec<AttemptArrival>,
    /// The number of the last run of each idempotency key.
    runs_by_key: HashMap<String, usize>,
    deduplicated: u64,
    probes: u64,
}

impl State {
    /// Returns the earlier run that a job repeats, or `None`. A job repeats the last run with its key if that
    /// run started within the deduplication window and did not fail, was not cancelled and was not lost.
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

/// The record of the jobs that workers ran. Clones share one record.
#[derive(Clone, Default)]
pub struct Runs {
    state: Arc<Mutex<State>>,
    run_ended: Arc<Notify>,
}

impl Runs {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an attempt whose complete request arrived at a worker.
    pub fn record_attempt(&self, arrival: AttemptArrival) {
        self.state().arrivals.push(arrival);
    }

    /// Returns the attempts that arrived, in the order of their arrival.
    pub fn arrivals(&self) -> Vec<AttemptArrival> {
        self.state().arrivals.clone()
    }

    /// Records a probe that arrived at a worker.
    pub fn record_probe(&self) {
        self.state().probes += 1;
    }

    /// Returns the number of probes that arrived.
    pub fn probes(&self) -> u64 {
        self.state().probes
    }

    /// Starts a run, unless the job repeats a run with the same key that started within `window` before.
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

    /// Records the end of a run. Has no effect if the run has ended already.
    pub fn end(&self, number: usize, end: RunEnd) {
        if let Some(run) = self.state().runs.get_mut(number).filter(|run| run.end == RunEnd::Running) {
            run.end = end;
            self.run_ended.notify_waiters();
        }
    }

    /// Waits until a run has ended and returns its end.
    pub async fn wait_for_end(&self, number: usize) -> RunEnd {
        loop {
            let notified = self.run_ended.notified();
            match self.end_of(number) {
                RunEnd::Running => notified.await,
                end => return end,
            }
        }
    }

    /// Returns the request id of a run.
    pub fn id_of(&self, number: usize) -> u64 {
        self.state().runs[number].id
    }

    /// Returns the end of a run; [`RunEnd::Running`] if the run has not ended.
    pub fn end_of(&self, number: usize) -> RunEnd {
        self.state().runs[number].end
    }

    /// Returns all runs so far, in the order of their numbers.
    pub fn all(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns the numbers of attempts so far.
    pub fn counts(&self) -> AttemptCounts {
        let state = self.state();
        AttemptCounts { arrived: state.arrivals.len() as u64, deduplicated: state.deduplicated }
    }
}

/// Returns the text of a run's result. The text contains the request id and the run's number, so that an
/// answer can be traced to the run.
pub fn run_result(id: u64, number: usize) -> String {
    format!("{id:016x}:{number}")
}
