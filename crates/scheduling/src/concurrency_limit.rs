//! Concurrency limit: how many slots this scheduler may have in flight at a worker. The scheduler learns the
//! limit from rejected, failed and served attempts at the worker.

use crate::events::Outcome;
use crate::ids::Micros;

/// How long this scheduler avoids a worker after the worker rejected an attempt, in microseconds.
const REJECTION_PAUSE: Micros = 150_000;
/// How long this scheduler avoids a worker after the worker refused a connection immediately, in
/// microseconds. Such a worker accepts no further connection until some of its jobs end.
const REFUSED_CONNECTION_PAUSE: Micros = 600_000;
/// A worker's concurrency limit is multiplied by this factor after an attempt with an error or a timeout.
const DECREASE_FACTOR: f64 = 0.7;
/// Number of slots added to a worker's concurrency limit for each served attempt.
const INCREASE: f64 = 1.0;
/// Smallest concurrency limit of a worker, in slots.
const MIN_LIMIT: f64 = 1.0;

/// The learned limit on the slots that this scheduler may have in flight at one worker, and the pause after a
/// rejection.
pub(crate) struct ConcurrencyLimit {
    /// Maximum number of slots that this scheduler may have in flight at the worker; infinite until the
    /// worker rejects an attempt.
    max_slots: f64,
    rejecting_until: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit { max_slots: f64::INFINITY, rejecting_until: 0 }
    }
}

impl ConcurrencyLimit {
    /// Records the outcome of an attempt at the worker. `refused_immediately` says that a failed connection
    /// was refused without delay; `in_flight` is the number of slots that this scheduler still has in flight
    /// at the worker.
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
            Outcome::Rejected | Outcome::Returned => {
                self.max_slots = in_flight.max(MIN_LIMIT);
                self.rejecting_until = now + REJECTION_PAUSE;
            }
            Outcome::ConnectFailed if refused_immediately => {
                self.rejecting_until = now + REFUSED_CONNECTION_PAUSE;
            }
            _ => {}
        }
    }

    /// Whether a job of `slots` slots would exceed the worker's concurrency limit if this scheduler has
    /// `in_flight` slots in flight at the worker. A job is always within the limit if no other job is in
    /// flight.
    pub(crate) fn is_exceeded(&self, in_flight: f64, slots: f64) -> bool {
        in_flight + slots > self.max_slots.max(slots)
    }

    pub(crate) fn is_rejecting(&self, now: Micros) -> bool {
        now < self.rejecting_until
    }

    /// Returns the time until which the worker is expected to reject this scheduler's attempts. The time lies
    /// in the past if no rejection is expected.
    pub(crate) fn rejecting_until(&self) -> Micros {
        self.rejecting_until
    }
}

#[cfg(test)]
mod tests;
