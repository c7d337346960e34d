//! The workers in the file: what is true of all of them (`[fleet]`), and the list of them (`[[peer]]`).

use super::super::units::{Address, HumanDuration};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How the list of workers is followed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Follow {
    /// Changes come only when they are asked for.
    #[default]
    Ask,
    /// Changes come unasked.
    Push,
}

/// What a worker's weight stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Weights {
    /// Nothing.
    #[default]
    Off,
    /// The registered size.
    Nominal,
    /// The size, approximately.
    Rough,
    /// The size lowered by the load.
    Live,
}

/// How workers serve their queues.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum QueueOrder {
    /// In order; the head waits until it fits.
    #[default]
    Fifo,
    /// Whatever fits first.
    Backfill,
    /// By the classes' priority.
    Priority,
}

/// Where the workers tell how loaded they are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Load {
    /// Nowhere.
    #[default]
    Off,
    /// With what ends an attempt, and when they are probed.
    Answers,
    /// When they are probed.
    Probes,
}

/// The field of a load report that tells free slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum FreeSlots {
    /// x0.
    #[default]
    X0,
    /// x1.
    X1,
    /// Neither.
    Untold,
}

/// What is true of the workers as a whole.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The names of the zones.
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    /// The names of the kinds of machine.
    #[schemars(length(min = 1))]
    pub kinds: Vec<String>,
    /// How the list of workers is followed: ask or push.
    pub follow: Follow,
    /// What a worker's weight stands for: off, nominal, rough or live. Live ones vary with the load and count as off.
    pub weights: Weights,
    /// How workers serve their queues: fifo, backfill or priority.
    pub queue_order: QueueOrder,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// The time between two progress notes; 0s for none.
    pub progress: HumanDuration,
    /// Workers close a connection that has been idle for this long; ours are closed at half of it.
    pub conn_idle: HumanDuration,
    /// Where workers tell how loaded they are: off, answers (with what ends an attempt, and when probed) or probes.
    pub load: Load,
    /// The field of a load report that tells free slots: x0, x1 or untold.
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

/// Weight of a worker that names none.
fn default_weight() -> f64 {
    1.0
}

/// A worker.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// Its name, the same at every scheduler: the ring is built from it.
    pub name: String,
    /// Where it listens.
    pub address: Address,
    /// Its zone, one of fleet.zones; the first where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Its kind of machine, one of fleet.kinds; the first where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Its size, to compare with other workers'.
    #[serde(default = "default_weight")]
    #[schemars(range(min = 0.0))]
    pub weight: f64,
}
