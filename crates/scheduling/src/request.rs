//! Requests that need their final answer, and their attempts.

use crate::ids::{Micros, RequestId, WorkerId};
use crate::retry::RetrySafety;
use crate::settings::Class;
use crate::timer::SequenceNumber;
use std::collections::BTreeMap;

/// Late answers that keep a smaller fraction of their weight than this are not worth a worker's time.
const MIN_LATE_WEIGHT: f64 = 0.01;

/// Whether an attempt is in flight and, once it has ended, whether it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// An attempt of a pending request.
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// Slots in flight there for each unit of weight, its own included, if that was known.
    pub(crate) occupancy_at_send: Option<f64>,
    pub(crate) state: AttemptState,
    pub(crate) sent_at: Micros,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Whether it runs or may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.state != AttemptState::NeverRan
    }
}

/// A request that needs its final answer.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// As it was when the request came; newer settings don't change it.
    pub(crate) class: Class,
    /// Attempts allowed: the smallest number of all settings since the request came.
    pub(crate) max_attempts: u32,
    /// Place of its key on the ring.
    pub(crate) key_hash: u64,
    pub(crate) slots: f64,
    /// Expected work, microseconds; 0 without a hint.
    pub(crate) expected_work: Micros,
    pub(crate) arrived_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) sequence: SequenceNumber,
    /// Over how many workers its key is spread.
    pub(crate) spread: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// It waits for coordinators' replies until this time.
    pub(crate) awaits_occupancy_until: Option<Micros>,
    pub(crate) is_queued: bool,
}

impl PendingRequest {
    /// From when on it misses its latency objective with `remaining` times its expected work still to be
    /// done.
    pub(crate) fn late_from(&self, remaining: f64) -> Micros {
        let work_allowance = (self.class.objective_per_work - remaining).max(0.0);
        self.arrived_at
            + self.class.latency_objective
            + (work_allowance * self.expected_work as f64) as Micros
    }

    /// Whether a late answer is worth nothing, and it is known when the answer is late.
    pub(crate) fn is_worthless_when_late(&self) -> bool {
        let objective_is_known = self.expected_work > 0 || self.class.objective_per_work == 0.0;
        self.class.late_weight < MIN_LATE_WEIGHT && objective_is_known
    }

    /// The first attempt that runs or may have run.
    pub(crate) fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    pub(crate) fn retry_safety(&self) -> RetrySafety {
        let first_run_at = self.first_run().map(|attempt| attempt.sent_at);
        RetrySafety { idempotency: self.class.idempotency, first_run_at }
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether its attempts and its idempotency allow a further attempt that begins by then.
    pub(crate) fn allows_attempt_by(&self, by: Micros) -> bool {
        self.attempts.len() < self.max_attempts as usize && self.retry_safety().allows_attempt_by(by)
    }

    /// Its expected work; without a hint, its class is made for jobs of about its latency objective.
    pub(crate) fn likely_work(&self) -> Micros {
        if self.expected_work > 0 {
            self.expected_work
        } else {
            self.class.latency_objective
        }
    }
}

/// All pending requests, by id and by the sequence number that their timers carry.
#[derive(Default)]
pub(crate) struct PendingRequests {
    by_id: BTreeMap<RequestId, PendingRequest>,
    by_sequence: BTreeMap<SequenceNumber, RequestId>,
    next_sequence: SequenceNumber,
}

impl PendingRequests {
    /// Adds a request and returns the sequence number that it was given.
    pub(crate) fn insert(&mut self, id: RequestId, request: PendingRequest) -> SequenceNumber {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_sequence.insert(sequence, id);
        self.by_id.insert(id, PendingRequest { sequence, ..request });
        sequence
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.by_id.remove(&id)?;
        self.by_sequence.remove(&request.sequence);
        Some(request)
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(&id)
    }

    /// The request with this sequence number.
    pub(crate) fn find(&self, sequence: SequenceNumber) -> Option<(RequestId, &PendingRequest)> {
        let id = *self.by_sequence.get(&sequence)?;
        self.by_id.get(&id).map(|request| (id, request))
    }

    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.by_id.keys().copied().collect()
    }

    pub(crate) fn queued_ids(&self) -> Vec<RequestId> {
        self.by_id.iter().filter(|(_, request)| request.is_queued).map(|(id, _)| *id).collect()
    }

    /// New settings: pending requests get no more attempts than these allow.
    pub(crate) fn limit_attempts(&mut self, max_attempts: u32) {
        for request in self.by_id.values_mut() {
            request.max_attempts = request.max_attempts.min(max_attempts);
        }
    }
}

#[cfg(test)]
mod tests;
