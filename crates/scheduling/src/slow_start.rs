//! Slow start: a worker whose process has just started warms up and has only a fraction of its capacity. This
//! module determines when a worker's process started, which fraction of its capacity the worker has, and how
//! much work schedulers may send to the worker while it warms up.
//!
//! The endpoint list gives a worker's start time by the wall clock of another machine. The wall clock of that
//! machine may have been stepped forward or back, while the clock of the scheduler's process is monotonic.
//! The start time is therefore limited to the interval between two responses of discovery: the worker started
//! before the first response that lists the start, and after the previous response. The scheduler does not
//! trust a listed start time outside that interval.
//!
//! Before the first response of discovery, the scheduler can determine a worker's age only from the wall
//! clock. If the worker restarted before that response, and the other machine's clock differed from this
//! machine's clock when the scheduler's process started, the worker's age is wrong by the difference until
//! the worker is warm.

use crate::ids::Micros;
use crate::settings::Rules;

/// Maximum time from the start of a worker's process to the first response of discovery that lists the start,
/// in microseconds.
const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// Fraction of a worker's slots that schedulers may use in addition to the worker's warm-up fraction. All
/// slots are usable once the warm-up fraction is one half.
const INITIAL_SLOT_FRACTION: f64 = 0.5;
/// Maximum work that schedulers send to a warming worker within the overload time of the rules, as a fraction
/// of the work that makes the worker fail.
const PEAK_OVERLOAD_FRACTION: f64 = 0.8;
/// Maximum long-term rate of the work that schedulers send to a warming worker, as a fraction of the rate
/// that makes the worker fail.
const SUSTAINED_OVERLOAD_FRACTION: f64 = 0.6;

/// The times of discovery's responses, which bound the start times of workers in the endpoint list.
#[derive(Default)]
pub(crate) struct StartBounds {
    /// When discovery's latest response arrived, in microseconds of the scheduler's clock; `None` before the
    /// first response.
    last_response: Option<Micros>,
}

impl StartBounds {
    /// Records the arrival of a response of discovery, or of an endpoint list handed over by the predecessor
    /// process.
    pub(crate) fn record_response(&mut self, now: Micros) {
        self.last_response = Some(now);
    }

    /// Returns when a worker's process started, in microseconds of the scheduler's clock. `listed_start` is a
    /// start time that appears in the endpoint list for the first time. Returns `None` if the worker's
    /// process started long ago.
    pub(crate) fn started_at(&self, now: Micros, listed_start: Micros) -> Option<Micros> {
        let earliest = match self.last_response {
            // The previous response of discovery would have listed such an early start, so the clock that
            // recorded the start time was stepped back.
            Some(response) if listed_start.saturating_add(MAX_NOTIFICATION_DELAY) < response => now,
            Some(response) => response.min(now),
            None => 0,
        };
        (listed_start != 0).then(|| listed_start.clamp(earliest, now))
    }
}

/// Returns a worker's warm-up fraction: the fraction of its full capacity that the worker has at the time
/// `now`, if the worker warms up as slowly as the rules allow.
pub(crate) fn warm_up_fraction(started_at: Option<Micros>, now: Micros, rules: &Rules) -> f64 {
    let Some(started_at) = started_at.filter(|_| rules.slow_start_time > 0) else { return 1.0 };
    let age = now.saturating_sub(started_at) as f64 / rules.slow_start_time as f64;
    (rules.slow_start_floor + (1.0 - rules.slow_start_floor) * age).min(1.0)
}

/// Returns the fraction of a worker's slots that schedulers may use at the given warm-up fraction.
pub(crate) fn usable_slot_fraction(warm_up_fraction: f64) -> f64 {
    (INITIAL_SLOT_FRACTION + warm_up_fraction).min(1.0)
}

/// The work budget of a warming worker: a leaky bucket that holds the work that schedulers have sent to the
/// worker, minus the work that the worker can have done since then.
///
/// The parameter `overload_rate` of the methods is the rate of work beyond which the worker fails, multiplied
/// by the scheduler's fraction of the work budget. The unit is microseconds of work per microsecond.
#[derive(Default)]
pub(crate) struct WorkBudget {
    /// Work in the leaky bucket at the time `charged_at`, in microseconds.
    level: f64,
    charged_at: Micros,
}

impl WorkBudget {
    /// Returns the work that was sent to the worker and can't be done yet, in microseconds.
    fn level(&self, now: Micros, overload_rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.charged_at) as f64;
        (self.level - overload_rate * SUSTAINED_OVERLOAD_FRACTION * elapsed).max(0.0)
    }

    /// Returns how much more work the scheduler may send to the worker, in microseconds. The result is
    /// negative if too much work was sent.
    pub(crate) fn remaining(&self, now: Micros, overload_rate: f64, overload_time: Micros) -> f64 {
        let capacity =
            overload_rate * (PEAK_OVERLOAD_FRACTION - SUSTAINED_OVERLOAD_FRACTION) * overload_time as f64;
        capacity - self.level(now, overload_rate)
    }

    /// Adds work that was sent to the worker at the time `now` to the leaky bucket.
    pub(crate) fn charge(&mut self, now: Micros, overload_rate: f64, work: Micros) {
        self.level = self.level(now, overload_rate) + work as f64;
        self.charged_at = now;
    }
}

#[cfg(test)]
mod tests;
