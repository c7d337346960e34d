//! The clients' side: the listener, the connections that it accepts, and the HTTP on them.
//!
//! Everything that a client or a worker's callback can see of the daemon is here. No worker is chosen or contacted.

mod body;
mod budget;
mod chunked_body;
mod connection;
mod connections;
mod eviction;
mod framing;
mod handler;
mod job;
mod protocol;
pub mod server;
mod session;

use std::sync::{Mutex, MutexGuard, PoisonError};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
