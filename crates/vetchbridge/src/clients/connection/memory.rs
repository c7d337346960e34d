//! The memory that the daemon holds for one client connection.

use crate::memory::{MemoryBudget, MemoryExhausted, MemoryOwner, MemoryReservation};

/// Memory for a connection without a complete request so far, in bytes: its task, its state and a short head.
pub(in super::super) const CONNECTION_BYTES: usize = 4 * 1024;
/// The part of [`CONNECTION_BYTES`] that is for input. Usual heads are shorter, so that they arrive also while no
/// memory is free.
pub(super) const INCLUDED_INPUT_BYTES: usize = 1024;
/// Memory for the buffers of the HTTP server on a connection, in bytes.
const HTTP_BUFFER_BYTES: usize = 16 * 1024;

/// The reservations of memory for one client connection.
pub(super) struct ConnectionMemory {
    /// For the connection itself and for the buffers of the HTTP server.
    connection: MemoryReservation,
    /// For input: an unfinished head, pipelined input, and the body that is being received.
    input: MemoryReservation,
    /// The part of `input` that is for the body, in bytes.
    body_bytes: usize,
    /// For the response that is being sent.
    response: MemoryReservation,
}

impl ConnectionMemory {
    /// Creates the reservations of a connection that has just been accepted. `connection` holds the memory for
    /// the connection itself.
    pub(super) fn new(connection: MemoryReservation, budget: &MemoryBudget) -> ConnectionMemory {
        ConnectionMemory {
            connection,
            input: budget.reservation(MemoryOwner::UnfinishedInput),
            body_bytes: 0,
            response: budget.reservation(MemoryOwner::Responses),
        }
    }

    /// Reserves memory for the buffers of the HTTP server.
    pub(super) fn try_reserve_http_buffers(&mut self) -> Result<(), MemoryExhausted> {
        self.connection.try_resize(CONNECTION_BYTES + HTTP_BUFFER_BYTES)
    }

    /// Holds memory for the buffers of the HTTP server, also if too little is free.
    pub(super) fn hold_http_buffers(&mut self) {
        self.connection.resize(CONNECTION_BYTES + HTTP_BUFFER_BYTES);
    }

    /// Whether memory is free for `additional` bytes more of input that belongs to no complete request.
    pub(super) fn has_room_for_input(&self, additional: usize) -> bool {
        self.input.has_room_for(MemoryOwner::UnfinishedInput, additional)
    }

    /// Reserves memory for `bytes` bytes of input that is not the body of the current request.
    pub(super) fn try_reserve_input(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        self.input.try_resize(bytes.saturating_sub(INCLUDED_INPUT_BYTES) + self.body_bytes)
    }

    /// Holds memory for `bytes` bytes of input that is not the body of the current request, also if too little
    /// is free.
    pub(super) fn hold_input(&mut self, bytes: usize) {
        self.input.resize(bytes.saturating_sub(INCLUDED_INPUT_BYTES) + self.body_bytes);
    }

    /// Reserves memory for the body of a request of `owner`.
    pub(super) fn try_reserve_body(
        &mut self,
        owner: MemoryOwner,
        body_bytes: usize,
    ) -> Result<(), MemoryExhausted> {
        if self.input.owner() != owner {
            self.input.set_owner(owner);
        }
        self.input.try_resize((self.input.bytes() + body_bytes).saturating_sub(self.body_bytes))?;
        self.body_bytes = body_bytes;
        Ok(())
    }

    /// Returns the reservation for the request whose body has arrived. Input after it counts as unfinished.
    pub(super) fn take_body(&mut self) -> MemoryReservation {
        let body = self.input.split_off(std::mem::take(&mut self.body_bytes));
        self.input.set_owner(MemoryOwner::UnfinishedInput);
        body
    }

    /// Holds memory for a response with a body of `bytes` bytes, also if too little is free.
    pub(super) fn hold_response(&mut self, bytes: usize) {
        self.response.resize(bytes);
    }

    /// Releases what was held for the connection beside the connection itself.
    pub(super) fn start_lingering(&mut self) {
        self.release();
        self.connection.resize(CONNECTION_BYTES);
    }

    /// Releases all reservations of a connection that is about to be closed.
    pub(super) fn release(&mut self) {
        self.body_bytes = 0;
        for reservation in [&mut self.connection, &mut self.input, &mut self.response] {
            reservation.resize(0);
        }
    }
}
