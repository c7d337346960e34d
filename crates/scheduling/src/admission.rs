//! Admission: decides from what the scheduler knows about a worker's load whether the worker has capacity for
//! a job, and whether a job may join the worker's queue.

use crate::coordination;
use crate::fleet::Fleet;
use crate::ids::Micros;
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::slow_start::usable_slot_fraction;
use crate::worker::Worker;

/// A job may join a worker's queue if the slots in flight at the worker, including the job's slots, are at
/// most this multiple of the worker's estimated number of slots.
const MAX_QUEUE_FACTOR: f64 = 2.0;
/// Limit on the slots that this scheduler has in flight at a worker whose load is unknown, as a multiple of
/// the worker's fair share of the slots that this scheduler has in flight at all workers.
const MAX_FAIR_SHARE_FACTOR: f64 = 1.25;
/// Fraction of the difference between a job's `occupancy_at_send` and the estimated slots per unit of weight
/// that is added to the estimate when the job's start corrects the estimate.
const SLOTS_LEARNING_RATE: f64 = 0.05;
/// Assumed number of slots per unit of worker weight before the scheduler observes the first job start.
const INITIAL_SLOTS_PER_WEIGHT: f64 = 1.0;

/// Estimated number of slots per unit of worker weight, learned from how soon this scheduler's jobs start
/// after they are sent.
pub(crate) struct SlotsPerWeight(f64);

impl Default for SlotsPerWeight {
    fn default() -> SlotsPerWeight {
        SlotsPerWeight(INITIAL_SLOTS_PER_WEIGHT)
    }
}

impl SlotsPerWeight {
    pub(crate) fn get(&self) -> f64 {
        self.0
    }

    /// Records that a worker has started a job; `occupancy_at_send` is the worker's occupancy per unit of
    /// weight when the job was sent. Corrects the estimate if the job started promptly although the occupancy
    /// was above the estimate, or if the job waited although the occupancy was not above the estimate.
    pub(crate) fn record_start(&mut self, occupancy_at_send: f64, started_promptly: bool) {
        if started_promptly == (occupancy_at_send > self.0) {
            self.0 += SLOTS_LEARNING_RATE * (occupancy_at_send - self.0);
        }
    }
}

/// The role of a candidate worker for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CandidateRole {
    /// The worker that the request's key belongs to.
    Home,
    /// A worker that may take the request if the home has no capacity.
    Alternative,
}

/// A view of the parts of the scheduler's state that decide whether a worker may get a job.
pub(crate) struct Admission<'a> {
    pub(crate) now: Micros,
    pub(crate) settings: &'a Settings,
    pub(crate) fleet: &'a Fleet,
    /// Estimated number of slots per unit of worker weight.
    pub(crate) slots_per_weight: f64,
    /// Fraction of a warming worker's work budget that this scheduler may spend.
    pub(crate) budget_share: f64,
}

impl Admission<'_> {
    fn warm_up_fraction(&self, worker: &Worker) -> f64 {
        worker.warm_up_fraction(self.now, &self.settings.rules)
    }

    /// Returns the rate of work beyond which a warming worker fails, multiplied by `budget_share`. The unit
    /// is microseconds of work per microsecond.
    pub(crate) fn overload_rate(&self, index: usize) -> f64 {
        let worker = &self.fleet[index];
        self.budget_share
            * self.slots_per_weight
            * worker.weight
            * self.warm_up_fraction(worker)
            * self.settings.rules.overload_factor
    }

    /// Returns how much of a warming worker's work budget this scheduler may still spend, in microseconds of
    /// work. The result is negative if too much work was sent.
    pub(crate) fn remaining_work(&self, index: usize) -> f64 {
        let overload_time = self.settings.rules.overload_time;
        self.fleet[index].work_budget.remaining(self.now, self.overload_rate(index), overload_time)
    }

    /// Whether this scheduler may send a job of `slots` slots to the worker at `index` at the time `now`.
    pub(crate) fn has_capacity(&self, index: usize, slots: f64, role: CandidateRole) -> bool {
        let worker = &self.fleet[index];
        self.slow_start_allows(index, role)
            && self.fair_share_allows(index, slots)
            && !self.is_busy(worker, slots)
    }

    /// Whether the rules of slow start allow a job at this worker. A warming worker takes a job only if the
    /// worker's load is known or the worker is the request's home, and only while the worker's work budget is
    /// not used up.
    fn slow_start_allows(&self, index: usize, role: CandidateRole) -> bool {
        let worker = &self.fleet[index];
        if self.warm_up_fraction(worker) >= 1.0 {
            return true;
        }
        let load_is_known = role == CandidateRole::Home || worker.occupancy(self.now).is_some();
        // If schedulers coordinate, the worker's coordinator has already checked the work budget.
        load_is_known && (coordination::is_enabled(self.settings) || self.remaining_work(index) >= 0.0)
    }

    fn fair_share_allows(&self, index: usize, slots: f64) -> bool {
        let in_flight = self.fleet[index].slots_from_this_scheduler();
        self.fair_share_limit(index).is_none_or(|limit| in_flight + slots <= limit.max(slots))
    }

    fn is_busy(&self, worker: &Worker, slots: f64) -> bool {
        let start_is_delayed = self.settings.reports_start && worker.has_delayed_start(self.now);
        let usable_slots_per_weight =
            self.slots_per_weight * usable_slot_fraction(self.warm_up_fraction(worker));
        start_is_delayed || worker.is_busy(self.now, slots, usable_slots_per_weight)
    }

    /// Returns the limit on the slots that this scheduler may have in flight at a worker whose load is
    /// unknown: [`MAX_FAIR_SHARE_FACTOR`] times the worker's share, by current capacity, of the slots that
    /// this scheduler has in flight at all ready workers. Returns `None` if the worker's load is known or if
    /// workers report job starts.
    pub(crate) fn fair_share_limit(&self, index: usize) -> Option<f64> {
        let worker = &self.fleet[index];
        if self.settings.reports_start || worker.occupancy(self.now).is_some() {
            return None;
        }
        let capacity = |worker: &Worker| worker.weight * self.warm_up_fraction(worker);
        // The total number of slots starts at one, for the job that is being placed.
        let (mut total_slots, mut total_capacity) = (1.0, 0.0);
        for ready in self.fleet.ready() {
            total_slots += ready.slots_from_this_scheduler();
            total_capacity += capacity(ready);
        }
        Some(MAX_FAIR_SHARE_FACTOR * total_slots * capacity(worker) / total_capacity)
    }

    /// Returns the least loaded candidate whose queue a job of `slots` slots may join. A job never joins the
    /// queue of a warming worker, because the queue would grow and overload the worker.
    pub(crate) fn least_loaded(&self, candidates: &[usize], slots: f64) -> Option<usize> {
        let load = |index: &usize| self.fleet[*index].load(self.now);
        let eligible = candidates.iter().copied().filter(|index| self.may_join_queue(*index, slots));
        eligible.min_by(|a, b| load(a).total_cmp(&load(b)))
    }

    fn may_join_queue(&self, index: usize, slots: f64) -> bool {
        let worker = &self.fleet[index];
        let max_occupancy = MAX_QUEUE_FACTOR * self.slots_per_weight * worker.weight;
        let queue_is_short =
            worker.occupancy(self.now).is_none_or(|occupancy| occupancy + slots <= max_occupancy);
        !worker.concurrency_limit.is_rejecting(self.now)
            && !worker.is_warming_up(self.now, &self.settings.rules)
            && queue_is_short
    }
}

impl Scheduler {
    pub(crate) fn admission(&self, now: Micros) -> Admission<'_> {
        Admission {
            now,
            settings: &self.settings,
            fleet: &self.fleet,
            slots_per_weight: self.slots_per_weight.get(),
            budget_share: self.coordinators.budget_share(&self.settings),
        }
    }
}

#[cfg(test)]
mod tests;
