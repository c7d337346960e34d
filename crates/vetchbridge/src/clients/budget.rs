//! Divides the process's file descriptors among client connections, connections to workers and other uses.

use crate::workers::ConnectionCount;

/// Number of descriptors that a process needs in addition to client and worker connections: for standard
/// streams, the runtime, listeners, signals, peers, discovery and a handover. An idle process has 14 of
/// these descriptors open.
pub(super) const PROCESS_DESCRIPTORS: usize = 24;
/// The descriptor limit of the process divided by this number is the number of descriptors that are kept free
/// for new connections to workers.
const FREE_DIVISOR: usize = 8;
/// The descriptor limit of the process divided by this number is the minimum number of descriptors for client
/// connections.
const MIN_CLIENTS_DIVISOR: usize = 4;
/// The descriptor limit of the process divided by this number is the minimum number of descriptors for
/// connections to workers.
const MIN_WORKERS_DIVISOR: usize = 4;
/// The descriptor limit of the process divided by this number is the maximum number of callback connections
/// that may be open beyond the clients' share of the descriptors. The descriptors of these callback
/// connections come from the descriptors that are kept free for new connections to workers.
const EXTRA_CALLBACKS_DIVISOR: usize = 32;
/// Minimum value for the maximum number of callback connections that may be open beyond the clients' share of
/// the descriptors.
const MIN_EXTRA_CALLBACKS: usize = 2;

/// What the other processes of this scheduler use of the descriptor budget while an upgrade is in progress.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OtherProcesses {
    /// Number of other processes of this scheduler.
    pub(super) count: usize,
    /// Number of client connections of all other processes of this scheduler together.
    pub(super) client_connections: usize,
}

/// The budget that divides the file descriptors of the process among their uses.
pub(super) struct DescriptorBudget {
    /// Maximum number of descriptors that the process may have open.
    max_descriptors: usize,
    /// Number of descriptors that are reserved for other uses, such as the admin interface, in addition to
    /// [`PROCESS_DESCRIPTORS`].
    reserved_descriptors: usize,
    /// Live count of the open connections to workers.
    worker_connections: ConnectionCount,
}

impl DescriptorBudget {
    /// Creates the budget of a process that may have `max_descriptors` file descriptors open.
    pub(super) fn new(
        max_descriptors: usize,
        reserved_descriptors: usize,
        worker_connections: ConnectionCount,
    ) -> DescriptorBudget {
        DescriptorBudget { max_descriptors, reserved_descriptors, worker_connections }
    }

    /// Returns the number of descriptors that connections can't use: reserved descriptors, descriptors that
    /// each process needs for itself, and descriptors that are kept free.
    fn overhead(&self, others: OtherProcesses) -> usize {
        self.reserved_descriptors
            + PROCESS_DESCRIPTORS * (1 + others.count)
            + self.max_descriptors / FREE_DIVISOR
    }

    /// Returns the maximum number of client connections of this process. The client connections of all
    /// processes of this scheduler together get the descriptors that connections to workers leave, and at
    /// least the minimum number for client connections.
    pub(super) fn max_client_connections(&self, others: OtherProcesses) -> usize {
        let taken = self.overhead(others) + self.worker_connections.get();
        let clients =
            self.max_descriptors.saturating_sub(taken).max(self.max_descriptors / MIN_CLIENTS_DIVISOR);
        clients.saturating_sub(others.client_connections)
    }

    /// Returns the number of connections to workers above which idle connections to workers are closed.
    /// Connections to workers get the descriptors that client connections leave, less some headroom for more
    /// client connections, and at least the minimum number for connections to workers.
    pub(super) fn max_worker_connections(&self, client_connections: usize, others: OtherProcesses) -> usize {
        let clients_with_headroom =
            client_connections + others.client_connections + self.max_descriptors / FREE_DIVISOR;
        let clients = clients_with_headroom.max(self.max_descriptors / MIN_CLIENTS_DIVISOR);
        let taken = self.overhead(others) + clients;
        self.max_descriptors.saturating_sub(taken).max(self.max_descriptors / MIN_WORKERS_DIVISOR)
    }

    /// Returns the maximum number of callback connections that may be open beyond the clients' share of the
    /// descriptors.
    pub(super) fn max_extra_callbacks(&self) -> usize {
        (self.max_descriptors / EXTRA_CALLBACKS_DIVISOR).max(MIN_EXTRA_CALLBACKS)
    }
}
