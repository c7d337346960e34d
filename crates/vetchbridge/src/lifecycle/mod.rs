//! The lifecycle of the process, from starting to ending: [`state`] is the state machine, with times passed in; [`clock`]
//! gives it the time and tells everyone of changes.

pub mod clock;
pub mod state;
