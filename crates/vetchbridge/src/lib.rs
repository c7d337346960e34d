//! vetchbridge, the scheduler daemon: sockets around the decision module (`vetchbridge_scheduling`). Nothing in this crate
//! decides where a job goes, when it is retried or what a client is told; [`serve::run`] is the whole program.
//!
//! Each party that the daemon talks to has a module: [`clients`], [`workers`], [`discovery`], [`peers`] (the other
//! schedulers), operators ([`admin`]), and the predecessor or successor of an [`upgrade`]. [`request`] carries one request
//! from its arrival to its answer, [`engine`] the decision module's events and actions, and [`lifecycle`] has the states of
//! the process from its start to its end.

#![deny(missing_docs)]

pub mod admin;
pub mod cli;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod engine;
pub mod invariants;
pub mod lifecycle;
pub mod logs;
mod net;
pub mod peers;
pub mod request;
pub mod serve;
pub mod signals;
pub mod snapshot;
pub mod upgrade;
pub mod workers;
