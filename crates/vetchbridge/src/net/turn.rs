//! Divides the runtime's one thread among the byte streams of the process.
//!
//! A stream whose input arrives at full speed is always readable. Its task would read on without end, and the
//! runtime looks at other sockets and at timers only between tasks. Each stream therefore has a budget of
//! bytes for one turn. Once the budget is used up, the stream lets its task wait until the runtime has looked
//! at all sockets and timers.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll};
use tokio::task::yield_now;

/// Number of bytes that a stream may read in one turn.
const TURN_BYTES: usize = 16 * 1024;

/// The current turn of one stream.
#[derive(Debug)]
pub(crate) struct Turn {
    remaining: usize,
}

impl Turn {
    /// Creates the first turn of a stream.
    pub(crate) fn new() -> Turn {
        Turn { remaining: TURN_BYTES }
    }

    /// Resolves to the number of bytes that may be read in the current turn, at least one. If the budget of the
    /// turn is used up, the task is woken for the next turn once the runtime has looked at its sockets and
    /// timers.
    pub(crate) fn poll_remaining(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        if self.remaining > 0 {
            return Poll::Ready(self.remaining);
        }
        self.end();
        wake_after_driver(cx);
        Poll::Pending
    }

    /// Uses up bytes of the turn's budget.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.remaining = self.remaining.saturating_sub(bytes);
    }

    /// Ends the turn, because the stream waits for input.
    pub(crate) fn end(&mut self) {
        self.remaining = TURN_BYTES;
    }
}

/// Wakes the current task once the runtime has looked at its sockets and timers. `yield_now` schedules that
/// wake-up when it is polled for the first time.
fn wake_after_driver(cx: &mut Context<'_>) {
    let _ = pin!(yield_now()).poll(cx);
}

#[cfg(test)]
mod tests;
