//! The scheduler's timers that have not fired.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use vetchbridge_scheduling::{Micros, TimerToken};

/// One timer. The order of the fields is the order in which timers fire.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PendingTimer {
    at: Micros,
    token: TimerToken,
}

/// Timers by the time at which they fire, then by token.
#[derive(Default)]
pub(super) struct TimerQueue(BinaryHeap<Reverse<PendingTimer>>);

impl TimerQueue {
    /// Adds a timer. Whether it is now the first to fire.
    pub(super) fn add(&mut self, at: Micros, token: TimerToken) -> bool {
        let is_first = self.next_at().is_none_or(|first| at < first);
        self.0.push(Reverse(PendingTimer { at, token }));
        is_first
    }

    /// When the first timer fires.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse(timer)| timer.at)
    }

    /// Takes the first timer.
    pub(super) fn pop(&mut self) -> Option<TimerToken> {
        self.0.pop().map(|Reverse(timer)| timer.token)
    }
}
