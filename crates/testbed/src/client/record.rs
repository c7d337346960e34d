//! Records of a load: its jobs, their attempts and what clients received.

use crate::arrivals::{Arrival, ClassLoad};
use std::time::Duration;

/// What a client received for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// 200, with this result.
    Served(String),
    /// 429 or 503.
    Rejected,
    /// Any other status.
    Failed(u16),
    /// No connection was made, so nothing was accepted.
    Unreachable(String),
    /// The connection broke.
    Broken(String),
    /// Nothing before the deadline.
    Unanswered,
}

/// One attempt of a job.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id; each attempt has its own.
    pub id: u64,
    /// When it was sent, from the start.
    pub sent: Duration,
    /// When it was sent again on a new connection, as the first one had ended without a response.
    pub resent: Option<Duration>,
    /// When it ended, from the start.
    pub ended: Duration,
    /// What the client received.
    pub outcome: Outcome,
}

/// One job and all of its attempts.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// As it arrived.
    pub arrival: Arrival,
    /// The idempotency key.
    pub key: Option<String>,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
}

impl JobRecord {
    /// How long the client waited, from when the job should have been sent.
    pub fn latency(&self) -> Duration {
        self.attempts.last().map_or(Duration::ZERO, |last| last.ended.saturating_sub(self.arrival.at))
    }

    /// Whether it was served within its class's latency objective, which may grow with the job's work.
    pub fn in_time(&self, class: &ClassLoad) -> bool {
        self.served()
            && self.latency() <= class.latency_objective + self.arrival.work.mul_f64(class.objective_per_work)
    }

    /// Whether it was served in the end.
    pub fn served(&self) -> bool {
        matches!(self.attempts.last(), Some(Attempt { outcome: Outcome::Served(_), .. }))
    }
}

/// The record of a load.
#[derive(Debug, Default)]
pub struct LoadRecord {
    /// The jobs, in the order of their arrival.
    pub jobs: Vec<JobRecord>,
    /// The longest time by which a job was sent too late: a delay of the clients, not of the schedulers.
    pub lag: Duration,
}

/// The progress of a load.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadProgress {
    /// Time from its start.
    pub elapsed: Duration,
    /// Jobs sent.
    pub sent: usize,
    /// Jobs that have ended.
    pub ended: usize,
}
