//! The server for clients and for workers' callbacks: the listener, its connections, and the HTTP on them.
//!
//! All behaviour of the daemon that clients, and workers that send callbacks, can observe is in this module.
//! The module neither chooses nor contacts workers.

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

/// Locks a mutex, also after a thread has panicked while it held the lock.
fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
