//! The forms of a log line.

use super::writer::DroppedLinesNotice;

/// The form of a log line.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    clap::ValueEnum,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl LogFormat {
    /// The line in this form that says how many lines were dropped.
    pub(super) fn dropped_lines_notice(self) -> DroppedLinesNotice {
        match self {
            LogFormat::Text => |dropped| format!("WARN log.lines_dropped lines={dropped}\n"),
            LogFormat::Json => |dropped| {
                format!("{{\"level\":\"WARN\",\"message\":\"log.lines_dropped\",\"lines\":{dropped}}}\n")
            },
        }
    }
}
