//! Endpoint discovery: keeps this scheduler's list of workers up to date.
//!
//! - [`document`] defines the discovery service's endpoint document; `partial` reads the complete parts of a
//!   truncated document.
//! - `client` makes the HTTP calls to the discovery service, and `answer` reads the responses. `slow_answers` has
//!   the responses that take long, and `leaving` the leaving workers in responses that have not ended.
//! - `schedule` decides when each call to the discovery service is made and how long the call may take. It
//!   does no I/O and reads no clock.
//! - `freshness` decides how long the endpoint list may be used while the discovery service answers slowly.
//! - [`watcher`] calls the discovery service and publishes each update of the endpoint list.
//! - [`endpoint_list`] holds the endpoint list as last published, which an upgrade hands over to the
//!   successor process.
//! - [`request`] defines the requests that the rest of the daemon sends to the watcher, such as the request
//!   to fetch the complete list.
//!
//! No code in this module connects to a worker or decides which worker runs a job.

mod answer;
mod client;
pub mod document;
pub mod endpoint_list;
mod freshness;
mod leaving;
mod partial;
pub mod request;
mod schedule;
mod slow_answers;
pub mod watcher;
