//! The records of a load, made by its clients: the jobs, their attempts, and the outcome of each attempt.

use crate::arrivals::{Arrival, ClassLoad};
use std::time::Duration;

/// The outcome of an attempt: the response that the client received, or the reason why the client received
/// none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response with status 200; the text is the job's result.
    Served(String),
    /// A response with status 429 or 503.
    Rejected,
    /// A response with this status, which is neither 200, 429 nor 503.
    Failed(u16),
    /// No connection could be made, so no scheduler received the attempt; the text is the error.
    Unreachable(String),
    /// The connection broke before the response was complete; the text is the error.
    Broken(String),
    /// The client received no response before its deadline.
    Unanswered,
}

/// One attempt of a job.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The attempt's request id; every attempt has a different id.
    pub id: u64,
    /// When the client sent the attempt, counted from the start of the load.
    pub sent: Duration,
    /// When the client sent the attempt again on a new connection, counted from the start of the load; `None`
    /// unless the first connection ended without a response.
    pub resent: Option<Duration>,
    /// When the client received the response or gave the attempt up, counted from the start of the load.
    pub ended: Duration,
    /// The outcome of the attempt.
    pub outcome: Outcome,
}

/// One job and all of its attempts.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// The arrival that states the job's class, work and due time.
    pub arrival: Arrival,
    /// The idempotency key, if the job's class is keyed.
    pub key: Option<String>,
    /// The job's attempts, in the order in which the client sent them.
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

    /// Whether the client received the job's result in response to the job's last attempt.
    pub fn served(&self) -> bool {
        matches!(self.attempts.last(), Some(Attempt { outcome: Outcome::Served(_), .. }))
    }
}

/// The record of a load that clients have sent.
#[derive(Debug, Default)]
pub struct LoadRecord {
    /// The jobs of the load, in the order of their arrival.
    pub jobs: Vec<JobRecord>,
    /// The largest delay between the time at which a job was due and the time at which it was sent. The
    /// clients cause this delay, not the schedulers.
    pub lag: Duration,
}

/// The progress of a load while clients send it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadProgress {
    /// Time since the start of the load.
    pub elapsed: Duration,
    /// Number of jobs of which at least the first attempt was sent.
    pub sent: usize,
    /// Number of jobs that are served or are not retried any more.
    pub ended: usize,
}
