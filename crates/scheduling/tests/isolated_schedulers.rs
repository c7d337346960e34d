//! Tests of slow start without messages between schedulers: the total work that three schedulers send to a
//! warming worker must not overload the worker.
#![allow(missing_docs)]

mod common;
use common::simulation::{Job, Lcg, Timers, Workers};
use common::*;
use vetchbridge_scheduling::*;

const TICK: Micros = 2 * MILLISECOND;
/// Mean work of a job, in microseconds.
const MEAN_WORK: Micros = 225 * MILLISECOND;
/// Number of slots of each worker.
const SLOTS: usize = 5;
/// Id of the worker that is restarted during the simulation.
const RESTARTED: u64 = 4;

fn slow_start_rules() -> Rules {
    Rules {
        slow_start_floor: 0.14,
        slow_start_time: 24 * SECOND,
        overload_factor: 2.5,
        overload_time: 3 * SECOND,
        ..settings().rules
    }
}

/// Returns three schedulers that exchange no messages. The workers do not report job starts, and report their
/// load only in response to probes.
fn isolated_schedulers(seed: u64) -> Vec<Driver> {
    let classes = [(Idempotency::Idempotent, 2.5), (Idempotency::NonIdempotent, 1.75)];
    let classes = classes.map(|(idempotency, objective_per_work)| Class {
        latency_objective: 200 * MILLISECOND,
        objective_per_work,
        late_weight: 0.0,
        ..class(idempotency)
    });
    let new_driver = |scheduler_index: u32| {
        let settings = Settings {
            scheduler_index,
            scheduler_count: 3,
            zone: ZoneId(scheduler_index),
            load_report_source: LoadReportSource::Probes,
            ..settings()
        };
        let scheduler = Scheduler::new(
            Settings { classes: classes.to_vec(), rules: slow_start_rules(), ..settings },
            3 * seed + u64::from(scheduler_index),
        );
        let mut driver = Driver { scheduler: scheduler.expect("the settings are valid"), now: 100 * SECOND };
        driver.event(endpoints_event(
            EndpointUpdate::Snapshot,
            (1..=10).filter(|n| *n != RESTARTED).map(endpoint),
        ));
        driver
    };
    (0..3).map(new_driver).collect()
}

/// The result of one simulation: how far the restarted worker was overloaded, and how often other workers
/// were idle.
struct Overload {
    /// Largest amount of work sent to the restarted worker within any window of `overload_time`, as a
    /// multiple of the work that the worker can do in that window.
    max_factor: f64,
    /// Number of times that a measurement found a worker other than the restarted worker with an idle slot.
    idle_workers: usize,
}

/// A simulation of three schedulers under a constant load, during which one of ten workers is restarted and
/// warms up.
struct Simulation {
    /// Work of the arriving requests, as a multiple of the capacity of the nine workers that are not
    /// restarted.
    load: f64,
    rules: Rules,
    schedulers: Vec<Driver>,
    workers: Workers,
    timers: Timers,
    random: Lcg,
    /// Work of each job, in microseconds; the index is the job's id.
    work: Vec<f64>,
    /// The attempts sent to the restarted worker: the time of each attempt and the attempt's work, both in
    /// microseconds.
    admitted: Vec<(Micros, f64)>,
    restarted_at: Micros,
    overload: Overload,
}

impl Simulation {
    fn new(seed: u64, load: f64) -> Simulation {
        let schedulers = isolated_schedulers(seed);
        let restarted_at = schedulers[0].now + 3 * SECOND;
        Simulation {
            load,
            rules: slow_start_rules(),
            schedulers,
            workers: Workers::new(SLOTS),
            timers: Timers::default(),
            random: Lcg::new(seed),
            work: vec![0.0],
            admitted: vec![],
            restarted_at,
            overload: Overload { max_factor: 0.0, idle_workers: 0 },
        }
    }

    fn warm_up_fraction(&self, at: Micros) -> f64 {
        let rules = &self.rules;
        let age = at.saturating_sub(self.restarted_at) as f64;
        rules.slow_start_floor + (1.0 - rules.slow_start_floor) * age / rules.slow_start_time as f64
    }

    /// Runs the simulation until the restarted worker is warm.
    fn run(mut self) -> Overload {
        let (start, end) = (self.schedulers[0].now, self.restarted_at + self.rules.slow_start_time);
        for now in (start..end).step_by(TICK as usize) {
            let mut events = Vec::new();
            if now == self.restarted_at {
                events.extend(self.notifications());
            }
            let speed = self.warm_up_fraction(now);
            let speed_of = |worker| if worker == RESTARTED { speed } else { 1.0 };
            events.extend(self.workers.run(now, TICK, speed_of));
            events.extend(self.timers.expired(now));
            events.extend(self.arrival(now));
            for (scheduler, event) in events {
                self.deliver(now, scheduler, event);
            }
            if now >= self.restarted_at + self.rules.overload_time {
                self.measure(now);
            }
        }
        self.overload
    }

    /// Returns the events that notify all schedulers that the worker was restarted.
    fn notifications(&self) -> Vec<(usize, Event)> {
        let restarted = Endpoint { started_at: self.restarted_at, ..endpoint(RESTARTED) };
        let notification = || endpoints_event(EndpointUpdate::Changes, [restarted.clone()]);
        (0..self.schedulers.len()).map(|scheduler| (scheduler, notification())).collect()
    }

    /// Returns at most one new request, which arrives at a random scheduler.
    fn arrival(&mut self, now: Micros) -> Option<(usize, Event)> {
        let arrivals_per_tick = self.load * (9 * SLOTS) as f64 * TICK as f64 / MEAN_WORK as f64;
        if self.random.fraction() >= arrivals_per_tick {
            return None;
        }
        let id = self.work.len() as u64;
        let class = u32::from(self.random.fraction() < 0.5);
        let key = 60f64.powf(self.random.fraction()) as u64;
        let mean_work = [300.0, 150.0][class as usize] * MILLISECOND as f64;
        let work = mean_work * -self.random.fraction().clamp(1e-9, 0.99).ln();
        self.work.push(work);
        let job = request(id, class, &format!("key-{key}"), now + 5 * SECOND);
        let job = Request { expected_work: Some(work as Micros), ..job };
        let scheduler = (self.random.fraction() * 3.0) as usize;
        Some((scheduler, Event::Request(job)))
    }

    fn deliver(&mut self, now: Micros, scheduler: usize, event: Event) {
        for action in self.schedulers[scheduler].at(now, event) {
            match action {
                Action::Send { request: RequestId(id), worker, timeout } => {
                    let remaining = self.work[id as usize];
                    let timeout_at =
                        now + timeout.expect("attempts have a timeout because late answers are worthless");
                    self.workers.add(worker, Job { scheduler, id, remaining, timeout_at });
                    if worker == WorkerId(RESTARTED) {
                        self.admitted.push((now, remaining));
                    }
                }
                Action::SetTimer { at, token } => self.timers.insert(at, scheduler, token),
                _ => {}
            }
        }
    }

    fn measure(&mut self, now: Micros) {
        let overload_time = self.rules.overload_time;
        let recent = self.admitted.iter().filter(|(sent_at, _)| sent_at + overload_time > now);
        let admitted: f64 = recent.map(|(_, work)| work).sum();
        let capacity = SLOTS as f64 * self.warm_up_fraction(now - overload_time / 2) * overload_time as f64;
        self.overload.max_factor = self.overload.max_factor.max(admitted / capacity);
        let others = self.workers.jobs.iter().filter(|(worker, _)| **worker != RESTARTED);
        self.overload.idle_workers += others.filter(|(_, jobs)| jobs.len() < SLOTS).count();
    }
}

/// The total work that all schedulers send can overload a warming worker, and schedulers that exchange no
/// messages don't know how much work other schedulers send. Each scheduler must therefore keep to its share
/// of the worker's work budget, even if the load is twice the capacity of the workers that were not
/// restarted.
#[test]
fn three_isolated_schedulers_together_send_a_warming_worker_less_than_what_overloads_it() {
    for seed in 1..=5 {
        let Overload { max_factor, idle_workers } = Simulation::new(seed, 2.0).run();
        assert_eq!(idle_workers, 0, "slots of the other workers were idle in spite of the load");
        assert!(
            max_factor < slow_start_rules().overload_factor,
            "seed {seed}: the warming worker was sent {max_factor} times the work that it can do"
        );
    }
}
