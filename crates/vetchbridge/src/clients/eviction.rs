//! The order in which client connections are evicted when another connection needs a descriptor, or when
//! memory is needed.
//!
//! The eviction order is updated whenever a connection changes its state, so that the cost of an eviction
//! does not grow with the number of connections. Connections are divided into groups, which are evicted one
//! after the other. Within a group, the connection that has been in its state for longest is evicted first.

use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// The id of a connection, unique within the process.
pub(super) type ConnectionId = u64;

/// How long a connection without a complete request is safe from eviction, since the rest of the request may
/// be in transit.
pub(super) const MIN_AGE: Duration = Duration::from_millis(250);
/// How long a new connection is safe from eviction in favor of another new connection. A younger connection
/// has had no time to send anything.
const MIN_AGE_FOR_NEW_CONNECTION: Duration = Duration::from_millis(10);

/// The groups of connections, in the order in which the groups are evicted for their descriptors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionGroup {
    /// The daemon has closed its side of the connection after the last response; the client has not closed
    /// its side yet.
    Lingering,
    /// No byte has been received on the connection.
    New,
    /// A part of a request has arrived; the request is not a callback.
    ReceivingRequest,
    /// The connection is idle after at most one response. Connections that clients have reused are kept
    /// longer.
    IdleAfterOneResponse,
    /// The connection is idle after several responses.
    IdleKeepAlive,
    /// The connection of a worker is idle between callbacks. Such a connection is needed more than a client's
    /// connection, since the client can connect again.
    IdleCallback,
    /// A part of a callback has arrived. Such a connection is evicted only for its memory.
    ReceivingCallback,
}

impl EvictionGroup {
    /// The number of groups.
    const COUNT: usize = 7;

    /// The groups whose connections may be evicted however short the time in their state is.
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
    /// When the connection entered its current state.
    pub(super) since: Instant,
}

/// Whether a new connection that is younger than [`MIN_AGE`] may be evicted when no other connection can be
/// evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NewConnections {
    /// New connections may be evicted, since the descriptor is needed for another new connection.
    Evictable,
    /// New connections must not be evicted, since the descriptor is needed for a connection to a worker.
    Protected,
}

/// The eviction order of all client connections.
#[derive(Debug, Default)]
pub(super) struct EvictionOrder {
    /// The connections that can be evicted, by group and by the time when they entered their state.
    groups: [BTreeSet<(Instant, ConnectionId)>; EvictionGroup::COUNT],
    /// Number of connections that are chosen for eviction and that the daemon has not closed yet.
    pub(super) pending_evictions: usize,
}

impl EvictionOrder {
    fn group(&self, group: EvictionGroup) -> &BTreeSet<(Instant, ConnectionId)> {
        &self.groups[group as usize]
    }

    /// Moves a connection from one rank in the eviction order to another. A connection without a rank can't
    /// be evicted.
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

    /// Returns the connection of the group that has been in its state for longest, provided that its time in
    /// the state is at least `min_age`.
    fn oldest(&self, group: EvictionGroup, min_age: Duration, now: Instant) -> Option<ConnectionId> {
        let oldest = self.group(group).first().filter(|(since, _)| now >= *since + min_age);
        oldest.map(|(_, connection)| *connection)
    }

    /// Returns the connection to evict next; `None` if no connection can be evicted.
    pub(super) fn next_to_evict(
        &self,
        new_connections: NewConnections,
        now: Instant,
    ) -> Option<ConnectionId> {
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

    /// Returns the connection to evict next for its memory; `None` if no connection can be evicted. Input that
    /// has been incomplete for longest is lost first, since its client is the least likely to complete it.
    pub(super) fn next_to_evict_for_memory(&self, now: Instant) -> Option<ConnectionId> {
        self.oldest(EvictionGroup::ReceivingRequest, MIN_AGE, now)
            .or_else(|| self.oldest(EvictionGroup::ReceivingCallback, MIN_AGE, now))
            .or_else(|| self.oldest(EvictionGroup::New, MIN_AGE, now))
            .or_else(|| self.oldest(EvictionGroup::IdleAfterOneResponse, Duration::ZERO, now))
            .or_else(|| self.oldest(EvictionGroup::IdleKeepAlive, Duration::ZERO, now))
            .or_else(|| self.oldest(EvictionGroup::IdleCallback, Duration::ZERO, now))
    }

    /// Whether at least `count` connections can be evicted at time `now` to make room for new connections.
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

    /// Returns when the next new connection that is still too young becomes old enough to be evicted for
    /// another new connection; `None` if no new connection is too young.
    pub(super) fn next_new_connection_evictable_at(&self, now: Instant) -> Option<Instant> {
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
