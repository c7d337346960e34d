//! The classes of requests (`[[class]]`) and the tenants (`[[tenant]]`) in the file.

use super::super::units::HumanDuration;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What repeating a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// It may run any number of times.
    Safe,
    /// Workers drop a repeat for a while.
    Keyed,
    /// It must never run twice.
    Unsafe,
}

/// Which workers drop the repeat of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// Priority weight of a class that names none.
fn default_worth() -> f64 {
    1.0
}

/// A class of requests: the first part of their paths.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// safe, keyed or unsafe to repeat.
    pub repeat: Repeat,
    /// An answer within this time has its full worth.
    pub aim: HumanDuration,
    /// The aim grows by this many times the job's own running time.
    #[serde(default)]
    #[schemars(range(min = 0.0))]
    pub stretch: f64,
    /// The client's whole wait.
    pub deadline: HumanDuration,
    /// Worth of an answer within the aim.
    #[serde(default = "default_worth")]
    #[schemars(range(min = 0.0))]
    pub worth: f64,
    /// Share of the worth that a later answer still has.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub late_share: f64,
    /// Of a keyed class: which workers drop a repeat.
    #[serde(default)]
    pub group: Group,
    /// Of a keyed class: how long they do, from the first attempt that may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<HumanDuration>,
    /// The only kind of machine that runs it, one of fleet.kinds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Its priority in the workers' queues.
    #[serde(default)]
    pub priority: i64,
    /// Its answers are streamed.
    #[serde(default)]
    pub stream: bool,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Requests a second within its share, over all schedulers.
    #[schemars(range(min = 0.0))]
    pub allowance_per_s: f64,
}
