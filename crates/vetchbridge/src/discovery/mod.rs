//! Endpoint discovery: keeps this scheduler's list of workers up to date.
//!
//! - [`document`] defines the discovery service's document; `partial` reads the complete parts of a truncated
//!   one.
//! - `client` makes the HTTP calls to the service.
//! - `schedule` decides when each call is made and how long it may take. It does no I/O and reads no clock.
//! - [`watcher`] calls the service and publishes each update.
//! - [`endpoint_list`] holds the list as last published, which is handed over to a successor process.
//! - [`request`] defines the requests that the rest of the daemon sends to the watcher.
//!
//! No code in this module connects to a worker or decides which worker runs a job.

mod client;
pub mod document;
pub mod endpoint_list;
mod partial;
pub mod request;
mod schedule;
pub mod watcher;
