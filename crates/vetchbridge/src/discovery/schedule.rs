//! The schedule of calls to the discovery service, and their time limits.
//!
//! This module makes no call and reads no clock; callers pass the time in. The scheduler decides how long to
//! pause after failed calls: its endpoint refresh subscribes again after its backoff.

use std::time::Duration;
use tokio::time::Instant;
use vetchbridge_scheduling::EndpointDelivery;

/// Maximum time that the service holds a watch call until the list changes. A dead connection is detected
/// only after this time.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(2000);
/// Maximum time by which a wait is shortened. One change makes the service answer the watches of all
/// schedulers together; different waits keep the next calls of these schedulers from ending together.
const WATCH_WAIT_SPREAD: Duration = Duration::from_millis(800);
/// Maximum time that the response to a watch call may take beyond its wait (docs/design/endpoint-refresh.md).
const WATCH_RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Maximum time for the response to a call that does not wait for a change. This limit is longer than the
/// time for which the service queues a call: a call that is abandoned sooner may still cost the service the
/// work.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time after which a call is hedged if the call before was unanswered: this call may have been lost as well.
const HEDGE_DELAY: Duration = Duration::from_millis(1100);
/// Number of schedulers up to which a tier hedges its calls. The service serves one call after another; when
/// the service is overloaded, the hedged calls of many schedulers would delay all of their calls.
const MAX_HEDGING_SCHEDULERS: u32 = 11;
/// Pause before a watch on a service that pushes lists is reopened. The pause is short because such a service
/// serves this scheduler alone.
const PUSH_REOPEN_DELAY: Duration = Duration::from_millis(100);
/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly over the unit
/// interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// How the latest call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallOutcome {
    /// The service returned a document.
    Answered,
    /// The call failed with an error, such as a refusal: the service or its host reacted.
    Failed,
    /// The call timed out without a response: the call may never have reached the service.
    Unanswered,
}

/// The time limits of one watch call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WatchTimes {
    /// How long the service may hold the call until the list changes; zero requests an immediate response.
    pub(super) wait: Duration,
    /// Maximum time until the response begins.
    pub(super) timeout: Duration,
}

/// The schedule of one scheduler's calls to the discovery service.
#[derive(Debug)]
pub(super) struct DiscoverySchedule {
    last_outcome: CallOutcome,
    /// Number of calls so far that had a nonzero wait.
    waiting_calls: u32,
    /// Earliest time at which the watcher may reopen a watch that has ended.
    reopen_at: Instant,
    /// Whether the watcher itself reopens a watch that has ended. Otherwise the scheduler reopens the watch
    /// by subscribing.
    reopens_by_itself: bool,
}

impl DiscoverySchedule {
    /// Creates a schedule whose first watch may be opened at once.
    pub(super) fn new(now: Instant) -> DiscoverySchedule {
        DiscoverySchedule {
            last_outcome: CallOutcome::Answered,
            waiting_calls: 0,
            reopen_at: now,
            reopens_by_itself: false,
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

    /// Decides whether the watcher is to reopen the watch, given whether a watch is open and how lists are
    /// delivered now.
    ///
    /// If lists are pushed, the scheduler never subscribes, and the watcher opens a watch whenever none is
    /// open. The watcher also reopens a watch that ended while lists were pushed if lists are polled since:
    /// with pushed lists the scheduler does not react to the end of a watch.
    pub(super) fn update_reopening(&mut self, watch_is_open: bool, delivery: EndpointDelivery) {
        self.reopens_by_itself =
            !watch_is_open && (self.reopens_by_itself || delivery == EndpointDelivery::Push);
    }

    /// Returns when the watcher is to open a watch; `None` while a watch is open or the scheduler is to
    /// subscribe.
    pub(super) fn reopen_at(&self) -> Option<Instant> {
        self.reopens_by_itself.then_some(self.reopen_at)
    }

    /// Returns the time limits of the next watch call.
    ///
    /// Before the first answer (`confirmed` is false) and after a failed call, the call requests an immediate
    /// response, which shows soonest that the service is reachable.
    pub(super) fn next_watch_times(&mut self, scheduler_index: u32, confirmed: bool) -> WatchTimes {
        if self.last_outcome != CallOutcome::Answered || !confirmed {
            return WatchTimes { wait: Duration::ZERO, timeout: RESPONSE_TIMEOUT };
        }
        let wait = MAX_WATCH_WAIT - WATCH_WAIT_SPREAD.mul_f64(self.next_phase(scheduler_index));
        WatchTimes { wait, timeout: wait + WATCH_RESPONSE_MARGIN }
    }

    /// Returns when a call that is made now is to be hedged; `None` if the call is not hedged.
    pub(super) fn hedge_at(&self, now: Instant, scheduler_count: u32) -> Option<Instant> {
        let is_hedged =
            self.last_outcome == CallOutcome::Unanswered && scheduler_count <= MAX_HEDGING_SCHEDULERS;
        is_hedged.then(|| now + HEDGE_DELAY)
    }

    /// Returns a fraction below 1 that differs by scheduler and by call. The fractions are spread evenly over
    /// all schedulers and calls.
    fn next_phase(&mut self, scheduler_index: u32) -> f64 {
        self.waiting_calls += 1;
        ((scheduler_index + self.waiting_calls) as f64 * GOLDEN_RATIO_FRACTION).fract()
    }
}

#[cfg(test)]
mod tests;
