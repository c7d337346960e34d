//! Coordination between schedulers: each worker has one scheduler as its coordinator, which keeps account of
//! the attempts that all schedulers have in flight at the worker.
//!
//! Schedulers notify a worker's coordinator when an attempt at the worker starts or ends, and query the
//! coordinator for the worker's occupancy before they send a job to the worker. Every scheduler computes the
//! coordinator by rendezvous hashing, so all schedulers agree on the coordinator without exchanging messages.
//! A scheduler that does not reply to an occupancy query is not chosen as a coordinator for a while.

use crate::actions::{Action, Recipient};
use crate::events::Outcome;
use crate::hash::mix;
use crate::ids::{Micros, RequestId, WorkerId};
use crate::peer_message::{Occupancy, PeerMessage};
use crate::request::PendingRequest;
use crate::scheduler::Scheduler;
use crate::settings::{LoadReportSource, Settings};
use crate::slow_start::usable_slot_fraction;
use crate::worker::OccupancyReport;
use std::collections::BTreeMap;

/// How long to wait for a coordinator's reply to an occupancy query, in microseconds.
pub(crate) const QUERY_TIMEOUT: Micros = 40_000;
/// How long a scheduler that did not reply to an occupancy query is not chosen as a coordinator, in
/// microseconds.
const UNRESPONSIVE_TIME: Micros = 2_000_000;
/// Maximum time for which a coordinator counts a peer's attempt as in flight, in microseconds. Without this
/// maximum, the coordinator would count an attempt forever if the peer's message about the attempt's end were
/// lost.
const MAX_PEER_ATTEMPT_AGE: Micros = 4_000_000;
/// Occupancy that a coordinator reports for a warming worker that can take no further job, in slots. The
/// value exceeds the number of slots of any worker.
const FULLY_OCCUPIED: f64 = 4000.0;

/// Index of a scheduler among all schedulers, from 0.
pub(crate) type SchedulerIndex = u32;

/// Whether workers have coordinators. Schedulers coordinate if there are several schedulers, schedulers may
/// send messages to each other, and workers never report their load.
pub(crate) fn is_enabled(settings: &Settings) -> bool {
    settings.limits.may_message_peers
        && settings.scheduler_count > 1
        && settings.load_report_source == LoadReportSource::Never
}

/// An occupancy query about a worker that the worker's coordinator has not replied to yet.
pub(crate) struct PendingQuery {
    pub(crate) coordinator: SchedulerIndex,
    pub(crate) sent_at: Micros,
}

impl PendingQuery {
    fn is_overdue(&self, now: Micros) -> bool {
        self.sent_at + QUERY_TIMEOUT <= now
    }
}

/// Chooses the coordinator of each worker and keeps track of the peers that do not reply to occupancy
/// queries.
#[derive(Default)]
pub(crate) struct Coordinators {
    /// Peers that did not reply to an occupancy query, each with the time until which the peer is not chosen
    /// as a coordinator.
    unresponsive_peers: BTreeMap<SchedulerIndex, Micros>,
}

impl Coordinators {
    /// Returns the index of the worker's coordinator: the first scheduler in the order of rendezvous hashing
    /// that is not marked as unresponsive. Returns `None` if schedulers don't coordinate.
    fn coordinator_of(
        &mut self,
        now: Micros,
        worker: WorkerId,
        settings: &Settings,
    ) -> Option<SchedulerIndex> {
        self.unresponsive_peers.retain(|_, until| now < *until);
        let schedulers = if is_enabled(settings) { settings.scheduler_count } else { 0 };
        let responsive = (0..schedulers).filter(|peer| !self.unresponsive_peers.contains_key(peer));
        responsive.max_by_key(|peer| mix(worker.0 ^ mix(u64::from(*peer))))
    }

    fn mark_responsive(&mut self, peer: SchedulerIndex) {
        self.unresponsive_peers.remove(&peer);
    }

    fn mark_unresponsive(&mut self, now: Micros, peer: SchedulerIndex) {
        self.unresponsive_peers.insert(peer, now + UNRESPONSIVE_TIME);
    }

    /// Returns the fraction of a warming worker's work budget that this scheduler may spend. If schedulers
    /// don't coordinate, every scheduler may spend an equal share. If schedulers coordinate, the worker's
    /// coordinator may spend its own share and the shares of all peers that are not marked as unresponsive.
    pub(crate) fn budget_share(&self, settings: &Settings) -> f64 {
        let schedulers = f64::from(settings.scheduler_count);
        if is_enabled(settings) {
            1.0 - self.unresponsive_peers.len() as f64 / schedulers
        } else {
            1.0 / schedulers
        }
    }
}

/// An attempt that a peer has in flight at a worker.
struct PeerAttempt {
    peer: SchedulerIndex,
    started_at: Micros,
    slots: f64,
}

impl PeerAttempt {
    fn is_recent(&self, now: Micros) -> bool {
        self.started_at + MAX_PEER_ATTEMPT_AGE > now
    }
}

/// Capacity of a warming worker that the worker's coordinator reserves for a peer after the peer's occupancy
/// query, for at most [`QUERY_TIMEOUT`].
struct Reservation {
    peer: SchedulerIndex,
    made_at: Micros,
    work: Micros,
}

/// Limits on what schedulers may still send to a worker that is warming up.
struct WarmingCapacity {
    /// Number of the worker's slots that may be in use in total.
    slots: f64,
    /// Work that may still be sent to the worker, in microseconds; negative if too much work was sent.
    work: f64,
}

/// A coordinator's account of its peers' attempts and reservations at one worker.
#[derive(Default)]
pub(crate) struct PeerOccupancy {
    attempts: Vec<PeerAttempt>,
    reservations: Vec<Reservation>,
}

impl PeerOccupancy {
    /// Returns the number of slots that the peers' attempts in flight take at the worker.
    fn slots_in_flight(&self, now: Micros) -> f64 {
        self.attempts.iter().filter(|attempt| attempt.is_recent(now)).map(|attempt| attempt.slots).sum()
    }

    /// Records that a peer has sent an attempt to the worker. The attempt replaces the peer's reservation, if
    /// any.
    fn record_start(&mut self, now: Micros, peer: SchedulerIndex, slots: f64) {
        self.reservations.retain(|reservation| reservation.peer != peer);
        self.attempts.retain(|attempt| attempt.is_recent(now));
        self.attempts.push(PeerAttempt { peer, started_at: now, slots });
    }

    /// Records that an attempt of a peer at the worker has ended. Removes the peer's oldest attempt, because
    /// the peer's message does not identify the attempt.
    fn record_end(&mut self, peer: SchedulerIndex) {
        if let Some(position) = self.attempts.iter().position(|attempt| attempt.peer == peer) {
            self.attempts.remove(position);
        }
    }

    /// Reserves capacity of the worker for one job of a peer; `work` is the job's work in microseconds.
    /// Returns the number of slots in flight or reserved before this reservation, or `None` if the worker
    /// can't take the job.
    fn reserve(
        &mut self,
        now: Micros,
        peer: SchedulerIndex,
        work: Micros,
        in_flight: f64,
        capacity: &WarmingCapacity,
    ) -> Option<f64> {
        self.reservations
            .retain(|reservation| reservation.made_at + QUERY_TIMEOUT > now && reservation.peer != peer);
        let reserved_work: Micros = self.reservations.iter().map(|reservation| reservation.work).sum();
        let occupied_slots = in_flight + self.reservations.len() as f64;
        if reserved_work as f64 > capacity.work || occupied_slots + 1.0 > capacity.slots.max(1.0) {
            return None;
        }
        self.reservations.push(Reservation { peer, made_at: now, work });
        Some(occupied_slots)
    }
}

impl Scheduler {
    /// Sends `message` to the coordinator of the worker at `index`. If this scheduler is the worker's
    /// coordinator, or if schedulers don't coordinate, sends nothing; a started attempt is then charged to
    /// the work budget that this scheduler keeps for the worker.
    pub(crate) fn notify_coordinator(
        &mut self,
        now: Micros,
        index: usize,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        let worker = self.fleet[index].endpoint.worker;
        match (self.coordinators.coordinator_of(now, worker, &self.settings), message) {
            (Some(coordinator), _) if coordinator != self.settings.scheduler_index => {
                let data = message.encode(worker);
                actions.push(Action::SendPeerMessage { to: Recipient::One(coordinator), data });
            }
            (_, PeerMessage::AttemptStarted { work, .. }) => self.charge_work_budget(now, index, work),
            _ => {}
        }
    }

    fn charge_work_budget(&mut self, now: Micros, index: usize, work: Micros) {
        let overload_rate = self.admission(now).overload_rate(index);
        self.fleet[index].work_budget.charge(now, overload_rate, work);
    }

    /// Returns a worker's occupancy in slots, computed by this scheduler as the worker's coordinator. The
    /// scheduler `peer` has a job with `work` microseconds of work. If the worker is warming up, reserves
    /// capacity for that job, or returns [`FULLY_OCCUPIED`] if the worker's remaining capacity is too small.
    fn occupancy_for(&mut self, now: Micros, index: usize, peer: SchedulerIndex, work: Micros) -> f64 {
        self.charge_work_budget(now, index, 0);
        let remaining_work = self.admission(now).remaining_work(index);
        let worker = &mut self.fleet[index];
        let in_flight = worker.peer_occupancy.slots_in_flight(now) + worker.slots_from_this_scheduler();
        let warm_up_fraction = worker.warm_up_fraction(now, &self.settings.rules);
        if warm_up_fraction >= 1.0 {
            return in_flight;
        }
        let slots = self.slots_per_weight.get() * worker.weight * usable_slot_fraction(warm_up_fraction);
        let capacity = WarmingCapacity { slots, work: remaining_work };
        worker.peer_occupancy.reserve(now, peer, work, in_flight, &capacity).unwrap_or(FULLY_OCCUPIED)
    }

    /// Queries a worker's coordinator for the worker's occupancy, unless a fresh occupancy report is
    /// available. Returns whether the request `id` has to wait for the coordinator's reply.
    pub(crate) fn query_occupancy(
        &mut self,
        now: Micros,
        index: usize,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let worker = self.fleet[index].endpoint.worker;
        let coordinator = self.coordinators.coordinator_of(now, worker, &self.settings);
        let needs_report = !self.fleet[index].has_fresh_report(now);
        let Some(coordinator) = coordinator.filter(|_| needs_report) else { return false };
        let work = self.requests.get(id).map_or(0, PendingRequest::estimated_work);
        if coordinator == self.settings.scheduler_index {
            let slots = Some(self.occupancy_for(now, index, coordinator, work));
            // This scheduler is the worker's coordinator, and the slots in its report already include the
            // attempts sent at `now`. A query time after `now` keeps these attempts from being added to the
            // reported slots a second time.
            self.fleet[index].occupancy_report = Some(OccupancyReport { slots, queried_at: now + 1 });
            return false;
        }
        let worker = &mut self.fleet[index];
        if !worker.awaiting_report.contains(&id) {
            worker.awaiting_report.push(id);
        }
        if worker.pending_query.is_none() {
            worker.pending_query = Some(PendingQuery { coordinator, sent_at: now });
            self.notify_coordinator(now, index, PeerMessage::OccupancyQuery { work }, actions);
        }
        true
    }

    /// Marks the coordinators whose replies to occupancy queries are overdue as unresponsive.
    pub(crate) fn expire_queries(&mut self, now: Micros) {
        for worker in self.fleet.iter_mut() {
            if let Some(query) = worker.pending_query.take_if(|query| query.is_overdue(now)) {
                self.coordinators.mark_unresponsive(now, query.coordinator);
            }
        }
    }

    /// Handles a message from another scheduler. Ignores data that can't be decoded.
    pub(crate) fn on_peer_message(
        &mut self,
        now: Micros,
        from: SchedulerIndex,
        data: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if from == self.settings.scheduler_index {
            return;
        }
        let Some((message, worker)) = PeerMessage::decode(data) else { return };
        self.coordinators.mark_responsive(from);
        let index = self.fleet.index_of(worker);
        match (message, index) {
            (PeerMessage::OccupancyQuery { work }, _) => {
                let occupancy = index.map(|index| self.report_occupancy(now, index, from, work));
                let data = PeerMessage::OccupancyReply(occupancy).encode(worker);
                actions.push(Action::SendPeerMessage { to: Recipient::One(from), data });
            }
            (_, None) => {}
            (PeerMessage::OccupancyReply(occupancy), Some(index)) => {
                self.on_occupancy_reply(now, index, occupancy, actions);
            }
            (PeerMessage::AttemptStarted { slots, work }, Some(index)) => {
                self.fleet[index].peer_occupancy.record_start(now, from, slots);
                self.charge_work_budget(now, index, work);
            }
            (PeerMessage::AttemptFinished { served, connection_failed }, Some(index)) => {
                self.on_peer_attempt_finished(now, index, from, served, connection_failed);
            }
        }
    }

    /// Builds the coordinator's reply to a peer's occupancy query about the worker at `index`.
    fn report_occupancy(
        &mut self,
        now: Micros,
        index: usize,
        from: SchedulerIndex,
        work: Micros,
    ) -> Occupancy {
        let slots = self.occupancy_for(now, index, from, work);
        let ejected_for = self.fleet[index].outlier.ejected_until().saturating_sub(now);
        Occupancy { slots, ejected_for }
    }

    /// Stores the occupancy in a coordinator's reply about the worker at `index`, and places the requests
    /// that were waiting for the reply.
    fn on_occupancy_reply(
        &mut self,
        now: Micros,
        index: usize,
        occupancy: Option<Occupancy>,
        actions: &mut Vec<Action>,
    ) {
        let worker = &mut self.fleet[index];
        let Some(query) = worker.pending_query.take() else { return };
        let slots = occupancy.map(|occupancy| occupancy.slots);
        worker.occupancy_report = Some(OccupancyReport { slots, queried_at: query.sent_at });
        if let Some(occupancy) = occupancy.filter(|occupancy| occupancy.ejected_for > 0) {
            worker.outlier.extend_ejection(now, occupancy.ejected_for);
        }
        for id in std::mem::take(&mut worker.awaiting_report) {
            if self.requests.get(id).is_some_and(|request| request.awaits_occupancy_until.is_some()) {
                self.place(now, id, actions);
            }
        }
    }

    fn on_peer_attempt_finished(
        &mut self,
        now: Micros,
        index: usize,
        from: SchedulerIndex,
        served: bool,
        connection_failed: bool,
    ) {
        let worker = &mut self.fleet[index];
        worker.peer_occupancy.record_end(from);
        if served {
            worker.outlier.reset_failures();
        }
        if connection_failed {
            worker.record_result(now, Outcome::NoResponse, false);
        }
    }
}

#[cfg(test)]
mod tests;
