//! One client connection: its state, its time limits, its place in the eviction order, and how it is closed.
//!
//! A connection is never offered for eviction while it awaits a response or brings a callback.

mod lingering_close;
mod request_stream;
mod state;
mod time_limits;

pub(super) use lingering_close::lingering_close;
pub(super) use request_stream::RequestStream;
pub(super) use state::CloseReason;

use super::eviction::{ConnectionId, EvictionOrder};
use super::lock;
use state::{ConnectionState, Phase};
use std::sync::{Arc, Mutex};
use time_limits::REQUEST_TIMEOUT;
use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::Instant;

/// One accepted connection.
pub(super) struct ClientConnection {
    id: ConnectionId,
    state: Mutex<ConnectionState>,
    eviction_order: Arc<Mutex<EvictionOrder>>,
    /// Notified when an eviction or a time limit may close the connection.
    close_check: Notify,
    /// Notified when a response has been sent.
    response_sent: Notify,
}

impl ClientConnection {
    /// A connection that has just been made; its id is unique within the eviction order.
    pub(super) fn new(id: ConnectionId, eviction_order: Arc<Mutex<EvictionOrder>>) -> ClientConnection {
        let state = ConnectionState::new(Instant::now());
        lock(&eviction_order).update(id, None, state.eviction_rank());
        ClientConnection {
            id,
            state: Mutex::new(state),
            eviction_order,
            close_check: Notify::new(),
            response_sent: Notify::new(),
        }
    }

    /// Changes the state, and the eviction order accordingly.
    fn update<T>(&self, change: impl FnOnce(&mut ConnectionState) -> T) -> T {
        let state = &mut *lock(&self.state);
        let (rank_before, was_evicted) = (state.eviction_rank(), state.is_evicted());
        let result = change(state);
        let (rank, is_evicted) = (state.eviction_rank(), state.is_evicted());
        if (rank_before, was_evicted) != (rank, is_evicted) {
            let order = &mut *lock(&self.eviction_order);
            order.update(self.id, rank_before, rank);
            order.evicting = order.evicting + usize::from(is_evicted) - usize::from(was_evicted);
        }
        result
    }

    /// Resolves when an eviction or a time limit closes the connection.
    pub(super) async fn wait_for_forced_close(&self) {
        loop {
            self.close_check.notified().await;
            if lock(&self.state).must_close(Instant::now()) {
                return;
            }
        }
    }

    /// Lets [`ClientConnection::wait_for_forced_close`] check its conditions.
    pub(super) fn check_close(&self) {
        self.close_check.notify_one();
    }

    /// Chooses the connection for eviction.
    pub(super) fn evict(&self) {
        self.update(|state| state.evicted_in = Some(state.phase));
        self.check_close();
    }

    /// Resolves while the connection is between requests, no byte of the next one having been read.
    pub(super) async fn wait_until_between_requests(&self) {
        self.wait_for_phase(|phase| matches!(phase, Phase::New | Phase::Idle)).await;
    }

    /// Resolves while the connection is between requests and has had a response. Until then its first request may be on
    /// the way.
    pub(super) async fn wait_until_idle(&self) {
        self.wait_for_phase(|phase| phase == Phase::Idle).await;
    }

    async fn wait_for_phase(&self, is_reached: impl Fn(Phase) -> bool) {
        loop {
            let response_sent = self.response_sent.notified();
            if is_reached(lock(&self.state).phase) {
                return;
            }
            response_sent.await;
        }
    }

    /// When the request that is being received must be complete.
    pub(super) fn request_arrival_deadline(&self) -> Instant {
        lock(&self.state).since + REQUEST_TIMEOUT
    }

    /// Whether a request's body may conceal another request.
    pub(super) fn has_ambiguous_framing(&self) -> bool {
        lock(&self.state).framing.is_ambiguous
    }

    /// Whether the connection closes after the current response: the next request could not be followed or kept, or the
    /// connection has been chosen for eviction.
    pub(super) fn closes_after_response(&self) -> bool {
        lock(&self.state).closes_after_response()
    }

    /// Records that this side has been closed.
    pub(super) fn start_lingering(&self) {
        self.update(|state| state.start_lingering(Instant::now()));
    }

    /// Records that another process has sent a response on the connection.
    pub(super) fn mark_kept_alive(&self) {
        self.update(|state| (state.phase, state.responses) = (Phase::Idle, 1));
    }

    /// Whether the connection has had a response.
    pub(super) fn is_kept_alive(&self) -> bool {
        lock(&self.state).responses > 0
    }

    /// Records that the request is complete and awaits its response.
    pub(super) fn mark_awaiting_response(&self) {
        self.update(|state| state.phase = Phase::AwaitingResponse);
    }

    /// Records that the response has been made.
    pub(super) fn mark_sending_response(&self) {
        self.update(|state| {
            state.enter(Phase::SendingResponse, Instant::now());
            state.responses += 1;
        });
    }

    /// Records received bytes; returns how many of them belong to the current request.
    pub(super) fn record_received(&self, bytes: &[u8]) -> usize {
        self.update(|state| state.record_received(bytes, Instant::now()))
    }

    /// Whether the current request is complete, so that nothing may be passed on until its response is out.
    fn is_request_complete(&self) -> bool {
        lock(&self.state).is_request_complete
    }

    /// Puts pipelined input into `buffer`, at most to the end of one request; false if there is none.
    fn take_pipelined(&self, buffer: &mut ReadBuf<'_>) -> bool {
        self.update(|state| {
            let has_pipelined = state.has_pipelined();
            if has_pipelined {
                state.take_pipelined(buffer, Instant::now());
            }
            has_pipelined
        })
    }

    fn accepts_pipelined(&self) -> bool {
        lock(&self.state).accepts_pipelined()
    }

    fn store_pipelined(&self, bytes: &[u8]) {
        lock(&self.state).store_pipelined(bytes);
    }

    /// Records that all output has been flushed; returns whether the next request has begun already.
    pub(super) fn record_flush(&self) -> bool {
        let sent = self.update(|state| {
            let is_response = state.phase == Phase::SendingResponse;
            is_response.then(|| state.record_response_sent(Instant::now()))
        });
        let Some(sent) = sent else { return false };
        self.response_sent.notify_waiters();
        if sent.is_evicted {
            self.check_close();
        }
        sent.has_pipelined_input
    }

    /// Whether the connection has exceeded a time limit.
    pub(super) fn has_timed_out(&self, now: Instant) -> bool {
        lock(&self.state).has_timed_out(now)
    }

    /// Whether this side is closed and the client's close is awaited.
    pub(super) fn is_lingering(&self) -> bool {
        lock(&self.state).phase == Phase::Lingering
    }

    /// Why this side closes the connection now.
    pub(super) fn close_reason(&self) -> CloseReason {
        lock(&self.state).close_reason(Instant::now())
    }

    /// Whether a complete request awaits its response.
    pub(super) fn is_awaiting_response(&self) -> bool {
        lock(&self.state).phase == Phase::AwaitingResponse
    }

    /// Whether a response is awaited or may still be on its way out.
    pub(super) fn has_pending_response(&self, now: Instant) -> bool {
        lock(&self.state).has_pending_response(now)
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let state = lock(&self.state);
        let order = &mut *lock(&self.eviction_order);
        order.update(self.id, state.eviction_rank(), None);
        order.evicting -= usize::from(state.is_evicted());
    }
}

#[cfg(test)]
mod tests;
