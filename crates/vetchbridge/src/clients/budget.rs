//! The division of the process's file descriptors among client connections, worker connections and the rest.

use crate::workers::ConnectionCount;

/// Number of descriptors that a process needs in addition to client and worker connections: for standard
/// streams, the runtime, listeners, signals, peers, discovery and a hand-over. An idle process has 14 of
/// these descriptors open.
pub(super) const PROCESS_DESCRIPTORS: usize = 24;
/// Divisor for the share of the descriptor limit that is kept free for new connections to workers.
const FREE_DIVISOR: usize = 8;
/// Divisor for the minimum share of the descriptor limit that client connections get.
const MIN_CLIENTS_DIVISOR: usize = 4;
/// Divisor for the minimum share of the descriptor limit that connections to workers get.
const MIN_WORKERS_DIVISOR: usize = 4;
/// Divisor for the share of the descriptor limit that callback connections may use beyond the clients' share.
/// The share for callbacks is part of the share that is kept free.
const EXTRA_CALLBACKS_DIVISOR: usize = 32;
/// Minimum for the number of callback connections that may be open beyond the clients' share.
const MIN_EXTRA_CALLBACKS: usize = 2;

/// The use of the descriptor budget by the other processes of this scheduler during an upgrade.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OtherProcesses {
    /// Number of other processes.
    pub(super) count: usize,
    /// Number of client connections of all other processes together.
    pub(super) client_connections: usize,
}

/// The budget that divides the descriptors of the process.
pub(super) struct DescriptorBudget {
    /// Maximum number of descriptors that the process may have open.
    max_descriptors: usize,
    /// Number of descriptors reserved for other uses in addition to [`PROCESS_DESCRIPTORS`].
    reserved_descriptors: usize,
    /// Number of open connections to workers.
    worker_connections: ConnectionCount,
}

impl DescriptorBudget {
    /// Creates the budget of a process that may have `max_descriptors` descriptors open.
    pub(super) fn new(
        max_descriptors: usize,
        reserved_descriptors: usize,
        worker_connections: ConnectionCount,
    ) -> DescriptorBudget {
        DescriptorBudget { max_descriptors, reserved_descriptors, worker_connections }
    }

    /// Returns the number of descriptors that are reserved, needed by the processes themselves, or kept free.
    fn overhead(&self, others: OtherProcesses) -> usize {
        self.reserved_descriptors
            + PROCESS_DESCRIPTORS * (1 + others.count)
            + self.max_descriptors / FREE_DIVISOR
    }

    /// Returns the maximum number of client connections of this process. The clients of all processes
    /// together get the descriptors that connections to workers leave, and at least their minimum share.
    pub(super) fn max_client_connections(&self, others: OtherProcesses) -> usize {
        let taken = self.overhead(others) + self.worker_connections.get();
        let clients =
            self.max_descriptors.saturating_sub(taken).max(self.max_descriptors / MIN_CLIENTS_DIVISOR);
        clients.saturating_sub(others.client_connections)
    }

    /// Returns the number of connections to workers above which idle ones are closed. Connections to workers
    /// get the descriptors that client connections leave, less some headroom for more client connections, and
    /// at least their minimum share.
    pub(super) fn max_worker_connections(&self, client_connections: usize, others: OtherProcesses) -> usize {
        let clients_with_headroom =
            client_connections + others.client_connections + self.max_descriptors / FREE_DIVISOR;
        let clients = clients_with_headroom.max(self.max_descriptors / MIN_CLIENTS_DIVISOR);
        let taken = self.overhead(others) + clients;
        self.max_descriptors.saturating_sub(taken).max(self.max_descriptors / MIN_WORKERS_DIVISOR)
    }

    /// Returns the maximum number of callback connections beyond the clients' share.
    pub(super) fn max_extra_callbacks(&self) -> usize {
        (self.max_descriptors / EXTRA_CALLBACKS_DIVISOR).max(MIN_EXTRA_CALLBACKS)
    }
}
