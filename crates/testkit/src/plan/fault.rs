//! Faults that a plan injects at set times.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::discovery::Health;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "TroubleKind")]
pub enum PlannedFaultKind {
    /// Discovery answers 503 to every call.
    #[serde(rename = "list-refuses")]
    DiscoveryError,
    /// Discovery resets every call.
    #[serde(rename = "list-resets")]
    DiscoveryReset,
    /// Workers' load reports are older than otherwise.
    #[serde(rename = "stats-late")]
    LoadReportDelay,
    /// A worker crashes, and restarts without what it had cached.
    #[serde(rename = "peer-dies")]
    WorkerCrash,
}

impl PlannedFaultKind {
    /// How discovery answers meanwhile, if it is discovery that fails.
    pub fn discovery_health(self) -> Option<Health> {
        match self {
            PlannedFaultKind::DiscoveryError => Some(Health::Failing),
            PlannedFaultKind::DiscoveryReset => Some(Health::Resetting),
            PlannedFaultKind::LoadReportDelay | PlannedFaultKind::WorkerCrash => None,
        }
    }
}

/// A fault that is injected at a set time.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Trouble")]
pub struct PlannedFault {
    /// list-refuses, list-resets, stats-late or peer-dies.
    #[serde(rename = "what")]
    pub kind: PlannedFaultKind,
    /// When it begins, from the start of the load.
    pub at: HumanDuration,
    /// How long it lasts.
    #[serde(rename = "lasts")]
    pub duration: HumanDuration,
    /// Of stats-late: how old load reports are.
    #[serde(default, rename = "late")]
    pub delay: HumanDuration,
    /// Of peer-dies: the name of the worker.
    #[serde(default, rename = "peer", skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
}
