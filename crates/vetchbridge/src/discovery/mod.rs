//! Endpoint discovery: how this scheduler learns which workers there are.
//!
//! - [`document`] is the form in which the discovery service gives the list, and `partial` what can be read of a
//!   document that breaks off.
//! - `client` makes the HTTP calls.
//! - `schedule` decides when a call is made and how long it may take; it is pure.
//! - [`watcher`] follows the service and publishes what it learns.
//! - [`endpoint_list`] is the list as last published, which a successor process starts from.
//! - [`request`] is what the rest of the daemon may request of the watcher.
//!
//! Nothing in this module decides about a worker or connects to one.

mod client;
pub mod document;
pub mod endpoint_list;
mod partial;
pub mod request;
mod schedule;
pub mod watcher;
