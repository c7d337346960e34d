//! Completion: results of attempts and the final answers of requests.

use crate::actions::Action;
use crate::events::Outcome;
use crate::ids::{AttemptNo, MachineTypeId, Micros, RequestId, WorkerId};
use crate::peer_message::PeerMessage;
use crate::placement::MIN_QUEUE_PAUSE;
use crate::request::{Attempt, AttemptState};
use crate::scheduler::Scheduler;
use crate::timer::{SequenceNumber, Timer};
use crate::worker::AttemptId;

/// A connection that fails within this part of the dial timeout was refused at once.
const REFUSED_AT_ONCE_PARTS: Micros = 2;
/// Part of the grace after the deadline for which an attempt's own timeout is awaited.
const ANSWER_SLACK_PARTS: Micros = 2;

/// The result of one attempt.
pub(crate) struct AttemptResult {
    pub(crate) id: AttemptId,
    pub(crate) worker: WorkerId,
    pub(crate) outcome: Outcome,
    /// Time since the attempt was sent.
    pub(crate) latency: Micros,
    /// The request is complete.
    pub(crate) request_closed: bool,
}

/// Whether an outcome is a fault of the connection or of the machine.
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

    /// Applies a result to its worker, and notifies the worker's coordinator.
    fn record_worker_result(
        &mut self,
        now: Micros,
        index: usize,
        result: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let outcome = result.outcome;
        let refused_at_once = result.latency < self.settings.limits.dial_timeout / REFUSED_AT_ONCE_PARTS;
        self.fleet[index].record_result(now, outcome, refused_at_once);
        if outcome == Outcome::Ok {
            self.retry_budget.deposit();
        }
        let served = outcome == Outcome::Ok;
        let connection_failed = is_connection_failure(outcome);
        let message = PeerMessage::AttemptFinished { served, connection_failed };
        self.notify_coordinator(now, index, message, actions);
        if outcome == Outcome::NoResponse {
            // Where one connection got no response, the idle ones are not to be trusted either.
            actions.push(Action::CloseIdle(result.worker));
        }
    }

    fn record_attempt_state(&mut self, result: &AttemptResult) {
        let Some(request) = self.requests.get_mut(result.id.request) else { return };
        let Some(attempt) = request.attempts.get_mut(result.id.number.0 as usize) else { return };
        attempt.state =
            if result.outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
    }

    /// The request's time is over. An attempt in flight ends by its own timeout; this only guards against its
    /// absence.
    pub(crate) fn on_deadline_timer(
        &mut self,
        now: Micros,
        sequence: SequenceNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some((id, request)) = self.requests.find(sequence) else { return };
        let latest = request.deadline + self.settings.rules.answer_slack / ANSWER_SLACK_PARTS;
        if now < latest && request.has_attempt_in_flight() {
            let token = Timer::Deadline(sequence).token();
            return actions.push(Action::SetTimer { at: latest, token });
        }
        self.conclude(now, id, actions);
    }

    /// Gives the final answer to every pending request.
    pub(crate) fn on_shutdown(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in self.requests.ids() {
            self.conclude(now, id, actions);
        }
    }

    /// Gives the final answer: a rejection where a retry by the client is harmless, or else a failure.
    pub(crate) fn conclude(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let retry_after = self.retry_after(now, request.class.machine_type);
        actions.push(if request.retry_safety().allows_client_retry(now, retry_after) {
            Action::Reject { request: id, retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, actions);
    }

    /// The Retry-After of a rejected client: when the first worker for its class is expected to take jobs
    /// again, but no sooner than a queued request would try again. 0, for none, where clients are given none.
    fn retry_after(&self, now: Micros, kind: Option<MachineTypeId>) -> Micros {
        let limits = &self.settings.limits;
        if !limits.retry_after {
            return 0;
        }
        let takes_class =
            self.fleet.ready().filter(|worker| kind.is_none_or(|kind| kind == worker.endpoint.machine_type));
        let waits = takes_class.map(|worker| {
            let available_at = worker.concurrency_limit.rejecting_until().max(worker.outlier.ejected_until());
            available_at.saturating_sub(now)
        });
        let shortest = waits.min().map_or(limits.max_retry_after, |wait| wait.max(MIN_QUEUE_PAUSE));
        shortest.min(limits.max_retry_after)
    }

    /// Forgets a request that is complete and cancels its attempts that are still in flight.
    pub(crate) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(id) else { return };
        if !self.settings.limits.may_cancel {
            return;
        }
        let numbered = (0..).map(AttemptNo).zip(&request.attempts);
        let in_flight = numbered.filter(|(_, attempt)| Attempt::is_in_flight(attempt));
        actions.extend(in_flight.map(|(attempt, _)| Action::Cancel { request: id, attempt }));
    }
}

#[cfg(test)]
mod tests;
