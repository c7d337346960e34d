//! Parts of the simulations in the tests of slow start: simulated workers, the timers of several schedulers,
//! and random numbers. Time advances in steps of a fixed tick.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// A linear congruential generator of random fractions.
pub struct Lcg(u64);

impl Lcg {
    pub fn new(seed: u64) -> Lcg {
        Lcg(seed)
    }

    /// Returns the next random fraction, in `[0, 1)`.
    pub fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// An attempt that a simulated worker runs or has in its queue.
pub struct Job {
    /// Index of the scheduler that sent the attempt.
    pub scheduler: usize,
    /// Id of the request that the attempt belongs to.
    pub id: u64,
    /// Remaining running time of the job at speed 1, in microseconds.
    pub remaining: f64,
    pub timeout_at: Micros,
}

/// The simulated workers. Each worker runs one job per slot, in order of arrival, and queues the other jobs.
pub struct Workers {
    /// Number of slots of each worker.
    pub slots: usize,
    /// Running and queued jobs of each worker in order of arrival, by worker ID.
    pub jobs: BTreeMap<u64, Vec<Job>>,
    /// Number of jobs that all workers have completed.
    pub served: usize,
}

impl Workers {
    pub fn new(slots: usize) -> Workers {
        Workers { slots, jobs: BTreeMap::new(), served: 0 }
    }

    pub fn add(&mut self, worker: WorkerId, job: Job) {
        self.jobs.entry(worker.0).or_default().push(job);
    }

    /// Runs all workers for one tick, each worker at the speed that `speed` returns for its ID. Returns an
    /// event for each attempt that has ended, with the index of the attempt's scheduler.
    pub fn run(&mut self, now: Micros, tick: Micros, speed: impl Fn(u64) -> f64) -> Vec<(usize, Event)> {
        let mut ended = Vec::new();
        for (worker, jobs) in &mut self.jobs {
            let work_done = tick as f64 * speed(*worker);
            jobs.iter_mut().take(self.slots).for_each(|job| job.remaining -= work_done);
            jobs.retain(|job| {
                let is_complete = job.remaining <= 0.0;
                let is_finished = is_complete || job.timeout_at <= now;
                if is_finished {
                    let outcome = if is_complete { Outcome::Ok } else { Outcome::Timeout };
                    ended.push((job.scheduler, attempt_finished(job.id, 0, WorkerId(*worker), outcome)));
                }
                self.served += usize::from(is_complete);
                !is_finished
            });
        }
        ended
    }
}

/// The timers that all schedulers have set, in order of expiry.
#[derive(Default)]
pub struct Timers(BTreeSet<(Micros, usize, TimerToken)>);

impl Timers {
    pub fn insert(&mut self, at: Micros, scheduler: usize, token: TimerToken) {
        self.0.insert((at, scheduler, token));
    }

    /// Removes the timers of one scheduler.
    pub fn clear(&mut self, scheduler: usize) {
        self.0.retain(|(_, timer_scheduler, _)| *timer_scheduler != scheduler);
    }

    /// Removes the timers that have expired. Returns an event for each expired timer, with the index of the
    /// timer's scheduler.
    pub fn expired(&mut self, now: Micros) -> Vec<(usize, Event)> {
        let mut events = Vec::new();
        while self.0.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, scheduler, token) = self.0.pop_first().expect("a timer has expired");
            events.push((scheduler, Event::Timer(token)));
        }
        events
    }
}
