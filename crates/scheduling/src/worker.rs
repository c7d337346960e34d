//! What a scheduler knows about one worker: the worker's entry in the endpoint list, its load and health, and
//! the scheduler's attempts at the worker.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::coordination::{PeerOccupancy, PendingQuery};
use crate::events::{Endpoint, EndpointState, Outcome};
use crate::ids::{AttemptNo, Micros, RequestId};
use crate::outlier::OutlierDetector;
use crate::settings::Rules;
use crate::slow_start::{self, WorkBudget};

/// Maximum time from sending a job to a worker with a free slot until the worker reports the job as started,
/// in microseconds.
pub(crate) const MAX_START_DELAY: Micros = 60_000;
/// Age from which an occupancy report of a worker's coordinator is too old to be used, in microseconds.
const MAX_REPORT_AGE: Micros = 1_000_000;
/// An occupancy report younger than this, in microseconds, is used without a new query to the worker's
/// coordinator. The value allows for the round trip of a message between schedulers and one tick.
const FRESH_REPORT_AGE: Micros = 20_000;
/// Smallest weight by which a worker's load is divided, so that the division is never by 0.
const MIN_WEIGHT: f64 = 1e-6;

/// Identifies one attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNo,
}

/// An attempt of this scheduler that is in flight at a worker.
pub(crate) struct InFlightAttempt {
    pub(crate) id: AttemptId,
    pub(crate) sent_at: Micros,
    pub(crate) slots: f64,
}

/// An attempt whose job the worker has reported as started.
pub(crate) struct StartedAttempt {
    pub(crate) id: AttemptId,
    pub(crate) started_at: Micros,
    pub(crate) last_progress_at: Micros,
    /// Fraction of the job that the worker had completed according to the last progress report of the worker.
    pub(crate) fraction_done: f64,
}

/// A worker's occupancy, as stated in the latest reply of the worker's coordinator.
pub(crate) struct OccupancyReport {
    /// Slots that all schedulers have in flight at the worker; `None` if the coordinator's endpoint list
    /// lacks the worker.
    pub(crate) slots: Option<f64>,
    /// When the query to which the coordinator replied was sent, in microseconds of this scheduler's clock.
    pub(crate) queried_at: Micros,
}

/// What this scheduler knows about a worker.
#[derive(Default)]
pub(crate) struct Worker {
    /// The worker's entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// When the worker's process started, in microseconds of this scheduler's clock; `None` if the process
    /// started long ago.
    pub(crate) started_at: Option<Micros>,
    /// Whether the endpoint list contains the worker as ready for new jobs.
    pub(crate) is_ready: bool,
    /// The worker's size relative to other workers, without a unit.
    pub(crate) weight: f64,
    /// Number of the worker's virtual points on the ring.
    pub(crate) points: u32,
    /// The latest occupancy report of the worker's coordinator; `None` before the first report.
    pub(crate) occupancy_report: Option<OccupancyReport>,
    /// The occupancy query that the worker's coordinator has not replied to yet.
    pub(crate) pending_query: Option<PendingQuery>,
    /// Requests that wait for the coordinator's reply to `pending_query`.
    pub(crate) awaiting_report: Vec<RequestId>,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) outlier: OutlierDetector,
    /// This scheduler's attempts at the worker that have not ended.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// The attempts in `in_flight` whose job the worker has reported as started; empty if workers do not
    /// report the start of a job.
    pub(crate) started: Vec<StartedAttempt>,
    /// The attempts that peers have in flight at the worker and the capacity reserved for peers. This
    /// scheduler keeps the account while it is the worker's coordinator.
    pub(crate) peer_occupancy: PeerOccupancy,
    /// The worker's work budget, which limits the work sent to the worker while the worker is warming up.
    pub(crate) work_budget: WorkBudget,
}

impl Worker {
    pub(crate) fn new(endpoint: Endpoint, weight: f64, started_at: Option<Micros>) -> Worker {
        let is_ready = endpoint.state == EndpointState::Ready;
        Worker { endpoint, started_at, is_ready, weight, ..Worker::default() }
    }

    /// Starts to track the worker's new process after a restart: discards what was learned about the earlier
    /// process, but keeps the attempts in flight, because their results still arrive.
    pub(crate) fn restart(&mut self, endpoint: Endpoint, weight: f64, started_at: Option<Micros>) {
        let (in_flight, points) = (std::mem::take(&mut self.in_flight), self.points);
        *self = Worker { points, in_flight, ..Worker::new(endpoint, weight, started_at) };
    }

    pub(crate) fn warm_up_fraction(&self, now: Micros, rules: &Rules) -> f64 {
        slow_start::warm_up_fraction(self.started_at, now, rules)
    }

    pub(crate) fn is_warming_up(&self, now: Micros, rules: &Rules) -> bool {
        self.warm_up_fraction(now, rules) < 1.0
    }

    /// Returns the number of slots that this scheduler's attempts in flight take at the worker.
    pub(crate) fn slots_from_this_scheduler(&self) -> f64 {
        self.in_flight.iter().map(|attempt| attempt.slots).sum()
    }

    /// Returns the number of slots that all schedulers have in flight at the worker: the slots in the latest
    /// occupancy report of the worker's coordinator, plus the slots of this scheduler's attempts sent since
    /// the query that led to the report. Returns `None` if the report is missing or too old, or if the
    /// coordinator's endpoint list lacks the worker.
    pub(crate) fn occupancy(&self, now: Micros) -> Option<f64> {
        let report = self
            .occupancy_report
            .as_ref()
            .filter(|report| now.saturating_sub(report.queried_at) < MAX_REPORT_AGE)?;
        let sent_since = self.in_flight.iter().filter(|attempt| attempt.sent_at >= report.queried_at);
        let slots_since: f64 = sent_since.map(|attempt| attempt.slots).sum();
        report.slots.map(|slots| slots + slots_since)
    }

    /// Returns the worker's occupancy per unit of the worker's weight; `None` if the occupancy is unknown.
    pub(crate) fn occupancy_per_weight(&self, now: Micros) -> Option<f64> {
        self.occupancy(now).map(|occupancy| occupancy / self.weight.max(MIN_WEIGHT))
    }

    /// Returns the worker's load in slots per unit of the worker's weight. The load is the worker's
    /// occupancy, or the slots of this scheduler's attempts if the occupancy is unknown.
    pub(crate) fn load(&self, now: Micros) -> f64 {
        self.occupancy(now).unwrap_or(self.slots_from_this_scheduler()) / self.weight.max(MIN_WEIGHT)
    }

    pub(crate) fn has_fresh_report(&self, now: Micros) -> bool {
        self.occupancy_report
            .as_ref()
            .is_some_and(|report| now.saturating_sub(report.queried_at) < FRESH_REPORT_AGE)
    }

    /// Whether the worker has failed to report a job of this scheduler as started within [`MAX_START_DELAY`],
    /// which means that all slots of the worker are occupied.
    pub(crate) fn has_delayed_start(&self, now: Micros) -> bool {
        let is_delayed = |attempt: &InFlightAttempt| {
            attempt.sent_at + MAX_START_DELAY < now && self.started_attempt(attempt.id).is_none()
        };
        self.in_flight.iter().any(is_delayed)
    }

    pub(crate) fn started_attempt(&self, id: AttemptId) -> Option<&StartedAttempt> {
        self.started.iter().find(|attempt| attempt.id == id)
    }

    /// Whether the worker has no capacity for a job that takes `slots` slots. `usable_slots_per_weight` is
    /// the number of usable slots per unit of worker weight.
    pub(crate) fn is_busy(&self, now: Micros, slots: f64, usable_slots_per_weight: f64) -> bool {
        let is_full = |occupancy: f64| occupancy + slots > (usable_slots_per_weight * self.weight).max(slots);
        self.concurrency_limit.is_rejecting(now)
            || self.occupancy(now).is_some_and(is_full)
            || self.concurrency_limit.is_exceeded(self.slots_from_this_scheduler(), slots)
    }

    /// Records the outcome of an attempt at the worker for the concurrency limit and for outlier detection.
    /// The attempt was sent by this scheduler or by a peer.
    pub(crate) fn record_result(&mut self, now: Micros, outcome: Outcome, refused_immediately: bool) {
        let in_flight = self.slots_from_this_scheduler();
        self.concurrency_limit.record_result(now, outcome, refused_immediately, in_flight);
        self.outlier.record_result(now, outcome, refused_immediately);
    }

    /// Removes an attempt of this scheduler that has ended at the worker. Returns `false` if the attempt is
    /// not in flight at the worker.
    pub(crate) fn remove_attempt(&mut self, id: AttemptId) -> bool {
        let Some(position) = self.in_flight.iter().position(|attempt| attempt.id == id) else {
            return false;
        };
        self.in_flight.swap_remove(position);
        self.started.retain(|attempt| attempt.id != id);
        true
    }
}

#[cfg(test)]
mod tests;
