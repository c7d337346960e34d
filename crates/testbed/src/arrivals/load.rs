//! The specification of a load, and the errors of an invalid specification.

use rand_distr::{ExpError, NormalError, ZipfError};
use std::time::Duration;

/// The idempotency of a class: whether the jobs of the class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A job may run any number of times.
    Idempotent,
    /// A job carries an idempotency key. Workers deduplicate repeated runs of the job within this time.
    Keyed(Duration),
    /// A job must never run twice.
    NonIdempotent,
}

/// The part of a load that consists of the jobs of one class.
#[derive(Clone, Debug)]
pub struct ClassLoad {
    /// The name of the class, which is the first segment of the request path.
    pub name: String,
    /// The share of the load's jobs that belong to the class, relative to the shares of the other classes.
    pub share: f64,
    /// The priority weight of one second of a job's work; the audit uses it to weigh the jobs served in time.
    pub priority_weight: f64,
    /// The mean work of a job: its run time in a worker's slot at speed 1.
    pub work: Duration,
    /// The sigma of the log-normal distribution of a job's work.
    pub spread: f64,
    /// The constant part of the latency objective. A job is in time if its latency is within the objective.
    pub latency_objective: Duration,
    /// The part of the latency objective that grows with a job's work, as a multiple of the work.
    pub objective_per_work: f64,
    /// The time for which a client waits for a job, over all attempts.
    pub deadline: Duration,
    /// Whether the class's jobs may run more than once.
    pub idempotency: Idempotency,
    /// Number of different objects that the class's jobs need.
    pub objects: u64,
    /// The exponent of the Zipf distribution of jobs over objects; 0 spreads the jobs evenly.
    pub zipf: f64,
    /// Number of slots that a job takes at a worker.
    pub slots: usize,
}

/// The part of a load that consists of the jobs of one tenant.
#[derive(Clone, Debug)]
pub struct TenantLoad {
    /// The name of the tenant.
    pub name: String,
    /// The share of the load's jobs that belong to the tenant, relative to the shares of the other tenants.
    pub share: f64,
}

/// A load that clients send: an open loop, in which jobs arrive independently of the responses to earlier
/// jobs.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// The seed from which all random values of the load are drawn.
    pub seed: u64,
    /// Mean number of jobs that arrive per second.
    pub rate: f64,
    /// The classes of jobs.
    pub classes: Vec<ClassLoad>,
    /// The tenants; if empty, jobs have no tenant.
    pub tenants: Vec<TenantLoad>,
    /// The sigma of the log-normal ratio of a client's hint to the job's work; `None` if clients send no
    /// hints.
    pub hint_spread: Option<f64>,
    /// The fraction of rejected attempts after which the client waits for the time in the response's
    /// `Retry-After`.
    pub retry_after_share: f64,
    /// Whether retries carry the header `x-second-try`.
    pub marks_retries: bool,
    /// Maximum number of retries of a job.
    pub max_retries: u32,
    /// Time for which a client waits before a retry, unless the client waits for the time in a `Retry-After`.
    pub retry_delay: Duration,
}

/// An invalid setting of a load.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct LoadError {
    /// The name of the invalid setting.
    pub key: String,
    /// The reason why the setting is invalid.
    pub reason: LoadErrorReason,
}

/// The reason why a setting of a load is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum LoadErrorReason {
    /// A list that must have an entry is empty.
    #[error("must have at least one entry")]
    Empty,
    /// A number is not positive and finite.
    #[error("must be above 0")]
    NotPositive,
    /// A number is negative or not finite.
    #[error("must not be negative")]
    Negative,
    /// A share is negative, or the sum of the shares is not positive and finite.
    #[error("shares must not be negative, and at least one must be above 0")]
    InvalidShares,
    /// The rate of the load is invalid for the exponential distribution of the times between arrivals.
    #[error(transparent)]
    Rate(#[from] ExpError),
    /// A spread is invalid for a log-normal distribution.
    #[error(transparent)]
    Spread(#[from] NormalError),
    /// The exponent is invalid for the Zipf distribution of jobs over objects.
    #[error(transparent)]
    Exponent(#[from] ZipfError),
}

impl LoadError {
    pub(crate) fn new(key: impl Into<String>, reason: impl Into<LoadErrorReason>) -> LoadError {
        LoadError { key: key.into(), reason: reason.into() }
    }
}
