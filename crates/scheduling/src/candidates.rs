//! Candidates: selects the workers that may take a request, in the order in which the scheduler tries them.

use crate::fleet::Fleet;
use crate::hash::mix;
use crate::ids::{Micros, RequestId};
use crate::outlier::ejections_apply;
use crate::request::PendingRequest;
use crate::retry::drops_repeat;
use crate::scheduler::Scheduler;
use crate::settings::{Idempotency, Settings};
use crate::worker::Worker;

/// Largest number of candidate workers in one placement of a request, apart from the warming workers that
/// come last. The number bounds the cost of a placement when all workers near the key on the ring are full.
const MAX_CANDIDATES: usize = 4;
/// Largest number of warming workers that come after the other candidates of a request.
const MAX_WARMING_CANDIDATES: usize = 2;

/// The search for the candidate workers of one request. The search visits the points of the ring clockwise
/// from the position of the request's key.
struct CandidateSearch<'a> {
    now: Micros,
    settings: &'a Settings,
    fleet: &'a Fleet,
    request: &'a PendingRequest,
    enforce_ejections: bool,
}

impl CandidateSearch<'_> {
    fn run(&self) -> Vec<usize> {
        let spread = self.request.spread;
        let max_found = spread + MAX_CANDIDATES - 1;
        let mut seen = vec![false; self.fleet.len()];
        let (mut found, mut warming_up) = (Vec::with_capacity(max_found + 1), Vec::new());
        for point in self.fleet.ring().clockwise_from(self.request.key_hash) {
            let index = point.worker_index();
            let worker = &self.fleet[index];
            if seen[index] || !self.serves_class(worker) {
                continue;
            }
            let warm_up_fraction = worker.warm_up_fraction(self.now, &self.settings.rules);
            if !point.is_active(warm_up_fraction, worker.points) {
                continue;
            }
            seen[index] = true;
            if !self.is_eligible(worker) {
                continue;
            }
            // A warming worker keeps its place in the order of the ring only for the first attempt of a
            // request whose key belongs to the worker. Otherwise the warming worker comes after the warm
            // workers.
            if warm_up_fraction < 1.0 && (found.len() >= spread || !self.request.attempts.is_empty()) {
                warming_up.push(index);
                continue;
            }
            found.push(index);
            if found.len() == max_found {
                break;
            }
        }
        self.rotate_to_start(&mut found);
        found.truncate(MAX_CANDIDATES);
        found.extend(warming_up.into_iter().take(MAX_WARMING_CANDIDATES));
        found
    }

    fn serves_class(&self, worker: &Worker) -> bool {
        worker.is_ready
            && self.request.class.machine_type.is_none_or(|kind| kind == worker.endpoint.machine_type)
    }

    /// Whether the worker is not ejected, and may get an attempt of the request.
    fn is_eligible(&self, worker: &Worker) -> bool {
        self.may_get_attempt(worker) && !(self.enforce_ejections && worker.outlier.is_ejected(self.now))
    }

    /// Whether an attempt at the worker can't make the job take effect a second time.
    fn may_get_attempt(&self, worker: &Worker) -> bool {
        self.drops_repeat_at(worker) && !self.request.excludes_worker(worker.endpoint.worker)
    }

    /// Whether the worker would drop the request's job as a repeat of an earlier attempt that may have run
    /// the job. Returns `true` for jobs that can't have run and for jobs that are not keyed.
    fn drops_repeat_at(&self, worker: &Worker) -> bool {
        let (Some(first), Idempotency::Keyed { scope, .. }) =
            (self.request.first_run(), self.request.class.idempotency)
        else {
            return true;
        };
        let first = self.fleet.get(first.worker).map(|first| &first.endpoint);
        drops_repeat(scope, first, &worker.endpoint)
    }

    /// Rotates the order of the candidates over which a hot key is spread, so that schedulers try different
    /// workers first. The key and the scheduler's index determine the first candidate, which is a worker in
    /// the scheduler's zone if possible.
    fn rotate_to_start(&self, found: &mut [usize]) {
        let spread = self.request.spread.min(found.len());
        if spread <= 1 {
            return;
        }
        let is_local = |index: usize| self.fleet[index].endpoint.zone == self.settings.zone;
        let start_hash = mix(self.request.key_hash ^ u64::from(self.settings.scheduler_index)) as usize;
        let local: Vec<usize> = (0..spread).filter(|position| is_local(found[*position])).collect();
        let start = if local.is_empty() { start_hash % spread } else { local[start_hash % local.len()] };
        found[..spread].rotate_left(start);
    }
}

impl Scheduler {
    /// Returns the indices of the workers that may take this request, in the order in which the scheduler
    /// tries them.
    pub(crate) fn candidates(&self, now: Micros, id: RequestId) -> Vec<usize> {
        self.requests.get(id).map_or_else(Vec::new, |request| self.candidate_search(now, request).run())
    }

    fn candidate_search<'a>(&'a self, now: Micros, request: &'a PendingRequest) -> CandidateSearch<'a> {
        let (settings, fleet) = (&self.settings, &self.fleet);
        let ejected = fleet.ready().filter(|worker| worker.outlier.is_ejected(now)).count();
        let enforce_ejections = ejections_apply(ejected, fleet.ready_count());
        CandidateSearch { now, settings, fleet, request, enforce_ejections }
    }

    /// Whether workers have returned the request's job, and no ready worker of its class is left that may get
    /// a further attempt. Such a request gains nothing by waiting.
    pub(crate) fn is_returned_by_all_workers(&self, now: Micros, request: &PendingRequest) -> bool {
        if !request.was_returned() {
            return false;
        }
        let search = self.candidate_search(now, request);
        let mut workers = self.fleet.ready().filter(|worker| search.serves_class(worker)).peekable();
        workers.peek().is_some() && !workers.any(|worker| search.may_get_attempt(worker))
    }
}

#[cfg(test)]
mod tests;
