//! The faults that a plan injects at configured times.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::discovery::ResponseMode;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "TroubleKind")]
pub enum PlannedFaultKind {
    /// Discovery answers every request with status 503.
    #[serde(rename = "list-refuses")]
    DiscoveryError,
    /// Discovery resets the connection of every request.
    #[serde(rename = "list-resets")]
    DiscoveryReset,
    /// Workers' load reports are older than usual.
    #[serde(rename = "stats-late")]
    LoadReportDelay,
    /// A worker crashes, and restarts with an empty cache.
    #[serde(rename = "peer-dies")]
    WorkerCrash,
}

impl PlannedFaultKind {
    /// Returns how discovery responds to schedulers during the fault; `None` if the fault does not affect
    /// discovery.
    pub fn response_mode(self) -> Option<ResponseMode> {
        match self {
            PlannedFaultKind::DiscoveryError => Some(ResponseMode::Error),
            PlannedFaultKind::DiscoveryReset => Some(ResponseMode::Reset),
            PlannedFaultKind::LoadReportDelay | PlannedFaultKind::WorkerCrash => None,
        }
    }
}

/// A fault that is injected at a configured time.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Trouble")]
pub struct PlannedFault {
    /// The kind of fault: list-refuses, list-resets, stats-late or peer-dies.
    #[serde(rename = "what")]
    pub kind: PlannedFaultKind,
    /// When the fault begins, counted from the start of the load.
    pub at: HumanDuration,
    /// How long the fault lasts.
    #[serde(rename = "lasts")]
    pub duration: HumanDuration,
    /// For stats-late: how old load reports are.
    #[serde(default, rename = "late")]
    pub delay: HumanDuration,
    /// For peer-dies: the name of the worker.
    #[serde(default, rename = "peer", skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
}
