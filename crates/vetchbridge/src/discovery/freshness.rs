//! Decides how long the endpoint list may be used while discovery answers slowly.
//!
//! A scheduler counts as notified of a change some seconds after discovery has it and can be reached, even if
//! the answer with the change has not arrived completely. While discovery writes answers slowly, it can be
//! reached, so the list expires. While it does not answer at all, the list does not expire.
//!
//! This module performs no I/O and reads no clock; callers pass the current time in.

use std::time::Duration;
use tokio::time::Instant;

/// How old the latest complete answer of discovery may be while discovery answers slowly. From then on the
/// scheduler counts as notified of any change since that answer.
pub(super) const MAX_NEWS_AGE: Duration = Duration::from_secs(6);

/// How fast discovery writes its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Pace {
    /// An answer arrives completely within the time limit of its body.
    Normal,
    /// An answer takes longer than that.
    Slow,
}

/// How old the endpoint list is, and how fast discovery answers.
#[derive(Debug)]
pub(super) struct ListFreshness {
    /// When discovery began the latest answer that arrived completely; before the first answer, when the list
    /// came into use.
    news_at: Instant,
    pace: Pace,
}

impl ListFreshness {
    /// Creates the freshness of a list that comes into use at `now`.
    pub(super) fn new(now: Instant) -> ListFreshness {
        ListFreshness { news_at: now, pace: Pace::Normal }
    }

    /// Records an answer that has arrived completely and that discovery began at `answered_at`. Answers may
    /// arrive in another order than discovery began them.
    pub(super) fn record_answer(&mut self, answered_at: Instant, pace: Pace) {
        if answered_at >= self.news_at {
            self.news_at = answered_at;
            self.pace = pace;
        }
    }

    /// Records that an answer takes longer than the time limit of its body.
    pub(super) fn record_slow_answer(&mut self) {
        self.pace = Pace::Slow;
    }

    /// Records that a call got no answer and that no other answer is arriving.
    pub(super) fn record_unreachable(&mut self) {
        self.pace = Pace::Normal;
    }

    /// Returns when the list expires; `None` if it does not expire.
    pub(super) fn expires_at(&self) -> Option<Instant> {
        (self.pace == Pace::Slow).then(|| self.news_at + MAX_NEWS_AGE)
    }
}

#[cfg(test)]
mod tests;
