//! Pending requests, which still need their final answer, and their attempts.

use crate::ids::{Micros, RequestId, WorkerId};
use crate::retry::RetrySafety;
use crate::settings::Class;
use crate::timer::SequenceNumber;
use std::collections::BTreeMap;

/// Late answers that keep less than this fraction of their weight are not worth a worker's time.
const MIN_LATE_WEIGHT: f64 = 0.01;

/// The state of an attempt: in flight, or ended with or without a possible run of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// An attempt of a pending request.
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// The worker's occupancy per unit of weight when the attempt was sent, in slots; `None` if the occupancy
    /// was unknown. The attempt's own slots are included, unless this scheduler is the worker's coordinator
    /// and took the occupancy report at the time of sending.
    pub(crate) occupancy_at_send: Option<f64>,
    pub(crate) state: AttemptState,
    pub(crate) sent_at: Micros,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Whether the job may have run, or may be running, in this attempt.
    pub(crate) fn may_have_run(&self) -> bool {
        self.state != AttemptState::NeverRan
    }
}

/// A request that still needs its final answer.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// The class as it was when the request arrived; newer settings don't change it.
    pub(crate) class: Class,
    /// Attempts allowed: the smallest limit of all settings in effect since the request arrived.
    pub(crate) max_attempts: u32,
    /// Position on the ring: the hash of the request's key, or of the request's id if the request has no key.
    pub(crate) key_hash: u64,
    pub(crate) slots: f64,
    /// Expected work, in microseconds; 0 if the client gave no hint.
    pub(crate) expected_work: Micros,
    pub(crate) arrived_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) sequence: SequenceNumber,
    /// Number of workers over which the request's key is spread.
    pub(crate) spread: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// When the wait for replies to occupancy queries ends; `None` if the request does not wait.
    pub(crate) awaits_occupancy_until: Option<Micros>,
    pub(crate) is_queued: bool,
}

impl PendingRequest {
    /// Returns the time after which the request misses its latency objective if the remaining work is
    /// `remaining_work_factor` times the expected work.
    pub(crate) fn objective_missed_after(&self, remaining_work_factor: f64) -> Micros {
        let work_allowance = (self.class.objective_per_work - remaining_work_factor).max(0.0);
        self.arrived_at
            + self.class.latency_objective
            + (work_allowance * self.expected_work as f64) as Micros
    }

    /// Whether a late answer is worthless and the time from which the answer is late is known.
    pub(crate) fn is_worthless_when_late(&self) -> bool {
        let objective_is_known = self.expected_work > 0 || self.class.objective_per_work == 0.0;
        self.class.late_weight < MIN_LATE_WEIGHT && objective_is_known
    }

    /// Returns the first attempt in which the job may have run or may be running.
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

    /// Whether the limit of attempts and the idempotency allow a further attempt that starts at this time.
    pub(crate) fn allows_attempt_at(&self, start: Micros) -> bool {
        self.attempts.len() < self.max_attempts as usize && self.retry_safety().allows_attempt_at(start)
    }

    /// Returns the expected work. Without a hint, returns the latency objective of the class, because a class
    /// is meant for jobs of about that length.
    pub(crate) fn estimated_work(&self) -> Micros {
        if self.expected_work > 0 {
            self.expected_work
        } else {
            self.class.latency_objective
        }
    }
}

/// All pending requests, by id and by the sequence number that their timers contain.
#[derive(Default)]
pub(crate) struct PendingRequests {
    by_id: BTreeMap<RequestId, PendingRequest>,
    by_sequence: BTreeMap<SequenceNumber, RequestId>,
    next_sequence: SequenceNumber,
}

impl PendingRequests {
    /// Adds a request and returns its new sequence number.
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

    /// Returns the request with this sequence number.
    pub(crate) fn find_by_sequence(&self, sequence: SequenceNumber) -> Option<(RequestId, &PendingRequest)> {
        let id = *self.by_sequence.get(&sequence)?;
        self.by_id.get(&id).map(|request| (id, request))
    }

    pub(crate) fn ids(&self) -> Vec<RequestId> {
        self.by_id.keys().copied().collect()
    }

    pub(crate) fn queued_ids(&self) -> Vec<RequestId> {
        self.by_id.iter().filter(|(_, request)| request.is_queued).map(|(id, _)| *id).collect()
    }

    /// Lowers the maximum number of attempts of all pending requests to the limit of new settings.
    pub(crate) fn limit_attempts(&mut self, max_attempts: u32) {
        for request in self.by_id.values_mut() {
            request.max_attempts = request.max_attempts.min(max_attempts);
        }
    }
}

#[cfg(test)]
mod tests;
