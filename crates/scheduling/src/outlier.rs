//! Outlier detection: a worker at which attempts fail repeatedly is ejected, which means that schedulers send
//! it no attempts for a while.

use crate::events::Outcome;
use crate::ids::Micros;

/// Duration of the ejection of a worker without earlier failures, in microseconds. Each earlier failure in a
/// row doubles the duration.
const BASE_EJECTION: Micros = 500_000;
/// Longest duration of a worker's ejection, in microseconds.
const MAX_EJECTION: Micros = 8_000_000;
/// Maximum number of times that the duration of a worker's ejection is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Ejections are ignored if more than this fraction of the ready workers is ejected, because the cause of so
/// many failures is assumed to affect all workers. The fraction is larger than the part of the workers in one
/// zone.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// Whether ejected workers are excluded from the candidates of a request. `ejected` and `ready` are the
/// numbers of ejected and of ready workers.
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
    /// Records the outcome of an attempt at the worker. `refused_immediately` says that a failed connection
    /// was refused without delay, either because the worker failed or because its connection table is full.
    pub(crate) fn record_result(&mut self, now: Micros, outcome: Outcome, refused_immediately: bool) {
        match outcome {
            Outcome::Ok => self.record_success(),
            Outcome::Invalid => self.reset_failures(),
            Outcome::ConnectFailed if refused_immediately => {}
            // The cause of a single failure may be the connection or the request; a second failure in a row
            // is attributed to the worker.
            Outcome::Reset | Outcome::NoResponse | Outcome::Error if self.consecutive_failures == 0 => {
                self.consecutive_failures = 1;
            }
            Outcome::ConnectFailed | Outcome::Reset | Outcome::NoResponse | Outcome::Error => {
                self.eject(now);
            }
            Outcome::Rejected
            | Outcome::Returned
            | Outcome::Timeout
            | Outcome::Cancelled
            | Outcome::NotSent => {}
        }
    }

    /// Records a served attempt: halves the worker's number of failures and ends the ejection if the number
    /// becomes 0. The number is halved instead of reset so that a worker that rarely serves an attempt is
    /// soon ejected again.
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

    /// Resets the worker's number of failures to 0, after an invalid request or when a peer's attempt at the
    /// worker was served.
    pub(crate) fn reset_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Extends the worker's ejection to at least `remaining` microseconds after `now`. `remaining` comes from
    /// a reply of the worker's coordinator.
    pub(crate) fn extend_ejection(&mut self, now: Micros, remaining: Micros) {
        self.ejected_until = self.ejected_until.max(now + remaining.min(MAX_EJECTION));
    }

    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// Returns the time at which the worker's ejection ends. The time lies in the past if the worker is not
    /// ejected.
    pub(crate) fn ejected_until(&self) -> Micros {
        self.ejected_until
    }
}

#[cfg(test)]
mod tests;
