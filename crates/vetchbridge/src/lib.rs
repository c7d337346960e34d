//! vetchbridge, the scheduler daemon: sockets around the decision module. Nothing in this crate decides where a job
//! goes, when it is tried again or what a client is told; [`serve::run`] is the whole program.

pub mod admin;
pub mod ask;
pub mod cli;
pub mod config;
pub mod connections;
pub mod discovery;
pub mod engine;
pub mod front;
pub mod kin;
pub mod life;
pub mod lifecycle;
pub mod listing;
pub mod load;
pub mod logs;
pub mod request;
pub mod serve;
pub mod siblings;
pub mod snapshot;
pub mod upgrade;
pub mod upstream;
