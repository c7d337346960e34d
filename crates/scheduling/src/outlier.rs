//! Outlier detection: a worker whose attempts break again and again is ejected for a while.

use crate::events::Outcome;
use crate::ids::Micros;

/// Length of the first ejection, microseconds; each further failure doubles it.
const BASE_EJECTION: Micros = 500_000;
/// The longest ejection, microseconds.
const MAX_EJECTION: Micros = 8_000_000;
/// The ejection is doubled at most so often.
const MAX_DOUBLINGS: u32 = 8;
/// Fraction of the ready workers that may be ejected: a zone and more. Beyond it the fault is a common one.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// Whether ejections count, given how many of the ready workers are ejected.
pub(crate) fn ejections_apply(ejected: usize, ready: usize) -> bool {
    ejected as f64 <= MAX_EJECTED_FRACTION * ready as f64
}

/// The recent failures of one worker and its ejection.
#[derive(Default)]
pub(crate) struct OutlierDetector {
    consecutive_failures: u32,
    ejected_until: Micros,
}

impl OutlierDetector {
    /// Takes the outcome of an attempt. `refused_at_once`: its connection was refused without delay, which a
    /// full connection table does as well as a failed worker.
    pub(crate) fn record_result(&mut self, now: Micros, outcome: Outcome, refused_at_once: bool) {
        match outcome {
            Outcome::Ok => self.recover(),
            Outcome::Invalid => self.reset_failures(),
            Outcome::ConnectFailed if refused_at_once => {}
            // A single failure may be its connection's or its request's fault; a second one is the worker's.
            Outcome::Reset | Outcome::NoResponse | Outcome::Error if self.consecutive_failures == 0 => {
                self.consecutive_failures = 1;
            }
            Outcome::ConnectFailed | Outcome::Reset | Outcome::NoResponse | Outcome::Error => {
                self.eject(now);
            }
            Outcome::Rejected | Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Halves the failures, so that a worker which serves only now and then stays suspect.
    fn recover(&mut self) {
        self.consecutive_failures /= 2;
        if self.consecutive_failures == 0 {
            self.ejected_until = 0;
        }
    }

    fn eject(&mut self, now: Micros) {
        let ejection = BASE_EJECTION << self.consecutive_failures.min(MAX_DOUBLINGS);
        self.ejected_until = now + ejection.min(MAX_EJECTION);
        self.consecutive_failures += 1;
    }

    /// Forgets the failures: a peer's attempt was served.
    pub(crate) fn reset_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Takes over an ejection that has so long to go at the worker's coordinator.
    pub(crate) fn extend_ejection(&mut self, now: Micros, remaining: Micros) {
        self.ejected_until = self.ejected_until.max(now + remaining.min(MAX_EJECTION));
    }

    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// When the ejection ends; in the past if there is none.
    pub(crate) fn ejected_until(&self) -> Micros {
        self.ejected_until
    }
}

#[cfg(test)]
mod tests;
