//! What a scheduler is to do: [`Action`].

use crate::ids::{AttemptNo, Micros, RequestId, TimerToken, WorkerId};

/// The recipient of a message to other schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// One scheduler, by number.
    One(u32),
    /// All others.
    All,
}

/// What the scheduler is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's timeout; `None`: the request's deadline.
        timeout: Option<Micros>,
    },
    /// Cancel one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Final answer: rejected; a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// The client's Retry-After; 0 for none.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Check a worker's health and load.
    Probe(WorkerId),
    /// Close idle connections to a worker.
    CloseIdle(WorkerId),
    /// Subscribe to changes of the endpoint list, or unsubscribe.
    Subscribe(bool),
    /// Fetch the complete endpoint list once.
    FetchEndpoints,
    /// Return this token with [`Event::Timer`](crate::Event::Timer) at this time or soon after.
    SetTimer {
        /// When.
        at: Micros,
        /// The token that comes back.
        token: TimerToken,
    },
    /// Send at most 256 bytes to other schedulers.
    SendPeerMessage {
        /// The recipient.
        to: Recipient,
        /// The bytes.
        data: Vec<u8>,
    },
    /// A line for the scheduler's log.
    Log(String),
}
