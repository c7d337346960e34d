//! The record of the jobs that stand-in workers ran, and the deduplication of keyed jobs.
//!
//! Callers state the time of each event, counted from the start of the recording. [`crate::audit`] checks
//! whether the runs were allowed.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// How a run of a job ended, if the run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run has not ended.
    Running,
    /// The run completed the job.
    Finished,
    /// The run failed.
    Failed,
    /// The scheduler cancelled the job while it ran.
    Cancelled,
    /// The worker lost the run, for example because the worker was killed.
    Lost,
}

/// One run of a job at one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request id of the attempt that was run.
    pub id: u64,
    /// The idempotency key of the job, if the request has one.
    pub key: Option<String>,
    /// The job's class, from the request path.
    pub class: String,
    /// The object that the job needs, from the request path.
    pub object: String,
    /// The name of the worker that ran the job.
    pub worker: String,
    /// When the attempt's complete request arrived at the worker, counted from the start of the recording.
    pub arrived: Duration,
    /// When the run started, counted from the start of the recording.
    pub started: Duration,
    /// How the run ended, or [`RunEnd::Running`].
    pub end: RunEnd,
}

/// What a worker does with a job that has got its slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The worker runs the job and records the run under this number.
    Run(usize),
    /// The job repeats a finished run, which has this number, and gets the result of that run.
    Finished(usize),
    /// The job repeats a run, which has this number and has not ended.
    Running(usize),
}

/// An attempt whose complete request arrived at a worker; the worker may have rejected the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptArrival {
    /// The attempt's request id.
    pub id: u64,
    /// The name of the worker at which the attempt arrived.
    pub worker: String,
    /// When the attempt arrived, counted from the start of the recording.
    pub at: Duration,
    /// How long the scheduler waits for the end of the job, if the request states that time.
    pub expires_in: Option<Duration>,
}

/// Numbers of attempts that arrived at workers, over all workers that share the record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Number of attempts whose complete requests arrived at workers.
    pub arrived: u64,
    /// Number of attempts that did not run because they repeated a keyed job.
    pub deduplicated: u64,
}

/// The content of the record that workers share.
#[derive(Default)]
struct State {
    runs: Vec<Run>,
    arrivals: Vec<AttemptArrival>,
    /// The number of the latest run with each idempotency key.
    runs_by_key: HashMap<String, usize>,
    deduplicated: u64,
    probes: u64,
}

impl State {
    /// Returns the earlier run that a job with the same idempotency key repeats, or `None`. A job repeats the
    /// latest run with its key if that run started within the deduplication window and did not fail, was not
    /// cancelled and was not lost.
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

/// The record of the jobs that workers ran. Clones of the value share one record.
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

    /// Returns the attempts whose complete requests arrived at workers, in the order of their arrival.
    pub fn arrivals(&self) -> Vec<AttemptArrival> {
        self.state().arrivals.clone()
    }

    /// Counts a probe that arrived at a worker.
    pub fn record_probe(&self) {
        self.state().probes += 1;
    }

    /// Returns the number of probes that arrived at workers.
    pub fn probes(&self) -> u64 {
        self.state().probes
    }

    /// Starts a run of a job, unless the job repeats a run with the same key that started less than `window`
    /// earlier.
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

    /// Records how the run with this number ended. Has no effect if the run has ended already.
    pub fn end(&self, number: usize, end: RunEnd) {
        if let Some(run) = self.state().runs.get_mut(number).filter(|run| run.end == RunEnd::Running) {
            run.end = end;
            self.run_ended.notify_waiters();
        }
    }

    /// Waits until the run with this number has ended, and returns how it ended.
    pub async fn wait_for_end(&self, number: usize) -> RunEnd {
        loop {
            let notified = self.run_ended.notified();
            match self.end_of(number) {
                RunEnd::Running => notified.await,
                end => return end,
            }
        }
    }

    /// Returns the request id of the run with this number.
    pub fn id_of(&self, number: usize) -> u64 {
        self.state().runs[number].id
    }

    /// Returns how the run with this number ended; [`RunEnd::Running`] if the run has not ended.
    pub fn end_of(&self, number: usize) -> RunEnd {
        self.state().runs[number].end
    }

    /// Returns all runs recorded so far, in the order of their numbers.
    pub fn all(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns the numbers of attempts that arrived at workers so far.
    pub fn counts(&self) -> AttemptCounts {
        let state = self.state();
        AttemptCounts { arrived: state.arrivals.len() as u64, deduplicated: state.deduplicated }
    }
}

/// Returns the text of a run's result. The text contains the request id and the run's number, so that the
/// audit can trace a response to the run.
pub fn run_result(id: u64, number: usize) -> String {
    format!("{id:016x}:{number}")
}
