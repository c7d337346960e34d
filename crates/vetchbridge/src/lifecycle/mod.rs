//! The lifecycle of the process, from starting to shutting down.
//!
//! [`state`] defines the state machine, which receives the time as an argument. [`clock`] runs the state
//! machine in real time and publishes each transition.

pub mod clock;
pub mod state;
