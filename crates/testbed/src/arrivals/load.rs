//! The specification of a load, and what can be wrong with it.

use rand_distr::{ExpError, NormalError, ZipfError};
use std::time::Duration;

/// Whether the jobs of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A job may run any number of times.
    Idempotent,
    /// Workers deduplicate repeats within this time.
    Keyed(Duration),
    /// A job must never run twice.
    NonIdempotent,
}

/// One class of jobs as clients send them.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// Its name, the first part of the path.
    pub name: String,
    /// Its share of the jobs, relative to the others' shares.
    pub share: f64,
    /// The weight of a job answered in time.
    pub priority_weight: f64,
    /// The mean of its work.
    pub work: Duration,
    /// How widely work varies: the sigma of a log-normal distribution.
    pub spread: f64,
    /// Latency within which an answer is in time, without the part that grows with the job's work.
    pub latency_objective: Duration,
    /// The part of the objective that grows with a job's work, as a multiple of it.
    pub objective_per_work: f64,
    /// How long a client waits, over all attempts.
    pub deadline: Duration,
    /// Whether jobs may run more than once.
    pub idempotency: Idempotency,
    /// Number of objects that jobs are for.
    pub objects: u64,
    /// How unevenly jobs spread over them: the exponent of a Zipf distribution.
    pub zipf: f64,
    /// Slots that a job takes at a worker.
    pub slots: usize,
}

/// One tenant as clients send for it.
#[derive(Clone, Debug)]
pub struct TenantLoad {
    /// Its name.
    pub name: String,
    /// Its share of the jobs, relative to the others' shares.
    pub share: f64,
}

/// A load: an open loop of independent arrivals.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// The seed of every draw.
    pub seed: u64,
    /// Jobs per second.
    pub rate: f64,
    /// The classes.
    pub classes: Vec<ClassLoad>,
    /// The tenants; jobs have none if empty.
    pub tenants: Vec<TenantLoad>,
    /// How far hints are off the work: the sigma of a log-normal factor; no hints if absent.
    pub hint_spread: Option<f64>,
    /// The share of rejected clients that wait for the time of `Retry-After`.
    pub retry_after_share: f64,
    /// Whether retries carry a header that marks them.
    pub marks_retries: bool,
    /// Maximum number of retries of a job.
    pub retries: u32,
    /// Pause before a retry without a `Retry-After` that the client honors.
    pub pause: Duration,
}

/// A load with an invalid setting.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct LoadError {
    /// The setting.
    pub key: String,
    /// What is wrong with it.
    pub reason: LoadErrorReason,
}

/// What is wrong with a setting of a load.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum LoadErrorReason {
    /// A list without entries.
    #[error("there is none")]
    Empty,
    /// A number that must be positive.
    #[error("must be above 0")]
    NotPositive,
    /// A number that must be 0 or positive.
    #[error("must not be negative")]
    Negative,
    /// Shares of which one is negative, or whose sum is not positive.
    #[error("shares must not be negative, nor all 0")]
    InvalidShares,
    /// A rate without an exponential distribution.
    #[error(transparent)]
    Rate(#[from] ExpError),
    /// A spread without a log-normal distribution.
    #[error(transparent)]
    Spread(#[from] NormalError),
    /// An exponent without a Zipf distribution.
    #[error(transparent)]
    Exponent(#[from] ZipfError),
}

impl LoadError {
    pub(crate) fn new(key: impl Into<String>, reason: impl Into<LoadErrorReason>) -> LoadError {
        LoadError { key: key.into(), reason: reason.into() }
    }
}
