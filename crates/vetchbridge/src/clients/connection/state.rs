//! The state of a client connection. This module performs no I/O and reads no clock; callers pass in the
//! current time.

use super::super::eviction::{EvictionGroup, EvictionRank};
use super::super::framing::{RequestFraming, MAX_HEAD_BYTES};
use super::memory::ConnectionMemory;
use super::time_limits::RESPONSE_SEND_TIME;
use std::fmt;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// The phases of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte has been received on the client connection.
    New,
    /// A part of a client's request has arrived.
    ReceivingRequest,
    /// A complete request has arrived from the client, and the response to the request is not ready yet.
    AwaitingResponse,
    /// The response to the current request is being sent to the client.
    SendingResponse,
    /// The response to the last request has been sent, and the daemon has not begun to read the client's next
    /// request.
    Idle,
    /// The daemon has closed its side of the connection; further input from the client is dropped.
    Lingering,
}

/// Why the daemon closes a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// The file descriptor or the memory of this client connection is needed.
    Evicted,
    /// The client has not read the response in time.
    ResponseTimeout,
    /// The request has not arrived in time.
    RequestTimeout,
    /// None of the other reasons to close the connection applies any longer at the time of the close.
    Other,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::Evicted => "evicted",
            CloseReason::ResponseTimeout => "response not read in time",
            CloseReason::RequestTimeout => "request not received in time",
            CloseReason::Other => "closed",
        })
    }
}

/// The facts about a connection that matter directly after a response has been sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseSent {
    /// Whether bytes of the client's next request have already been read from the socket.
    pub(super) has_pipelined_input: bool,
    /// Whether the connection is chosen for eviction.
    pub(super) is_evicted: bool,
}

/// The state of a client connection.
pub(super) struct ConnectionState {
    pub(super) phase: Phase,
    /// When the connection's current phase began. For the phase in which the first request is received, this
    /// is the time when the connection was accepted.
    pub(super) phase_started_at: Instant,
    /// Number of responses on this client connection whose sending has started.
    pub(super) response_count: u32,
    /// The phase in which the connection was chosen for eviction; `None` if the connection is not chosen.
    pub(super) evicted_in_phase: Option<Phase>,
    pub(super) framing: RequestFraming,
    /// Whether the current request has been read to its last byte.
    pub(super) is_request_complete: bool,
    /// Pipelined input: the bytes that follow the current request, stored until the response to the current
    /// request is sent.
    pipelined_input: Vec<u8>,
    /// Whether the client has sent more pipelined input than this state can hold. If so, the connection
    /// closes after the current response.
    pipelined_overflow: bool,
    pub(super) memory: ConnectionMemory,
}

impl ConnectionState {
    /// Creates the state of a connection that has just been accepted.
    pub(super) fn new(now: Instant, memory: ConnectionMemory) -> ConnectionState {
        ConnectionState {
            phase: Phase::New,
            phase_started_at: now,
            response_count: 0,
            evicted_in_phase: None,
            framing: RequestFraming::new(),
            is_request_complete: false,
            pipelined_input: Vec::new(),
            pipelined_overflow: false,
            memory,
        }
    }

    /// Records that the connection enters a phase at time `now`.
    pub(super) fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.phase_started_at = now;
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.evicted_in_phase.is_some()
    }

    /// Returns the connection's rank in the eviction order; `None` if the connection can't be evicted.
    pub(super) fn eviction_rank(&self) -> Option<EvictionRank> {
        if self.is_evicted() {
            return None;
        }
        let group = match self.phase {
            Phase::Lingering => EvictionGroup::Lingering,
            Phase::New => EvictionGroup::New,
            Phase::ReceivingRequest if self.framing.is_callback => EvictionGroup::ReceivingCallback,
            Phase::ReceivingRequest => EvictionGroup::ReceivingRequest,
            Phase::Idle if self.framing.is_callback => EvictionGroup::IdleCallback,
            Phase::Idle if self.response_count <= 1 => EvictionGroup::IdleAfterOneResponse,
            Phase::Idle => EvictionGroup::IdleKeepAlive,
            Phase::AwaitingResponse | Phase::SendingResponse => return None,
        };
        Some(EvictionRank { group, since: self.phase_started_at })
    }

    /// Records that input of a request is there, whether or not it has been read from the socket.
    pub(super) fn begin_receiving(&mut self, now: Instant) {
        match self.phase {
            // The time limit for the first request counts from the client's connect, so the start of the
            // phase is kept.
            Phase::New => self.phase = Phase::ReceivingRequest,
            Phase::Idle => self.enter(Phase::ReceivingRequest, now),
            Phase::ReceivingRequest | Phase::AwaitingResponse | Phase::SendingResponse | Phase::Lingering => {
            }
        }
    }

    /// Records bytes that were received from the client; returns how many of them belong to the current
    /// request.
    pub(super) fn record_received(&mut self, bytes: &[u8], now: Instant) -> usize {
        let length = self.framing.advance(bytes);
        self.is_request_complete = length > 0 && self.framing.is_request_complete();
        self.begin_receiving(now);
        length
    }

    /// Whether this state holds pipelined input: bytes that the client sent after the current request and
    /// that hyper has not read yet.
    pub(super) fn has_pipelined_input(&self) -> bool {
        !self.pipelined_input.is_empty()
    }

    /// Moves pipelined input that this state holds into `buffer`, at most to the end of one request. An
    /// incomplete head is withheld.
    pub(super) fn read_pipelined_input(&mut self, buffer: &mut ReadBuf<'_>, now: Instant) {
        let mut pipelined = std::mem::take(&mut self.pipelined_input);
        let available = pipelined.len().min(buffer.remaining());
        let length = self.record_received(&pipelined[..available], now);
        if !self.framing.is_in_head() {
            buffer.put_slice(&pipelined[..length]);
        }
        pipelined.drain(..length);
        self.pipelined_input = pipelined;
    }

    /// Returns the number of bytes of memory that are held for input beside the body of the current request.
    pub(super) fn held_input_bytes(&self) -> usize {
        self.framing.held_bytes() + self.pipelined_input.capacity()
    }

    /// Drops pipelined input for which no memory is free, unless the head of the response has been written
    /// already: the response then can't announce any more that the connection closes.
    pub(super) fn drop_pipelined_input(&mut self) {
        if self.phase != Phase::SendingResponse {
            self.pipelined_overflow = true;
            self.pipelined_input = Vec::new();
        }
    }

    /// Whether more pipelined input may be read from the client's socket.
    pub(super) fn accepts_pipelined_input(&self) -> bool {
        // Once the head of the response is written, the response can't announce any more that the connection
        // closes. While a response is sent, reading therefore pauses when `MAX_HEAD_BYTES` bytes of pipelined
        // input are stored.
        self.phase != Phase::SendingResponse || self.pipelined_input.len() < MAX_HEAD_BYTES
    }

    /// Stores input that the client sent after the current request, until hyper has to read the next request.
    pub(super) fn store_pipelined_input(&mut self, bytes: &[u8]) {
        let exceeds_limit = self.pipelined_input.len() + bytes.len() > MAX_HEAD_BYTES;
        self.pipelined_overflow |= self.phase != Phase::SendingResponse && exceeds_limit;
        if self.pipelined_overflow {
            self.pipelined_input = Vec::new();
        } else {
            self.pipelined_input.extend_from_slice(bytes);
        }
    }

    /// Records that the response to the current request has been sent to the client.
    pub(super) fn record_response_sent(&mut self, now: Instant) -> ResponseSent {
        let has_pipelined_input = self.has_pipelined_input();
        let is_idle = self.framing.is_between_requests() && !has_pipelined_input;
        self.enter(if is_idle { Phase::Idle } else { Phase::ReceivingRequest }, now);
        self.is_request_complete = false;
        self.memory.hold_response(0);
        ResponseSent { has_pipelined_input, is_evicted: self.is_evicted() }
    }

    /// Records that the daemon closes its side of the connection. The connection then counts against the
    /// descriptor budget until the client closes its side too, even if the connection was chosen for
    /// eviction.
    pub(super) fn start_lingering(&mut self, now: Instant) {
        self.enter(Phase::Lingering, now);
        self.evicted_in_phase = None;
        self.pipelined_input = Vec::new();
        self.framing = RequestFraming::new();
        self.memory.start_lingering();
    }

    /// Whether the daemon closes the client connection after the current response.
    pub(super) fn closes_after_response(&self) -> bool {
        self.framing.is_last_request() || self.pipelined_overflow || self.is_evicted()
    }

    /// Whether the connection has exceeded the time limit of its current phase at time `now`.
    pub(super) fn has_timed_out(&self, now: Instant) -> bool {
        self.phase.time_limit().is_some_and(|limit| now >= self.phase_started_at + limit)
    }

    /// Whether an eviction or a time limit requires the connection to be closed at time `now`. If a request
    /// became complete after the connection was chosen for eviction, the connection closes after the response
    /// to that request.
    pub(super) fn must_close(&self, now: Instant) -> bool {
        match self.phase {
            Phase::New | Phase::Idle => true,
            // Lingering ends early only if the connection was chosen for eviction after lingering began; an
            // earlier notification does not count.
            Phase::Lingering => self.is_evicted(),
            Phase::ReceivingRequest => {
                self.has_timed_out(now) || self.evicted_in_phase == Some(Phase::ReceivingRequest)
            }
            Phase::SendingResponse => self.has_timed_out(now),
            Phase::AwaitingResponse => false,
        }
    }

    /// Returns the reason why the daemon closes the connection at time `now`.
    pub(super) fn close_reason(&self, now: Instant) -> CloseReason {
        match (self.has_timed_out(now), self.phase) {
            _ if self.is_evicted() => CloseReason::Evicted,
            (true, Phase::SendingResponse) => CloseReason::ResponseTimeout,
            (true, _) => CloseReason::RequestTimeout,
            (false, _) => CloseReason::Other,
        }
    }

    /// Whether the connection awaits a response, or may still be sending a response at time `now`.
    pub(super) fn has_pending_response(&self, now: Instant) -> bool {
        match self.phase {
            Phase::AwaitingResponse => true,
            Phase::SendingResponse => now < self.phase_started_at + RESPONSE_SEND_TIME,
            Phase::New | Phase::ReceivingRequest | Phase::Idle | Phase::Lingering => false,
        }
    }
}
