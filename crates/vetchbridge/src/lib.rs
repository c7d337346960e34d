//! vetchbridge, the scheduler daemon. This crate connects the decision module (`vetchbridge_scheduling`) to
//! sockets, timers and signals. The decision module alone decides which worker gets a job, when a job is
//! retried and what a client is told. [`serve::run`] runs the daemon.
//!
//! Each kind of counterpart of the daemon has its own module: [`clients`], [`workers`], [`discovery`],
//! [`peers`] (the other schedulers), [`admin`] (operators), and [`upgrade`] (the predecessor or successor
//! process of an upgrade). [`request`] carries one request from its arrival to its final answer, [`engine`]
//! passes events to the decision module and carries out the returned actions, and [`lifecycle`] defines the
//! states of the process from its start to its shutdown. [`memory`] counts what the process's memory is held for.

#![deny(missing_docs)]

pub mod admin;
pub mod cli;
pub mod clients;
pub mod closed_requests;
pub mod config;
pub mod discovery;
pub mod engine;
pub mod invariants;
pub mod lifecycle;
pub mod logs;
pub mod memory;
mod net;
pub mod peers;
pub mod request;
pub mod serve;
pub mod signals;
pub mod snapshot;
pub mod upgrade;
pub mod workers;
