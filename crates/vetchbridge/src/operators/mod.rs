//! What operators are told and may tell: how far the process is, and the door at which they ask.
//!
//! This room owns the lifecycle and that door. It must never touch a request or a connection of a client.

pub mod admin;
pub mod life;
pub mod lifecycle;
