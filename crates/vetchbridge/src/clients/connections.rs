//! All client connections of the process, including the connections on which workers send callbacks.
//!
//! This module admits new connections within the descriptor budget and the memory budget, evicts other
//! connections to make room for them and for their requests, and closes connections that exceed their time
//! limits. A connection that must not be evicted is never
//! closed to make room for another connection.

use super::budget::{DescriptorBudget, OtherProcesses};
use super::connection::{ClientConnection, CONNECTION_BYTES};
use super::eviction::{ConnectionId, EvictionOrder, NewConnections};
use super::lock_ignoring_poison;
use crate::memory::{MemoryBudget, MemoryExhausted, MemoryOwner};
use crate::workers::{ConnectionCount, ConnectionGuard};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;
use tracing::debug;

/// The open client connections, and the order in which they are evicted.
#[derive(Default)]
struct ConnectionTable {
    /// The open connections by their ids, including connections that are chosen for eviction.
    open: BTreeMap<ConnectionId, Arc<ClientConnection>>,
    last_id: ConnectionId,
    eviction_order: Arc<Mutex<EvictionOrder>>,
}

impl ConnectionTable {
    /// Returns the number of open connections that are not chosen for eviction.
    fn non_evicted_count(&self) -> usize {
        self.open.len().saturating_sub(lock_ignoring_poison(&self.eviction_order).pending_evictions)
    }

    /// Evicts the next connection in the eviction order; returns `false` if no connection can be evicted.
    fn evict_next(&self, new_connections: NewConnections, now: Instant) -> bool {
        let next = lock_ignoring_poison(&self.eviction_order).next_to_evict(new_connections, now);
        let Some(connection) = next.and_then(|id| self.open.get(&id)) else { return false };
        connection.evict();
        true
    }

    /// Evicts the next connection for memory that `owner` needs; returns `false` if no connection can be evicted.
    fn evict_for_memory(&self, owner: MemoryOwner, now: Instant) -> bool {
        let next = lock_ignoring_poison(&self.eviction_order).next_to_evict_for_memory(now);
        let Some(connection) = next.and_then(|id| self.open.get(&id)) else { return false };
        debug!(?owner, connection = next, "connection.evicted_for_memory");
        connection.evict();
        true
    }
}

/// The client connections of the process, and the budgets that limit their number and their memory.
pub(super) struct ClientConnections {
    budget: DescriptorBudget,
    memory: MemoryBudget,
    table: Mutex<ConnectionTable>,
    /// The number of callback connections that are open beyond the clients' share of the descriptor budget.
    extra_callbacks: ConnectionCount,
}

/// The place of one client connection in the descriptor budget; released when this value is dropped.
pub(super) struct ConnectionSlot<'a> {
    connections: &'a ClientConnections,
    id: ConnectionId,
    /// The client connection that occupies this place in the descriptor budget.
    pub(super) connection: Arc<ClientConnection>,
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        lock_ignoring_poison(&self.connections.table).open.remove(&self.id);
    }
}

impl ClientConnections {
    /// Creates an empty set of client connections that is limited by these budgets.
    pub(super) fn new(budget: DescriptorBudget, memory: MemoryBudget) -> ClientConnections {
        ClientConnections {
            budget,
            memory,
            table: Mutex::default(),
            extra_callbacks: ConnectionCount::default(),
        }
    }

    /// Reserves memory for `owner` with `try_reserve`, and evicts connections until that succeeds or no
    /// connection can be evicted.
    fn reserve(
        &self,
        owner: MemoryOwner,
        mut try_reserve: impl FnMut() -> Result<(), MemoryExhausted>,
    ) -> Result<(), MemoryExhausted> {
        while let Err(error) = try_reserve() {
            if !lock_ignoring_poison(&self.table).evict_for_memory(owner, Instant::now()) {
                debug!(?owner, "memory.exhausted");
                return Err(error);
            }
        }
        Ok(())
    }

    /// Reserves memory for the buffers of the HTTP server on a connection. The memory is held even if too
    /// little is free, since the request that has begun to arrive must get a response.
    pub(super) fn reserve_http_buffers(&self, connection: &ClientConnection) {
        if self.reserve(MemoryOwner::ClientConnections, || connection.try_reserve_http_buffers()).is_err() {
            connection.hold_http_buffers();
        }
    }

    /// Reserves memory for the request that is being received on a connection, with `bytes` bytes of its body.
    pub(super) fn reserve_body(
        &self,
        connection: &ClientConnection,
        owner: MemoryOwner,
        bytes: usize,
    ) -> Result<(), MemoryExhausted> {
        self.reserve(owner, || connection.try_reserve_body(owner, bytes))
    }

    /// Returns the connection of a callback beyond the clients' share of the descriptor budget. It can't be
    /// evicted, and its response closes it.
    pub(super) fn extra_callback_connection(&self) -> Arc<ClientConnection> {
        let reservation = self.memory.reservation(MemoryOwner::ClientConnections);
        let connection = Arc::new(ClientConnection::new(0, Arc::default(), reservation, &self.memory));
        connection.evict();
        connection.hold_http_buffers();
        connection
    }

    /// Returns the number of open client connections.
    pub(super) fn count(&self) -> usize {
        lock_ignoring_poison(&self.table).open.len()
    }

    /// Returns the number of connections to workers above which idle connections to workers are closed.
    pub(super) fn max_worker_connections(&self, others: OtherProcesses) -> usize {
        self.budget.max_worker_connections(self.count(), others)
    }

    /// Returns the time until which accepting client connections is paused. The pause is needed if the next
    /// connection could be admitted only by evicting a recently accepted connection that is still too young;
    /// it ends when that connection becomes old enough. Returns `None` if the next connection can be admitted
    /// without that eviction, or if no recently accepted connection exists.
    pub(super) fn accept_paused_until(&self, others: OtherProcesses) -> Option<Instant> {
        let (now, table) = (Instant::now(), lock_ignoring_poison(&self.table));
        let excess =
            (table.non_evicted_count() + 1).saturating_sub(self.budget.max_client_connections(others));
        let order = lock_ignoring_poison(&table.eviction_order);
        order.next_new_connection_evictable_at(now).filter(|_| !order.can_evict(excess, now))
    }

    /// Admits a new client connection. Evicts other connections if the descriptor budget or the memory budget
    /// is used up; returns `None` if too few connections can be evicted.
    pub(super) fn admit(&self, others: OtherProcesses) -> Option<ConnectionSlot<'_>> {
        let table = &mut *lock_ignoring_poison(&self.table);
        // One eviction may not be enough: a connection that was evicted earlier counts again while it lingers
        // after its close, since it still has its descriptor.
        while table.non_evicted_count() >= self.budget.max_client_connections(others) {
            if !table.evict_next(NewConnections::Evictable, Instant::now()) {
                return None;
            }
        }
        let owner = MemoryOwner::ClientConnections;
        let mut reservation = self.memory.reservation(owner);
        while reservation.try_resize(CONNECTION_BYTES).is_err() {
            if !table.evict_for_memory(owner, Instant::now()) {
                return None;
            }
        }
        table.last_id += 1;
        let id = table.last_id;
        let connection = ClientConnection::new(id, table.eviction_order.clone(), reservation, &self.memory);
        let connection = Arc::new(connection);
        table.open.insert(id, connection.clone());
        Some(ConnectionSlot { connections: self, id, connection })
    }

    /// Admits a connection beyond the clients' share of the descriptor budget for one callback, since a
    /// pending request may be waiting for the callback. Returns `None` if too many such connections are open.
    pub(super) fn admit_extra_callback(&self) -> Option<ConnectionGuard> {
        (self.extra_callbacks.get() < self.budget.max_extra_callbacks())
            .then(|| self.extra_callbacks.register())
    }

    /// Whether any client connection awaits a response, or a response on the connection may still be in the
    /// process of being sent.
    pub(super) fn has_pending_response(&self) -> bool {
        let now = Instant::now();
        lock_ignoring_poison(&self.table).open.values().any(|connection| connection.has_pending_response(now))
    }

    /// Whether any client connection is lingering: the daemon has closed its side, but the client may not
    /// have read the last response yet.
    pub(super) fn has_lingering(&self) -> bool {
        lock_ignoring_poison(&self.table).open.values().any(|connection| connection.is_lingering())
    }

    /// Closes the client connections that exceed a time limit, and evicts client connections if their
    /// descriptors are needed for connections to workers.
    pub(super) fn enforce_limits(&self, others: OtherProcesses) {
        let (now, table) = (Instant::now(), lock_ignoring_poison(&self.table));
        table
            .open
            .values()
            .filter(|connection| connection.has_timed_out(now))
            .for_each(|connection| connection.trigger_close_check());
        let excess = table.non_evicted_count().saturating_sub(self.budget.max_client_connections(others));
        let _ = (0..excess).all(|_| table.evict_next(NewConnections::Protected, now));
    }
}

#[cfg(test)]
mod tests;
