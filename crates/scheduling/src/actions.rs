//! The actions that a scheduler requests from the embedding program: [`Action`].

use crate::ids::{AttemptNo, Micros, RequestId, TimerToken, WorkerId};

/// The recipient of a message to other schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// One scheduler, by its index.
    One(u32),
    /// All other schedulers.
    All,
}

/// An action that the embedding program carries out for the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's timeout; `None` if the request's deadline is the only limit.
        timeout: Option<Micros>,
    },
    /// Cancel one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Give the client its final answer: the request was rejected, and a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// The Retry-After for the client, in microseconds; 0 if the client gets no Retry-After.
        retry_after: Micros,
    },
    /// Give the client its final answer: the request failed, and the job may or may not have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Send a health check to a worker, which also returns its load.
    Probe(WorkerId),
    /// Close idle connections to a worker.
    CloseIdle(WorkerId),
    /// Subscribe to changes of the endpoint list (`true`), or unsubscribe (`false`).
    Subscribe(bool),
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Set a timer: return the token with [`Event::Timer`](crate::Event::Timer) at the given time or soon
    /// after.
    SetTimer {
        /// When the timer expires.
        at: Micros,
        /// The token to return.
        token: TimerToken,
    },
    /// Send a message of at most 256 bytes to other schedulers.
    SendPeerMessage {
        /// The recipient.
        to: Recipient,
        /// The encoded message.
        data: Vec<u8>,
    },
    /// Write a line to the scheduler's log.
    Log(String),
}
