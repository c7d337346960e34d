//! vetchbridge, the scheduler daemon. This crate connects the decision module (`vetchbridge_scheduling`) to
//! sockets, timers and signals. The decision module alone decides which worker gets a job, when a job is
//! retried and what a client is told. [`serve::run`] runs the daemon.
//!
//! A module handles each kind of counterpart: [`clients`], [`workers`], [`discovery`], [`peers`] (the other
//! schedulers), operators ([`admin`]), and the predecessor or successor of an [`upgrade`]. [`request`]
//! carries one request from its arrival to its answer, [`engine`] passes events to the decision module and
//! carries out its actions, and [`lifecycle`] defines the states of the process from its start to its
//! shutdown.

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
