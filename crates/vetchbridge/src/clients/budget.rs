//! How the process's file descriptors are divided between client connections, connections to workers and everything else.

use crate::workers::ConnectionCount;

/// Descriptors that a process needs for itself: standard streams, runtime, listeners, signals, peers, discovery and a
/// handover. One at rest has 14.
pub(super) const PROCESS_DESCRIPTORS: usize = 24;
/// Share of the limit that is left free for new connections to workers, as a divisor.
const FREE_DIVISOR: usize = 8;
/// Minimum share of the limit for clients, as a divisor.
const MIN_CLIENTS_DIVISOR: usize = 4;
/// Minimum share of the limit for connections to workers, as a divisor.
const MIN_WORKERS_DIVISOR: usize = 4;
/// Share of the limit for callbacks beyond the clients' share, as a divisor; it comes out of what is left free.
const EXTRA_CALLBACKS_DIVISOR: usize = 32;
/// Minimum number of such callbacks.
const MIN_EXTRA_CALLBACKS: usize = 2;

/// What the other processes of this scheduler take of the same budget during an upgrade.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OtherProcesses {
    /// Number of processes.
    pub(super) count: usize,
    /// Number of their client connections.
    pub(super) connections: usize,
}

/// The division of the process's descriptors.
pub(super) struct DescriptorBudget {
    /// Maximum number of descriptors of the process.
    limit: usize,
    /// Descriptors reserved beside [`PROCESS_DESCRIPTORS`].
    reserved: usize,
    /// Connections to workers.
    worker_connections: ConnectionCount,
}

impl DescriptorBudget {
    /// The budget of a process that may have `limit` descriptors.
    pub(super) fn new(
        limit: usize,
        reserved: usize,
        worker_connections: ConnectionCount,
    ) -> DescriptorBudget {
        DescriptorBudget { limit, reserved, worker_connections }
    }

    /// Descriptors that serve neither clients nor workers.
    fn overhead(&self, others: OtherProcesses) -> usize {
        self.reserved + PROCESS_DESCRIPTORS * (1 + others.count) + self.limit / FREE_DIVISOR
    }

    /// Maximum number of client connections of this process: what the connections to workers leave.
    pub(super) fn max_client_connections(&self, others: OtherProcesses) -> usize {
        let taken = self.overhead(others) + self.worker_connections.get();
        let clients = self.limit.saturating_sub(taken).max(self.limit / MIN_CLIENTS_DIVISOR);
        clients.saturating_sub(others.connections)
    }

    /// Maximum number of connections to workers beyond which idle ones are closed: what the clients leave, with some
    /// spare for more of them.
    pub(super) fn max_worker_connections(&self, client_connections: usize, others: OtherProcesses) -> usize {
        let growing = client_connections + others.connections + self.limit / FREE_DIVISOR;
        let clients = growing.max(self.limit / MIN_CLIENTS_DIVISOR);
        let taken = self.overhead(others) + clients;
        self.limit.saturating_sub(taken).max(self.limit / MIN_WORKERS_DIVISOR)
    }

    /// Maximum number of callback connections beyond the client connections.
    pub(super) fn max_extra_callbacks(&self) -> usize {
        (self.limit / EXTRA_CALLBACKS_DIVISOR).max(MIN_EXTRA_CALLBACKS)
    }
}
