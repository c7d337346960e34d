//! Faults that a plan injects at set times.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use vetchbridge::config::units::Span;
use vetchbridge_testbed::discovery::Health;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// Discovery answers 503 to every call.
    ListRefuses,
    /// Discovery resets every call.
    ListResets,
    /// Workers' load reports are older than otherwise.
    StatsLate,
    /// A worker dies, and comes back cold.
    #[serde(rename = "peer-dies")]
    WorkerDies,
}

impl TroubleKind {
    /// How discovery answers meanwhile, if it is discovery that fails.
    pub fn health(self) -> Option<Health> {
        match self {
            TroubleKind::ListRefuses => Some(Health::Failing),
            TroubleKind::ListResets => Some(Health::Resetting),
            TroubleKind::StatsLate | TroubleKind::WorkerDies => None,
        }
    }
}

/// A fault that is injected at a set time.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// list-refuses, list-resets, stats-late or peer-dies.
    pub what: TroubleKind,
    /// When it begins, from the start of the load.
    pub at: Span,
    /// How long it lasts.
    pub lasts: Span,
    /// Of stats-late: how old load reports are.
    #[serde(default)]
    pub late: Span,
    /// Of peer-dies: the name of the worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "peer")]
    pub worker: Option<String>,
}
