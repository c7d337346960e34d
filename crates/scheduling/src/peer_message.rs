//! Messages between schedulers and their encoding.
//!
//! A message takes 16 bytes, little-endian: kind (1), flags (1), sixteenths of slots (2), microseconds (4),
//! worker (8). Data from a peer is not trusted: what can't be decoded is no message.

use crate::ids::{Micros, WorkerId};

const KIND_OCCUPANCY_QUERY: u8 = 0;
const KIND_OCCUPANCY_REPLY: u8 = 1;
const KIND_ATTEMPT_STARTED: u8 = 2;
const KIND_ATTEMPT_FINISHED: u8 = 3;

/// Flag of a reply: the worker is listed.
const FLAG_LISTED: u8 = 1;
/// Flags of a finished attempt.
const FLAG_SERVED: u8 = 1;
const FLAG_CONNECTION_FAILED: u8 = 1 << 1;

/// Slots are sent in fractions of this size: one slot is so many.
const SLOT_UNITS: f64 = 16.0;

/// How full a worker is, by its coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Occupancy {
    /// Slots in flight there.
    pub slots: f64,
    /// How long it is still ejected; 0 if it isn't.
    pub ejected_for: Micros,
}

/// A message about one worker to or from its coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerMessage {
    /// To the coordinator: asks for the worker's occupancy.
    OccupancyQuery {
        /// Work of the job that is to be sent there, microseconds.
        work: Micros,
    },
    /// From the coordinator; `None` if it doesn't list the worker.
    OccupancyReply(Option<Occupancy>),
    /// To the coordinator: an attempt was sent to the worker.
    AttemptStarted {
        /// Slots that it takes.
        slots: f64,
        /// Its work, microseconds.
        work: Micros,
    },
    /// To the coordinator: an attempt ended there.
    AttemptFinished {
        /// It was served.
        served: bool,
        /// Its connection broke, was never made or gave no response.
        connection_failed: bool,
    },
}

impl PeerMessage {
    /// The bytes of this message about a worker. A figure that is too large for its field is sent as the
    /// largest.
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
        let slots = (slots * SLOT_UNITS) as u16;
        let time = u32::try_from(time).unwrap_or(u32::MAX);
        [&[kind, flags][..], &slots.to_le_bytes(), &time.to_le_bytes(), &worker.0.to_le_bytes()].concat()
    }

    /// Decodes a datagram into a message and the worker that it is about; `None` if it is no message.
    #[must_use]
    pub fn decode(data: &[u8]) -> Option<(PeerMessage, WorkerId)> {
        let [kind, flags, s0, s1, t0, t1, t2, t3, worker @ ..] = data else { return None };
        let worker = WorkerId(u64::from_le_bytes(worker.try_into().ok()?));
        let slots = f64::from(u16::from_le_bytes([*s0, *s1])) / SLOT_UNITS;
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
