//! Timers: what is to be done when one expires, and its token.
//!
//! A token contains the kind in its top byte and the request's sequence number in the others.

use crate::ids::TimerToken;

/// Number of a request in the order of arrival.
pub(crate) type SequenceNumber = u64;

/// Position of the kind in a token.
const KIND_SHIFT: u32 = 56;
/// The bits of a token that contain the sequence number.
const SEQUENCE_MASK: u64 = (1 << KIND_SHIFT) - 1;

const KIND_DEADLINE: u64 = 0;
const KIND_PLACEMENT: u64 = 1;
const KIND_ENDPOINT_POLL: u64 = 2;
const KIND_ATTEMPT_CHECK: u64 = 3;

/// What is to be done when a timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Give the request its final answer.
    Deadline(SequenceNumber),
    /// Look for a worker again: the request is queued, or its occupancy queries are overdue.
    Placement(SequenceNumber),
    /// Poll the endpoint list.
    EndpointPoll,
    /// Check whether the request's attempt makes progress.
    AttemptCheck(SequenceNumber),
}

impl Timer {
    /// The token that the embedding program returns with the timer.
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
