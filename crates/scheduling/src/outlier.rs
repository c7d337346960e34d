//! Outlier detection: temporarily ejects a worker whose attempts fail repeatedly.

use crate::events::Outcome;
use crate::ids::Micros;

/// Duration of an ejection after no earlier failure, in microseconds. Each earlier failure in a row doubles
/// the duration.
const BASE_EJECTION: Micros = 500_000;
/// Longest duration of an ejection, in microseconds.
const MAX_EJECTION: Micros = 8_000_000;
/// The duration of an ejection is doubled at most this many times.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Ejections apply while no more than this fraction of the ready workers is ejected. The fraction exceeds one
/// zone. If more workers fail, the cause is assumed to affect all workers.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// Whether ejected workers are excluded from the candidates. `ejected` and `ready` are the numbers of ejected
/// and of ready workers.
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
    /// Records the outcome of an attempt. `refused_immediately` says that the connection was refused without
    /// delay, either because the worker failed or because its connection table is full.
    pub(crate) fn record_result(&mut self, now: Micros, outcome: Outcome, refused_immediately: bool) {
        match outcome {
            Outcome::Ok => self.record_success(),
            Outcome::Invalid => self.reset_failures(),
            Outcome::ConnectFailed if refused_immediately => {}
            // A single failure may be due to the connection or the request; a second one is due to the
            // worker.
            Outcome::Reset | Outcome::NoResponse | Outcome::Error if self.consecutive_failures == 0 => {
                self.consecutive_failures = 1;
            }
            Outcome::ConnectFailed | Outcome::Reset | Outcome::NoResponse | Outcome::Error => {
                self.eject(now);
            }
            Outcome::Rejected | Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Halves the number of failures, so that a worker that rarely serves an attempt is soon ejected again.
    /// Ends the ejection once no failure is left.
    fn record_success(&mut self) {
        self.consecutive_failures /= 2;
        if self.consecutive_failures == 0 {
            self.ejected_until = 0;
        }
    }

    fn eject(&mut self, now: Micros) {
        let ejection = BASE_EJECTION << self.consecutive_failures.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + ejection.min(MAX_EJECTION);
        self.consecutive_failures += 1;
    }

    /// Resets the number of failures, after an invalid request or when a peer's attempt was served.
    pub(crate) fn reset_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Extends the ejection to at least `remaining` microseconds from now, as the worker's coordinator
    /// reported.
    pub(crate) fn extend_ejection(&mut self, now: Micros, remaining: Micros) {
        self.ejected_until = self.ejected_until.max(now + remaining.min(MAX_EJECTION));
    }

    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// Returns when the ejection ends. The time lies in the past if the worker is not ejected.
    pub(crate) fn ejected_until(&self) -> Micros {
        self.ejected_until
    }
}

#[cfg(test)]
mod tests;
