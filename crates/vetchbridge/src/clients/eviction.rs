//! The order in which client connections are evicted when a new one needs a descriptor.
//!
//! The order is updated as connections change, so that the cost of an eviction does not grow with their number. Within a
//! group the connection goes first that has been in its state for longest.

use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Identifies a connection within the process.
pub(super) type ConnectionId = u64;

/// Minimum time before a connection without a complete request may be evicted: its bytes may be on the way.
pub(super) const MIN_AGE: Duration = Duration::from_millis(250);
/// Minimum age before a new connection may be evicted for another new one; younger ones had no time to send anything.
const MIN_AGE_FOR_NEW_CONNECTION: Duration = Duration::from_millis(10);

/// Connections that are alike to eviction, in the order in which they are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionGroup {
    /// The last response is out, and the client's close is awaited.
    Lingering,
    /// No byte has been received.
    New,
    /// A request other than a callback has begun and is not complete.
    ReceivingRequest,
    /// Idle after at most one response; clients that reuse their connection are preferred.
    IdleAfterOneResponse,
    /// Idle after several responses.
    IdleKeepAlive,
    /// A worker's connection between callbacks, which is needed more than a client's, who can connect again.
    IdleCallback,
}

impl EvictionGroup {
    /// Number of groups.
    const COUNT: usize = 6;

    /// Groups whose connections may be evicted at any age.
    const AT_ANY_AGE: [EvictionGroup; 4] = [
        EvictionGroup::Lingering,
        EvictionGroup::IdleAfterOneResponse,
        EvictionGroup::IdleKeepAlive,
        EvictionGroup::IdleCallback,
    ];
}

/// The position of a connection in the eviction order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EvictionRank {
    pub(super) group: EvictionGroup,
    /// When the connection entered its state.
    pub(super) since: Instant,
}

/// Whether new connections may be evicted when no others are left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NewConnections {
    /// For another new connection they may.
    Evictable,
    /// For a connection to a worker they may not.
    Protected,
}

/// The eviction order of all connections.
#[derive(Debug, Default)]
pub(super) struct EvictionOrder {
    groups: [BTreeSet<(Instant, ConnectionId)>; EvictionGroup::COUNT],
    /// Number of connections that have been chosen for eviction and have not closed yet.
    pub(super) evicting: usize,
}

impl EvictionOrder {
    fn group(&self, group: EvictionGroup) -> &BTreeSet<(Instant, ConnectionId)> {
        &self.groups[group as usize]
    }

    /// Moves a connection from one rank to another; without a rank it can't be evicted.
    pub(super) fn update(
        &mut self,
        connection: ConnectionId,
        before: Option<EvictionRank>,
        after: Option<EvictionRank>,
    ) {
        if let Some(rank) = before {
            self.groups[rank.group as usize].remove(&(rank.since, connection));
        }
        if let Some(rank) = after {
            self.groups[rank.group as usize].insert((rank.since, connection));
        }
    }

    /// The connection that has been in the group for longest, if for at least `min_age`.
    fn oldest(&self, group: EvictionGroup, min_age: Duration, now: Instant) -> Option<ConnectionId> {
        let oldest = self.group(group).first().filter(|(since, _)| now >= *since + min_age);
        oldest.map(|(_, connection)| *connection)
    }

    /// The connection to evict next.
    pub(super) fn next(&self, new_connections: NewConnections, now: Instant) -> Option<ConnectionId> {
        let new_connection = || match new_connections {
            NewConnections::Evictable => self.oldest(EvictionGroup::New, MIN_AGE_FOR_NEW_CONNECTION, now),
            NewConnections::Protected => None,
        };
        self.oldest(EvictionGroup::Lingering, Duration::ZERO, now)
            .or_else(|| self.oldest(EvictionGroup::New, MIN_AGE, now))
            .or_else(|| self.oldest(EvictionGroup::ReceivingRequest, MIN_AGE, now))
            .or_else(|| self.oldest(EvictionGroup::IdleAfterOneResponse, Duration::ZERO, now))
            .or_else(|| self.oldest(EvictionGroup::IdleKeepAlive, Duration::ZERO, now))
            .or_else(|| self.oldest(EvictionGroup::IdleCallback, Duration::ZERO, now))
            .or_else(new_connection)
    }

    /// Whether this many connections can be evicted now.
    pub(super) fn can_evict(&self, count: usize, now: Instant) -> bool {
        let at_any_age: usize = EvictionGroup::AT_ANY_AGE.iter().map(|group| self.group(*group).len()).sum();
        let old_enough = |group, min_age| {
            let aged = |(since, _): &&(Instant, ConnectionId)| now >= *since + min_age;
            self.group(group).iter().take_while(aged).take(count).count()
        };
        let new = old_enough(EvictionGroup::New, MIN_AGE_FOR_NEW_CONNECTION);
        let receiving = old_enough(EvictionGroup::ReceivingRequest, MIN_AGE);
        at_any_age + new + receiving >= count
    }

    /// When the next new connection reaches the age at which it can be evicted.
    pub(super) fn next_new_connection_at(&self, now: Instant) -> Option<Instant> {
        let new = self.group(EvictionGroup::New);
        let youngest_evictable = now.checked_sub(MIN_AGE_FOR_NEW_CONNECTION);
        let next = match youngest_evictable {
            Some(since) => new.range((since, ConnectionId::MAX)..).next(),
            None => new.first(),
        };
        next.map(|(since, _)| *since + MIN_AGE_FOR_NEW_CONNECTION)
    }
}

#[cfg(test)]
mod tests;
