//! Simulated workers behind simulated schedulers, in steps of a fixed tick.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

/// A linear congruential generator of fractions.
pub struct Lcg(u64);

impl Lcg {
    pub fn new(seed: u64) -> Lcg {
        Lcg(seed)
    }

    /// A fraction in `[0, 1)`.
    pub fn fraction(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }
}

/// An attempt at a simulated worker.
pub struct Job {
    /// Index of the scheduler that sent it.
    pub scheduler: usize,
    pub id: u64,
    /// Work that is still to be done, microseconds.
    pub remaining: f64,
    pub timeout_at: Micros,
}

/// Workers that run their first jobs, one for each slot, and queue the others.
pub struct Workers {
    pub slots: usize,
    pub jobs: BTreeMap<u64, Vec<Job>>,
    /// Jobs that were completed.
    pub served: usize,
}

impl Workers {
    pub fn new(slots: usize) -> Workers {
        Workers { slots, jobs: BTreeMap::new(), served: 0 }
    }

    pub fn add(&mut self, worker: WorkerId, job: Job) {
        self.jobs.entry(worker.0).or_default().push(job);
    }

    /// Runs all workers for one tick, each at its speed; returns the ends of attempts by scheduler.
    pub fn run(&mut self, now: Micros, tick: Micros, speed: impl Fn(u64) -> f64) -> Vec<(usize, Event)> {
        let mut ended = Vec::new();
        for (worker, jobs) in &mut self.jobs {
            let work_done = tick as f64 * speed(*worker);
            jobs.iter_mut().take(self.slots).for_each(|job| job.remaining -= work_done);
            jobs.retain(|job| {
                let is_complete = job.remaining <= 0.0;
                let is_over = is_complete || job.timeout_at <= now;
                if is_over {
                    let outcome = if is_complete { Outcome::Ok } else { Outcome::Timeout };
                    ended.push((job.scheduler, attempt_finished(job.id, 0, WorkerId(*worker), outcome)));
                }
                self.served += usize::from(is_complete);
                !is_over
            });
        }
        ended
    }
}

/// Timers of all schedulers in the order of their times.
#[derive(Default)]
pub struct Timers(BTreeSet<(Micros, usize, TimerToken)>);

impl Timers {
    pub fn insert(&mut self, at: Micros, scheduler: usize, token: TimerToken) {
        self.0.insert((at, scheduler, token));
    }

    /// Forgets the timers of one scheduler.
    pub fn clear(&mut self, scheduler: usize) {
        self.0.retain(|(_, owner, _)| *owner != scheduler);
    }

    /// Removes the timers that have expired, and returns their events.
    pub fn expired(&mut self, now: Micros) -> Vec<(usize, Event)> {
        let mut events = Vec::new();
        while self.0.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, scheduler, token) = self.0.pop_first().expect("just seen");
            events.push((scheduler, Event::Timer(token)));
        }
        events
    }
}
