//! Request classes (`[[class]]`) and tenants (`[[tenant]]`) in the configuration file.

use super::super::units::HumanDuration;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// The request may run any number of times.
    Safe,
    /// Workers drop repeats of the request for a limited time.
    Keyed,
    /// The request must not run more than once.
    Unsafe,
}

/// Which workers drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All workers.
    #[default]
    All,
    /// The workers in the zone of the worker that may have run the request.
    Zone,
    /// The workers in the cell of the worker that may have run the request.
    Cell,
}

/// Returns the default worth of a class.
fn default_worth() -> f64 {
    1.0
}

/// A class of requests. The first part of a request's path names its class.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class, which is the first part of its requests' paths.
    pub name: String,
    /// Whether a request may run more than once: safe (any number of times), keyed (workers drop repeats
    /// within window) or unsafe (never).
    pub repeat: Repeat,
    /// Latency objective: an answer within this time has its full worth.
    pub aim: HumanDuration,
    /// Multiple of the job's own running time that is added to aim.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub stretch: f64,
    /// The client's total time to wait for an answer, including its retries.
    pub deadline: HumanDuration,
    /// Weight of an answer that arrives within aim, relative to other classes.
    #[serde(default = "default_worth")]
    #[schemars(range(min = 0.0))]
    pub worth: f64,
    /// Fraction of worth that an answer later than aim still has.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub late_share: f64,
    /// For a keyed class: which workers drop a repeat: all, zone (the workers in the zone of the worker that
    /// may have run the request) or cell (the workers in that worker's cell).
    #[serde(default)]
    pub group: Group,
    /// For a keyed class (required): how long workers drop repeats, counted from the first attempt that may
    /// have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<HumanDuration>,
    /// The only machine type that runs this class, one of fleet.kinds. If absent, every machine type runs it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Priority of the class in the workers' queues, used if fleet.queue_order is priority.
    #[serde(default)]
    pub priority: i64,
    /// Whether the answers of this class are streamed.
    #[serde(default)]
    pub stream: bool,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Quota of the tenant in requests per second, over all schedulers.
    #[schemars(range(min = 0.0))]
    pub allowance_per_s: f64,
}
