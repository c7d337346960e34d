//! The words that dispatchers say to one another, and their bytes.
//!
//! Owns the form alone: 16 bytes, little-endian: word, detail, sixteenths of slots (2), microseconds (4), worker (8).
//! Whom to tell what, and what to make of it, is the policy's. A word that can't be read is no word; reading must
//! never panic.

use crate::interface::{Micros, WorkerId};

/// What dispatchers say to one another of a worker: how full it is, and what they send there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    /// To its keeper: how much does it have in hand? I have a job of so much work.
    Ask(Micros),
    /// From its keeper: slots in hand, and for how long it is passed over; `None`: it is not on my list.
    Report(Option<(f64, Micros)>),
    /// To its keeper: an attempt of so many slots and so much work was sent there.
    Sent(f64, Micros),
    /// To its keeper: an attempt ended there; whether it was served, or broke.
    Ended {
        /// It was served.
        served: bool,
        /// Its connection broke, never came up or stayed silent.
        broke: bool,
    },
}

impl Word {
    /// The bytes of this word about a worker.
    pub fn write(self, worker: WorkerId) -> Vec<u8> {
        let (word, detail, slots, time) = match self {
            Word::Ask(work) => (0, 0, 0.0, work),
            Word::Report(None) => (1, 0, 0.0, 0),
            Word::Report(Some((slots, time))) => (1, 1, slots, time),
            Word::Sent(slots, work) => (2, 0, slots, work),
            Word::Ended { served, broke } => (3, u8::from(served) | u8::from(broke) << 1, 0.0, 0),
        };
        let (slots, time) = ((slots * 16.0) as u16, u32::try_from(time).unwrap_or(u32::MAX));
        [&[word, detail][..], &slots.to_le_bytes(), &time.to_le_bytes(), &worker.0.to_le_bytes()].concat()
    }

    /// Reads a datagram; `None` if it is no word.
    pub fn read(data: &[u8]) -> Option<(Word, WorkerId)> {
        let [word, detail, s0, s1, t0, t1, t2, t3, worker @ ..] = data else { return None };
        let slots = f64::from(u16::from_le_bytes([*s0, *s1])) / 16.0;
        let time = Micros::from(u32::from_le_bytes([*t0, *t1, *t2, *t3]));
        let word = match word {
            0 => Word::Ask(time),
            1 => Word::Report((*detail == 1).then_some((slots, time))),
            2 => Word::Sent(slots, time),
            3 => Word::Ended { served: detail & 1 != 0, broke: detail & 2 != 0 },
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
        let words = [
            Word::Ask(250_000),
            Word::Report(None),
            Word::Report(Some((3.25, 8_000_000))),
            Word::Sent(2.0, 250_000),
            Word::Ended { served: true, broke: false },
            Word::Ended { served: false, broke: true },
        ];
        for word in words {
            let data = word.write(WorkerId(0x0123_4567_89ab_cdef));
            assert_eq!(data.len(), 16);
            assert_eq!(Word::read(&data), Some((word, WorkerId(0x0123_4567_89ab_cdef))));
        }
    }

    #[test]
    fn what_is_no_word_is_not_read() {
        let sound = Word::Ask(0).write(WorkerId(1));
        for length in 0..sound.len() {
            assert_eq!(Word::read(&sound[..length]), None, "cut to {length} bytes");
        }
        assert_eq!(Word::read(&[sound.clone(), vec![0]].concat()), None, "a byte too many");
        assert_eq!(Word::read(&[&[4][..], &sound[1..]].concat()), None, "an unknown word");
    }
}
