//! Completion: handles the results of attempts and gives requests their final answers.

use crate::actions::Action;
use crate::events::Outcome;
use crate::ids::{AttemptNo, MachineTypeId, Micros, RequestId, WorkerId};
use crate::peer_message::PeerMessage;
use crate::placement::MIN_QUEUE_PAUSE;
use crate::request::Attempt;
use crate::scheduler::Scheduler;
use crate::timer::{SequenceNumber, Timer};
use crate::worker::AttemptId;

/// A connection to a worker counts as refused immediately if it fails within the dial timeout divided by this
/// number.
const IMMEDIATE_REFUSAL_DIVISOR: Micros = 2;
/// If an attempt is in flight at a request's deadline, the scheduler waits for the attempt's end before the
/// final answer, for at most the answer slack of the rules divided by this number.
const ANSWER_SLACK_DIVISOR: Micros = 2;

/// The result of one attempt at a worker, as the embedding program reports the result.
pub(crate) struct AttemptResult {
    pub(crate) id: AttemptId,
    pub(crate) worker: WorkerId,
    pub(crate) outcome: Outcome,
    /// Time from sending the attempt to its end, in microseconds.
    pub(crate) latency: Micros,
    /// Whether the request already has its final answer or its client has disconnected, so that the scheduler
    /// must give the request no final answer.
    pub(crate) request_closed: bool,
}

/// Whether an outcome means that the connection to the worker or the worker's machine failed.
fn is_connection_failure(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::ConnectFailed | Outcome::Reset | Outcome::NoResponse)
}

impl Scheduler {
    pub(crate) fn on_attempt_finished(
        &mut self,
        now: Micros,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let (id, outcome) = (result.id.request, result.outcome);
        let Some(index) = self.fleet.index_of(result.worker) else { return };
        if !self.fleet[index].remove_attempt(result.id) {
            return;
        }
        self.record_worker_result(now, index, result, actions);
        self.record_attempt_state(result);
        if result.request_closed {
            return self.close(id, actions);
        }
        if outcome == Outcome::Invalid && self.requests.contains(id) {
            actions.push(Action::Fail { request: id });
            return self.close(id, actions);
        }
        self.place(now, id, actions);
    }

    /// Records an attempt's result at its worker and notifies the worker's coordinator.
    fn record_worker_result(
        &mut self,
        now: Micros,
        index: usize,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let outcome = result.outcome;
        let refused_immediately =
            result.latency < self.settings.limits.dial_timeout / IMMEDIATE_REFUSAL_DIVISOR;
        self.fleet[index].record_result(now, outcome, refused_immediately);
        if outcome == Outcome::Ok {
            self.retry_budget.deposit();
        }
        let served = outcome == Outcome::Ok;
        let connection_failed = is_connection_failure(outcome);
        let message = PeerMessage::AttemptFinished { served, connection_failed };
        self.notify_coordinator(now, index, message, actions);
        if outcome == Outcome::NoResponse {
            // The worker did not respond on one connection, so the idle connections to the worker may be
            // broken too.
            actions.push(Action::CloseIdle(result.worker));
        }
    }

    fn record_attempt_state(&mut self, result: &AttemptResult) {
        let Some(request) = self.requests.get_mut(result.id.request) else { return };
        let Some(attempt) = request.attempts.get_mut(result.id.number.0 as usize) else { return };
        attempt.state = result.outcome.into();
    }

    /// Gives a request its final answer when its deadline timer expires. If an attempt of the request is in
    /// flight, the final answer is postponed to shortly after the deadline, because the attempt normally ends
    /// by its own timeout before that time.
    pub(crate) fn on_deadline_timer(
        &mut self,
        now: Micros,
        sequence: SequenceNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some((id, request)) = self.requests.find_by_sequence(sequence) else { return };
        let latest = request.deadline + self.settings.rules.answer_slack / ANSWER_SLACK_DIVISOR;
        if now < latest && request.has_attempt_in_flight() {
            let token = Timer::Deadline(sequence).token();
            return actions.push(Action::SetTimer { at: latest, token });
        }
        self.send_final_answer(now, id, actions);
    }

    /// Gives every pending request its final answer when the scheduler shuts down.
    pub(crate) fn on_shutdown(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in self.requests.ids() {
            self.send_final_answer(now, id, actions);
        }
    }

    /// Gives a request its final answer: a rejection if a retry by the client is harmless, otherwise a
    /// failure.
    pub(crate) fn send_final_answer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let retry_after = self.retry_after(now, request.class.machine_type);
        actions.push(if request.retry_safety().allows_client_retry(now, retry_after) {
            Action::Reject { request: id, retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, actions);
    }

    /// Returns the Retry-After for the client of a rejected request, in microseconds: the time until the
    /// first worker of the machine type is expected to take jobs again, but at least [`MIN_QUEUE_PAUSE`] and
    /// at most the longest Retry-After in the settings. Returns 0 if clients are given no Retry-After.
    fn retry_after(&self, now: Micros, kind: Option<MachineTypeId>) -> Micros {
        let limits = &self.settings.limits;
        if !limits.retry_after {
            return 0;
        }
        let eligible =
            self.fleet.ready().filter(|worker| kind.is_none_or(|kind| kind == worker.endpoint.machine_type));
        let waits = eligible.map(|worker| {
            let available_at = worker.concurrency_limit.rejecting_until().max(worker.outlier.ejected_until());
            available_at.saturating_sub(now)
        });
        let shortest = waits.min().map_or(limits.max_retry_after, |wait| wait.max(MIN_QUEUE_PAUSE));
        shortest.min(limits.max_retry_after)
    }

    /// Removes a request that needs no final answer any more, and cancels its attempts that are still in
    /// flight.
    pub(crate) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(id) else { return };
        if !self.settings.limits.may_cancel {
            return;
        }
        let numbered_attempts = (0..).map(AttemptNo).zip(&request.attempts);
        let in_flight = numbered_attempts.filter(|(_, attempt)| Attempt::is_in_flight(attempt));
        actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
    }
}

#[cfg(test)]
mod tests;
