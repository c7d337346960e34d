//! The plan of a deployment on one machine: schedulers, workers, load and faults. This module reads and
//! checks plans and translates them to the configuration of the schedulers and of the simulated workers. It
//! starts no process. The keys of a plan are part of the users' file format; serde attributes map them to
//! fields of other names.

mod check;
mod defaults;
mod fault;
mod load;
mod scheduler;
mod workers;

pub use fault::{PlannedFault, PlannedFaultKind};
pub use load::{Load, LoadClass, LoadTenant};
pub use scheduler::{KnownWorker, SchedulerSpec, Schedulers};
pub use workers::{LoadReportField, LoadReports, Probes, Setup, WorkerGroup};

use crate::Failure;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::Path;
use vetchbridge::config::file::File;
use vetchbridge::config::schema::{self, schema_of};

/// The text of the plan that `demo` runs by default.
pub const DEMO: &str = include_str!("../../plans/demo.toml");

/// The text of the plan that `soak` runs.
pub const SOAK: &str = include_str!("../../plans/soak.toml");

/// The built-in plans: their names and texts. A plan file with the name of a built-in plan is given as a
/// path, such as `./demo`.
pub const BUILT_IN: [(&str, &str); 3] =
    [("demo", DEMO), ("scans", include_str!("../../plans/scans.toml")), ("soak", SOAK)];

/// A deployment on one machine, and its load.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// The schedulers.
    pub schedulers: Schedulers,
    /// The configuration of every scheduler, in the daemon's own format. The kit sets each scheduler's name,
    /// addresses, number and zone.
    pub daemon: File,
    /// How workers report their load; without this table, workers send no load reports.
    #[serde(default, rename = "stats", skip_serializing_if = "Option::is_none")]
    pub load_reports: Option<LoadReports>,
    /// How workers answer probes; without this table, workers don't answer probes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probes: Option<Probes>,
    /// What a worker must fetch before jobs can run; without this table, jobs need no setup.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub setup: Option<Setup>,
    /// The workers.
    #[serde(rename = "peers")]
    pub workers: Vec<WorkerGroup>,
    /// Faults that are injected at configured times.
    #[serde(default, rename = "trouble", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<PlannedFault>,
    /// The load.
    pub load: Load,
}

/// Returns the JSON Schema of the plans' file format.
pub fn schema() -> serde_json::Value {
    schema_of::<Plan>()
}

impl Plan {
    /// Reads a plan from its file, or by its name if the plan is built in; `None` means the plan `demo`. An
    /// error lists all faults of the plan.
    pub fn read(path: Option<&Path>) -> Result<Plan, Failure> {
        let Some(path) = path else { return Plan::parse("the built-in plan", DEMO) };
        if let Some((name, text)) = BUILT_IN.iter().find(|(name, _)| path == Path::new(name)) {
            return Plan::parse(&format!("the built-in plan {name}"), text);
        }
        let source = path.to_string_lossy();
        let text =
            std::fs::read_to_string(path).map_err(|error| Failure::BadInput(format!("{source}: {error}")))?;
        Plan::parse(&source, &text)
    }

    /// Parses and checks the text of a plan. `source` names the plan in errors.
    pub fn parse(source: &str, text: &str) -> Result<Plan, Failure> {
        let plan: Plan =
            schema::parse(source, text, &schema()).map_err(|faults| check::bad_input(&faults))?;
        let faults = check::check_references(&plan, source, text);
        if !faults.is_empty() {
            return Err(check::bad_input(&faults));
        }
        check::check_as_daemon(&plan, source)?;
        Ok(plan)
    }
}
