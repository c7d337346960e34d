//! vetchbridge-testkit, the kit that ships with the daemon: a platform of stand-ins with schedulers as real child processes, a
//! load, a demonstration and measurements. Nothing depends on this crate; it uses the daemon's pieces and no more.

pub mod bench;
pub mod cli;
pub mod deployment;
pub mod plan;
pub mod relay;
pub mod report;
pub mod runner;
pub mod scheduler;
pub mod soak;

use std::fmt;

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

/// What went wrong on the machine, and what was being done.
pub fn machine(doing: &str) -> impl FnOnce(std::io::Error) -> Failure + '_ {
    move |error| Failure::Machine(format!("{doing}: {error}"))
}
