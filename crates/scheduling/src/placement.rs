//! Placement: sends a request to one of its candidate workers, queries the coordinators for the candidates'
//! occupancy, or keeps the request queued at the scheduler.

use crate::actions::Action;
use crate::admission::CandidateRole;
use crate::coordination::{self, QUERY_TIMEOUT};
use crate::events::Request;
use crate::hash::{hash_key, mix};
use crate::hot_keys::FleetView;
use crate::ids::{AttemptNo, Micros, RequestId};
use crate::migration;
use crate::peer_message::PeerMessage;
use crate::request::{Attempt, AttemptState, PendingRequest};
use crate::scheduler::Scheduler;
use crate::timer::{SequenceNumber, Timer};
use crate::worker::{AttemptId, InFlightAttempt};

/// Shortest mean pause before the scheduler tries again to place a queued request, in microseconds. The pause
/// grows with the age of the request.
pub(crate) const MIN_QUEUE_PAUSE: Micros = 200_000;
/// Fraction by which a job is allowed to exceed its expected work. If a late final answer to the request is
/// worthless, an attempt times out this fraction of the expected work after the latency objective.
const MAX_OVERRUN: f64 = 0.3;
/// A request without an attempt in flight gets its final answer this many ticks plus [`ANSWER_MARGIN`] before
/// the request's deadline.
const ANSWER_MARGIN_TICKS: Micros = 2;
/// Time before a request's deadline, in addition to [`ANSWER_MARGIN_TICKS`] ticks, at which a request without
/// an attempt in flight gets its final answer, in microseconds.
const ANSWER_MARGIN: Micros = 2_000;

/// The properties of a request on which the choice among its candidate workers depends.
struct PlacementContext {
    request: RequestId,
    slots: f64,
    is_retry: bool,
    /// Whether the request's key is spread over several workers.
    is_spread: bool,
    /// Whether the request has waited for replies to occupancy queries until [`QUERY_TIMEOUT`] was over.
    reports_timed_out: bool,
    /// Whether the request can no longer meet its latency objective.
    is_late: bool,
}

impl PlacementContext {
    fn new(now: Micros, request: RequestId, pending: &PendingRequest) -> PlacementContext {
        PlacementContext {
            request,
            slots: pending.slots,
            is_retry: !pending.attempts.is_empty(),
            is_spread: pending.spread != 1,
            reports_timed_out: pending.awaits_occupancy_until.is_some_and(|until| now >= until),
            is_late: now > pending.objective_missed_after(1.0),
        }
    }
}

/// The result of the choice among the candidate workers of a request.
enum Selection {
    /// The candidate with this index in the fleet has capacity.
    Worker(usize),
    /// The choice has to wait for coordinators' replies to occupancy queries.
    AwaitReports,
    /// No candidate has capacity for the request.
    NoCapacity,
}

impl Scheduler {
    /// Registers a client's request as pending and places the request.
    pub(crate) fn on_request(&mut self, now: Micros, request: &Request, actions: &mut Vec<Action>) {
        if self.requests.contains(request.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(request.class.0 as usize).cloned() else {
            return actions.push(Action::Fail { request: request.id });
        };
        let key_hash = request.key.as_deref().map_or_else(|| mix(request.id.0), hash_key);
        let spread = if request.key.is_some() { self.record_key(now, key_hash) } else { 1 };
        let has_valid_slots = request.slots.is_finite() && request.slots > 0.0;
        let pending = PendingRequest {
            class,
            max_attempts: self.settings.limits.max_attempts,
            key_hash,
            slots: if has_valid_slots { request.slots } else { 1.0 },
            expected_work: request.expected_work.unwrap_or(0),
            arrived_at: now,
            deadline: request.deadline,
            spread,
            ..PendingRequest::default()
        };
        let sequence = self.requests.insert(request.id, pending);
        let at = request.deadline.saturating_sub(self.answer_margin()).max(now);
        actions.push(Action::SetTimer { at, token: Timer::Deadline(sequence).token() });
        self.place(now, request.id, actions);
    }

    /// Counts a request with this key and returns the number of workers over which requests with this key are
    /// spread.
    fn record_key(&mut self, now: Micros, key_hash: u64) -> usize {
        let fleet = FleetView {
            ready_workers: self.fleet.ready_count(),
            schedulers: self.settings.scheduler_count,
            load_is_known: coordination::is_enabled(&self.settings) || self.settings.reports_start,
        };
        self.hot_keys.record(now, key_hash, &fleet)
    }

    /// Returns how long before its deadline a request without an attempt in flight gets its final answer, in
    /// microseconds.
    fn answer_margin(&self) -> Micros {
        ANSWER_MARGIN_TICKS * self.settings.tick + ANSWER_MARGIN
    }

    /// Places a request: sends the request to a worker, queries coordinators for the occupancy of workers,
    /// queues the request, or gives the request its final answer. Does nothing while an attempt of the
    /// request is in flight.
    pub(crate) fn place(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.has_attempt_in_flight() {
            return;
        }
        let is_out_of_time = now + self.answer_margin() >= request.deadline;
        let may_send = request.allows_attempt_at(now + self.settings.tick);
        if is_out_of_time || !may_send || self.is_returned_by_all_workers(now, request) {
            return self.send_final_answer(now, id, actions);
        }
        let context = PlacementContext::new(now, id, request);
        if context.is_late && request.is_worthless_when_late() {
            return self.send_final_answer(now, id, actions);
        }
        if self.endpoint_refresh.is_unconfirmed(now) {
            return self.queue(now, id, actions);
        }
        let candidates = self.candidates(now, id);
        match self.select(now, &context, &candidates, actions) {
            Selection::Worker(index) => self.send(now, id, index, actions),
            Selection::AwaitReports => self.await_reports(now, id, actions),
            Selection::NoCapacity => match self.select_queue(now, &context, &candidates) {
                Some(index) => self.send(now, id, index, actions),
                None => self.queue(now, id, actions),
            },
        }
    }

    /// Selects the first candidate with capacity. If schedulers coordinate, the occupancy of candidates is
    /// queried in up to three steps: first of the home alone, because the home mostly has capacity; then of
    /// all other warm candidates together; then of the warming candidates.
    fn select(
        &mut self,
        now: Micros,
        context: &PlacementContext,
        candidates: &[usize],
        actions: &mut Vec<Action>,
    ) -> Selection {
        let mut has_queried = false;
        for (rank, &index) in candidates.iter().enumerate() {
            if has_queried && self.fleet[index].is_warming_up(now, &self.settings.rules) {
                break;
            }
            let may_query =
                !context.reports_timed_out && !self.fleet[index].concurrency_limit.is_rejecting(now);
            if may_query && self.query_occupancy(now, index, context.request, actions) {
                has_queried = true;
                if rank == 0 {
                    break;
                }
                continue;
            }
            let role = self.candidate_role(now, context, rank, index);
            if !self.admission(now).has_capacity(index, context.slots, role) {
                continue;
            }
            let needs_retry_budget = context.is_retry && self.fleet[index].occupancy(now).is_none();
            if needs_retry_budget && !self.retry_budget.try_withdraw() {
                break;
            }
            return Selection::Worker(index);
        }
        if has_queried {
            Selection::AwaitReports
        } else {
            Selection::NoCapacity
        }
    }

    /// Returns the role of a candidate worker for the request. A warming worker counts as the home of a hot
    /// key with a probability equal to the worker's warm-up fraction. If schedulers coordinate, only the
    /// first candidate can be the home; otherwise every candidate can be the home.
    fn candidate_role(
        &mut self,
        now: Micros,
        context: &PlacementContext,
        rank: usize,
        index: usize,
    ) -> CandidateRole {
        let is_home = !context.is_spread
            || self.random.next_fraction() < self.fleet[index].warm_up_fraction(now, &self.settings.rules);
        let is_first = rank == 0 || !coordination::is_enabled(&self.settings);
        if is_home && is_first {
            CandidateRole::Home
        } else {
            CandidateRole::Alternative
        }
    }

    /// Returns the index of the worker whose queue the request joins, or `None` if the request is to wait at
    /// the scheduler. A request that can no longer meet its latency objective joins no queue, because queues
    /// would otherwise stay long and make all later requests late. A retry joins a worker's queue only if the
    /// worker's load is unknown. If the load is known, the retry waits at the scheduler, because other
    /// workers have not cached the data of the request's key.
    fn select_queue(&self, now: Micros, context: &PlacementContext, candidates: &[usize]) -> Option<usize> {
        let admission = self.admission(now);
        let index = admission.least_loaded(candidates, context.slots)?;
        let may_join = !context.is_late && (!context.is_retry || admission.fair_share_limit(index).is_some());
        may_join.then_some(index)
    }

    /// Makes the request wait for the coordinators' replies to occupancy queries, for at most
    /// [`QUERY_TIMEOUT`]. A request that already waits keeps the timer that ends its wait.
    fn await_reports(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.awaits_occupancy_until.is_none() {
            let at = now + QUERY_TIMEOUT;
            request.awaits_occupancy_until = Some(at);
            actions.push(Action::SetTimer { at, token: Timer::Placement(request.sequence).token() });
        }
    }

    /// Queues the request at the scheduler. The scheduler places the request again after a random pause that
    /// grows with the request's age, and whenever the endpoint list changes.
    fn queue(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let jitter = 0.5 + self.random.next_fraction();
        let Some(request) = self.requests.get_mut(id) else { return };
        request.is_queued = true;
        request.awaits_occupancy_until = None;
        let pause = MIN_QUEUE_PAUSE.max(now.saturating_sub(request.arrived_at));
        let latest = if request.is_worthless_when_late() {
            request.objective_missed_after(1.0) + 1
        } else {
            Micros::MAX
        };
        let at = latest.min(now + (pause as f64 * jitter) as Micros);
        actions.push(Action::SetTimer { at, token: Timer::Placement(request.sequence).token() });
    }

    /// Handles the expiry of a request's placement timer: places the request again if the request is queued
    /// or if the replies to its occupancy queries are overdue.
    pub(crate) fn on_placement_timer(
        &mut self,
        now: Micros,
        sequence: SequenceNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some((id, request)) = self.requests.find_by_sequence(sequence) else { return };
        if request.is_queued || request.awaits_occupancy_until.is_some_and(|until| now >= until) {
            self.expire_queries(now);
            self.place(now, id, actions);
        }
    }

    /// Sends an attempt of the request to a worker and notifies the worker's coordinator.
    pub(crate) fn send(&mut self, now: Micros, id: RequestId, index: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let worker = &mut self.fleet[index];
        let attempt = AttemptId { request: id, number: AttemptNo(request.attempts.len() as u32) };
        worker.in_flight.push(InFlightAttempt { id: attempt, sent_at: now, slots: request.slots });
        request.attempts.push(Attempt {
            worker: worker.endpoint.worker,
            occupancy_at_send: worker.occupancy_per_weight(now),
            state: AttemptState::InFlight,
            sent_at: now,
        });
        request.is_queued = false;
        request.awaits_occupancy_until = None;
        let times_out_at = request.objective_missed_after(-MAX_OVERRUN);
        let timeout = request.is_worthless_when_late().then(|| times_out_at.saturating_sub(now).max(1));
        actions.push(Action::Send { request: id, worker: worker.endpoint.worker, timeout });
        if migration::is_enabled(&self.settings) {
            let at = migration::first_check_at(now, request.deadline);
            actions.push(Action::SetTimer { at, token: Timer::AttemptCheck(request.sequence).token() });
        }
        if worker.is_warming_up(now, &self.settings.rules) {
            // The occupancy report of a warming worker is valid for one attempt only, because the worker's
            // coordinator reserved capacity for one attempt.
            worker.occupancy_report = None;
        }
        let message = PeerMessage::AttemptStarted { slots: request.slots, work: request.estimated_work() };
        self.notify_coordinator(now, index, message, actions);
    }
}

#[cfg(test)]
mod tests;
