//! One client connection: its state, its time limits, its rank in the eviction order, and how it is closed.
//!
//! A connection can't be evicted while it awaits a response or sends one, and while it receives a callback only
//! for its memory.

mod lingering_close;
mod memory;
mod request_stream;
mod state;
mod time_limits;

pub(super) use lingering_close::lingering_close;
pub(super) use memory::CONNECTION_BYTES;
pub(super) use request_stream::RequestStream;
pub(super) use state::CloseReason;

use super::eviction::{ConnectionId, EvictionOrder};
use super::framing::{Preview, MAX_HEAD_BYTES};
use super::lock_ignoring_poison;
use crate::memory::{MemoryBudget, MemoryExhausted, MemoryOwner, MemoryReservation};
use memory::{ConnectionMemory, INCLUDED_INPUT_BYTES};
use state::{ConnectionState, Phase};
use std::sync::{Arc, Mutex};
use time_limits::REQUEST_TIMEOUT;
use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::Instant;

/// One client connection that has been accepted.
pub(super) struct ClientConnection {
    id: ConnectionId,
    state: Mutex<ConnectionState>,
    eviction_order: Arc<Mutex<EvictionOrder>>,
    /// Notified when the task that serves the connection must check whether an eviction or a time limit
    /// requires the connection to close.
    close_check: Notify,
    /// Notified when a response has been sent on this connection.
    response_sent: Notify,
}

impl ClientConnection {
    /// Creates the state of a client connection that has just been accepted. The id must be unique within the
    /// eviction order. `reservation` holds [`CONNECTION_BYTES`] bytes of the budget.
    pub(super) fn new(
        id: ConnectionId,
        eviction_order: Arc<Mutex<EvictionOrder>>,
        reservation: MemoryReservation,
        budget: &MemoryBudget,
    ) -> ClientConnection {
        let state = ConnectionState::new(Instant::now(), ConnectionMemory::new(reservation, budget));
        lock_ignoring_poison(&eviction_order).update(id, None, state.eviction_rank());
        ClientConnection {
            id,
            state: Mutex::new(state),
            eviction_order,
            close_check: Notify::new(),
            response_sent: Notify::new(),
        }
    }

    /// Changes the connection's state, and updates the eviction order accordingly.
    fn update<T>(&self, change: impl FnOnce(&mut ConnectionState) -> T) -> T {
        let state = &mut *lock_ignoring_poison(&self.state);
        let (rank_before, was_evicted) = (state.eviction_rank(), state.is_evicted());
        let result = change(state);
        let (rank, is_evicted) = (state.eviction_rank(), state.is_evicted());
        if (rank_before, was_evicted) != (rank, is_evicted) {
            let order = &mut *lock_ignoring_poison(&self.eviction_order);
            order.update(self.id, rank_before, rank);
            order.pending_evictions =
                order.pending_evictions + usize::from(is_evicted) - usize::from(was_evicted);
        }
        result
    }

    /// Resolves when the daemon must close the client connection because of an eviction or a time limit.
    pub(super) async fn wait_for_forced_close(&self) {
        loop {
            self.close_check.notified().await;
            if lock_ignoring_poison(&self.state).must_close(Instant::now()) {
                return;
            }
        }
    }

    /// Makes [`ClientConnection::wait_for_forced_close`] check whether the connection must close.
    pub(super) fn trigger_close_check(&self) {
        self.close_check.notify_one();
    }

    /// Chooses the connection for eviction. A request that awaits its response is still answered. The memory of
    /// the connection counts as free from now on, as its descriptor does.
    pub(super) fn evict(&self) {
        self.update(|state| {
            state.evicted_in_phase = Some(state.phase);
            state.memory.release();
        });
        self.trigger_close_check();
    }

    /// Reserves memory for the buffers of the HTTP server.
    pub(super) fn try_reserve_http_buffers(&self) -> Result<(), MemoryExhausted> {
        lock_ignoring_poison(&self.state).memory.try_reserve_http_buffers()
    }

    /// Holds memory for the buffers of the HTTP server, also if too little is free.
    pub(super) fn hold_http_buffers(&self) {
        lock_ignoring_poison(&self.state).memory.hold_http_buffers();
    }

    /// Whether memory is free for the input of one read, whatever the input is.
    fn has_room_for_input(&self) -> bool {
        lock_ignoring_poison(&self.state).memory.has_room_for_input(MAX_HEAD_BYTES)
    }

    /// Whether the connection may read `input`, the next input in the socket's receive buffer, while no memory
    /// is free for unfinished input: the input ends a request, or takes no more than a short head.
    fn may_read(&self, input: &[u8]) -> bool {
        let state = &*lock_ignoring_poison(&self.state);
        match state.framing.preview(input) {
            Preview::HeadIncomplete => state.held_input_bytes() + input.len() <= INCLUDED_INPUT_BYTES,
            Preview::BodyIncomplete => false,
            Preview::Complete => true,
        }
    }

    /// Records that a request has begun to arrive, and that its input waits in the socket's receive buffer.
    fn record_waiting_input(&self) {
        self.update(|state| state.begin_receiving(Instant::now()));
    }

    /// Counts the memory for the input that is held beside the body of the current request. Pipelined input for
    /// which no memory is free is dropped, if the current response can still announce that the connection
    /// closes.
    fn count_input(&self) {
        let state = &mut *lock_ignoring_poison(&self.state);
        let is_refused = state.memory.try_reserve_input(state.held_input_bytes()).is_err();
        if is_refused && !state.framing.is_in_head() {
            state.drop_pipelined_input();
        }
        state.memory.hold_input(state.held_input_bytes());
    }

    /// Reserves memory for the request of `owner` that is being received, with `bytes` bytes of its body.
    pub(super) fn try_reserve_body(&self, owner: MemoryOwner, bytes: usize) -> Result<(), MemoryExhausted> {
        lock_ignoring_poison(&self.state).memory.try_reserve_body(owner, bytes)
    }

    /// Returns the reservation for the request whose body has arrived.
    pub(super) fn take_body_memory(&self) -> MemoryReservation {
        lock_ignoring_poison(&self.state).memory.take_body()
    }

    /// Whether a part of a request's head has arrived, but not all of it.
    fn is_in_head(&self) -> bool {
        lock_ignoring_poison(&self.state).framing.is_in_head()
    }

    /// Takes the start of the current request's head that arrived before the rest of the head.
    fn take_withheld(&self) -> Vec<u8> {
        lock_ignoring_poison(&self.state).framing.take_withheld()
    }

    /// Resolves when the connection is between requests: no request is in progress, and no byte of the next
    /// request has been read.
    pub(super) async fn wait_until_between_requests(&self) {
        self.wait_for_phase(|phase| matches!(phase, Phase::New | Phase::Idle)).await;
    }

    /// Resolves when no request is in progress on the connection and the connection has carried a response.
    /// Before the first response, the connection is not treated as idle, since the client's first request may
    /// be in transit.
    pub(super) async fn wait_until_idle(&self) {
        self.wait_for_phase(|phase| phase == Phase::Idle).await;
    }

    async fn wait_for_phase(&self, is_reached: impl Fn(Phase) -> bool) {
        loop {
            let response_sent = self.response_sent.notified();
            if is_reached(lock_ignoring_poison(&self.state).phase) {
                return;
            }
            response_sent.await;
        }
    }

    /// Returns the time by which the request that is being received must have arrived completely.
    pub(super) fn request_arrival_deadline(&self) -> Instant {
        lock_ignoring_poison(&self.state).phase_started_at + REQUEST_TIMEOUT
    }

    /// Whether the body of any request on the connection may conceal another request, because the request had
    /// both a `Content-Length` and a `Transfer-Encoding`.
    pub(super) fn has_ambiguous_framing(&self) -> bool {
        lock_ignoring_poison(&self.state).framing.is_ambiguous
    }

    /// Whether the chunked body of the current request has more framing than its data allows.
    pub(super) fn has_too_much_framing(&self) -> bool {
        lock_ignoring_poison(&self.state).framing.has_too_much_framing
    }

    /// Whether the connection closes after the current response, because requests after the current request
    /// can't be tracked, the input after the current request can't be stored, or the connection is chosen for
    /// eviction.
    pub(super) fn closes_after_response(&self) -> bool {
        lock_ignoring_poison(&self.state).closes_after_response()
    }

    /// Records that the daemon closes its side of the connection.
    pub(super) fn start_lingering(&self) {
        self.update(|state| state.start_lingering(Instant::now()));
    }

    /// Records that another process of this scheduler has already sent a response on the connection.
    pub(super) fn mark_kept_alive(&self) {
        self.update(|state| (state.phase, state.response_count) = (Phase::Idle, 1));
    }

    /// Whether a response has been sent on the connection, by this process or by an earlier one.
    pub(super) fn is_kept_alive(&self) -> bool {
        lock_ignoring_poison(&self.state).response_count > 0
    }

    /// Records that the current request has arrived completely and awaits its response.
    pub(super) fn mark_awaiting_response(&self) {
        self.update(|state| state.phase = Phase::AwaitingResponse);
    }

    /// Records that the response to the current request is ready, with a body of this length, and that its
    /// sending starts.
    pub(super) fn mark_sending_response(&self, body_bytes: usize) {
        self.update(|state| {
            state.enter(Phase::SendingResponse, Instant::now());
            state.response_count += 1;
            state.memory.hold_response(body_bytes);
        });
    }

    /// Records bytes that were received from the client; returns how many of them belong to the current
    /// request.
    pub(super) fn record_received(&self, bytes: &[u8]) -> usize {
        self.update(|state| state.record_received(bytes, Instant::now()))
    }

    /// Whether the current request has arrived completely. hyper must not get further input before the
    /// response to the request is sent.
    fn is_request_complete(&self) -> bool {
        lock_ignoring_poison(&self.state).is_request_complete
    }

    /// Moves pipelined input that the connection has stored into `buffer`, at most to the end of one request.
    /// Returns `false` if no pipelined input is stored.
    fn read_pipelined_input(&self, buffer: &mut ReadBuf<'_>) -> bool {
        self.update(|state| {
            let has_pipelined_input = state.has_pipelined_input();
            if has_pipelined_input {
                state.read_pipelined_input(buffer, Instant::now());
            }
            has_pipelined_input
        })
    }

    /// Whether more pipelined input may be read from the client's socket.
    fn accepts_pipelined_input(&self) -> bool {
        lock_ignoring_poison(&self.state).accepts_pipelined_input()
    }

    /// Stores input that the client sent after the current request, until hyper has to read the next request.
    fn store_pipelined_input(&self, bytes: &[u8]) {
        lock_ignoring_poison(&self.state).store_pipelined_input(bytes);
    }

    /// Records that all output of the client connection has been flushed. Returns `true` if the flush
    /// completed a response and a part of the client's next request has already been read from the socket.
    pub(super) fn record_flush(&self) -> bool {
        let sent = self.update(|state| {
            let is_response = state.phase == Phase::SendingResponse;
            is_response.then(|| state.record_response_sent(Instant::now()))
        });
        let Some(sent) = sent else { return false };
        self.response_sent.notify_waiters();
        if sent.is_evicted {
            self.trigger_close_check();
        }
        sent.has_pipelined_input
    }

    /// Whether the connection has exceeded the time limit of its current phase.
    pub(super) fn has_timed_out(&self, now: Instant) -> bool {
        lock_ignoring_poison(&self.state).has_timed_out(now)
    }

    /// Whether the daemon has closed its side of the connection and the client has not closed its side yet.
    pub(super) fn is_lingering(&self) -> bool {
        lock_ignoring_poison(&self.state).phase == Phase::Lingering
    }

    /// Returns the reason why the daemon closes the connection at the moment.
    pub(super) fn close_reason(&self) -> CloseReason {
        lock_ignoring_poison(&self.state).close_reason(Instant::now())
    }

    /// Whether a request has arrived completely on the connection and its response is not ready yet.
    pub(super) fn is_awaiting_response(&self) -> bool {
        lock_ignoring_poison(&self.state).phase == Phase::AwaitingResponse
    }

    /// Whether the connection awaits a response, or may still be sending a response at time `now`.
    pub(super) fn has_pending_response(&self, now: Instant) -> bool {
        lock_ignoring_poison(&self.state).has_pending_response(now)
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let state = lock_ignoring_poison(&self.state);
        let order = &mut *lock_ignoring_poison(&self.eviction_order);
        order.update(self.id, state.eviction_rank(), None);
        order.pending_evictions -= usize::from(state.is_evicted());
    }
}

#[cfg(test)]
mod tests;
