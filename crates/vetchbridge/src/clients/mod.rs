//! The server for clients and for workers' callbacks: the listener, its connections, and the HTTP on them.
//!
//! This module contains all behavior of the daemon that its clients can observe, and that workers can
//! observe when they send callbacks. The module neither chooses nor contacts workers.

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
