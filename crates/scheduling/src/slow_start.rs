//! Slow start: when a worker's process started, which fraction of its capacity it has by now, and how much
//! work it may be sent meanwhile.
//!
//! The endpoint list dates a start by another machine's wall clock, which may have been stepped, forward or
//! back. This process's own clock is monotonic, so that the start is bounded by what was observed here: the
//! response that is the first to name a start was given after it, and the response before that did not know
//! of it. The date counts within these bounds alone. A process that has had no response yet has nothing but
//! the wall clock to go by: a worker that was restarted before, by a clock that differs from this machine's
//! at its own start, is taken for older or younger by that difference, for as long as it warms up.

use crate::ids::Micros;
use crate::settings::Rules;

/// The response that names a start may be this much later than the start itself, microseconds.
const MAX_NOTIFICATION_DELAY: Micros = 6_000_000;
/// Fraction of its slots that a worker may use beyond its warm-up fraction: all of them once it is half warm.
const INITIAL_SLOT_FRACTION: f64 = 0.5;
/// Fraction of the overload factor that a worker is sent at most within the overload time.
const PEAK_OVERLOAD_FRACTION: f64 = 0.8;
/// Fraction of the overload factor that a worker is sent in the long run.
const SUSTAINED_OVERLOAD_FRACTION: f64 = 0.6;

/// What bounds the dates of starts in the endpoint list.
#[derive(Default)]
pub(crate) struct StartBounds {
    /// When discovery's latest response came; `None`: none has come.
    last_response: Option<Micros>,
}

impl StartBounds {
    /// Discovery has answered, or the predecessor handed its list over.
    pub(crate) fn record_response(&mut self, now: Micros) {
        self.last_response = Some(now);
    }

    /// When a process started that this list is the first to name, by this process's clock; `None`: long ago.
    pub(crate) fn started_at(&self, now: Micros, listed_start: Micros) -> Option<Micros> {
        let earliest = match self.last_response {
            // The response before would have named it: the clock that dated it has been stepped back.
            Some(response) if listed_start.saturating_add(MAX_NOTIFICATION_DELAY) < response => now,
            Some(response) => response.min(now),
            None => 0,
        };
        (listed_start != 0).then(|| listed_start.clamp(earliest, now))
    }
}

/// Fraction of its capacity that a worker has, by the slowest warm-up that the rules allow.
pub(crate) fn warm_up_fraction(started_at: Option<Micros>, now: Micros, rules: &Rules) -> f64 {
    let Some(started_at) = started_at.filter(|_| rules.slow_start_time > 0) else { return 1.0 };
    let age = now.saturating_sub(started_at) as f64 / rules.slow_start_time as f64;
    (rules.slow_start_floor + (1.0 - rules.slow_start_floor) * age).min(1.0)
}

/// Fraction of its slots that a worker may have in use at this warm-up fraction.
pub(crate) fn usable_slot_fraction(warm_up_fraction: f64) -> f64 {
    (INITIAL_SLOT_FRACTION + warm_up_fraction).min(1.0)
}

/// A leaky bucket of admitted work: what was sent to a worker, less what it can have done by now.
///
/// `overload_rate` is the rate of work, in microseconds of work a microsecond, beyond which the worker fails.
#[derive(Default)]
pub(crate) struct AdmissionBudget {
    /// Work in the bucket when it was last charged, microseconds.
    level: f64,
    charged_at: Micros,
}

impl AdmissionBudget {
    /// Work that was admitted and is not yet done, microseconds.
    fn level(&self, now: Micros, overload_rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.charged_at) as f64;
        (self.level - overload_rate * SUSTAINED_OVERLOAD_FRACTION * elapsed).max(0.0)
    }

    /// How much more work the worker may be sent, microseconds; below 0 if it was sent too much.
    pub(crate) fn remaining(&self, now: Micros, overload_rate: f64, overload_time: Micros) -> f64 {
        let capacity =
            overload_rate * (PEAK_OVERLOAD_FRACTION - SUSTAINED_OVERLOAD_FRACTION) * overload_time as f64;
        capacity - self.level(now, overload_rate)
    }

    /// Work was sent to the worker.
    pub(crate) fn charge(&mut self, now: Micros, overload_rate: f64, work: Micros) {
        self.level = self.level(now, overload_rate) + work as f64;
        self.charged_at = now;
    }
}

#[cfg(test)]
mod tests;
