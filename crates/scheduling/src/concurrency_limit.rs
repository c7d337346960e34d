//! How much of this scheduler's own load a worker takes, learned from rejections, errors and served attempts.

use crate::events::Outcome;
use crate::ids::Micros;

/// A worker that rejected an attempt is avoided this long, microseconds.
const REJECTION_PAUSE: Micros = 150_000;
/// The same where its connections are used up: jobs have to end first, microseconds.
const REFUSED_CONNECTION_PAUSE: Micros = 600_000;
/// Factor of the limit after an error or a timeout.
const DECREASE_FACTOR: f64 = 0.7;
/// Slots that each served attempt adds to the limit.
const INCREASE: f64 = 1.0;
/// The limit is never below this, slots.
const MIN_LIMIT: f64 = 1.0;

/// The learned limit of slots that this scheduler may have in flight at one worker.
pub(crate) struct ConcurrencyLimit {
    slots: f64,
    rejecting_until: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit { slots: f64::INFINITY, rejecting_until: 0 }
    }
}

impl ConcurrencyLimit {
    /// Takes the outcome of an attempt; `in_flight` are the own slots that are still in flight there.
    pub(crate) fn record_result(
        &mut self,
        now: Micros,
        outcome: Outcome,
        refused_at_once: bool,
        in_flight: f64,
    ) {
        let is_overloaded = matches!(outcome, Outcome::Timeout | Outcome::Error);
        let factor = if is_overloaded { DECREASE_FACTOR } else { 1.0 };
        self.slots = (self.slots * factor).max(MIN_LIMIT);
        match outcome {
            Outcome::Ok => self.slots += INCREASE,
            Outcome::Rejected => {
                self.slots = in_flight.max(MIN_LIMIT);
                self.rejecting_until = now + REJECTION_PAUSE;
            }
            Outcome::ConnectFailed if refused_at_once => {
                self.rejecting_until = now + REFUSED_CONNECTION_PAUSE;
            }
            _ => {}
        }
    }

    /// Whether so many slots in flight are too many. A single job is always within the limit.
    pub(crate) fn is_exceeded(&self, in_flight: f64, slots: f64) -> bool {
        in_flight + slots > self.slots.max(slots)
    }

    pub(crate) fn is_rejecting(&self, now: Micros) -> bool {
        now < self.rejecting_until
    }

    /// Until when the worker is expected to reject attempts; in the past if it isn't.
    pub(crate) fn rejecting_until(&self) -> Micros {
        self.rejecting_until
    }
}

#[cfg(test)]
mod tests;
