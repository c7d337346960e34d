//! The words that schedulers say to one another, and their bytes.
//!
//! Owns the form alone: 16 bytes, little-endian: word, detail, sixteenths of slots (2), microseconds (4), worker (8).
//! Whom to tell what, and what to make of it, is the policy's. A word that can't be read is no word; reading must
//! never panic.

use crate::interface::{Micros, WorkerId};

/// What schedulers say to one another of a worker: how full it is, and what they send there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerMessage {
    /// To its keeper: how much does it have in hand? I have a job of so much work.
    OccupancyQuery(Micros),
    /// From its keeper: slots in hand, and for how long it is passed over; `None`: it is not on my list.
    OccupancyReply(Option<(f64, Micros)>),
    /// To its keeper: an attempt of so many slots and so much work was sent there.
    AttemptStarted(f64, Micros),
    /// To its keeper: an attempt ended there; whether it was served, or broke.
    AttemptFinished {
        /// It was served.
        served: bool,
        /// Its connection broke, never came up or stayed silent.
        broke: bool,
    },
}

impl PeerMessage {
    /// The bytes of this word about a worker.
    pub fn write(self, worker: WorkerId) -> Vec<u8> {
        let (word, detail, slots, time) = match self {
            PeerMessage::OccupancyQuery(work) => (0, 0, 0.0, work),
            PeerMessage::OccupancyReply(None) => (1, 0, 0.0, 0),
            PeerMessage::OccupancyReply(Some((slots, time))) => (1, 1, slots, time),
            PeerMessage::AttemptStarted(slots, work) => (2, 0, slots, work),
            PeerMessage::AttemptFinished { served, broke } => {
                (3, u8::from(served) | u8::from(broke) << 1, 0.0, 0)
            }
        };
        let (slots, time) = ((slots * 16.0) as u16, u32::try_from(time).unwrap_or(u32::MAX));
        [&[word, detail][..], &slots.to_le_bytes(), &time.to_le_bytes(), &worker.0.to_le_bytes()].concat()
    }

    /// Reads a datagram; `None` if it is no word.
    pub fn read(data: &[u8]) -> Option<(PeerMessage, WorkerId)> {
        let [word, detail, s0, s1, t0, t1, t2, t3, worker @ ..] = data else { return None };
        let slots = f64::from(u16::from_le_bytes([*s0, *s1])) / 16.0;
        let time = Micros::from(u32::from_le_bytes([*t0, *t1, *t2, *t3]));
        let word = match word {
            0 => PeerMessage::OccupancyQuery(time),
            1 => PeerMessage::OccupancyReply((*detail == 1).then_some((slots, time))),
            2 => PeerMessage::AttemptStarted(slots, time),
            3 => PeerMessage::AttemptFinished { served: detail & 1 != 0, broke: detail & 2 != 0 },
            _ => return None,
        };
        Some((word, WorkerId(u64::from_le_bytes(worker.try_into().ok()?))))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_word_comes_back_as_it_was_said_and_takes_sixteen_bytes() {
        let peer_message = [
            PeerMessage::OccupancyQuery(250_000),
            PeerMessage::OccupancyReply(None),
            PeerMessage::OccupancyReply(Some((3.25, 8_000_000))),
            PeerMessage::AttemptStarted(2.0, 250_000),
            PeerMessage::AttemptFinished { served: true, broke: false },
            PeerMessage::AttemptFinished { served: false, broke: true },
        ];
        for word in peer_message {
            let data = word.write(WorkerId(0x0123_4567_89ab_cdef));
            assert_eq!(data.len(), 16);
            assert_eq!(PeerMessage::read(&data), Some((word, WorkerId(0x0123_4567_89ab_cdef))));
        }
    }

    #[test]
    fn what_is_no_word_is_not_read() {
        let sound = PeerMessage::OccupancyQuery(0).write(WorkerId(1));
        for length in 0..sound.len() {
            assert_eq!(PeerMessage::read(&sound[..length]), None, "cut to {length} bytes");
        }
        assert_eq!(PeerMessage::read(&[sound.clone(), vec![0]].concat()), None, "a byte too many");
        assert_eq!(PeerMessage::read(&[&[4][..], &sound[1..]].concat()), None, "an unknown word");
    }
}
