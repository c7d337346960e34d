//! When a worker's process started, and how warm it is by now.
//!
//! A list tells a start by another machine's wall clock, which may have been stepped, forward or back.
//! This process's own clock is monotonic, so that the start is bounded by what was observed here: a
//! list that is the first to name a start was answered after it, and the answer before that did not
//! know of it. What is told binds within these bounds alone. A process that has had no answer yet has
//! nothing but the wall clock to go by: a worker that was restarted before, by a clock that differs
//! from this machine's at its own start, is taken for older or younger by that difference, for as long
//! as it warms up.

use crate::interface::{Micros, Rules};

/// News of a start may come so much later than the list before it was answered, microseconds.
const NEWS_LAG: Micros = 6_000_000;

/// What bounds the starts that lists tell of.
#[derive(Default)]
pub(crate) struct StartBounds {
    /// When discovery's latest answer came; `None`: none has come.
    last_answer: Option<Micros>,
}

impl StartBounds {
    /// Discovery has answered, or a process that serves handed its list over.
    pub(crate) fn answered(&mut self, now: Micros) {
        self.last_answer = Some(now);
    }

    /// When a process started that this list is the first to name, by this process's clock; `None`: long ago.
    pub(crate) fn start_of(&self, now: Micros, told: Micros) -> Option<Micros> {
        let earliest = match self.last_answer {
            // Discovery would have told of it before: the clock that it was read from has been stepped back.
            Some(answer) if told.saturating_add(NEWS_LAG) < answer => now,
            Some(answer) => answer.min(now),
            None => 0,
        };
        (told != 0).then(|| told.clamp(earliest, now))
    }
}

/// Share of its capacity that a worker has, by the slowest warming the rules allow.
pub(crate) fn warm_up_fraction(began: Option<Micros>, now: Micros, rules: &Rules) -> f64 {
    let Some(began) = began.filter(|_| rules.slow_start_time > 0) else { return 1.0 };
    let age = now.saturating_sub(began) as f64 / rules.slow_start_time as f64;
    (rules.slow_start_floor + (1.0 - rules.slow_start_floor) * age).min(1.0)
}
