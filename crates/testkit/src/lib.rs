//! vetchbridge-testkit, the kit that ships with the daemon: a local deployment of real schedulers as child processes and
//! stand-ins for everything round them, a load, a demonstration and measurements.
//!
//! Nothing depends on this crate. From a command to its result:
//!
//! - [`cli`] parses a command and runs it;
//! - [`plan`] reads what a deployment consists of;
//! - [`deployment`] starts it, with each [`scheduler`] as a child process;
//! - [`runner`] runs a load against it and injects faults;
//! - [`report`] summarizes and judges the load;
//! - [`soak`] does all of that under many overlapping faults;
//! - [`mod@bench`] compares the daemon's cost with that of a bare [`relay`].

#![deny(missing_docs)]

pub mod bench;
pub mod cli;
pub mod deployment;
mod failure;
pub mod plan;
pub mod relay;
pub mod report;
pub mod runner;
pub mod scheduler;
pub mod soak;

pub use failure::{machine, Failure};
