//! What a scheduler knows of one worker: its endpoint, its own attempts there, its load and its health.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::coordination::{PeerLedger, PendingQuery};
use crate::events::{Endpoint, EndpointState, Outcome};
use crate::ids::{AttemptNo, Micros, RequestId};
use crate::outlier::OutlierDetector;
use crate::settings::Rules;
use crate::slow_start::{self, AdmissionBudget};

/// A job that need not wait at its worker is reported as started within this time, microseconds.
pub(crate) const MAX_START_DELAY: Micros = 60_000;
/// An occupancy report that is older than this no longer counts, microseconds.
const MAX_REPORT_AGE: Micros = 1_000_000;
/// An occupancy report that is younger than this is not queried again, microseconds: a round trip and a tick.
const FRESH_REPORT_AGE: Micros = 20_000;
/// The smallest weight that a load is divided by.
const MIN_WEIGHT: f64 = 1e-6;

/// Names one attempt of one request.
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

/// An attempt that its worker has reported as started.
pub(crate) struct StartedAttempt {
    pub(crate) id: AttemptId,
    pub(crate) started_at: Micros,
    pub(crate) last_progress_at: Micros,
    /// Fraction of the job that was done at the last progress report.
    pub(crate) fraction_done: f64,
}

/// How full a worker is by its coordinator's latest reply.
pub(crate) struct OccupancyReport {
    /// Slots in flight there; `None` if the coordinator doesn't list the worker.
    pub(crate) slots: Option<f64>,
    /// When the coordinator was queried.
    pub(crate) queried_at: Micros,
}

/// What this scheduler knows of a worker.
#[derive(Default)]
pub(crate) struct Worker {
    /// Its entry in the endpoint list.
    pub(crate) endpoint: Endpoint,
    /// When its process started, by this scheduler's own clock; `None`: long ago.
    pub(crate) started_at: Option<Micros>,
    /// It is listed and takes work.
    pub(crate) is_ready: bool,
    /// Its size relative to other workers.
    pub(crate) weight: f64,
    /// Its virtual points on the ring.
    pub(crate) points: u32,
    pub(crate) report: Option<OccupancyReport>,
    /// The occupancy query that its coordinator has not answered yet.
    pub(crate) pending_query: Option<PendingQuery>,
    /// Requests that wait for that answer.
    pub(crate) awaiting_report: Vec<RequestId>,
    pub(crate) concurrency_limit: ConcurrencyLimit,
    pub(crate) outlier: OutlierDetector,
    /// Own attempts that have not ended.
    pub(crate) in_flight: Vec<InFlightAttempt>,
    /// Those of them that have started, where workers report that.
    pub(crate) started: Vec<StartedAttempt>,
    /// As its coordinator: what peers have in flight or reserved there.
    pub(crate) peers: PeerLedger,
    /// Work that was admitted there, within this scheduler's part of what the worker bears while it warms up.
    pub(crate) admitted_work: AdmissionBudget,
}

impl Worker {
    pub(crate) fn new(endpoint: Endpoint, weight: f64, started_at: Option<Micros>) -> Worker {
        let is_ready = endpoint.state == EndpointState::Ready;
        Worker { endpoint, started_at, is_ready, weight, ..Worker::default() }
    }

    /// Replaces what was learned of the worker's earlier process; attempts in flight there still end.
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

    /// Slots of this scheduler's own attempts there.
    pub(crate) fn own_slots(&self) -> f64 {
        self.in_flight.iter().map(|attempt| attempt.slots).sum()
    }

    /// Slots in flight there by the latest report of its coordinator and what was sent since.
    pub(crate) fn occupancy(&self, now: Micros) -> Option<f64> {
        let report =
            self.report.as_ref().filter(|report| now.saturating_sub(report.queried_at) < MAX_REPORT_AGE)?;
        let sent_since = self.in_flight.iter().filter(|attempt| attempt.sent_at >= report.queried_at);
        let slots_since: f64 = sent_since.map(|attempt| attempt.slots).sum();
        report.slots.map(|slots| slots + slots_since)
    }

    /// The same for each unit of weight.
    pub(crate) fn occupancy_per_unit(&self, now: Micros) -> Option<f64> {
        self.occupancy(now).map(|occupancy| occupancy / self.weight.max(MIN_WEIGHT))
    }

    /// Its load for each unit of weight, by what is known of it.
    pub(crate) fn load(&self, now: Micros) -> f64 {
        self.occupancy(now).unwrap_or(self.own_slots()) / self.weight.max(MIN_WEIGHT)
    }

    pub(crate) fn has_fresh_report(&self, now: Micros) -> bool {
        self.report.as_ref().is_some_and(|report| now.saturating_sub(report.queried_at) < FRESH_REPORT_AGE)
    }

    /// Whether an own job has waited here for longer than a report of its start takes: the slots are full.
    pub(crate) fn has_delayed_start(&self, now: Micros) -> bool {
        let is_delayed = |attempt: &InFlightAttempt| {
            attempt.sent_at + MAX_START_DELAY < now && self.started(attempt.id).is_none()
        };
        self.in_flight.iter().any(is_delayed)
    }

    pub(crate) fn started(&self, id: AttemptId) -> Option<&StartedAttempt> {
        self.started.iter().find(|attempt| attempt.id == id)
    }

    /// Whether it has no capacity for these slots, given how many slots one unit of weight has.
    pub(crate) fn is_busy(&self, now: Micros, slots: f64, slots_per_unit: f64) -> bool {
        let is_full = |occupancy: f64| occupancy + slots > (slots_per_unit * self.weight).max(slots);
        self.concurrency_limit.is_rejecting(now)
            || self.occupancy(now).is_some_and(is_full)
            || self.concurrency_limit.is_exceeded(self.own_slots(), slots)
    }

    /// Takes the outcome of an attempt here, by this scheduler or by a peer.
    pub(crate) fn record_result(&mut self, now: Micros, outcome: Outcome, refused_at_once: bool) {
        let in_flight = self.own_slots();
        self.concurrency_limit.record_result(now, outcome, refused_at_once, in_flight);
        self.outlier.record_result(now, outcome, refused_at_once);
    }

    /// Removes an own attempt that has ended; `false` if there is no such attempt.
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
