//! Request classes (`[[class]]`) and tenants (`[[tenant]]`) in the configuration file.

use super::super::units::HumanDuration;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether the job of a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// The job may run any number of times.
    Safe,
    /// The job may be sent more than once, since workers drop repeats of the request for a limited time.
    Keyed,
    /// The job must not run more than once.
    Unsafe,
}

/// Which workers drop a repeat of a keyed request that another worker may already have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All workers drop the repeat.
    #[default]
    All,
    /// The workers in the zone of the worker that may have run the request drop the repeat.
    Zone,
    /// The workers in the cell of the worker that may have run the request drop the repeat.
    Cell,
}

/// Returns the weight (worth) of answers of a class for which the configuration file sets none.
fn default_worth() -> f64 {
    1.0
}

/// A class of requests. The first part of a request's path names its class.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class. The first part of the path in a request's URL names the request's class.
    pub name: String,
    /// Whether the job of a request may run more than once: safe (any number of times), keyed (it may be sent
    /// again, because workers drop repeats within window) or unsafe (never).
    pub repeat: Repeat,
    /// Latency objective: an answer within this time after the request has its full weight.
    pub aim: HumanDuration,
    /// Time added to aim for long jobs, as a multiple of the job's own running time.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub stretch: f64,
    /// The client's total time to wait for an answer, including the client's own retries.
    pub deadline: HumanDuration,
    /// Weight of an answer that arrives within aim, relative to answers of other classes.
    #[serde(default = "default_worth")]
    #[schemars(range(min = 0.0))]
    pub worth: f64,
    /// Fraction of its weight (worth) that an answer still has if it arrives later than aim.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub late_share: f64,
    /// For a keyed class (required): which workers drop a repeat of a request: all, zone (the workers in the
    /// zone of the worker that may have run the request) or cell (the workers in that worker's cell).
    #[serde(default)]
    pub group: Group,
    /// For a keyed class (required): how long workers drop repeats of a request, counted from the first
    /// attempt that may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<HumanDuration>,
    /// The only machine type whose workers run this class, one of fleet.kinds. If absent, workers of every
    /// machine type run it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Priority of the class in the queues of workers. Workers use the priority if fleet.queue_order is
    /// priority.
    #[serde(default)]
    pub priority: i64,
    /// Whether the answers of this class are streamed.
    #[serde(default)]
    pub stream: bool,
}

/// A tenant, whose clients share a quota.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Quota of the tenant: requests per second, summed over all schedulers.
    #[schemars(range(min = 0.0))]
    pub allowance_per_s: f64,
}
