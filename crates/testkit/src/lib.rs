//! vetchbridge-testkit, the command-line kit that ships with the daemon. It starts a local deployment of real
//! schedulers (as child processes) with simulated workers, discovery and load balancer, sends load to it,
//! injects faults, and measures the daemon.
//!
//! No other crate depends on this crate. The modules, in the order in which a command uses them:
//!
//! - [`cli`] parses and runs a command;
//! - [`plan`] reads the description of a deployment;
//! - [`deployment`] starts a deployment, with each [`scheduler`] as a child process;
//! - [`runner`] sends a load to the deployment and injects faults;
//! - [`report`] summarizes the load and checks its results;
//! - [`soak`] runs a load under many overlapping faults and checks invariants;
//! - [`mod@bench`] compares the daemon's processor time with that of a plain [`relay`].

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

pub use failure::{io_failure, Failure};
