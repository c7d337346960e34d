//! All client connections of the process, those of workers' callbacks included.
//!
//! Admits new connections within the descriptor budget, evicts others for them, and closes those that exceed their time
//! limits. A connection that may not be evicted is never closed for another one.

use super::budget::{DescriptorBudget, OtherProcesses};
use super::connection::ClientConnection;
use super::eviction::{ConnectionId, EvictionOrder, NewConnections};
use super::lock;
use crate::workers::{ConnectionCount, ConnectionGuard};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

#[derive(Default)]
struct ConnectionTable {
    open: BTreeMap<ConnectionId, Arc<ClientConnection>>,
    last_id: ConnectionId,
    eviction_order: Arc<Mutex<EvictionOrder>>,
}

impl ConnectionTable {
    /// Number of connections without those that have been chosen for eviction.
    fn remaining(&self) -> usize {
        self.open.len().saturating_sub(lock(&self.eviction_order).evicting)
    }

    /// Evicts the next connection of the eviction order; false if there is none.
    fn evict_next(&self, new_connections: NewConnections, now: Instant) -> bool {
        let next = lock(&self.eviction_order).next(new_connections, now);
        let Some(connection) = next.and_then(|id| self.open.get(&id)) else { return false };
        connection.evict();
        true
    }
}

/// The client connections of the process.
pub(super) struct ClientConnections {
    budget: DescriptorBudget,
    table: Mutex<ConnectionTable>,
    extra_callbacks: ConnectionCount,
}

/// A connection's slot in the budget, released when it is dropped.
pub(super) struct ConnectionSlot<'a> {
    connections: &'a ClientConnections,
    id: ConnectionId,
    /// The connection that takes the slot.
    pub(super) connection: Arc<ClientConnection>,
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        lock(&self.connections.table).open.remove(&self.id);
    }
}

impl ClientConnections {
    /// The connections of a process with this budget.
    pub(super) fn new(budget: DescriptorBudget) -> ClientConnections {
        ClientConnections { budget, table: Mutex::default(), extra_callbacks: ConnectionCount::default() }
    }

    /// Number of connections.
    pub(super) fn count(&self) -> usize {
        lock(&self.table).open.len()
    }

    /// Maximum number of connections to workers beyond which idle ones are closed.
    pub(super) fn max_worker_connections(&self, others: OtherProcesses) -> usize {
        self.budget.max_worker_connections(self.count(), others)
    }

    /// When a connection that is too new to be evicted can be, if a new connection has to wait for that.
    pub(super) fn next_eviction_at(&self, others: OtherProcesses) -> Option<Instant> {
        let (now, table) = (Instant::now(), lock(&self.table));
        let excess = (table.remaining() + 1).saturating_sub(self.budget.max_client_connections(others));
        let order = lock(&table.eviction_order);
        order.next_new_connection_at(now).filter(|_| !order.can_evict(excess, now))
    }

    /// Admits a new connection, evicting others if need be; `None` if too few can be evicted.
    pub(super) fn admit(&self, others: OtherProcesses) -> Option<ConnectionSlot<'_>> {
        let table = &mut *lock(&self.table);
        // Connections that were evicted before and have not closed yet take descriptors as well.
        while table.remaining() >= self.budget.max_client_connections(others) {
            if !table.evict_next(NewConnections::Evictable, Instant::now()) {
                return None;
            }
        }
        table.last_id += 1;
        let id = table.last_id;
        let connection = Arc::new(ClientConnection::new(id, table.eviction_order.clone()));
        table.open.insert(id, connection.clone());
        Some(ConnectionSlot { connections: self, id, connection })
    }

    /// Admits a connection beyond the clients' share for one callback, which pending requests may be waiting for; `None`
    /// if there are too many already.
    pub(super) fn admit_extra_callback(&self) -> Option<ConnectionGuard> {
        (self.extra_callbacks.get() < self.budget.max_extra_callbacks())
            .then(|| self.extra_callbacks.register())
    }

    /// Whether any connection awaits a response or may still be sending one.
    pub(super) fn has_pending_response(&self) -> bool {
        let now = Instant::now();
        lock(&self.table).open.values().any(|connection| connection.has_pending_response(now))
    }

    /// Whether any connection is closed on this side, and its client may not have read the last response.
    pub(super) fn has_lingering(&self) -> bool {
        lock(&self.table).open.values().any(|connection| connection.is_lingering())
    }

    /// Closes the connections that exceed a time limit, and evicts those whose descriptors the workers need.
    pub(super) fn enforce_limits(&self, others: OtherProcesses) {
        let (now, table) = (Instant::now(), lock(&self.table));
        table
            .open
            .values()
            .filter(|connection| connection.has_timed_out(now))
            .for_each(|connection| connection.check_close());
        let excess = table.remaining().saturating_sub(self.budget.max_client_connections(others));
        let _ = (0..excess).all(|_| table.evict_next(NewConnections::Protected, now));
    }
}

#[cfg(test)]
mod tests;
