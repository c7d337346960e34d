//! Endpoint discovery: keeps this scheduler's list of workers up to date.
//!
//! - [`document`] defines the discovery service's endpoint document; `partial` reads the complete parts of a
//!   truncated document.
//! - `client` makes the HTTP calls to the discovery service.
//! - `schedule` decides when each call to the discovery service is made and how long the call may take. It
//!   does no I/O and reads no clock.
//! - [`watcher`] calls the discovery service and publishes each update of the endpoint list.
//! - [`endpoint_list`] holds the endpoint list as last published, which an upgrade hands over to the
//!   successor process.
//! - [`request`] defines the requests that the rest of the daemon sends to the watcher, such as the request
//!   to fetch the complete list.
//!
//! No code in this module connects to a worker or decides which worker runs a job.

mod client;
pub mod document;
pub mod endpoint_list;
mod partial;
pub mod request;
mod schedule;
pub mod watcher;
