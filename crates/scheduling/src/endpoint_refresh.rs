//! Refresh of the endpoint list: decides when the scheduler polls discovery, waits longer after failed polls,
//! and keeps track of whether discovery has confirmed a restored endpoint list.

use crate::actions::Action;
use crate::events::{Endpoint, EndpointUpdate, ListAge};
use crate::ids::Micros;
use crate::scheduler::Scheduler;
use crate::settings::EndpointDelivery;
use crate::timer::Timer;

/// How long jobs wait for discovery to confirm a restored endpoint list, in microseconds. A restored list may
/// contain workers that were removed, so the scheduler sends no job until discovery responds or this time has
/// passed.
pub const LIST_CONFIRMATION_TIMEOUT: Micros = 5_000_000;
/// Mean interval between the starts of two polls of discovery after the first failure, in microseconds. Each
/// repeated failure doubles the interval.
const BASE_POLL_INTERVAL: Micros = 100_000;
/// Maximum mean interval between polls of discovery that the doubling reaches, in microseconds.
const MAX_DOUBLED_POLL_INTERVAL: Micros = 1_000_000;
/// Maximum number of times the interval between polls of discovery is doubled. The maximum keeps the bit
/// shift from overflowing.
const MAX_INTERVAL_DOUBLINGS: u32 = 8;
/// Maximum mean pause that must follow the failure of a poll of discovery, in microseconds. A poll that took
/// long to fail has already used up its interval, so only this pause delays the next poll.
const MAX_PAUSE_AFTER_FAILURE: Micros = 500_000;
/// Time for each peer over which the schedulers spread their polls of discovery, in microseconds. The polls
/// are spread because all schedulers poll the same discovery service.
const SPREAD_PER_PEER: Micros = 30_000;
/// Maximum time over which the schedulers spread their first polls of discovery, in microseconds.
const MAX_FIRST_SPREAD: Micros = 2_000_000;
/// Maximum time over which the schedulers spread their polls of discovery after failures, in microseconds;
/// also the maximum mean interval between two polls of one scheduler.
const MAX_REPEATED_SPREAD: Micros = 2_000_000;
/// Maximum number of times that failures double the time over which polls of discovery are spread.
const MAX_SPREAD_DOUBLINGS: u32 = 2;

/// The polls of discovery since its last response, and whether discovery has confirmed the endpoint list.
#[derive(Default)]
pub(crate) struct EndpointRefresh {
    /// Number of polls of discovery scheduled since the latest update that [`EndpointRefresh::record_update`]
    /// counts as a response.
    polls_since_response: u32,
    /// Time for which the most recent poll of discovery was scheduled, in microseconds of the scheduler's
    /// clock. The time may lie in the future.
    last_poll: Micros,
    /// Time until which jobs wait for discovery to confirm a restored endpoint list; 0 if the list is
    /// confirmed.
    unconfirmed_until: Micros,
    list_age: ListAge,
}

impl EndpointRefresh {
    /// Records an update of the endpoint list. A failed poll of discovery, a part of a response or a
    /// renumbered list changes nothing. Any other update counts as a response: the update resets the number
    /// of polls, and confirms the endpoint list unless the update is a restored list.
    pub(crate) fn record_update(&mut self, now: Micros, update: EndpointUpdate) {
        if matches!(update, EndpointUpdate::Failed | EndpointUpdate::Partial | EndpointUpdate::Renumbered) {
            return;
        }
        let is_restored = update == EndpointUpdate::Restored;
        let unconfirmed_until = if is_restored { now + LIST_CONFIRMATION_TIMEOUT } else { 0 };
        *self = EndpointRefresh { unconfirmed_until, list_age: self.list_age, ..EndpointRefresh::default() };
    }

    /// Whether jobs have to wait, because the endpoint list was restored and discovery has not confirmed the
    /// list yet, or because the list is outdated.
    pub(crate) fn is_unconfirmed(&self, now: Micros) -> bool {
        now < self.unconfirmed_until || self.list_age == ListAge::Outdated
    }

    /// Schedules the next poll of discovery after an update of the endpoint list, and returns the time of the
    /// poll. `random` is a random fraction in `[0, 1)`.
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
            self.next_poll_time(now, spread, random)
        };
        self.polls_since_response += 1;
        self.last_poll = at;
        at
    }

    fn next_poll_time(&self, now: Micros, spread: Micros, random: f64) -> Micros {
        let jittered = |pause: Micros| (pause as f64 * (0.5 + random)) as Micros;
        // The first failure after a response of discovery is taken as a broken watch of this scheduler alone.
        // If the next poll fails too, all schedulers are assumed to be affected, and the schedulers spread
        // their polls.
        let repeated_failures = self.polls_since_response.saturating_sub(1).min(MAX_INTERVAL_DOUBLINGS);
        let spread = if self.polls_since_response == 0 {
            0
        } else {
            (spread << repeated_failures.min(MAX_SPREAD_DOUBLINGS)).min(MAX_REPEATED_SPREAD)
        };
        let interval = (BASE_POLL_INTERVAL << repeated_failures).min(MAX_DOUBLED_POLL_INTERVAL).max(spread);
        // The interval is measured between the starts of two polls, because a poll that took long to fail has
        // already used up the interval.
        let after_last_poll = self.last_poll + jittered(interval);
        let after_failure = now + jittered(interval.min(MAX_PAUSE_AFTER_FAILURE));
        after_last_poll.max(after_failure)
    }
}

impl Scheduler {
    /// Applies an update of the endpoint list, schedules the next poll of discovery if the update needs one,
    /// and places the queued requests.
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
        self.place_queued(now, actions);
    }

    /// Records whether the endpoint list may be used, and places the queued requests if it may.
    pub(crate) fn on_list_age(&mut self, now: Micros, age: ListAge, actions: &mut Vec<Action>) {
        self.endpoint_refresh.list_age = age;
        if age == ListAge::Current {
            self.place_queued(now, actions);
        }
    }

    fn place_queued(&mut self, now: Micros, actions: &mut Vec<Action>) {
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
