//! Workers in the configuration file: properties that all workers share (`[fleet]`) and the list of workers
//! (`[[peer]]`).

use super::super::units::{Address, HumanDuration};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How changes of the worker list reach the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Follow {
    /// The scheduler polls discovery for changes.
    #[default]
    Ask,
    /// Discovery sends changes without being asked.
    Push,
}

/// What a worker's weight is derived from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Weights {
    /// Weights are ignored: every worker has weight 1.
    #[default]
    Off,
    /// The registered size of the worker.
    Nominal,
    /// The approximate size of the worker.
    Rough,
    /// The size of the worker reduced by its load. Such weights are ignored.
    Live,
}

/// The order in which workers serve their queues.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum QueueOrder {
    /// In order of arrival; the first job waits until it fits.
    #[default]
    Fifo,
    /// The first queued job that fits.
    Backfill,
    /// By the priority of the jobs' classes.
    Priority,
}

/// When workers send load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Load {
    /// Workers send no load reports.
    #[default]
    Off,
    /// With the outcome of an attempt and with probe responses.
    Answers,
    /// With probe responses only.
    Probes,
}

/// The field of a load report that holds the number of free slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum FreeSlots {
    /// The field x0.
    #[default]
    X0,
    /// The field x1.
    X1,
    /// No field holds the free slots.
    Untold,
}

/// Properties that all workers share.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Names of the zones.
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// Names of the machine types.
    #[schemars(length(min = 1))]
    pub kinds: Vec<String>,
    /// How changes of the worker list reach the scheduler: ask (the scheduler polls discovery) or push
    /// (discovery sends changes without being asked).
    pub follow: Follow,
    /// What a worker's weight is derived from: off (weights are ignored), nominal (the registered size),
    /// rough (the approximate size) or live (the size reduced by the load; ignored, as with off).
    pub weights: Weights,
    /// The order in which workers serve their queues: fifo (the first job waits until it fits), backfill (the
    /// first job that fits) or priority (by class.priority).
    pub queue_order: QueueOrder,
    /// Whether workers report the start of a job.
    pub tells_start: bool,
    /// Interval between progress reports of a job; 0s if workers send none.
    pub progress: HumanDuration,
    /// Time after which workers close an idle connection. The scheduler closes its idle connections to
    /// workers after half of this time.
    pub conn_idle: HumanDuration,
    /// When workers send load reports: off (never), answers (with the outcome of an attempt and with probe
    /// responses) or probes (with probe responses only).
    pub load: Load,
    /// The field of a load report that holds the number of free slots: x0, x1 or untold (neither).
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

/// Returns the default weight of a worker.
fn default_weight() -> f64 {
    1.0
}

/// A worker.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Name of the worker. The hash ring is built from the names, so every scheduler must use the same ones.
    pub name: String,
    /// Address on which the worker listens.
    pub address: Address,
    /// Zone of the worker, one of fleet.zones; the first zone if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Machine type of the worker, one of fleet.kinds; the first machine type if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Number of the worker's cell, to which class.group = "cell" refers.
    #[serde(default)]
    pub cell: u32,
    /// Size of the worker relative to other workers.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 0.0))]
    pub weight: f64,
}
