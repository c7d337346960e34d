//! A live count of open connections.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A counter of the connections that are currently open. Clones of the counter share its value.
#[derive(Clone, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

/// Keeps one connection counted in a [`ConnectionCount`] until the guard is dropped.
pub struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Counts one more connection as open until the returned guard is dropped.
    pub fn register(&self) -> ConnectionGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.0.clone())
    }

    /// Returns the number of connections that are currently counted.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
