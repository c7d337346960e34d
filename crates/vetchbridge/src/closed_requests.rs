//! Remembers the ids of closed requests whose jobs may have run and must not run again.
//!
//! A client may leave and send its request again with the same id. The decision module forgets a request when it
//! is closed, so the daemon rejects such a repeat. The number of ids and the time for which each is remembered
//! are limited.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;
use vetchbridge_scheduling::RequestId;

/// Maximum number of remembered ids. All of them fit into the queue of messages to another process.
pub const MAX_CLOSED_REQUESTS: usize = 4096;
/// How long an id is remembered.
const RETENTION: Duration = Duration::from_secs(60);

/// The ids of closed requests, the earliest closed first.
#[derive(Debug, Default)]
pub struct ClosedRequests {
    ids: HashSet<RequestId>,
    closed_at: VecDeque<(Instant, RequestId)>,
}

impl ClosedRequests {
    /// Remembers a request that was closed at `now`. Returns the ids that are forgotten in exchange.
    pub fn remember(&mut self, id: RequestId, now: Instant) -> Vec<RequestId> {
        let mut forgotten = self.forget_expired(now);
        if self.ids.insert(id) {
            self.closed_at.push_back((now, id));
        }
        while self.closed_at.len() > MAX_CLOSED_REQUESTS {
            forgotten.extend(self.forget_earliest());
        }
        forgotten
    }

    /// Whether the request with this id is remembered.
    pub fn contains(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
    }

    /// Returns the remembered ids.
    pub fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.closed_at.iter().map(|(_, id)| *id)
    }

    fn forget_expired(&mut self, now: Instant) -> Vec<RequestId> {
        let mut forgotten = Vec::new();
        while self.closed_at.front().is_some_and(|(closed_at, _)| now >= *closed_at + RETENTION) {
            forgotten.extend(self.forget_earliest());
        }
        forgotten
    }

    fn forget_earliest(&mut self) -> Option<RequestId> {
        let (_, id) = self.closed_at.pop_front()?;
        self.ids.remove(&id);
        Some(id)
    }
}

#[cfg(test)]
mod tests;
