//! What a scheduler knows of one worker: load, concurrency limit, health.

use crate::interface::*;
use crate::slow_start;

/// Word of a start takes no longer than this where the job need not wait, microseconds.
pub(crate) const START_LAG: Micros = 60_000;
/// A job not started within this, or a quarter of its time, waits for a slot and may move.
pub(crate) const MOVE_AFTER: Micros = 300_000;
/// What a keeper was told of an attempt counts for this long: word of its end may be lost, microseconds.
pub(crate) const KEPT: Micros = 4_000_000;
/// A report older than this says nothing any more where nothing else is known, microseconds.
const REPORT_HORIZON: Micros = 1_000_000;

/// An own attempt that runs: its number, since when, when it was last heard of, and the share done by then.
pub(crate) struct Started {
    pub(crate) attempt: (RequestId, u32),
    pub(crate) began: Micros,
    pub(crate) heard: Micros,
    pub(crate) share: f64,
}

/// What this scheduler knows of a worker.
#[derive(Default)]
pub(crate) struct Worker {
    /// Its entry in the list.
    pub(crate) endpoint: Endpoint,
    /// When its process started, by this scheduler's own clock; `None`: long ago.
    pub(crate) began: Option<Micros>,
    pub(crate) ready: bool,
    pub(crate) weight: f64,
    pub(crate) points: u32,
    /// Slots in hand there by its keeper's latest report, if the keeper knew, and when it was asked.
    pub(crate) report: (Option<f64>, Option<Micros>),
    pub(crate) full_until: Micros,
    /// Own outstanding slots at which it counts as busy when no report speaks; learned from refusals.
    pub(crate) bound: f64,
    /// Own attempts out: request, attempt, when sent, slots.
    pub(crate) out: Vec<(RequestId, u32, Micros, f64)>,
    /// Those of them that have started, where workers tell.
    pub(crate) started: Vec<Started>,
    /// Which keeper was asked of it and has not answered yet, and when.
    pub(crate) asked: Option<(u32, Micros)>,
    pub(crate) waiters: Vec<RequestId>,
    /// As its keeper: attempts that peers have out there; peer, when, slots.
    pub(crate) kept: Vec<(u32, Micros, f64)>,
    /// As its keeper: who has just been told how full it is while cold, when, and with how much work in hand.
    pub(crate) granted: Vec<(u32, Micros, Micros)>,
    /// On this account: work sent there less what it can have done of it by then, and when that was.
    pub(crate) poured: (f64, Micros),
    pub(crate) failures: u32,
    pub(crate) ejected_until: Micros,
}

/// When to look after an attempt sent now of a request due then.
pub(crate) fn watch_at(now: Micros, deadline: Micros) -> Micros {
    now + MOVE_AFTER.min(deadline.saturating_sub(now) / 4).max(START_LAG)
}

impl Worker {
    pub(crate) fn own_slots(&self) -> f64 {
        self.out.iter().map(|o| o.3).sum()
    }

    /// As its keeper: slots that peers have in hand there.
    pub(crate) fn kept_slots(&self, now: Micros) -> f64 {
        self.kept.iter().filter(|k| k.1 + KEPT > now).map(|k| k.2).sum()
    }

    /// Slots in hand by the latest report of its keeper and what was sent since.
    pub(crate) fn held(&self, now: Micros) -> Option<f64> {
        let at = self.report.1.filter(|at| now.saturating_sub(*at) < REPORT_HORIZON)?;
        let since: f64 = self.out.iter().filter(|o| o.2 >= at).map(|o| o.3).sum();
        self.report.0.map(|held| held + since)
    }

    /// Whether an own job has waited here for longer than word of its start takes: the slots are full.
    pub(crate) fn keeps_waiting(&self, now: Micros) -> bool {
        self.out.iter().any(|o| o.2 + START_LAG < now && self.running((o.0, o.1)).is_none())
    }

    pub(crate) fn running(&self, attempt: (RequestId, u32)) -> Option<&Started> {
        self.started.iter().find(|s| s.attempt == attempt)
    }

    /// `room`: slots that one unit of size is thought to have.
    pub(crate) fn busy(&self, now: Micros, slots: f64, room: f64) -> bool {
        let crowded = |held: f64| held + slots > (room * self.weight).max(slots);
        now < self.full_until
            || self.held(now).is_some_and(crowded)
            || self.own_slots() + slots > self.bound.max(slots)
    }

    pub(crate) fn warm_up_fraction(&self, now: Micros, rules: &Rules) -> f64 {
        slow_start::warm_up_fraction(self.began, now, rules)
    }
}

pub(crate) fn new_worker(endpoint: Endpoint, weight: f64, began: Option<Micros>) -> Worker {
    let ready = endpoint.state == EndpointState::Ready;
    Worker { endpoint, began, ready, weight, bound: f64::INFINITY, ..Worker::default() }
}
