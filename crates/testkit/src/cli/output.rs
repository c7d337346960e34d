//! What commands print, and how a report decides their exit code.

use crate::deployment::FailedShutdown;
use crate::report::Report;
use crate::Failure;
use std::io::{self, Write};

/// Prints to standard output. A reader that has closed the pipe is no failure.
pub(super) fn print(text: &str) -> Result<(), Failure> {
    match io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(Failure::Machine(error.to_string())),
        _ => Ok(()),
    }
}

/// JSON for people and programs.
pub(super) fn to_json(value: &impl serde::Serialize) -> Result<String, Failure> {
    let text = serde_json::to_string_pretty(value).map_err(|error| Failure::Machine(error.to_string()))?;
    Ok(text + "\n")
}

/// Prints the report of a load, then fails if a goal was missed; `failed_shutdowns` names schedulers that did not shut down
/// cleanly.
pub(super) fn finish(
    report: &Report,
    json: bool,
    failed_shutdowns: &[FailedShutdown],
) -> Result<(), Failure> {
    print(&if json { to_json(report)? } else { report.text() })?;
    if !report.violations.is_empty() {
        return Err(Failure::Missed(format!("{} rules were broken", report.violations.len())));
    }
    if report.answers.served == 0 && report.jobs > 0 {
        return Err(Failure::Missed("nothing was served".to_string()));
    }
    if let Some(fault) = report.machine_fault() {
        return Err(Failure::Machine(fault));
    }
    check_shutdowns(failed_shutdowns)
}

/// Fails if a scheduler did not shut down cleanly.
pub(super) fn check_shutdowns(failed: &[FailedShutdown]) -> Result<(), Failure> {
    if failed.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = failed.iter().map(ToString::to_string).collect();
    Err(Failure::Missed(lines.join("\n")))
}
