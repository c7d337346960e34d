//! Coordination between schedulers: each worker has one coordinator among them, which accounts for what all
//! of them have in flight there.
//!
//! Schedulers notify the coordinator of each attempt's start and end, and query the worker's occupancy before
//! they send. All agree on the coordinator without a message, by rendezvous hashing; one that doesn't answer
//! is passed over for a while.

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

/// A coordinator's reply is awaited this long, microseconds.
pub(crate) const QUERY_TIMEOUT: Micros = 40_000;
/// A coordinator that did not answer is passed over this long, microseconds.
const UNRESPONSIVE_TIME: Micros = 2_000_000;
/// A peer's attempt counts for this long at most, as the message of its end may be lost, microseconds.
const MAX_PEER_ATTEMPT_AGE: Micros = 4_000_000;
/// The occupancy that is reported for a worker that takes nothing now, slots; above the slots of any worker.
const FULLY_OCCUPIED: f64 = 4000.0;

/// Index of a scheduler among its peers.
pub(crate) type SchedulerIndex = u32;

/// Whether schedulers coordinate: they may send one another messages, and no worker reports its load.
pub(crate) fn is_enabled(settings: &Settings) -> bool {
    settings.limits.may_message_peers
        && settings.scheduler_count > 1
        && settings.load_report_source == LoadReportSource::Never
}

/// An occupancy query that has no reply yet.
pub(crate) struct PendingQuery {
    pub(crate) coordinator: SchedulerIndex,
    pub(crate) sent_at: Micros,
}

impl PendingQuery {
    fn is_overdue(&self, now: Micros) -> bool {
        self.sent_at + QUERY_TIMEOUT <= now
    }
}

/// Which scheduler coordinates a worker, given the peers that do not answer.
#[derive(Default)]
pub(crate) struct Coordinators {
    /// Peers that did not answer, and until when they are passed over.
    unresponsive_peers: BTreeMap<SchedulerIndex, Micros>,
}

impl Coordinators {
    /// The worker's coordinator: the first by rendezvous hashing that is not unresponsive; `None` if
    /// schedulers don't coordinate.
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

    /// This scheduler's part of the work that a worker bears while it warms up: an equal share, or as
    /// coordinator the shares of all peers that are not unresponsive.
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
    fn counts(&self, now: Micros) -> bool {
        self.started_at + MAX_PEER_ATTEMPT_AGE > now
    }
}

/// Capacity of a worker that warms up, reserved for a moment for the peer that queried it.
struct Reservation {
    peer: SchedulerIndex,
    made_at: Micros,
    work: Micros,
}

/// What a worker that warms up can take yet.
struct WarmingCapacity {
    slots: f64,
    /// Work that it may be sent, microseconds; below 0 if it was sent too much.
    work: f64,
}

/// A coordinator's account of what its peers have at one worker.
#[derive(Default)]
pub(crate) struct PeerLedger {
    attempts: Vec<PeerAttempt>,
    reservations: Vec<Reservation>,
}

impl PeerLedger {
    /// Slots that peers have in flight.
    fn slots(&self, now: Micros) -> f64 {
        self.attempts.iter().filter(|attempt| attempt.counts(now)).map(|attempt| attempt.slots).sum()
    }

    /// A peer has sent an attempt, by its reservation if it has one.
    fn record_start(&mut self, now: Micros, peer: SchedulerIndex, slots: f64) {
        self.reservations.retain(|reservation| reservation.peer != peer);
        self.attempts.retain(|attempt| attempt.counts(now));
        self.attempts.push(PeerAttempt { peer, started_at: now, slots });
    }

    /// An attempt of a peer has ended: the oldest one stands for it.
    fn record_end(&mut self, peer: SchedulerIndex) {
        if let Some(position) = self.attempts.iter().position(|attempt| attempt.peer == peer) {
            self.attempts.remove(position);
        }
    }

    /// Reserves capacity for one job of a peer. Returns the slots in flight and reserved before it, or `None`
    /// if the worker can't take it.
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
        let taken = in_flight + self.reservations.len() as f64;
        if reserved_work as f64 > capacity.work || taken + 1.0 > capacity.slots.max(1.0) {
            return None;
        }
        self.reservations.push(Reservation { peer, made_at: now, work });
        Some(taken)
    }
}

impl Scheduler {
    /// Sends a message about a worker to its coordinator. Where this scheduler is the coordinator or there is
    /// none, it does the accounting itself.
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
            (_, PeerMessage::AttemptStarted { work, .. }) => self.charge_admitted_work(now, index, work),
            _ => {}
        }
    }

    fn charge_admitted_work(&mut self, now: Micros, index: usize, work: Micros) {
        let overload_rate = self.admission(now).overload_rate(index);
        self.fleet[index].admitted_work.charge(now, overload_rate, work);
    }

    /// As its coordinator: a worker's occupancy, for a scheduler that has a job of so much work. A worker
    /// that warms up and was sent nearly what it bears is fully occupied; otherwise its capacity is reserved
    /// for the querying peer.
    fn occupancy_for(&mut self, now: Micros, index: usize, peer: SchedulerIndex, work: Micros) -> f64 {
        self.charge_admitted_work(now, index, 0);
        let remaining_work = self.admission(now).remaining_work(index);
        let worker = &mut self.fleet[index];
        let in_flight = worker.peers.slots(now) + worker.own_slots();
        let warm_up_fraction = worker.warm_up_fraction(now, &self.settings.rules);
        if warm_up_fraction >= 1.0 {
            return in_flight;
        }
        let slots = self.slots_per_unit.get() * worker.weight * usable_slot_fraction(warm_up_fraction);
        let capacity = WarmingCapacity { slots, work: remaining_work };
        worker.peers.reserve(now, peer, work, in_flight, &capacity).unwrap_or(FULLY_OCCUPIED)
    }

    /// Queries a worker's occupancy from its coordinator, unless a fresh report is at hand. Returns whether a
    /// reply is to be awaited.
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
        let work = self.requests.get(id).map_or(0, PendingRequest::likely_work);
        if coordinator == self.settings.scheduler_index {
            let slots = Some(self.occupancy_for(now, index, coordinator, work));
            // What is sent in this very moment counts in addition only later: it is in the account already.
            self.fleet[index].report = Some(OccupancyReport { slots, queried_at: now + 1 });
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

    /// Passes over the coordinators whose replies are overdue.
    pub(crate) fn expire_queries(&mut self, now: Micros) {
        for worker in self.fleet.iter_mut() {
            if let Some(query) = worker.pending_query.take_if(|query| query.is_overdue(now)) {
                self.coordinators.mark_unresponsive(now, query.coordinator);
            }
        }
    }

    /// Handles a message of another scheduler.
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
                self.fleet[index].peers.record_start(now, from, slots);
                self.charge_admitted_work(now, index, work);
            }
            (PeerMessage::AttemptFinished { served, connection_failed }, Some(index)) => {
                self.on_peer_attempt_finished(now, index, from, served, connection_failed);
            }
        }
    }

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

    /// Takes over a coordinator's reply and places the requests that wait for it.
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
        worker.report = Some(OccupancyReport { slots, queried_at: query.sent_at });
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
        worker.peers.record_end(from);
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
