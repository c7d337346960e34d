//! The actions that a scheduler requests from the embedding program: [`Action`].

use crate::ids::{AttemptNo, Micros, RequestId, TimerToken, WorkerId};

/// The recipient of a message that this scheduler sends to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// The scheduler with this index.
    One(u32),
    /// All schedulers other than the sender.
    All,
}

/// An action that the embedding program carries out for the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker.
    Send {
        /// The request to send.
        request: RequestId,
        /// The worker that the attempt is sent to.
        worker: WorkerId,
        /// Maximum duration of the attempt, in microseconds; `None` if only the request's deadline limits the
        /// attempt.
        timeout: Option<Micros>,
    },
    /// Cancel one attempt that is in flight at a worker.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptNo,
    },
    /// Give the client of a request its final answer: the request was rejected, and a retry by the client is
    /// harmless.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// The Retry-After for the client, in microseconds; 0 if the client gets no Retry-After.
        retry_after: Micros,
    },
    /// Give the client of a request its final answer: the request failed, and the job may or may not have
    /// run.
    Fail {
        /// The failed request.
        request: RequestId,
    },
    /// Send a health check to a worker. The worker's response may carry a load report.
    Probe(WorkerId),
    /// Close the idle connections to the worker with this id.
    CloseIdle(WorkerId),
    /// Subscribe to discovery's changes of the endpoint list (`true`), or unsubscribe (`false`).
    Subscribe(bool),
    /// Fetch the complete endpoint list from discovery once, without a subscription.
    FetchEndpoints,
    /// Set a timer: pass the timer's token to the scheduler with [`Event::Timer`](crate::Event::Timer) at the
    /// given time or soon after.
    SetTimer {
        /// When the timer expires, in microseconds of the scheduler's clock.
        at: Micros,
        /// The token to pass to the scheduler when the timer expires.
        token: TimerToken,
    },
    /// Send a message of at most 256 bytes to other schedulers.
    SendPeerMessage {
        /// The scheduler or schedulers that the message is sent to.
        to: Recipient,
        /// The message to the other schedulers, as encoded by
        /// [`PeerMessage::encode`](crate::PeerMessage::encode).
        data: Vec<u8>,
    },
    /// Write a line to the scheduler's log.
    Log(String),
}
