//! What a connection is doing. Plain state: time is passed in, and nothing is read or written here.

use super::super::eviction::{EvictionGroup, EvictionRank};
use super::super::framing::{RequestFraming, MAX_HEAD_BYTES};
use super::time_limits::RESPONSE_SEND_TIME;
use std::fmt;
use tokio::io::ReadBuf;
use tokio::time::Instant;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte has been received.
    New,
    /// A request has begun and is not complete.
    ReceivingRequest,
    /// A complete request awaits its response.
    AwaitingResponse,
    /// The response is being sent.
    SendingResponse,
    /// Kept alive between requests.
    Idle,
    /// Closed by this side; what the client still sends is dropped.
    Lingering,
}

/// Why this side closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// Another connection needs its descriptor.
    Evicted,
    /// The client does not read its response.
    ResponseTimeout,
    /// The request did not arrive in time.
    RequestTimeout,
    /// None of the others applies any longer.
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

/// How a connection stands after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseSent {
    /// Bytes of the next request have been received already.
    pub(super) has_pipelined_input: bool,
    /// The connection has been chosen for eviction.
    pub(super) is_evicted: bool,
}

/// The state of a connection.
pub(super) struct ConnectionState {
    pub(super) phase: Phase,
    /// Start of the phase; for the first request, the time of connecting.
    pub(super) since: Instant,
    /// Number of responses so far.
    pub(super) responses: u32,
    /// The phase in which the connection was chosen for eviction, if it was.
    pub(super) evicted_in: Option<Phase>,
    pub(super) framing: RequestFraming,
    /// The current request has been read to its last byte.
    pub(super) is_request_complete: bool,
    /// Input after the current request, kept until its response is out.
    pipelined: Vec<u8>,
    /// There was more such input than is kept: the current response is the last.
    pipelined_overflow: bool,
}

impl ConnectionState {
    /// The state of a connection that has just been made.
    pub(super) fn new(now: Instant) -> ConnectionState {
        ConnectionState {
            phase: Phase::New,
            since: now,
            responses: 0,
            evicted_in: None,
            framing: RequestFraming::new(),
            is_request_complete: false,
            pipelined: Vec::new(),
            pipelined_overflow: false,
        }
    }

    pub(super) fn enter(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        self.since = now;
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.evicted_in.is_some()
    }

    /// The rank in the eviction order; `None` if the connection can't be evicted.
    pub(super) fn eviction_rank(&self) -> Option<EvictionRank> {
        if self.is_evicted() {
            return None;
        }
        let group = match self.phase {
            Phase::Lingering => EvictionGroup::Lingering,
            Phase::New => EvictionGroup::New,
            Phase::ReceivingRequest if !self.framing.is_callback => EvictionGroup::ReceivingRequest,
            Phase::Idle if self.framing.is_callback => EvictionGroup::IdleCallback,
            Phase::Idle if self.responses <= 1 => EvictionGroup::IdleAfterOneResponse,
            Phase::Idle => EvictionGroup::IdleKeepAlive,
            Phase::ReceivingRequest | Phase::AwaitingResponse | Phase::SendingResponse => return None,
        };
        Some(EvictionRank { group, since: self.since })
    }

    /// Records received bytes; returns how many of them belong to the current request.
    pub(super) fn record_received(&mut self, bytes: &[u8], now: Instant) -> usize {
        let length = self.framing.advance(bytes);
        self.is_request_complete = length > 0 && self.framing.is_request_complete();
        match self.phase {
            // The time counts from connecting.
            Phase::New => self.phase = Phase::ReceivingRequest,
            Phase::Idle => self.enter(Phase::ReceivingRequest, now),
            Phase::ReceivingRequest | Phase::AwaitingResponse | Phase::SendingResponse | Phase::Lingering => {
            }
        }
        length
    }

    /// Whether input of the next request has been kept.
    pub(super) fn has_pipelined(&self) -> bool {
        !self.pipelined.is_empty()
    }

    /// Puts pipelined input into `buffer`, at most to the end of one request.
    pub(super) fn take_pipelined(&mut self, buffer: &mut ReadBuf<'_>, now: Instant) {
        let mut pipelined = std::mem::take(&mut self.pipelined);
        let available = pipelined.len().min(buffer.remaining());
        let length = self.record_received(&pipelined[..available], now);
        buffer.put_slice(&pipelined[..length]);
        pipelined.drain(..length);
        self.pipelined = pipelined;
    }

    /// Whether further pipelined input can be read.
    pub(super) fn accepts_pipelined(&self) -> bool {
        // The response's head is already written, and can't announce that it is the last.
        self.phase != Phase::SendingResponse || self.pipelined.len() < MAX_HEAD_BYTES
    }

    /// Keeps input that follows the current request.
    pub(super) fn store_pipelined(&mut self, bytes: &[u8]) {
        let exceeds_limit = self.pipelined.len() + bytes.len() > MAX_HEAD_BYTES;
        self.pipelined_overflow |= self.phase != Phase::SendingResponse && exceeds_limit;
        if self.pipelined_overflow {
            self.pipelined = Vec::new();
        } else {
            self.pipelined.extend_from_slice(bytes);
        }
    }

    /// Records that the response has been sent.
    pub(super) fn record_response_sent(&mut self, now: Instant) -> ResponseSent {
        let has_pipelined_input = self.has_pipelined();
        let is_idle = self.framing.is_between_requests() && !has_pipelined_input;
        self.enter(if is_idle { Phase::Idle } else { Phase::ReceivingRequest }, now);
        self.is_request_complete = false;
        ResponseSent { has_pipelined_input, is_evicted: self.is_evicted() }
    }

    /// Records that this side has been closed. The connection counts against the budget until the client closes too,
    /// even if it has been chosen for eviction.
    pub(super) fn start_lingering(&mut self, now: Instant) {
        self.enter(Phase::Lingering, now);
        self.evicted_in = None;
        self.pipelined = Vec::new();
    }

    /// Whether no response but the current one can follow.
    pub(super) fn closes_after_response(&self) -> bool {
        self.framing.is_last_request() || self.pipelined_overflow || self.is_evicted()
    }

    /// Whether the connection has exceeded the time limit of its phase.
    pub(super) fn has_timed_out(&self, now: Instant) -> bool {
        self.phase.time_limit().is_some_and(|limit| now >= self.since + limit)
    }

    /// Whether an eviction or a time limit closes the connection now. One whose request became complete after it was
    /// chosen for eviction closes with its response.
    pub(super) fn must_close(&self, now: Instant) -> bool {
        match self.phase {
            Phase::New | Phase::Idle => true,
            // Chosen since it lingers: a notification that came before then no longer counts.
            Phase::Lingering => self.is_evicted(),
            Phase::ReceivingRequest => {
                self.has_timed_out(now) || self.evicted_in == Some(Phase::ReceivingRequest)
            }
            Phase::SendingResponse => self.has_timed_out(now),
            Phase::AwaitingResponse => false,
        }
    }

    /// Why this side closes the connection now.
    pub(super) fn close_reason(&self, now: Instant) -> CloseReason {
        match (self.has_timed_out(now), self.phase) {
            _ if self.is_evicted() => CloseReason::Evicted,
            (true, Phase::SendingResponse) => CloseReason::ResponseTimeout,
            (true, _) => CloseReason::RequestTimeout,
            (false, _) => CloseReason::Other,
        }
    }

    /// Whether a response is awaited or may still be on its way out.
    pub(super) fn has_pending_response(&self, now: Instant) -> bool {
        match self.phase {
            Phase::AwaitingResponse => true,
            Phase::SendingResponse => now < self.since + RESPONSE_SEND_TIME,
            Phase::New | Phase::ReceivingRequest | Phase::Idle | Phase::Lingering => false,
        }
    }
}
