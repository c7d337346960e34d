//! Pending requests, to which the scheduler has not given the final answer yet, and the attempts of these
//! requests.

use crate::events::Outcome;
use crate::ids::{Micros, RequestId, WorkerId};
use crate::retry::RetrySafety;
use crate::settings::Class;
use crate::timer::SequenceNumber;
use std::collections::BTreeMap;

/// If a late final answer keeps less than this fraction of the class's weight, work on a late request is not
/// worth a worker's time.
const MIN_LATE_WEIGHT: f64 = 0.01;

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    InFlight,
    /// The attempt ended without a run of the job.
    NeverRan,
    /// The worker returned the job without having started it. A repetition of the worker's report can't be
    /// told from a report about a later attempt of the request at the same worker.
    Returned,
    /// The attempt ended after a possible run of the job.
    MayHaveRun,
}

impl From<Outcome> for AttemptState {
    /// Returns the state of an attempt that has ended with this outcome.
    fn from(outcome: Outcome) -> AttemptState {
        match outcome {
            Outcome::Returned => AttemptState::Returned,
            outcome if outcome.never_ran() => AttemptState::NeverRan,
            _ => AttemptState::MayHaveRun,
        }
    }
}

/// An attempt of a pending request.
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    /// The worker's occupancy in slots per unit of weight when the attempt was sent; `None` if the occupancy
    /// was unknown. The occupancy includes the slots of this attempt, unless this scheduler is the worker's
    /// coordinator and made its occupancy report at the time of sending.
    pub(crate) occupancy_at_send: Option<f64>,
    pub(crate) state: AttemptState,
    pub(crate) sent_at: Micros,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight
    }

    /// Whether the worker may have run the job in this attempt or may be running the job.
    pub(crate) fn may_have_run(&self) -> bool {
        matches!(self.state, AttemptState::InFlight | AttemptState::MayHaveRun)
    }

    /// Whether the worker must get no further attempt of the request: the worker may have run the job, or may
    /// repeat its report that it has returned the job. If the worker got the job again, the repeated report
    /// would seem to prove that the later attempt never ran.
    fn excludes_its_worker(&self) -> bool {
        self.state != AttemptState::NeverRan
    }
}

/// A request to which the scheduler has not given the final answer yet.
#[derive(Default)]
pub(crate) struct PendingRequest {
    /// The request's class as it was when the request arrived; newer settings don't change the class of a
    /// pending request.
    pub(crate) class: Class,
    /// Maximum number of attempts of the request: the smallest maximum in all settings that were in effect
    /// since the request arrived.
    pub(crate) max_attempts: u32,
    /// The request's position on the ring: the hash of the request's key, or of the request's id if the
    /// request has no key.
    pub(crate) key_hash: u64,
    pub(crate) slots: f64,
    /// Expected work of the request's job, in microseconds; 0 if the client gave no estimate.
    pub(crate) expected_work: Micros,
    pub(crate) arrived_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) sequence: SequenceNumber,
    /// Number of workers over which the request's key is spread.
    pub(crate) spread: usize,
    pub(crate) attempts: Vec<Attempt>,
    /// When the request's wait for replies to occupancy queries ends, in microseconds of the scheduler's
    /// clock; `None` if the request does not wait for replies.
    pub(crate) awaits_occupancy_until: Option<Micros>,
    pub(crate) is_queued: bool,
}

impl PendingRequest {
    /// Returns the time after which the request misses its latency objective, if `remaining_work_factor`
    /// times the expected work still has to be done at that time.
    pub(crate) fn objective_missed_after(&self, remaining_work_factor: f64) -> Micros {
        let work_allowance = (self.class.objective_per_work - remaining_work_factor).max(0.0);
        self.arrived_at
            + self.class.latency_objective
            + (work_allowance * self.expected_work as f64) as Micros
    }

    /// Whether a late final answer to the request is worthless. Returns `false` if the time from which the
    /// final answer is late is unknown.
    pub(crate) fn is_worthless_when_late(&self) -> bool {
        let objective_is_known = self.expected_work > 0 || self.class.objective_per_work == 0.0;
        self.class.late_weight < MIN_LATE_WEIGHT && objective_is_known
    }

    /// Returns the request's first attempt in which the job may have run or may be running.
    pub(crate) fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    pub(crate) fn retry_safety(&self) -> RetrySafety {
        let first_run_at = self.first_run().map(|attempt| attempt.sent_at);
        RetrySafety { idempotency: self.class.idempotency, first_run_at }
    }

    /// Whether an earlier attempt rules out a further attempt of the request at this worker.
    pub(crate) fn excludes_worker(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == worker && attempt.excludes_its_worker())
    }

    /// Whether a worker has returned the request's job.
    pub(crate) fn was_returned(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::Returned)
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether the request's maximum number of attempts and the idempotency of its class allow a further
    /// attempt that starts at the time `start`.
    pub(crate) fn allows_attempt_at(&self, start: Micros) -> bool {
        self.attempts.len() < self.max_attempts as usize && self.retry_safety().allows_attempt_at(start)
    }

    /// Returns the expected work of the request's job, in microseconds. If the client gave no estimate,
    /// returns the latency objective of the class, because a class is meant for jobs of about that length.
    pub(crate) fn estimated_work(&self) -> Micros {
        if self.expected_work > 0 {
            self.expected_work
        } else {
            self.class.latency_objective
        }
    }
}

/// All pending requests, indexed by request id and by the sequence number in the tokens of the request's
/// timers.
#[derive(Default)]
pub(crate) struct PendingRequests {
    by_id: BTreeMap<RequestId, PendingRequest>,
    by_sequence: BTreeMap<SequenceNumber, RequestId>,
    next_sequence: SequenceNumber,
}

impl PendingRequests {
    /// Adds a pending request and returns the sequence number that the request gets.
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

    /// Returns the pending request with this sequence number, and its id.
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

    /// Lowers the maximum number of attempts of all pending requests to `max_attempts`, the maximum in new
    /// settings.
    pub(crate) fn limit_attempts(&mut self, max_attempts: u32) {
        for request in self.by_id.values_mut() {
            request.max_attempts = request.max_attempts.min(max_attempts);
        }
    }
}

#[cfg(test)]
mod tests;
