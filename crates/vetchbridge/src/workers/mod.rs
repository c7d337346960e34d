//! The daemon's side towards workers: the upstream group (all workers in the endpoint list), and the attempts
//! and probes in flight to them.
//!
//! | Module | Concern |
//! | --- | --- |
//! | `group` | the workers in the endpoint list, time limits, and the limit on connections |
//! | `endpoint` | one worker, and whether requests may be written to it |
//! | `attempt` | one attempt of a request at a worker, from the opening of its connection to its outcome |
//! | `probe` | one health check of a worker |
//! | `exchange` | one HTTP exchange with a worker, and whether the worker can have received the request |
//! | `message` | the HTTP requests to workers, and the workers' responses |
//! | `permission` | whether a request may still be written, checked before its first byte |
//! | `expiry` | the header that tells a worker how long the daemon waits for the response |
//! | `client`, `dial`, `connection`, `connection_count` | the connection pool of a worker |
//! | `callbacks` | callbacks of workers, and their dispatch to attempts |
//! | [`load_report`] | load reports of workers, and which of them are used |
//! | `identifiers` | ids of workers and requests |

mod attempt;
mod callbacks;
mod client;
mod connection;
mod connection_count;
mod dial;
mod endpoint;
mod exchange;
mod expiry;
mod group;
mod identifiers;
pub mod load_report;
mod message;
mod permission;
mod probe;

pub use attempt::{AttemptResult, SendConditions};
pub use callbacks::{Callback, CallbackState};
pub use connection_count::{ConnectionCount, ConnectionGuard};
pub use endpoint::WorkerEndpoint;
pub use group::UpstreamGroup;
pub use identifiers::{name_hash, parse_request_id, worker_id};
pub use message::Payload;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a thread has panicked while it held the lock.
fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
