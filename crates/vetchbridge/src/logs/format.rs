//! The formats in which the daemon writes log lines.

use super::writer::DroppedLinesNotice;

/// The format of log lines.
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
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// Returns the function that formats the notice of dropped lines, a log line in this format that reports
    /// how many lines were dropped.
    pub(super) fn dropped_lines_notice(self) -> DroppedLinesNotice {
        match self {
            LogFormat::Text => |dropped| format!("WARN log.lines_dropped lines={dropped}\n"),
            LogFormat::Json => |dropped| {
                format!("{{\"level\":\"WARN\",\"message\":\"log.lines_dropped\",\"lines\":{dropped}}}\n")
            },
        }
    }
}
