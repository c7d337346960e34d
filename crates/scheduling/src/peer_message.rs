//! Messages between schedulers about a worker's occupancy, and the encoding of the messages.
//!
//! A message has 16 bytes, little-endian: kind (1), flags (1), slots in units of 1/16 slot (2), time in
//! microseconds (4), worker ID (8). The receiver does not trust the data of a peer: data that can't be
//! decoded is discarded.

use crate::ids::{Micros, WorkerId};

const KIND_OCCUPANCY_QUERY: u8 = 0;
const KIND_OCCUPANCY_REPLY: u8 = 1;
const KIND_ATTEMPT_STARTED: u8 = 2;
const KIND_ATTEMPT_FINISHED: u8 = 3;

/// Flag of a reply to an occupancy query: the endpoint list of the worker's coordinator contains the worker.
const FLAG_LISTED: u8 = 1;
/// Flag of a message about a finished attempt: the worker served the attempt.
const FLAG_SERVED: u8 = 1;
/// Flag of a message about a finished attempt: the connection to the worker broke, was never made or gave no
/// response.
const FLAG_CONNECTION_FAILED: u8 = 1 << 1;

/// Number of encoded units in one slot. Messages carry a number of slots as a multiple of 1/16 slot.
const ENCODED_UNITS_PER_SLOT: f64 = 16.0;

/// A worker's occupancy, as reported by the worker's coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Slots that all schedulers have in flight at the worker, including reservations.
    pub slots: f64,
    /// How long the worker remains ejected, in microseconds; 0 if the worker is not ejected.
    pub ejected_for: Micros,
}

/// A message about one worker that a scheduler sends to the worker's coordinator, or the coordinator to a
/// scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerMessage {
    /// Sent to the worker's coordinator by a peer that has a job for the worker: queries the worker's
    /// occupancy.
    OccupancyQuery {
        /// Expected work of the job that the peer wants to send to the worker, in microseconds.
        work: Micros,
    },
    /// Sent by the worker's coordinator: the reply to a peer's occupancy query; `None` if the coordinator's
    /// endpoint list lacks the worker.
    OccupancyReply(Option<Occupancy>),
    /// Sent to the worker's coordinator by a peer that has sent an attempt to the worker.
    AttemptStarted {
        /// Number of slots that the attempt takes at the worker.
        slots: f64,
        /// Expected work of the attempt's job, in microseconds.
        work: Micros,
    },
    /// Sent to the worker's coordinator by a peer whose attempt at the worker has ended.
    AttemptFinished {
        /// Whether the worker served the attempt.
        served: bool,
        /// Whether the attempt's connection to the worker broke, was never made or gave no response.
        connection_failed: bool,
    },
}

impl PeerMessage {
    /// Encodes this message about `worker` into 16 bytes. A value that is too large for its field is encoded
    /// as the field's maximum.
    #[must_use]
    pub fn encode(self, worker: WorkerId) -> Vec<u8> {
        let (kind, flags, slots, time) = match self {
            PeerMessage::OccupancyQuery { work } => (KIND_OCCUPANCY_QUERY, 0, 0.0, work),
            PeerMessage::OccupancyReply(None) => (KIND_OCCUPANCY_REPLY, 0, 0.0, 0),
            PeerMessage::OccupancyReply(Some(occupancy)) => {
                (KIND_OCCUPANCY_REPLY, FLAG_LISTED, occupancy.slots, occupancy.ejected_for)
            }
            PeerMessage::AttemptStarted { slots, work } => (KIND_ATTEMPT_STARTED, 0, slots, work),
            PeerMessage::AttemptFinished { served, connection_failed } => {
                let served = if served { FLAG_SERVED } else { 0 };
                let connection_failed = if connection_failed { FLAG_CONNECTION_FAILED } else { 0 };
                (KIND_ATTEMPT_FINISHED, served | connection_failed, 0.0, 0)
            }
        };
        let slots = (slots * ENCODED_UNITS_PER_SLOT) as u16;
        let time = u32::try_from(time).unwrap_or(u32::MAX);
        [&[kind, flags][..], &slots.to_le_bytes(), &time.to_le_bytes(), &worker.0.to_le_bytes()].concat()
    }

    /// Decodes the data of a datagram into a message and the worker that the message is about. Returns `None`
    /// if the data is not valid.
    #[must_use]
    pub fn decode(data: &[u8]) -> Option<(PeerMessage, WorkerId)> {
        let [kind, flags, s0, s1, t0, t1, t2, t3, worker @ ..] = data else { return None };
        let worker = WorkerId(u64::from_le_bytes(worker.try_into().ok()?));
        let slots = f64::from(u16::from_le_bytes([*s0, *s1])) / ENCODED_UNITS_PER_SLOT;
        let time = Micros::from(u32::from_le_bytes([*t0, *t1, *t2, *t3]));
        let message = match *kind {
            KIND_OCCUPANCY_QUERY => PeerMessage::OccupancyQuery { work: time },
            KIND_OCCUPANCY_REPLY => {
                let is_listed = *flags == FLAG_LISTED;
                PeerMessage::OccupancyReply(is_listed.then_some(Occupancy { slots, ejected_for: time }))
            }
            KIND_ATTEMPT_STARTED => PeerMessage::AttemptStarted { slots, work: time },
            KIND_ATTEMPT_FINISHED => PeerMessage::AttemptFinished {
                served: flags & FLAG_SERVED != 0,
                connection_failed: flags & FLAG_CONNECTION_FAILED != 0,
            },
            _ => return None,
        };
        Some((message, worker))
    }
}

#[cfg(test)]
mod tests;
