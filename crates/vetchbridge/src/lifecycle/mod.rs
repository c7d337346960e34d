//! The lifecycle of the process, from starting to shutting down.
//!
//! [`state`] is the state machine, with times passed in; [`clock`] drives it with the real time and publishes each
//! transition.

pub mod clock;
pub mod state;
