//! When the discovery service is called, and how long each call may take.
//!
//! Pure: the time is passed in, and no call is made. How long to pause after failed calls is the scheduler's decision: its
//! endpoint refresh subscribes again when its backoff has passed.

use std::time::Duration;
use tokio::time::Instant;
use vetchbridge_scheduling::EndpointDelivery;

/// The longest time that a watch waits at the service for a change. A silent connection is noticed only when this is
/// over.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2000);
/// How much shorter a watch may wait. One change answers the watches of all schedulers together; spread waits keep
/// them from ending together too.
const WATCH_WAIT_SPREAD: Duration = Duration::from_millis(800);
/// How long the response to a watch may take beyond its wait (docs/design/list-refresh.md).
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// How long the response to a call that does not wait for a change may take. Longer than the service lets a call wait
/// for its turn: a call that is abandoned sooner may cost the service its work all the same.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long a call that follows an unanswered one is out before it is hedged: it may have been lost as well.
const HEDGE_DELAY: Duration = Duration::from_millis(1100);
/// The largest tier in which calls are hedged. The service serves one call after another; where it is short of time,
/// the hedged calls of many schedulers would keep all of them waiting.
const MAX_HEDGING_SCHEDULERS: u32 = 11;
/// Pause before a watch on a service that pushes lists is opened again: such a service serves this scheduler alone.
const PUSH_REOPEN_DELAY: Duration = Duration::from_millis(100);
/// The golden ratio's fractional part: its multiples are spread evenly over the unit interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// How the latest call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// With a document.
    Answered,
    /// With an error, such as a refusal: the service or its host reacted.
    Failed,
    /// Nothing came back: the call may never have reached the service.
    Unanswered,
}

/// How long one call of a watch may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WatchTimes {
    /// How long the service may wait for a change; zero for an answer at once.
    pub(super) wait: Duration,
    /// How long the response may take to begin.
    pub(super) timeout: Duration,
}

/// The schedule of one scheduler's calls.
#[derive(Debug)]
pub(super) struct DiscoverySchedule {
    last_outcome: CallOutcome,
    /// Calls that waited for a change so far.
    waiting_calls: u32,
    /// When the watcher may reopen a watch that has ended.
    reopen_at: Instant,
    /// Whether the watcher reopens a watch that has ended, not the scheduler by a subscription.
    reopens: bool,
}

impl DiscoverySchedule {
    /// A schedule whose first watch may be opened at once.
    pub(super) fn new(now: Instant) -> DiscoverySchedule {
        DiscoverySchedule {
            last_outcome: CallOutcome::Answered,
            waiting_calls: 0,
            reopen_at: now,
            reopens: false,
        }
    }

    /// Records how a call ended.
    pub(super) fn record_outcome(&mut self, outcome: CallOutcome) {
        self.last_outcome = outcome;
    }

    /// Records that a watch ended.
    pub(super) fn record_watch_end(&mut self, now: Instant) {
        self.reopen_at = now + PUSH_REOPEN_DELAY;
    }

    /// Takes note of whether a watch is open, and how lists are delivered now.
    ///
    /// Where lists are pushed, the scheduler never subscribes, and the watcher opens a watch whenever there is none. It
    /// also reopens one that ended while lists were pushed, though they are polled since: the scheduler learned of
    /// its end at a time when it had nothing to subscribe to.
    pub(super) fn update_reopening(&mut self, watch_is_open: bool, delivery: EndpointDelivery) {
        self.reopens = !watch_is_open && (self.reopens || delivery == EndpointDelivery::Push);
    }

    /// When the watcher is to open a watch; `None` while one is open or the scheduler is to subscribe.
    pub(super) fn reopen_at(&self) -> Option<Instant> {
        self.reopens.then_some(self.reopen_at)
    }

    /// The times of the next call of a watch.
    ///
    /// Before the first answer (`confirmed` is false) and after a failed call it waits for no change: its answer is the
    /// soonest sign that the service is there.
    pub(super) fn next_watch_times(&mut self, scheduler_index: u32, confirmed: bool) -> WatchTimes {
        if self.last_outcome != CallOutcome::Answered || !confirmed {
            return WatchTimes { wait: Duration::ZERO, timeout: RESPONSE_TIMEOUT };
        }
        let wait = MAX_WATCH_WAIT - WATCH_WAIT_SPREAD.mul_f64(self.next_phase(scheduler_index));
        WatchTimes { wait, timeout: wait + WATCH_RESPONSE_MARGIN }
    }

    /// When a call that is made now is to be hedged; `None` for never.
    pub(super) fn hedge_at(&self, now: Instant, scheduler_count: u32) -> Option<Instant> {
        let hedges =
            self.last_outcome == CallOutcome::Unanswered && scheduler_count <= MAX_HEDGING_SCHEDULERS;
        hedges.then(|| now + HEDGE_DELAY)
    }

    /// A fraction below 1 that differs by scheduler and by call, evenly spread over all of them.
    fn next_phase(&mut self, scheduler_index: u32) -> f64 {
        self.waiting_calls += 1;
        ((scheduler_index + self.waiting_calls) as f64 * GOLDEN_RATIO_FRACTION).fract()
    }
}

#[cfg(test)]
mod tests;
