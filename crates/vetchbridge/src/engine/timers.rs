//! The scheduler's pending timers, which are the timers that have not fired yet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use vetchbridge_scheduling::{Micros, TimerToken};

/// One timer that has not fired yet. The order of the fields determines the order of timers: by time first,
/// then by token.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PendingTimer {
    at: Micros,
    token: TimerToken,
}

/// The pending timers, ordered by the time at which they fire, then by token.
#[derive(Default)]
pub(super) struct TimerQueue(BinaryHeap<Reverse<PendingTimer>>);

impl TimerQueue {
    /// Adds a timer that fires at `at`, in microseconds of the scheduler's clock. Returns whether the timer
    /// fires before all other pending timers.
    pub(super) fn add(&mut self, at: Micros, token: TimerToken) -> bool {
        let is_first = self.next_at().is_none_or(|first| at < first);
        self.0.push(Reverse(PendingTimer { at, token }));
        is_first
    }

    /// Returns the time at which the earliest pending timer fires, in microseconds of the scheduler's clock;
    /// `None` if no timer is pending.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse(timer)| timer.at)
    }

    /// Removes the earliest pending timer and returns the timer's token.
    pub(super) fn pop(&mut self) -> Option<TimerToken> {
        self.0.pop().map(|Reverse(timer)| timer.token)
    }
}
