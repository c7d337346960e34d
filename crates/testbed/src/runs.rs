//! What the workers ran: the one account of it, and the memory by which they drop repeats of keyed jobs.
//!
//! Pure but for its lock: times are handed in. It must never decide what a scheduler should have done; that is
//! [`crate::audit`]'s.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It is still running.
    Open,
    /// It came to its end.
    Finished,
    /// It failed on the way.
    Failed,
    /// It was called off while it ran.
    Stopped,
    /// Its process died.
    Lost,
}

/// One run of a job at one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request's id.
    pub id: u64,
    /// The key under which repeats are dropped.
    pub key: Option<String>,
    /// The class, as the path has it.
    pub class: String,
    /// What the request is about, as the path has it.
    pub object: String,
    /// The worker's name.
    pub worker: String,
    /// Since the account began.
    pub started: Duration,
    /// How it ended.
    pub end: RunEnd,
}

/// What a worker is to do with a job that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Run it, under this number.
    Run(usize),
    /// A repeat of a run that has finished: its result is this number's.
    Finished(usize),
    /// A repeat of one that is still running, or of one whose end nobody knows.
    Running(usize),
}

/// An attempt that arrived whole at a worker, whatever became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptArrival {
    /// The request's id.
    pub id: u64,
    /// The worker's name.
    pub worker: String,
    /// Since the account began.
    pub at: Duration,
    /// How long the scheduler said that it would wait, if it said so.
    pub expires_in: Option<Duration>,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    arrivals: Vec<AttemptArrival>,
    keys: HashMap<String, usize>,
    attempts: u64,
    dropped: u64,
    probes: u64,
}

/// See the head of this file. Clones share one account.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<State>>, Arc<Notify>);

impl Runs {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes an attempt that arrived whole at a worker.
    pub fn attempt(&self, arrival: AttemptArrival) {
        let state = &mut *self.state();
        state.attempts += 1;
        state.arrivals.push(arrival);
    }

    /// The attempts that arrived, in their order.
    pub fn arrivals(&self) -> Vec<AttemptArrival> {
        self.state().arrivals.clone()
    }

    /// Notes a probe that arrived at a worker.
    pub fn probe(&self) {
        self.state().probes += 1;
    }

    /// Probes that arrived.
    pub fn probes(&self) -> u64 {
        self.state().probes
    }

    /// Starts a run, unless it repeats one of the same key that began within `window`.
    pub fn start(&self, run: Run, window: Duration) -> Admission {
        let state = &mut *self.state();
        if let Some(first) = run.key.as_ref().and_then(|key| state.keys.get(key)).copied() {
            let earlier = &state.runs[first];
            if run.started.saturating_sub(earlier.started) < window {
                match earlier.end {
                    RunEnd::Finished => {
                        state.dropped += 1;
                        return Admission::Finished(first);
                    }
                    RunEnd::Open => {
                        state.dropped += 1;
                        return Admission::Running(first);
                    }
                    // It did not come to its end, so it may begin again.
                    RunEnd::Failed | RunEnd::Stopped | RunEnd::Lost => {}
                }
            }
        }
        let number = state.runs.len();
        if let Some(key) = &run.key {
            state.keys.insert(key.clone(), number);
        }
        state.runs.push(run);
        Admission::Run(number)
    }

    /// Ends a run; the first word on it stands.
    pub fn end(&self, number: usize, end: RunEnd) {
        if let Some(run) = self.state().runs.get_mut(number).filter(|run| run.end == RunEnd::Open) {
            run.end = end;
            self.1.notify_waiters();
        }
    }

    /// Waits until a run has ended.
    pub async fn ended(&self, number: usize) -> RunEnd {
        loop {
            let changed = self.1.notified();
            match self.state_of(number) {
                RunEnd::Open => changed.await,
                end => return end,
            }
        }
    }

    /// The request that a run was of.
    pub fn id_of(&self, number: usize) -> u64 {
        self.state().runs[number].id
    }

    /// How a run stands.
    pub fn state_of(&self, number: usize) -> RunEnd {
        self.state().runs[number].end
    }

    /// Everything that was run so far.
    pub fn all(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Attempts that arrived, and repeats that were dropped.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.attempts, state.dropped)
    }
}

/// The result of a run, by which a client's answer can be traced to it.
pub fn result(id: u64, number: usize) -> String {
    format!("{id:016x}:{number}")
}
