//! The schedule of calls to the discovery service, and their time limits.
//!
//! This module makes no call and reads no clock; callers pass the current time in. If endpoint lists are
//! polled, the decision module (the scheduling crate), not this module, decides how long the daemon pauses
//! after a failed call: the pause is the decision module's backoff, which grows with repeated failures, and
//! the decision module subscribes to the endpoint list again when the backoff has ended.

use std::time::Duration;
use tokio::time::Instant;
use vetchbridge_scheduling::EndpointDelivery;

/// Maximum time that the discovery service holds a watch call until the endpoint list changes. A dead
/// connection is detected only after this time.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Maximum time by which the wait of a watch call is shortened. When the list changes, the discovery service
/// responds to the watch calls of all schedulers together; different waits keep the next calls of these
/// schedulers from ending together.
const WATCH_WAIT_SPREAD: Duration = Duration::from_millis(800);
/// Maximum time that the discovery service's response to a watch call may take beyond the time for which the
/// service may hold the call (docs/design/endpoint-refresh.md).
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum time for the discovery service's response to a call that does not wait for a change of the
/// endpoint list. This limit is longer than the time for which the discovery service queues a call, because a
/// call that is abandoned sooner may still cost the service the work.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time after which a watch call is hedged by a second call. A call is hedged only if the call before it got
/// no response, because in that case the new call may have been lost as well.
const HEDGE_DELAY: Duration = Duration::from_millis(1100);
/// Maximum number of schedulers in a deployment whose schedulers hedge their calls. The discovery service
/// serves one call after another; when the service is overloaded, the hedged calls of many schedulers would
/// delay all of their calls.
const MAX_HEDGING_SCHEDULERS: u32 = 11;
/// Pause before a watch on a discovery service that pushes endpoint lists is reopened. The pause is short
/// because such a service serves this scheduler alone.
const PUSH_REOPEN_DELAY: Duration = Duration::from_millis(100);
/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly over the
/// interval from 0 to 1.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// How the most recent call to the discovery service ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// The discovery service returned a complete endpoint document.
    Succeeded,
    /// The call to the discovery service failed with an error, such as a refusal, which shows that the
    /// service or its host reacted.
    Failed,
    /// The call timed out without a response, and may never have reached the discovery service.
    NoResponse,
}

/// The time limits of one watch call to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WatchTimes {
    /// How long the discovery service may hold the call until the endpoint list changes; zero requests an
    /// immediate response.
    pub(super) wait: Duration,
    /// Maximum time from the start of the watch call until the discovery service's response begins.
    pub(super) timeout: Duration,
}

/// The schedule of one scheduler's calls to the discovery service.
#[derive(Debug)]
pub(super) struct DiscoverySchedule {
    last_outcome: CallOutcome,
    /// Number of watch calls so far that asked the discovery service to wait for a change.
    waiting_calls: u32,
    /// Earliest time at which the watcher may reopen a watch on the discovery service that has ended.
    reopen_at: Instant,
    /// Whether the watcher reopens an ended watch on the discovery service without a request from the
    /// decision module. Otherwise the decision module reopens the watch by subscribing.
    reopens_by_itself: bool,
}

impl DiscoverySchedule {
    /// Creates a schedule that allows the watcher to open the first watch at `now`.
    pub(super) fn new(now: Instant) -> DiscoverySchedule {
        DiscoverySchedule {
            last_outcome: CallOutcome::Succeeded,
            waiting_calls: 0,
            reopen_at: now,
            reopens_by_itself: false,
        }
    }

    /// Records how the most recent call to the discovery service ended.
    pub(super) fn record_outcome(&mut self, outcome: CallOutcome) {
        self.last_outcome = outcome;
    }

    /// Records that a watch on the discovery service ended at time `now`.
    pub(super) fn record_watch_end(&mut self, now: Instant) {
        self.reopen_at = now + PUSH_REOPEN_DELAY;
    }

    /// Decides whether the watcher is to reopen the watch. `watch_is_open` says whether a watch is open, and
    /// `delivery` how endpoint lists are currently delivered.
    ///
    /// If lists are pushed, the decision module never subscribes, and the watcher opens a watch whenever none
    /// is open. With pushed lists, the decision module does not react to the end of a watch either. The
    /// watcher therefore also reopens a watch that ended while lists were pushed, even if the delivery has
    /// changed to polling since.
    pub(super) fn update_reopening(&mut self, watch_is_open: bool, delivery: EndpointDelivery) {
        self.reopens_by_itself =
            !watch_is_open && (self.reopens_by_itself || delivery == EndpointDelivery::Push);
    }

    /// Returns when the watcher is to open a watch on the discovery service; `None` while a watch is open, or
    /// if the decision module opens the next watch by subscribing.
    pub(super) fn reopen_at(&self) -> Option<Instant> {
        self.reopens_by_itself.then_some(self.reopen_at)
    }

    /// Returns the time limits of the next watch call to the discovery service.
    ///
    /// Before the first response of the discovery service (`confirmed` is false) and after a failed call, the
    /// watch call requests an immediate response, which shows soonest that the service is reachable.
    pub(super) fn next_watch_times(&mut self, scheduler_index: u32, confirmed: bool) -> WatchTimes {
        if self.last_outcome != CallOutcome::Succeeded || !confirmed {
            return WatchTimes { wait: Duration::ZERO, timeout: RESPONSE_TIMEOUT };
        }
        let wait = MAX_WATCH_WAIT - WATCH_WAIT_SPREAD.mul_f64(self.next_phase(scheduler_index));
        WatchTimes { wait, timeout: wait + WATCH_RESPONSE_MARGIN }
    }

    /// Returns when a watch call to the discovery service that is made at `now` is to be hedged by a second
    /// call; `None` if the call is not hedged.
    pub(super) fn hedge_at(&self, now: Instant, scheduler_count: u32) -> Option<Instant> {
        let is_hedged =
            self.last_outcome == CallOutcome::NoResponse && scheduler_count <= MAX_HEDGING_SCHEDULERS;
        is_hedged.then(|| now + HEDGE_DELAY)
    }

    /// Returns a fraction from 0 to below 1 that differs by scheduler and by call. The fractions are spread
    /// evenly over all schedulers and calls.
    fn next_phase(&mut self, scheduler_index: u32) -> f64 {
        self.waiting_calls += 1;
        ((scheduler_index + self.waiting_calls) as f64 * GOLDEN_RATIO_FRACTION).fract()
    }
}

#[cfg(test)]
mod tests;
