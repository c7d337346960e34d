//! Prints the results of commands, and derives a command's exit code from a report.

use crate::deployment::FailedShutdown;
use crate::report::Report;
use crate::Failure;
use std::io::{self, Write};

/// Prints a text to standard output. A pipe that its reader has closed is no error.
pub(super) fn print(text: &str) -> Result<(), Failure> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Failure::System(error.to_string())),
        _ => Ok(()),
    }
}

/// Returns a value as indented JSON.
pub(super) fn to_json(value: &impl serde::Serialize) -> Result<String, Failure> {
    let text = serde_json::to_string_pretty(value).map_err(|error| Failure::System(error.to_string()))?;
    Ok(text + "\n")
}

/// Prints the report of a load. Then fails if the audit found violations, no job was served, the load could
/// not be sent as planned, or `failed_shutdowns` lists a scheduler that did not shut down cleanly.
pub(super) fn print_and_check(
    report: &Report,
    json: bool,
    failed_shutdowns: &[FailedShutdown],
) -> Result<(), Failure> {
    print(&if json { to_json(report)? } else { report.text() })?;
    if !report.violations.is_empty() {
        return Err(Failure::CheckFailed(format!("the audit found {} violations", report.violations.len())));
    }
    if report.answers.served == 0 && report.jobs > 0 {
        return Err(Failure::CheckFailed("no job was served".to_string()));
    }
    if let Some(fault) = report.load_generation_error() {
        return Err(Failure::System(fault));
    }
    check_shutdowns(failed_shutdowns)
}

/// Fails if `failed` lists a scheduler that did not shut down cleanly.
pub(super) fn check_shutdowns(failed: &[FailedShutdown]) -> Result<(), Failure> {
    if failed.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = failed.iter().map(ToString::to_string).collect();
    Err(Failure::CheckFailed(lines.join("\n")))
}
