//! The load of a plan: its tables in the plan's file format, and their conversion to the clients'
//! configuration.

use super::defaults::{enabled, unit};
use super::Plan;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use vetchbridge::config::file;
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::arrivals::{ClassLoad, Idempotency, LoadSpec, TenantLoad};

/// The load, an open loop: jobs arrive at a given rate, independent of the answers.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The rate of jobs, per second.
    #[schemars(range(min = 0.001, max = 1_000_000.0))]
    pub rate: f64,
    /// How long the load lasts.
    pub duration: HumanDuration,
    /// How often a client retries a job at most.
    #[serde(default, rename = "retries")]
    #[schemars(range(max = 100))]
    pub max_retries: u32,
    /// How long a client waits before each retry, unless the client follows the Retry-After of the answer.
    #[serde(default, rename = "pause")]
    pub retry_delay: HumanDuration,
    /// The share of clients that follow the Retry-After of an answer.
    #[serde(default = "unit", rename = "heeds")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub retry_after_share: f64,
    /// Whether retries are marked as retries.
    #[serde(default = "enabled")]
    pub marks_retries: bool,
    /// Whether clients send a hint of a job's work.
    #[serde(default = "enabled")]
    pub hints: bool,
    /// How inaccurate hints are: the sigma of a log-normal factor.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 5.0))]
    pub hint_spread: f64,
    /// The tenants that send jobs, by their names in daemon.tenant. Without any, jobs belong to no tenant.
    #[serde(default, rename = "tenant", skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<LoadTenant>,
    /// The jobs of each class in daemon.class.
    #[serde(rename = "class")]
    pub classes: Vec<LoadClass>,
}

/// The share of the load that belongs to a tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadTenant {
    /// The tenant's name in daemon.tenant.
    pub name: String,
    /// The tenant's share of the jobs, relative to the other tenants' shares.
    #[serde(default = "unit")]
    #[schemars(range(min = 0.0))]
    pub share: f64,
}

impl LoadTenant {
    fn spec(&self) -> TenantLoad {
        TenantLoad { name: self.name.clone(), share: self.share }
    }
}

/// The jobs of one class.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// The class's name in daemon.class.
    pub name: String,
    /// The class's share of the jobs, relative to the other classes' shares.
    #[serde(default = "unit")]
    #[schemars(range(min = 0.0))]
    pub share: f64,
    /// The mean work of a job: its run time in a slot at speed 1.
    pub work: HumanDuration,
    /// How much the work of jobs varies: the sigma of a log-normal distribution.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 5.0))]
    pub spread: f64,
    /// The number of objects that the class's jobs refer to.
    #[serde(default = "default_objects")]
    #[schemars(range(min = 1))]
    pub objects: u64,
    /// How unevenly objects are requested: the exponent of a Zipf distribution.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 10.0))]
    pub zipf: f64,
    /// The number of slots that a job occupies at a worker.
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
    /// Returns this class's part of the load. `class` is the same class in the daemon's configuration, which
    /// contains its objectives.
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
    /// Returns the plan's load as the configuration of the clients.
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
            hint_spread: self.load.hints.then_some(self.load.hint_spread),
            retry_after_share: self.load.retry_after_share,
            marks_retries: self.load.marks_retries,
            max_retries: self.load.max_retries,
            retry_delay: self.load.retry_delay.duration(),
        }
    }
}
