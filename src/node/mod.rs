//! The real scheduler: sockets around the decision module. Nothing below decides where a job goes.

pub mod config;
pub mod connections;
pub mod discovery;
pub mod engine;
pub mod front;
pub mod request;
pub mod siblings;
pub mod upstream;
