//! The load of a plan: its tables in the format, and the clients' load that is made of them.

use super::defaults::{enabled, unit};
use super::Plan;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use vetchbridge::config::file;
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::arrivals::{ClassLoad, Idempotency, LoadSpec, TenantLoad};

/// The load: an open loop.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Jobs a second.
    #[schemars(range(min = 0.001, max = 1_000_000.0))]
    pub rate: f64,
    /// For how long.
    pub duration: HumanDuration,
    /// How often a client retries.
    #[serde(default, rename = "retries")]
    #[schemars(range(max = 100))]
    pub max_retries: u32,
    /// How long it waits before the first retry, unless the answer says otherwise.
    #[serde(default, rename = "pause")]
    pub retry_delay: HumanDuration,
    /// The share of refused clients that wait as long as the answer says instead.
    #[serde(default = "unit", rename = "heeds")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub retry_after_share: f64,
    /// Whether a retry is marked as one.
    #[serde(default = "enabled")]
    pub marks_retries: bool,
    /// Whether clients give a hint of the work.
    #[serde(default = "enabled")]
    pub hints: bool,
    /// How far hints are off: the sigma of a log-normal factor.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 5.0))]
    pub hint_spread: f64,
    /// The tenants, of daemon.tenant; jobs belong to no tenant where there are none.
    #[serde(default, rename = "tenant", skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<LoadTenant>,
    /// What is sent of each class of daemon.class.
    #[serde(rename = "class")]
    pub classes: Vec<LoadClass>,
}

/// What is sent for a tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadTenant {
    /// Its name in daemon.tenant.
    pub name: String,
    /// Its share of the jobs, relative to the others'.
    #[serde(default = "unit")]
    #[schemars(range(min = 0.0))]
    pub share: f64,
}

impl LoadTenant {
    fn spec(&self) -> TenantLoad {
        TenantLoad { name: self.name.clone(), share: self.share }
    }
}

/// What is sent of a class.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// Its name in daemon.class.
    pub name: String,
    /// Its share of the jobs, relative to the others'.
    #[serde(default = "unit")]
    #[schemars(range(min = 0.0))]
    pub share: f64,
    /// The mean of its work at speed 1.
    pub work: HumanDuration,
    /// How widely work varies: the sigma of a log-normal distribution.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 5.0))]
    pub spread: f64,
    /// How many objects its jobs are about.
    #[serde(default = "default_objects")]
    #[schemars(range(min = 1))]
    pub objects: u64,
    /// How unevenly these are requested: the exponent of a Zipf distribution.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 10.0))]
    pub zipf: f64,
    /// Slots that a job takes at a worker.
    #[serde(default = "default_slots")]
    #[schemars(range(min = 1))]
    pub slots: usize,
}

fn default_objects() -> u64 {
    100
}

fn default_slots() -> usize {
    1
}

impl LoadClass {
    /// The load of this class, with the objectives of its class in the daemon's configuration.
    fn spec(&self, class: &file::Class) -> ClassLoad {
        ClassLoad {
            name: self.name.clone(),
            share: self.share,
            priority_weight: class.worth,
            work: self.work.duration(),
            spread: self.spread,
            latency_objective: class.aim.duration(),
            objective_per_work: class.stretch,
            deadline: class.deadline.duration(),
            idempotency: match class.repeat {
                file::Repeat::Safe => Idempotency::Idempotent,
                file::Repeat::Unsafe => Idempotency::NonIdempotent,
                file::Repeat::Keyed => {
                    Idempotency::Keyed(class.window.map_or(Duration::ZERO, HumanDuration::duration))
                }
            },
            objects: self.objects,
            zipf: self.zipf,
            slots: self.slots,
        }
    }
}

impl Plan {
    /// The load as the clients' configuration.
    pub fn load_spec(&self) -> LoadSpec {
        let class = |load: &LoadClass| {
            let class = self.daemon.class.iter().find(|class| class.name == load.name)?;
            Some(load.spec(class))
        };
        LoadSpec {
            seed: self.seed,
            rate: self.load.rate,
            classes: self.load.classes.iter().filter_map(class).collect(),
            tenants: self.load.tenants.iter().map(LoadTenant::spec).collect(),
            hints: self.load.hints.then_some(self.load.hint_spread),
            honors_retry_after: self.load.retry_after_share,
            marks_retries: self.load.marks_retries,
            retries: self.load.max_retries,
            pause: self.load.retry_delay.duration(),
        }
    }
}
