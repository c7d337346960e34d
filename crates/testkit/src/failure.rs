//! Failures of the kit's commands, and the exit code for each kind of failure.

use std::fmt;
use std::io;

/// The reason why a command of the kit failed.
#[derive(Debug)]
pub enum Failure {
    /// The command ran, and a checked rule was violated or a goal was not reached.
    CheckFailed(String),
    /// The user's input is invalid; the command has started no process.
    BadInput(String),
    /// The machine, the operating system or the installation prevented the command from completing.
    System(String),
}

impl Failure {
    /// Returns the exit code of the kit for this failure.
    pub fn code(&self) -> u8 {
        match self {
            Failure::CheckFailed(_) => 1,
            Failure::BadInput(_) => 2,
            Failure::System(_) => 3,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::CheckFailed(text) | Failure::BadInput(text) | Failure::System(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Failure {}

/// Returns a function that converts an I/O error into a [`Failure::System`]. `subject` names the thing that
/// the failed operation concerned.
pub fn io_failure(subject: &str) -> impl FnOnce(io::Error) -> Failure + '_ {
    move |error| Failure::System(format!("{subject}: {error}"))
}
