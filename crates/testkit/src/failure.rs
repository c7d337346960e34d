//! How a command of the kit fails, and the exit code of each kind of failure.

use std::fmt;
use std::io;

/// How a command of the kit failed.
#[derive(Debug)]
pub enum Failure {
    /// A rule or a goal was missed.
    Missed(String),
    /// Bad input; nothing was started.
    BadInput(String),
    /// The machine could not do it.
    Machine(String),
}

impl Failure {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Failure::Missed(_) => 1,
            Failure::BadInput(_) => 2,
            Failure::Machine(_) => 3,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Missed(text) | Failure::BadInput(text) | Failure::Machine(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Failure {}

/// Converts an error of the operating system into a [`Failure::Machine`] that names what it concerns.
pub fn machine(subject: &str) -> impl FnOnce(io::Error) -> Failure + '_ {
    move |error| Failure::Machine(format!("{subject}: {error}"))
}
