//! Everything on the clients' side: the listener, the connections it accepts, and the HTTP on them.
//!
//! This room owns what a client or a callback can see of the daemon. It must never choose a worker or speak to one.

mod body;
mod chunked_body;
mod connection;
mod connections;
mod eviction;
mod framing;
mod job;
mod protocol;
pub mod server;

use std::sync::{Mutex, MutexGuard, PoisonError};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
