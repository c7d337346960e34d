//! Candidates: the workers that may take a request, in the order in which they are tried.

use crate::fleet::Fleet;
use crate::hash::mix;
use crate::ids::{Micros, RequestId};
use crate::outlier::ejections_apply;
use crate::request::PendingRequest;
use crate::retry::drops_repeat;
use crate::scheduler::Scheduler;
use crate::settings::{Idempotency, Settings};
use crate::worker::Worker;

/// Candidates that are looked at for one decision; bounds the cost where a whole neighbourhood is full.
const MAX_CANDIDATES: usize = 4;
/// Workers that warm up that are looked at after those.
const MAX_WARMING_CANDIDATES: usize = 2;

/// The search for the candidates of one request: a walk clockwise from its key.
struct CandidateSearch<'a> {
    now: Micros,
    settings: &'a Settings,
    fleet: &'a Fleet,
    request: &'a PendingRequest,
    ejections_apply: bool,
}

impl CandidateSearch<'_> {
    fn run(&self) -> Vec<usize> {
        let spread = self.request.spread;
        let max_walk = spread + MAX_CANDIDATES - 1;
        let mut seen = vec![false; self.fleet.len()];
        let (mut found, mut warming) = (Vec::with_capacity(max_walk + 1), Vec::new());
        for point in self.fleet.ring().clockwise_from(self.request.key_hash) {
            let index = point.worker_index();
            let worker = &self.fleet[index];
            if seen[index] || !self.takes_class(worker) {
                continue;
            }
            let warm_up_fraction = worker.warm_up_fraction(self.now, &self.settings.rules);
            if !point.is_active(warm_up_fraction, worker.points) {
                continue;
            }
            seen[index] = true;
            if !self.may_run_at(worker) {
                continue;
            }
            // A worker that warms up takes its own keys; all else only after the others.
            if warm_up_fraction < 1.0 && (found.len() >= spread || !self.request.attempts.is_empty()) {
                warming.push(index);
                continue;
            }
            found.push(index);
            if found.len() == max_walk {
                break;
            }
        }
        self.rotate_to_start(&mut found);
        found.truncate(MAX_CANDIDATES);
        found.extend(warming.into_iter().take(MAX_WARMING_CANDIDATES));
        found
    }

    fn takes_class(&self, worker: &Worker) -> bool {
        worker.is_ready
            && self.request.class.machine_type.is_none_or(|kind| kind == worker.endpoint.machine_type)
    }

    /// Whether an attempt at this worker has no second effect, and the worker is healthy.
    fn may_run_at(&self, worker: &Worker) -> bool {
        self.drops_repeat_at(worker)
            && !self.may_have_run_at(worker)
            && !(self.ejections_apply && worker.outlier.is_ejected(self.now))
    }

    /// Whether the worker would drop a repeat of a keyed job that may have run.
    fn drops_repeat_at(&self, worker: &Worker) -> bool {
        let (Some(first), Idempotency::Keyed { scope, .. }) =
            (self.request.first_run(), self.request.class.idempotency)
        else {
            return true;
        };
        let first = self.fleet.get(first.worker).map(|first| &first.endpoint);
        drops_repeat(scope, first, &worker.endpoint)
    }

    fn may_have_run_at(&self, worker: &Worker) -> bool {
        let mut attempts = self.request.attempts.iter();
        attempts.any(|attempt| attempt.worker == worker.endpoint.worker && attempt.may_have_run())
    }

    /// A hot key is spread over its first workers: each scheduler starts at one of its own zone where there
    /// is one, fixed by its index, and goes on clockwise from there.
    fn rotate_to_start(&self, found: &mut [usize]) {
        let spread = self.request.spread.min(found.len());
        if spread <= 1 {
            return;
        }
        let is_local = |index: usize| self.fleet[index].endpoint.zone == self.settings.zone;
        let pick = mix(self.request.key_hash ^ u64::from(self.settings.scheduler_index)) as usize;
        let local: Vec<usize> = (0..spread).filter(|position| is_local(found[*position])).collect();
        let start = if local.is_empty() { pick % spread } else { local[pick % local.len()] };
        found[..spread].rotate_left(start);
    }
}

impl Scheduler {
    /// The workers that may take this request, by index, in the order in which they are tried.
    pub(crate) fn candidates(&self, now: Micros, id: RequestId) -> Vec<usize> {
        let Some(request) = self.requests.get(id) else { return Vec::new() };
        let (settings, fleet) = (&self.settings, &self.fleet);
        let ejected = fleet.ready().filter(|worker| worker.outlier.is_ejected(now)).count();
        let ejections_apply = ejections_apply(ejected, fleet.ready_count());
        CandidateSearch { now, settings, fleet, request, ejections_apply }.run()
    }
}

#[cfg(test)]
mod tests;
