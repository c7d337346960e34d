//! Placement: from a request's candidates to an attempt, an occupancy query or the queue.

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

/// Shortest mean pause before a queued request looks for a worker again, microseconds; it grows with its age.
pub(crate) const MIN_QUEUE_PAUSE: Micros = 200_000;
/// An attempt times out once it exceeds its expected work by this fraction and can't be in time any more.
const MAX_OVERRUN: f64 = 0.3;
/// A request without an attempt in flight is answered so many ticks ...
const ANSWER_MARGIN_TICKS: Micros = 2;
/// ... and this long before its deadline, microseconds.
const ANSWER_MARGIN: Micros = 2_000;

/// What the choice of a worker depends on beside the candidates.
struct Placement {
    request: RequestId,
    slots: f64,
    is_retry: bool,
    /// Its key is spread over several workers.
    is_spread: bool,
    /// It has waited for occupancy replies as long as it may.
    has_awaited_reports: bool,
    /// Its latency objective can't be met any more.
    is_late: bool,
}

impl Placement {
    fn new(now: Micros, request: RequestId, pending: &PendingRequest) -> Placement {
        Placement {
            request,
            slots: pending.slots,
            is_retry: !pending.attempts.is_empty(),
            is_spread: pending.spread != 1,
            has_awaited_reports: pending.awaits_occupancy_until.is_some_and(|until| now >= until),
            is_late: now > pending.late_from(1.0),
        }
    }
}

/// What became of the candidates of a request.
enum Selection {
    /// This one has capacity.
    Worker(usize),
    /// Replies of coordinators are awaited.
    AwaitReports,
    /// None has capacity.
    NoCapacity,
}

impl Scheduler {
    /// Takes a client's request.
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

    /// Counts a request's key; returns over how many workers it is spread.
    fn record_key(&mut self, now: Micros, key_hash: u64) -> usize {
        let fleet = FleetView {
            ready_workers: self.fleet.ready_count(),
            schedulers: self.settings.scheduler_count,
            load_is_known: coordination::is_enabled(&self.settings) || self.settings.reports_start,
        };
        self.hot_keys.record(now, key_hash, &fleet)
    }

    /// How long before its deadline a request without an attempt in flight is answered.
    fn answer_margin(&self) -> Micros {
        ANSWER_MARGIN_TICKS * self.settings.tick + ANSWER_MARGIN
    }

    /// Sends the request to a worker, queries the occupancy of some, queues it, or concludes it.
    pub(crate) fn place(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.has_attempt_in_flight() {
            return;
        }
        let is_out_of_time = now + self.answer_margin() >= request.deadline;
        if is_out_of_time || !request.allows_attempt_by(now + self.settings.tick) {
            return self.conclude(now, id, actions);
        }
        let placement = Placement::new(now, id, request);
        if placement.is_late && request.is_worthless_when_late() {
            return self.conclude(now, id, actions);
        }
        if self.endpoint_refresh.is_unconfirmed(now) {
            return self.queue(now, id, actions);
        }
        let candidates = self.candidates(now, id);
        match self.select(now, &placement, &candidates, actions) {
            Selection::Worker(index) => self.send(now, id, index, actions),
            Selection::AwaitReports => self.await_reports(now, id, actions),
            Selection::NoCapacity => match self.select_queue(now, &placement, &candidates) {
                Some(index) => self.send(now, id, index, actions),
                None => self.queue(now, id, actions),
            },
        }
    }

    /// The first candidate with capacity. Where schedulers coordinate, the home's occupancy is queried first,
    /// as it mostly has capacity; then that of the other workers together; then that of those that warm up.
    fn select(
        &mut self,
        now: Micros,
        placement: &Placement,
        candidates: &[usize],
        actions: &mut Vec<Action>,
    ) -> Selection {
        let mut has_queried = false;
        for (rank, &index) in candidates.iter().enumerate() {
            if has_queried && self.fleet[index].is_warming_up(now, &self.settings.rules) {
                break;
            }
            let may_query =
                !placement.has_awaited_reports && !self.fleet[index].concurrency_limit.is_rejecting(now);
            if may_query && self.query_occupancy(now, index, placement.request, actions) {
                has_queried = true;
                if rank == 0 {
                    break;
                }
                continue;
            }
            let preference = self.preference(now, placement, rank, index);
            if !self.admission(now).has_capacity(index, placement.slots, preference) {
                continue;
            }
            let needs_retry_budget = placement.is_retry && self.fleet[index].occupancy(now).is_none();
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

    /// What a candidate is to the request. Of a hot key, a worker that warms up is the home only as often as
    /// it is warm.
    fn preference(&mut self, now: Micros, placement: &Placement, rank: usize, index: usize) -> CandidateRole {
        let is_home = !placement.is_spread
            || self.random.next_fraction() < self.fleet[index].warm_up_fraction(now, &self.settings.rules);
        let is_first = rank == 0 || !coordination::is_enabled(&self.settings);
        if is_home && is_first {
            CandidateRole::Home
        } else {
            CandidateRole::Alternative
        }
    }

    /// The worker whose queue the request joins. Past its latency objective it joins none, or queues would
    /// stay long and make all that follows late. Where load is known, a rejected one waits here: at other
    /// workers its key's data is not cached.
    fn select_queue(&self, now: Micros, placement: &Placement, candidates: &[usize]) -> Option<usize> {
        let admission = self.admission(now);
        let index = admission.least_loaded(candidates, placement.slots)?;
        let may_join = !placement.is_late && (!placement.is_retry || admission.fair_share(index).is_some());
        may_join.then_some(index)
    }

    /// Waits for the replies of coordinators; a request that waits already keeps its timer.
    fn await_reports(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.awaits_occupancy_until.is_none() {
            let at = now + QUERY_TIMEOUT;
            request.awaits_occupancy_until = Some(at);
            actions.push(Action::SetTimer { at, token: Timer::Placement(request.sequence).token() });
        }
    }

    /// Queues the request: it looks for a worker again after a pause that grows with its age, and when the
    /// endpoint list changes.
    fn queue(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let jitter = 0.5 + self.random.next_fraction();
        let Some(request) = self.requests.get_mut(id) else { return };
        request.is_queued = true;
        request.awaits_occupancy_until = None;
        let pause = MIN_QUEUE_PAUSE.max(now.saturating_sub(request.arrived_at));
        let end = if request.is_worthless_when_late() { request.late_from(1.0) + 1 } else { Micros::MAX };
        let at = end.min(now + (pause as f64 * jitter) as Micros);
        actions.push(Action::SetTimer { at, token: Timer::Placement(request.sequence).token() });
    }

    /// Looks for a worker again, if the request is queued or its occupancy queries are overdue.
    pub(crate) fn on_placement_timer(
        &mut self,
        now: Micros,
        sequence: SequenceNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some((id, request)) = self.requests.find(sequence) else { return };
        if request.is_queued || request.awaits_occupancy_until.is_some_and(|until| now >= until) {
            self.expire_queries(now);
            self.place(now, id, actions);
        }
    }

    /// Sends an attempt to a worker.
    pub(crate) fn send(&mut self, now: Micros, id: RequestId, index: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let worker = &mut self.fleet[index];
        let attempt = AttemptId { request: id, number: AttemptNo(request.attempts.len() as u32) };
        worker.in_flight.push(InFlightAttempt { id: attempt, sent_at: now, slots: request.slots });
        request.attempts.push(Attempt {
            worker: worker.endpoint.worker,
            occupancy_at_send: worker.occupancy_per_unit(now),
            state: AttemptState::InFlight,
            sent_at: now,
        });
        request.is_queued = false;
        request.awaits_occupancy_until = None;
        let worst_end = request.late_from(-MAX_OVERRUN);
        let timeout = request.is_worthless_when_late().then(|| worst_end.saturating_sub(now).max(1));
        actions.push(Action::Send { request: id, worker: worker.endpoint.worker, timeout });
        if migration::is_enabled(&self.settings) {
            let at = migration::first_check_at(now, request.deadline);
            actions.push(Action::SetTimer { at, token: Timer::AttemptCheck(request.sequence).token() });
        }
        if worker.is_warming_up(now, &self.settings.rules) {
            // Its coordinator has reserved capacity for this attempt alone.
            worker.report = None;
        }
        let message = PeerMessage::AttemptStarted { slots: request.slots, work: request.likely_work() };
        self.notify_coordinator(now, index, message, actions);
    }
}

#[cfg(test)]
mod tests;
