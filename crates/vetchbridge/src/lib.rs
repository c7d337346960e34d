//! vetchbridge, the scheduler daemon: sockets around the decision module. Nothing in this crate decides where a job
//! goes, when it is tried again or what a client is told; [`serve::run`] is the whole program.
//!
//! Each side that the daemon faces has a room: [`clients`], [`workers`], the [`list`] of them, [`operators`], and the
//! other process of an [`upgrade`]. What all of them meet in stands beside the rooms.

pub mod cli;
pub mod clients;
pub mod config;
pub mod engine;
pub mod invariants;
pub mod list;
mod log_writer;
pub mod logs;
mod net;
pub mod operators;
pub mod workers;
pub mod request;
pub mod serve;
pub mod peers;
pub mod signals;
pub mod snapshot;
pub mod upgrade;
