//! The records of a load: its jobs, their attempts and the responses.

use crate::arrivals::{Arrival, ClassLoad};
use std::time::Duration;

/// The response that a client received for one attempt, or why there was none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Status 200, with this result.
    Served(String),
    /// Status 429 or 503.
    Rejected,
    /// Any other status.
    Failed(u16),
    /// No connection could be made, so no scheduler received the attempt; the text is the error.
    Unreachable(String),
    /// The connection broke before the response was complete; the text is the error.
    Broken(String),
    /// No response came before the deadline.
    Unanswered,
}

/// One attempt of a job.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The attempt's request id; every attempt has a different id.
    pub id: u64,
    /// When the attempt was sent, from the start of the load.
    pub sent: Duration,
    /// When the attempt was sent again on a new connection, if the first connection ended without a response;
    /// from the start of the load.
    pub resent: Option<Duration>,
    /// When the attempt ended, from the start of the load.
    pub ended: Duration,
    /// The outcome of the attempt.
    pub outcome: Outcome,
}

/// One job and all of its attempts.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The arrival that the job belongs to.
    pub arrival: Arrival,
    /// The idempotency key, if the job's class is keyed.
    pub key: Option<String>,
    /// The job's attempts, in order.
    pub attempts: Vec<Attempt>,
}

impl JobRecord {
    /// Returns the time from when the job was due to be sent until its last attempt ended.
    pub fn latency(&self) -> Duration {
        self.attempts.last().map_or(Duration::ZERO, |last| last.ended.saturating_sub(self.arrival.at))
    }

    /// Whether the job was served within the latency objective of its class, which may grow with the job's
    /// work.
    pub fn in_time(&self, class: &ClassLoad) -> bool {
        self.served()
            && self.latency() <= class.latency_objective + self.arrival.work.mul_f64(class.objective_per_work)
    }

    /// Whether the job's last attempt was served.
    pub fn served(&self) -> bool {
        matches!(self.attempts.last(), Some(Attempt { outcome: Outcome::Served(_), .. }))
    }
}

/// The record of a load.
#[derive(Debug, Default)]
pub struct LoadRecord {
    /// The jobs, in the order of their arrival.
    pub jobs: Vec<JobRecord>,
    /// The largest delay between the time at which a job was due and the time at which it was sent. The
    /// clients cause this delay, not the schedulers.
    pub lag: Duration,
}

/// The progress of a load.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadProgress {
    /// Time since the start of the load.
    pub elapsed: Duration,
    /// Number of jobs sent.
    pub sent: usize,
    /// Number of jobs that have ended.
    pub ended: usize,
}
