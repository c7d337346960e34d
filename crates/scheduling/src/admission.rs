//! Admission: whether a worker has capacity for a job, by what is known of its load, and whether a job may
//! join its queue.

use crate::coordination;
use crate::fleet::Fleet;
use crate::ids::Micros;
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::slow_start::usable_slot_fraction;
use crate::worker::Worker;

/// Slots in flight for each slot of a worker up to which a job joins its queue.
const MAX_QUEUE_FACTOR: f64 = 2.0;
/// Where a worker's load is unknown: multiple of its fair share of all own slots in flight that it may have.
const MAX_FAIR_SHARE_FACTOR: f64 = 1.25;
/// Weight of one job's start in the learned slots of a unit of weight.
const SLOTS_LEARNING_RATE: f64 = 0.05;
/// Slots of a unit of weight before any start was observed.
const INITIAL_SLOTS_PER_UNIT: f64 = 1.0;

/// Slots that one unit of weight has, learned from how soon own jobs start.
pub(crate) struct SlotsPerUnit(f64);

impl Default for SlotsPerUnit {
    fn default() -> SlotsPerUnit {
        SlotsPerUnit(INITIAL_SLOTS_PER_UNIT)
    }
}

impl SlotsPerUnit {
    pub(crate) fn get(&self) -> f64 {
        self.0
    }

    /// A job has started that was sent at this occupancy for each unit of weight. One that started promptly
    /// above the estimate, or waited below it, corrects the estimate.
    pub(crate) fn record_start(&mut self, occupancy_at_send: f64, started_promptly: bool) {
        if started_promptly == (occupancy_at_send > self.0) {
            self.0 += SLOTS_LEARNING_RATE * (occupancy_at_send - self.0);
        }
    }
}

/// What a worker is to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Preference {
    /// The worker that its key belongs to.
    Home,
    /// A worker that takes what its home has no capacity for.
    Alternative,
}

/// A view of the scheduler's state that admission decides by.
pub(crate) struct Admission<'a> {
    pub(crate) now: Micros,
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a Fleet,
    /// Slots that one unit of weight has.
    pub(crate) slots_per_unit: f64,
    /// This scheduler's part of the work that a worker bears while it warms up.
    pub(crate) budget_share: f64,
}

impl Admission<'_> {
    fn warm_up_fraction(&self, worker: &Worker) -> f64 {
        worker.warm_up_fraction(self.now, &self.settings.rules)
    }

    /// The rate of work, for this scheduler's part, beyond which a worker fails while it warms up.
    pub(crate) fn overload_rate(&self, index: usize) -> f64 {
        let worker = &self.fleet[index];
        self.budget_share
            * self.slots_per_unit
            * worker.weight
            * self.warm_up_fraction(worker)
            * self.settings.rules.overload_factor
    }

    /// How much more work a worker may be sent while it warms up, microseconds.
    pub(crate) fn remaining_work(&self, index: usize) -> f64 {
        let overload_time = self.settings.rules.overload_time;
        self.fleet[index].admitted_work.remaining(self.now, self.overload_rate(index), overload_time)
    }

    /// Whether a worker may be sent these slots now.
    pub(crate) fn has_capacity(&self, index: usize, slots: f64, preference: Preference) -> bool {
        let worker = &self.fleet[index];
        self.is_within_slow_start(index, preference)
            && self.is_within_fair_share(index, slots)
            && !self.is_busy(worker, slots)
    }

    /// Whether a worker may be sent anything, as far as it warms up: it must be known to have capacity,
    /// unless it is the request's home, and some of its admission budget must be left.
    fn is_within_slow_start(&self, index: usize, preference: Preference) -> bool {
        let worker = &self.fleet[index];
        if self.warm_up_fraction(worker) >= 1.0 {
            return true;
        }
        let load_is_known = preference == Preference::Home || worker.occupancy(self.now).is_some();
        // Where schedulers coordinate, the coordinator has checked the budget.
        load_is_known && (coordination::is_enabled(self.settings) || self.remaining_work(index) >= 0.0)
    }

    fn is_within_fair_share(&self, index: usize, slots: f64) -> bool {
        let in_flight = self.fleet[index].own_slots();
        self.fair_share(index).is_none_or(|share| in_flight + slots <= share.max(slots))
    }

    fn is_busy(&self, worker: &Worker, slots: f64) -> bool {
        let waits = self.settings.reports_start && worker.has_delayed_start(self.now);
        let usable_slots = self.slots_per_unit * usable_slot_fraction(self.warm_up_fraction(worker));
        waits || worker.is_busy(self.now, slots, usable_slots)
    }

    /// Own slots in flight at which a worker is busy where its load is unknown: its share of all of them, by
    /// what the workers can do now. `None` where its load is known.
    pub(crate) fn fair_share(&self, index: usize) -> Option<f64> {
        let worker = &self.fleet[index];
        if self.settings.reports_start || worker.occupancy(self.now).is_some() {
            return None;
        }
        let capacity = |worker: &Worker| worker.weight * self.warm_up_fraction(worker);
        // The job that is to be placed counts as one slot.
        let (mut total_slots, mut total_capacity) = (1.0, 0.0);
        for ready in self.fleet.ready() {
            total_slots += ready.own_slots();
            total_capacity += capacity(ready);
        }
        Some(MAX_FAIR_SHARE_FACTOR * total_slots * capacity(worker) / total_capacity)
    }

    /// The least loaded worker whose queue may be joined. A worker that warms up has no queue: it would grow,
    /// and overload the worker.
    pub(crate) fn least_loaded(&self, candidates: &[usize], slots: f64) -> Option<usize> {
        let load = |index: &usize| self.fleet[*index].load(self.now);
        let choices = candidates.iter().copied().filter(|index| self.may_join_queue(*index, slots));
        choices.min_by(|one, other| load(one).total_cmp(&load(other)))
    }

    fn may_join_queue(&self, index: usize, slots: f64) -> bool {
        let worker = &self.fleet[index];
        let max_occupancy = MAX_QUEUE_FACTOR * self.slots_per_unit * worker.weight;
        let is_short = worker.occupancy(self.now).is_none_or(|occupancy| occupancy + slots <= max_occupancy);
        !worker.concurrency_limit.is_rejecting(self.now)
            && !worker.is_warming_up(self.now, &self.settings.rules)
            && is_short
    }
}

impl Scheduler {
    pub(crate) fn admission(&self, now: Micros) -> Admission<'_> {
        Admission {
            now,
            settings: &self.settings,
            fleet: &self.fleet,
            slots_per_unit: self.slots_per_unit.get(),
            budget_share: self.coordinators.budget_share(&self.settings),
        }
    }
}

#[cfg(test)]
mod tests;
