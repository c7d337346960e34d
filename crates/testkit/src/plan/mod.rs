//! The plan of a deployment on one machine: schedulers, workers, load and faults. Reads the format, checks it, and translates
//! it for the stand-ins and the schedulers; it starts nothing. The keys of the format are those of the users' files; where the
//! Rust name of a field differs, serde maps it.

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

/// The plan of the demonstration.
pub const DEMO: &str = include_str!("../../plans/demo.toml");

/// The plan of the soak test.
pub const SOAK: &str = include_str!("../../plans/soak.toml");

/// The built-in plans by their names; a file of such a name is given as `./demo`.
pub const BUILT_IN: [(&str, &str); 3] =
    [("demo", DEMO), ("scans", include_str!("../../plans/scans.toml")), ("soak", SOAK)];

/// A platform on one machine.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// The schedulers.
    pub schedulers: Schedulers,
    /// The configuration of every scheduler, in the daemon's own format; name, addresses, number and zone are filled in.
    pub daemon: File,
    /// How workers report their load; they report nothing where it is absent.
    #[serde(default, rename = "stats", skip_serializing_if = "Option::is_none")]
    pub load_reports: Option<LoadReports>,
    /// How workers answer probes; they answer none where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probes: Option<Probes>,
    /// What jobs need before they can run; nothing where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub setup: Option<Setup>,
    /// The workers.
    #[serde(rename = "peers")]
    pub workers: Vec<WorkerGroup>,
    /// Faults that are injected at set times.
    #[serde(default, rename = "trouble", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<PlannedFault>,
    /// The load.
    pub load: Load,
}

/// The JSON Schema of the format.
pub fn schema() -> serde_json::Value {
    schema_of::<Plan>()
}

impl Plan {
    /// Reads a plan, from its file or by its name if it is built in; all of its faults at once.
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

    /// Reads the text of a plan.
    pub fn parse(source: &str, text: &str) -> Result<Plan, Failure> {
        let plan: Plan =
            schema::parse(source, text, &schema()).map_err(|faults| check::bad_input(&faults))?;
        let faults = check::references(&plan, source, text);
        if !faults.is_empty() {
            return Err(check::bad_input(&faults));
        }
        check::dry_run(&plan, source)?;
        Ok(plan)
    }
}
