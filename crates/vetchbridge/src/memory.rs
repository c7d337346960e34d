//! The budget of the process's memory: how much of it each owner holds, and up to which fill each owner may
//! take more.
//!
//! Memory is counted when it is taken and released when its [`MemoryReservation`] is dropped. The budget does
//! not allocate anything. What the list of workers takes is counted by its length.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Memory that each process needs for itself, in bytes: the program, the runtime and the log.
const PROCESS_BYTES: usize = 6 * MIB;
/// Memory for one connection to a worker, in bytes: mainly the two buffers of the HTTP client, whose lengths
/// are limited (see [`crate::net::MAX_RESPONSE_HEAD_BYTES`]).
const WORKER_CONNECTION_BYTES: usize = 20 * KIB;
/// Memory for one worker in the endpoint list, in bytes.
const WORKER_BYTES: usize = 5 * KIB;
/// The memory limit of the process divided by this number is the minimum capacity of the budget, whatever
/// workers take.
const MIN_CAPACITY_DIVISOR: usize = 4;
/// Minimum capacity of the budget in bytes, whatever the memory limit is: room for a few requests.
const MIN_CAPACITY_BYTES: usize = MIB;
/// The capacity divided by this number is the maximum memory for connections to workers.
const WORKER_CONNECTIONS_DIVISOR: usize = 4;

/// What a part of the process's memory is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryOwner {
    /// Input of clients that belongs to no complete request.
    UnfinishedInput,
    /// Client connections: for each, its task, its state and the buffers of the HTTP server.
    ClientConnections,
    /// Jobs from the first byte of their bodies to their end.
    Jobs,
    /// Bodies of workers' callbacks.
    Callbacks,
    /// Responses to clients that have not been sent completely.
    Responses,
    /// Bodies of workers' responses.
    WorkerResponses,
    /// Connections to workers, from the start of their dials. They take from the capacity for all other owners.
    WorkerConnections,
}

impl MemoryOwner {
    /// The number of owners.
    const COUNT: usize = 7;

    /// Returns the fill of the whole budget, in percent of its capacity, up to which this owner may take
    /// memory. Input that can be sent again fills the least, and what ends a job the most.
    fn max_fill_percent(self) -> usize {
        match self {
            MemoryOwner::UnfinishedInput => 25,
            MemoryOwner::Jobs => 80,
            MemoryOwner::ClientConnections | MemoryOwner::WorkerResponses => 90,
            MemoryOwner::Callbacks | MemoryOwner::Responses | MemoryOwner::WorkerConnections => 100,
        }
    }
}

/// Not enough memory is free in the budget for its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is free")]
pub struct MemoryExhausted;

/// What takes memory besides the reservations, by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherMemoryUse {
    /// Number of other processes of this scheduler, which share the memory limit.
    pub other_processes: usize,
    /// Number of workers in the endpoint list.
    pub workers: usize,
}

#[derive(Debug, Default)]
struct BudgetState {
    used: [usize; MemoryOwner::COUNT],
    other_use: OtherMemoryUse,
}

impl BudgetState {
    /// Returns the number of bytes that connections to workers hold.
    fn worker_connections(&self) -> usize {
        self.used[MemoryOwner::WorkerConnections as usize]
    }
}

/// The budget of a process's memory. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// The memory limit that the processes of this scheduler share, in bytes.
    limit: usize,
    state: Arc<Mutex<BudgetState>>,
}

impl MemoryBudget {
    /// Creates the budget of a scheduler whose processes may use `limit` bytes of memory together.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget { limit, state: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what takes memory besides the reservations.
    pub fn set_other_use(&self, other_use: OtherMemoryUse) {
        self.lock().other_use = other_use;
    }

    /// Returns the number of bytes that this owner holds.
    pub fn used(&self, owner: MemoryOwner) -> usize {
        self.lock().used[owner as usize]
    }

    /// Returns the number of connections to workers above which idle ones are closed for their memory.
    pub fn max_worker_connections(&self) -> usize {
        let other_use = self.lock().other_use;
        self.process_share(other_use) / WORKER_CONNECTIONS_DIVISOR / WORKER_CONNECTION_BYTES
    }

    /// Returns this process's share of the memory limit, in bytes, without what each process needs for itself.
    /// A fifth is kept free for what the allocator holds beyond what is in use.
    fn process_share(&self, other_use: OtherMemoryUse) -> usize {
        let processes = 1 + other_use.other_processes;
        self.limit.saturating_sub(processes * PROCESS_BYTES) / 5 * 4 / processes
    }

    /// Returns the number of bytes that all owners but connections to workers may hold together.
    fn capacity(&self, state: &BudgetState) -> usize {
        let other_use = state.other_use;
        let workers = other_use.workers * WORKER_BYTES;
        let minimum = self.limit / MIN_CAPACITY_DIVISOR / (1 + other_use.other_processes);
        let available = self.process_share(other_use).saturating_sub(state.worker_connections() + workers);
        available.max(minimum).max(MIN_CAPACITY_BYTES)
    }

    /// Whether `owner` may take `additional` bytes more.
    fn has_room(&self, state: &BudgetState, owner: MemoryOwner, additional: usize) -> bool {
        let max = self.capacity(state) / 100 * owner.max_fill_percent();
        let used = state.used.iter().sum::<usize>() - state.worker_connections();
        used + additional <= max
    }

    /// Holds memory for one connection to a worker, also if too little is free: an attempt that has been decided
    /// gets its connection.
    pub(crate) fn hold_worker_connection(&self) -> MemoryReservation {
        let mut reservation = self.reservation(MemoryOwner::WorkerConnections);
        reservation.resize(WORKER_CONNECTION_BYTES);
        reservation
    }

    /// Returns a reservation that holds no memory yet.
    pub fn reservation(&self, owner: MemoryOwner) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), owner, bytes: 0 }
    }
}

/// A part of the budget that is held for one owner, until the reservation is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    owner: MemoryOwner,
    bytes: usize,
}

impl MemoryReservation {
    /// Returns the number of bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns for whom the memory is held.
    pub fn owner(&self) -> MemoryOwner {
        self.owner
    }

    /// Whether the budget has memory for `additional` bytes more of this owner.
    pub fn has_room_for(&self, owner: MemoryOwner, additional: usize) -> bool {
        self.budget.has_room(&self.budget.lock(), owner, additional)
    }

    /// Changes the number of bytes that are held. Fails without any change if the budget has not enough memory
    /// for more; holding fewer bytes always succeeds.
    pub fn try_resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let additional = bytes.saturating_sub(self.bytes);
        if additional > 0 && !self.has_room_for(self.owner, additional) {
            return Err(MemoryExhausted);
        }
        self.resize(bytes);
        Ok(())
    }

    /// Changes the number of bytes that are held, also beyond what the budget has: for memory that is in use
    /// in any case.
    pub fn resize(&mut self, bytes: usize) {
        let used = &mut self.budget.lock().used[self.owner as usize];
        *used = *used - self.bytes + bytes;
        self.bytes = bytes;
    }

    /// Holds the memory for another owner from now on.
    pub fn set_owner(&mut self, owner: MemoryOwner) {
        let bytes = self.bytes;
        self.resize(0);
        self.owner = owner;
        self.resize(bytes);
    }

    /// Splits off a reservation of `bytes` bytes, or of all bytes if fewer are held.
    #[must_use]
    pub fn split_off(&mut self, bytes: usize) -> MemoryReservation {
        let bytes = bytes.min(self.bytes);
        let mut part = self.budget.reservation(self.owner);
        self.resize(self.bytes - bytes);
        part.resize(bytes);
        part
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests;
