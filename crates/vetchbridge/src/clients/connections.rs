//! Client connections, all of them: the accepted sockets, those of the workers' callbacks included.
//!
//! Owns the budget of descriptors for them (what the limit leaves beside the program and the workers), and who makes room
//! when it is used up. It must never end a connection that says of itself that it can't be spared.

use super::connection::ClientConnection;
use super::eviction::{Newcomers, SpareOrder};
use super::lock;
use crate::workers::{ConnectionCount, ConnectionGuard};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// Descriptors that a process needs for itself: standard streams, runtime, listeners, signals, peers, discovery and
/// a hand-over. One at rest holds 14.
const PROGRAM: usize = 24;
/// This share of the limit is left free for connections to workers that are still to be made.
const SPARE: usize = 8;
/// Clients have this share of the limit whatever the workers hold.
const AT_LEAST: usize = 4;
/// Callbacks for which nobody can be spared have this share of the limit, of what is left free.
const CALLBACKS: usize = 32;
/// Idle connections to workers are kept up to this share of the limit whatever the clients hold.
const WORKERS_AT_LEAST: usize = 4;

/// What other processes of this scheduler hold of the same budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct Elsewhere {
    /// How many there are.
    pub processes: usize,
    /// Their client connections.
    pub connections: usize,
}

#[derive(Default)]
struct Table {
    open: BTreeMap<u64, Arc<ClientConnection>>,
    next: u64,
    order: Arc<Mutex<SpareOrder>>,
}

impl Table {
    /// How many there are beside those that have been chosen to make room.
    fn staying(&self) -> usize {
        self.open.len().saturating_sub(lock(&self.order).leaving)
    }

    /// Sends away the connection that can best be spared; false if there is none.
    fn make_room(&self, newcomers: Newcomers, now: Instant) -> bool {
        let best = lock(&self.order).best(newcomers, now);
        let best = best.and_then(|number| self.open.get(&number));
        best.into_iter().for_each(|connection| connection.choose());
        best.is_some()
    }
}

/// See the head of this file.
pub struct ClientConnections {
    /// The most descriptors that the process may hold, and how many are set aside.
    limit: usize,
    aside: usize,
    /// Connections to workers.
    workers: ConnectionCount,
    table: Mutex<Table>,
    callbacks: ConnectionCount,
}

/// A connection's place in the budget.
pub struct ConnectionSlot<'a> {
    owner: &'a ClientConnections,
    number: u64,
    /// The connection that holds it.
    pub connection: Arc<ClientConnection>,
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        lock(&self.owner.table).open.remove(&self.number);
    }
}

impl ClientConnections {
    /// Connections of a process that may hold `limit` descriptors, of which so many are set `aside` beside
    /// [`PROGRAM`]; the connections to `workers` share the rest with them.
    pub fn new(limit: usize, aside: usize, workers: ConnectionCount) -> ClientConnections {
        ClientConnections {
            limit,
            aside,
            workers,
            table: Mutex::default(),
            callbacks: ConnectionCount::default(),
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        lock(&self.table).open.len()
    }

    /// How many there may be here.
    fn budget(&self, elsewhere: Elsewhere) -> usize {
        let taken =
            self.aside + PROGRAM * (1 + elsewhere.processes) + self.workers.get() + self.limit / SPARE;
        let clients = self.limit.saturating_sub(taken).max(self.limit / AT_LEAST);
        clients.saturating_sub(elsewhere.connections)
    }

    /// How many connections to workers there may be before idle ones are closed: what the clients leave that are here, an
    /// eighth of the limit more of them, and a quarter of it in any case.
    pub fn left_to_workers(&self, elsewhere: Elsewhere) -> usize {
        let growing = self.count() + elsewhere.connections + self.limit / SPARE;
        let clients = growing.max(self.limit / AT_LEAST);
        let taken = self.aside + PROGRAM * (1 + elsewhere.processes) + self.limit / SPARE + clients;
        self.limit.saturating_sub(taken).max(self.limit / WORKERS_AT_LEAST)
    }

    /// When a new connection can have the place of one that is too young to go now, if there is no other place.
    pub fn relief(&self, elsewhere: Elsewhere) -> Option<Instant> {
        let (now, table) = (Instant::now(), lock(&self.table));
        let over = (table.staying() + 1).saturating_sub(self.budget(elsewhere));
        let order = lock(&table.order);
        order.next_newcomer(now).filter(|_| !order.has(over, now))
    }

    /// A place for a new connection, if need be that of one that can be spared; `None` if there is none.
    pub fn place(&self, elsewhere: Elsewhere) -> Option<ConnectionSlot<'_>> {
        let table = &mut *lock(&self.table);
        // Those that made room for others before and have not gone yet hold descriptors as well.
        while table.staying() >= self.budget(elsewhere) {
            if !table.make_room(Newcomers::MayGo, Instant::now()) {
                return None;
            }
        }
        table.next += 1;
        let (number, connection) =
            (table.next, Arc::new(ClientConnection::new(table.next, table.order.clone())));
        table.open.insert(number, connection.clone());
        Some(ConnectionSlot { owner: self, number, connection })
    }

    /// A place beside the budget, for a callback; `None` if there is none. Where every client connection is owed an answer, a
    /// callback is what they wait for.
    pub fn place_for_callback(&self) -> Option<ConnectionGuard> {
        let most = (self.limit / CALLBACKS).max(2);
        (self.callbacks.get() < most).then(|| self.callbacks.register())
    }

    /// Whether any connection owes an answer, or may still be sending one.
    pub fn owe(&self) -> bool {
        let now = Instant::now();
        lock(&self.table).open.values().any(|c| c.owes(now))
    }

    /// Whether any is closed on our side and may still take its last answer in.
    pub fn linger(&self) -> bool {
        lock(&self.table).open.values().any(|c| c.lingers())
    }

    /// Ends the connections that have used up their time, and those that the workers' connections need the room of.
    pub fn sweep(&self, elsewhere: Elsewhere) {
        let (now, table) = (Instant::now(), lock(&self.table));
        table.open.values().filter(|c| c.overdue(now)).for_each(|c| c.end());
        let over = table.staying().saturating_sub(self.budget(elsewhere));
        _ = (0..over).all(|_| table.make_room(Newcomers::Stay, now));
    }
}

#[cfg(test)]
mod tests;
