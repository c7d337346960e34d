//! Workers in the configuration file: the properties that all workers share (`[fleet]`) and the list of
//! workers (`[[peer]]`).

use super::super::units::{Address, HumanDuration};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How changes of the worker list reach the scheduler from the discovery service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Follow {
    /// The scheduler polls the discovery service for changes of the worker list.
    #[default]
    Ask,
    /// The discovery service sends changes of the worker list without being asked.
    Push,
}

/// What the weights in the worker list are derived from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Weights {
    /// The weights in the worker list are ignored: every worker has weight 1.
    #[default]
    Off,
    /// A worker's weight is its registered size.
    Nominal,
    /// A worker's weight is its approximate size.
    Rough,
    /// A worker's weight is its size reduced by its load. The scheduler ignores such weights: every worker
    /// has weight 1.
    Live,
}

/// The order in which each worker serves the jobs in its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum QueueOrder {
    /// Jobs are served in order of arrival. If the first job does not fit, it waits until it fits, and so do
    /// the jobs behind it.
    #[default]
    Fifo,
    /// The first queued job that fits is served next.
    Backfill,
    /// Jobs are served by the priority of their classes.
    Priority,
}

/// When workers send load reports to the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Load {
    /// Workers send no load reports.
    #[default]
    Off,
    /// Workers send a load report with the outcome of each attempt and with each response to a probe.
    Answers,
    /// Workers send a load report only with each response to a probe.
    Probes,
}

/// The field of a worker's load report that holds the number of the worker's free slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum FreeSlots {
    /// The field x0 holds the number of free slots.
    #[default]
    X0,
    /// The field x1 holds the number of free slots.
    X1,
    /// No field of the load report holds the number of free slots.
    Untold,
}

/// Properties that all workers share.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Names of the zones in which workers and schedulers run.
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// Names of the workers' machine types.
    #[schemars(length(min = 1))]
    pub kinds: Vec<String>,
    /// How changes of the worker list reach the scheduler: ask (the scheduler polls the discovery service) or
    /// push (the discovery service sends changes without being asked).
    pub follow: Follow,
    /// What the weights in the worker list are derived from: off (the scheduler ignores the weights), nominal
    /// (the registered size of each worker), rough (the approximate size) or live (the size reduced by the
    /// worker's load; the scheduler ignores these weights, as with off).
    pub weights: Weights,
    /// The order in which each worker serves the jobs in its queue: fifo (in order of arrival; the first job
    /// blocks the others until it fits), backfill (the first job that fits) or priority (by the priority of
    /// the jobs' classes, class.priority).
    pub queue_order: QueueOrder,
    /// Whether workers send a callback when a job starts to run.
    pub tells_start: bool,
    /// Interval between the progress reports that a worker sends for a running job; 0s if workers send none.
    pub progress: HumanDuration,
    /// Time after which workers close an idle connection. The scheduler closes its idle connections to
    /// workers after half of this time.
    pub conn_idle: HumanDuration,
    /// When workers send load reports to the scheduler: off (never), answers (with the outcome of each
    /// attempt and with each response to a probe) or probes (only with each response to a probe).
    pub load: Load,
    /// The field of a worker's load report that holds the number of the worker's free slots: x0, x1 or untold
    /// (no field holds it).
    pub free_slots: FreeSlots,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            zones: vec!["main".to_string()],
            kinds: vec!["any".to_string()],
            follow: Follow::Ask,
            weights: Weights::Off,
            queue_order: QueueOrder::Fifo,
            tells_start: true,
            progress: HumanDuration::from_secs(1),
            conn_idle: HumanDuration::from_secs(60),
            load: Load::Off,
            free_slots: FreeSlots::X0,
        }
    }
}

/// Returns the weight of a worker for which the configuration file sets none.
fn default_weight() -> f64 {
    1.0
}

/// A worker in the configuration's worker list.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Name of the worker. Every scheduler must use the same names, because the hash ring that assigns jobs
    /// to workers is built from the names.
    pub name: String,
    /// Address on which the worker accepts jobs.
    pub address: Address,
    /// Zone of the worker, one of fleet.zones; the first zone if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Machine type of the worker, one of fleet.kinds; the first machine type if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Number of the worker's cell, to which class.group = "cell" refers. Without it, the cell is unknown, and
    /// a job that the worker may have run is sent again to no other worker of a class with that group.
    #[serde(default)]
    pub cell: u32,
    /// Weight of the worker, which is its size relative to other workers. fleet.weights says whether the
    /// scheduler uses the weight.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 0.0))]
    pub weight: f64,
}
