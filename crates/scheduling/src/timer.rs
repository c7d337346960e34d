//! The timers that the scheduler sets: what the scheduler does when a timer expires, and how a [`TimerToken`]
//! encodes a timer.
//!
//! A token contains the timer's kind in its top byte, and the sequence number of the timer's request in the
//! other bytes.

use crate::ids::TimerToken;

/// Number of a request, counted from 0 in the order in which requests arrive at the scheduler.
pub(crate) type SequenceNumber = u64;

/// Position of the lowest bit of the timer's kind in a [`TimerToken`].
const KIND_SHIFT: u32 = 56;
/// The bits of a [`TimerToken`] that contain the request's sequence number.
const SEQUENCE_MASK: u64 = (1 << KIND_SHIFT) - 1;

const KIND_DEADLINE: u64 = 0;
const KIND_PLACEMENT: u64 = 1;
const KIND_ENDPOINT_POLL: u64 = 2;
const KIND_ATTEMPT_CHECK: u64 = 3;

/// A timer. Each variant names what the scheduler does when the timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Give the request its final answer, because its deadline is near.
    Deadline(SequenceNumber),
    /// Look for a worker for the request again, because the request is queued or its occupancy queries are
    /// overdue.
    Placement(SequenceNumber),
    /// Poll discovery for the endpoint list.
    EndpointPoll,
    /// Check whether the request's attempt in flight makes progress.
    AttemptCheck(SequenceNumber),
}

impl Timer {
    /// Returns the token that the embedding program returns to the scheduler when the timer expires.
    pub(crate) fn token(self) -> TimerToken {
        let (kind, sequence) = match self {
            Timer::Deadline(sequence) => (KIND_DEADLINE, sequence),
            Timer::Placement(sequence) => (KIND_PLACEMENT, sequence),
            Timer::EndpointPoll => (KIND_ENDPOINT_POLL, 0),
            Timer::AttemptCheck(sequence) => (KIND_ATTEMPT_CHECK, sequence),
        };
        TimerToken(kind << KIND_SHIFT | sequence)
    }
}

impl From<TimerToken> for Timer {
    fn from(token: TimerToken) -> Timer {
        let sequence = token.0 & SEQUENCE_MASK;
        match token.0 >> KIND_SHIFT {
            KIND_PLACEMENT => Timer::Placement(sequence),
            KIND_ENDPOINT_POLL => Timer::EndpointPoll,
            KIND_ATTEMPT_CHECK => Timer::AttemptCheck(sequence),
            _ => Timer::Deadline(sequence),
        }
    }
}

#[cfg(test)]
mod tests;
