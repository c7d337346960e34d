//! Refresh of the endpoint list: when discovery is polled, backoff after failures, and the confirmation of a
//! restored list.

use crate::actions::Action;
use crate::events::{Endpoint, EndpointUpdate};
use crate::ids::Micros;
use crate::scheduler::Scheduler;
use crate::settings::EndpointDelivery;
use crate::timer::Timer;

/// A restored list may name workers that were removed: nothing is sent until discovery answers, or for so
/// long at most, microseconds.
pub const CONFIRM_WITHIN: Micros = 5_000_000;
/// First pause before discovery is polled again, microseconds; each further failure doubles it.
const BASE_BACKOFF: Micros = 100_000;
/// The longest such pause, microseconds.
const MAX_BACKOFF: Micros = 1_000_000;
/// The pause is doubled at most so often.
const MAX_DOUBLINGS: u32 = 8;
/// Mean pause after a poll that took long to fail, microseconds.
const PAUSE_AFTER_SLOW_FAILURE: Micros = 500_000;
/// All schedulers share one discovery: their polls are spread over this for each other scheduler,
/// microseconds.
const SPREAD_PER_PEER: Micros = 30_000;
/// The longest time over which first polls are spread, microseconds.
const MAX_FIRST_SPREAD: Micros = 2_000_000;
/// The longest mean time between the polls of one scheduler after failures, microseconds.
const MAX_REPEATED_SPREAD: Micros = 2_000_000;
/// The spread is doubled at most so often.
const MAX_SPREAD_DOUBLINGS: u32 = 2;

/// Polls of the endpoint list: the failures since the last response, and whether the list is confirmed.
#[derive(Default)]
pub(crate) struct EndpointRefresh {
    failed_polls: u32,
    last_poll: Micros,
    unconfirmed_until: Micros,
}

impl EndpointRefresh {
    /// Takes note of an update of the list.
    pub(crate) fn record_update(&mut self, now: Micros, update: EndpointUpdate) {
        if matches!(update, EndpointUpdate::Failed | EndpointUpdate::Renumbered) {
            return;
        }
        let is_restored = update == EndpointUpdate::Restored;
        let unconfirmed_until = if is_restored { now + CONFIRM_WITHIN } else { 0 };
        *self = EndpointRefresh { unconfirmed_until, ..EndpointRefresh::default() };
    }

    /// Whether jobs are to wait, as the list is restored and not yet confirmed.
    pub(crate) fn is_unconfirmed(&self, now: Micros) -> bool {
        now < self.unconfirmed_until
    }

    /// Plans the next poll and returns its time. `random` is a fraction in `[0, 1)`.
    pub(crate) fn schedule_poll(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        scheduler_count: u32,
        random: f64,
    ) -> Micros {
        let spread = (SPREAD_PER_PEER * u64::from(scheduler_count - 1)).min(MAX_FIRST_SPREAD);
        let at = if update == EndpointUpdate::Restored {
            now + (spread as f64 * random) as Micros
        } else {
            self.next_poll(now, spread, random)
        };
        self.failed_polls += 1;
        self.last_poll = at;
        at
    }

    fn next_poll(&self, now: Micros, spread: Micros, random: f64) -> Micros {
        let jittered = |pause: Micros| (pause as f64 * (0.5 + random)) as Micros;
        // A watch that breaks after a response broke alone, until the poll for the next one fails too.
        let repeated_failures = self.failed_polls.saturating_sub(1).min(MAX_DOUBLINGS);
        let spread = if self.failed_polls == 0 {
            0
        } else {
            (spread << repeated_failures.min(MAX_SPREAD_DOUBLINGS)).min(MAX_REPEATED_SPREAD)
        };
        let interval = (BASE_BACKOFF << repeated_failures).min(MAX_BACKOFF).max(spread);
        // The interval counts from poll to poll, as a poll that took long to fail has used it up.
        let after_last_poll = self.last_poll + jittered(interval);
        let after_failure = now + jittered(interval.min(PAUSE_AFTER_SLOW_FAILURE));
        after_last_poll.max(after_failure)
    }
}

impl Scheduler {
    /// Applies an update of the endpoint list and places the queued requests by it.
    pub(crate) fn on_endpoints(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        self.endpoint_refresh.record_update(now, update);
        self.fleet.update(now, update, endpoints, self.settings.weights);
        if self.settings.endpoint_delivery == EndpointDelivery::Poll && update.needs_poll() {
            self.schedule_poll(now, update, actions);
        }
        for id in self.requests.queued_ids() {
            self.place(now, id, actions);
        }
    }

    fn schedule_poll(&mut self, now: Micros, update: EndpointUpdate, actions: &mut Vec<Action>) {
        let random = self.random.next_fraction();
        let scheduler_count = self.settings.scheduler_count;
        let at = self.endpoint_refresh.schedule_poll(now, update, scheduler_count, random);
        actions.push(if at == now {
            Action::Subscribe(true)
        } else {
            Action::SetTimer { at, token: Timer::EndpointPoll.token() }
        });
    }

    pub(crate) fn on_endpoint_poll_timer(&self, actions: &mut Vec<Action>) {
        if self.settings.endpoint_delivery == EndpointDelivery::Poll {
            actions.push(Action::Subscribe(true));
        }
    }
}

#[cfg(test)]
mod tests;
