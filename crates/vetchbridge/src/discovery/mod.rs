//! Discovery: the service that keeps the list of workers.
//!
//! [`document`] is the form of a list, [`request`] what may be asked of the service, and [`client`] the watch on it. Nothing
//! here judges a list, or speaks to a worker that stands on one.

pub mod client;
pub mod document;
pub mod request;
