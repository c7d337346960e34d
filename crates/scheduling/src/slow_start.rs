//! Slow start: determines when a worker's process started, which fraction of its capacity the worker has by
//! now, and how much work schedulers may send to the worker while it warms up.
//!
//! The endpoint list gives a worker's start time by the wall clock of another machine. That clock may have
//! been stepped forward or back, while this process's own clock is monotonic. The start time is therefore
//! limited to the interval between two responses of discovery: the worker started before the first response
//! that lists the start, and after the previous response. A listed start time outside that interval is not
//! trusted.
//!
//! Before the first response of discovery, a scheduler only has the wall clock. If a worker restarted earlier
//! and the other machine's clock differed from this machine's clock when this process started, the worker's
//! age is wrong by the difference until the worker is warm.

use crate::ids::Micros;
use crate::settings::Rules;

/// Maximum time between a worker's start and the first response that lists the start, in microseconds.
const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// Fraction of a worker's slots that may be used in addition to the worker's warm-up fraction. All slots are
/// usable once the warm-up fraction is one half.
const INITIAL_SLOT_FRACTION: f64 = 0.5;
/// Maximum work sent to a worker within the overload time, as a fraction of the work that makes the worker
/// fail.
const PEAK_OVERLOAD_FRACTION: f64 = 0.8;
/// Maximum long-term rate of work sent to a worker, as a fraction of the rate that makes the worker fail.
const SUSTAINED_OVERLOAD_FRACTION: f64 = 0.6;

/// Bounds on the start times in the endpoint list.
#[derive(Default)]
pub(crate) struct StartBounds {
    /// When discovery's latest response arrived; `None` before the first response.
    last_response: Option<Micros>,
}

impl StartBounds {
    /// Records a response of discovery, or a list handed over by the predecessor.
    pub(crate) fn record_response(&mut self, now: Micros) {
        self.last_response = Some(now);
    }

    /// Returns when a worker's process started, by this process's clock, for a start that appears in the list
    /// for the first time. Returns `None` if the process started long ago.
    pub(crate) fn started_at(&self, now: Micros, listed_start: Micros) -> Option<Micros> {
        let earliest = match self.last_response {
            // The previous response would have listed such an early start, so the clock that recorded the
            // start time was stepped back.
            Some(response) if listed_start.saturating_add(MAX_NOTIFICATION_DELAY) < response => now,
            Some(response) => response.min(now),
            None => 0,
        };
        (listed_start != 0).then(|| listed_start.clamp(earliest, now))
    }
}

/// Returns the fraction of its capacity that a worker has, by the slowest warm-up that the rules allow.
pub(crate) fn warm_up_fraction(started_at: Option<Micros>, now: Micros, rules: &Rules) -> f64 {
    let Some(started_at) = started_at.filter(|_| rules.slow_start_time > 0) else { return 1.0 };
    let age = now.saturating_sub(started_at) as f64 / rules.slow_start_time as f64;
    (rules.slow_start_floor + (1.0 - rules.slow_start_floor) * age).min(1.0)
}

/// Returns the fraction of its slots that a worker may have in use at the given warm-up fraction.
pub(crate) fn usable_slot_fraction(warm_up_fraction: f64) -> f64 {
    (INITIAL_SLOT_FRACTION + warm_up_fraction).min(1.0)
}

/// The work budget of a warming worker: a leaky bucket that holds the work sent to the worker, minus the work
/// that the worker can have done since.
///
/// The parameter `overload_rate` of the methods is the rate of work beyond which the worker fails, multiplied
/// by the scheduler's fraction of the work budget, in microseconds of work per microsecond.
#[derive(Default)]
pub(crate) struct WorkBudget {
    /// Work in the bucket at the time `charged_at`, in microseconds.
    level: f64,
    charged_at: Micros,
}

impl WorkBudget {
    /// Returns the work that was sent to the worker and can't be done yet, in microseconds.
    fn level(&self, now: Micros, overload_rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.charged_at) as f64;
        (self.level - overload_rate * SUSTAINED_OVERLOAD_FRACTION * elapsed).max(0.0)
    }

    /// Returns how much more work may be sent to the worker, in microseconds. The result is negative if too
    /// much work was sent.
    pub(crate) fn remaining(&self, now: Micros, overload_rate: f64, overload_time: Micros) -> f64 {
        let capacity =
            overload_rate * (PEAK_OVERLOAD_FRACTION - SUSTAINED_OVERLOAD_FRACTION) * overload_time as f64;
        capacity - self.level(now, overload_rate)
    }

    /// Adds work that was sent to the worker.
    pub(crate) fn charge(&mut self, now: Micros, overload_rate: f64, work: Micros) {
        self.level = self.level(now, overload_rate) + work as f64;
        self.charged_at = now;
    }
}

#[cfg(test)]
mod tests;
