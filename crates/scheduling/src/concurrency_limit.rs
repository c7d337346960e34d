//! Concurrency limit: how many slots this scheduler may have in flight at a worker, learned from rejections,
//! errors and served attempts.

use crate::events::Outcome;
use crate::ids::Micros;

/// How long a worker is avoided after it rejected an attempt, in microseconds.
const REJECTION_PAUSE: Micros = 150_000;
/// How long a worker is avoided after it refused a connection immediately, in microseconds.
/// The worker accepts no further connection until some of its jobs end.
const REFUSED_CONNECTION_PAUSE: Micros = 600_000;
/// The limit is multiplied by this factor after an error or a timeout.
const DECREASE_FACTOR: f64 = 0.7;
/// Slots added to the limit for each served attempt.
const INCREASE: f64 = 1.0;
/// Smallest limit, in slots.
const MIN_LIMIT: f64 = 1.0;

/// The learned limit on the slots that this scheduler may have in flight at one worker.
pub(crate) struct ConcurrencyLimit {
    /// The limit, in slots; infinite until an attempt is rejected.
    max_slots: f64,
    rejecting_until: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit { max_slots: f64::INFINITY, rejecting_until: 0 }
    }
}

impl ConcurrencyLimit {
    /// Records the outcome of an attempt; `in_flight` is the number of slots that this scheduler still has in
    /// flight at the worker.
    pub(crate) fn record_result(
        &mut self,
        now: Micros,
        outcome: Outcome,
        refused_immediately: bool,
        in_flight: f64,
    ) {
        let is_overloaded = matches!(outcome, Outcome::Timeout | Outcome::Error);
        let factor = if is_overloaded { DECREASE_FACTOR } else { 1.0 };
        self.max_slots = (self.max_slots * factor).max(MIN_LIMIT);
        match outcome {
            Outcome::Ok => self.max_slots += INCREASE,
            Outcome::Rejected => {
                self.max_slots = in_flight.max(MIN_LIMIT);
                self.rejecting_until = now + REJECTION_PAUSE;
            }
            Outcome::ConnectFailed if refused_immediately => {
                self.rejecting_until = now + REFUSED_CONNECTION_PAUSE;
            }
            _ => {}
        }
    }

    /// Whether a job of `slots` slots would exceed the limit, in addition to the slots in flight. A single
    /// job is always within the limit.
    pub(crate) fn is_exceeded(&self, in_flight: f64, slots: f64) -> bool {
        in_flight + slots > self.max_slots.max(slots)
    }

    pub(crate) fn is_rejecting(&self, now: Micros) -> bool {
        now < self.rejecting_until
    }

    /// Returns the time until which the worker is expected to reject attempts. The time lies in the past if
    /// no rejection is expected.
    pub(crate) fn rejecting_until(&self) -> Micros {
        self.rejecting_until
    }
}

#[cfg(test)]
mod tests;
