//! Slow start without messages: what three schedulers that know nothing of one another send to a worker that
//! warms up.
#![allow(missing_docs)]

mod common;
use common::simulation::{Job, Lcg, Timers, Workers};
use common::*;
use vetchbridge_scheduling::*;

const TICK: Micros = 2 * MS;
/// Mean work of a job.
const MEAN_WORK: Micros = 225 * MS;
/// Slots of each worker, and the worker that is restarted.
const SLOTS: usize = 5;
const RESTARTED: u64 = 4;

fn slow_start_rules() -> Rules {
    Rules {
        slow_start_floor: 0.14,
        slow_start_time: 24 * S,
        overload_factor: 2.5,
        overload_time: 3 * S,
        ..settings().rules
    }
}

/// Three schedulers that exchange no messages, at workers that report neither start nor load unasked.
fn isolated_schedulers(seed: u64) -> Vec<Driver> {
    let classes = [(Idempotency::Idempotent, 2.5), (Idempotency::NonIdempotent, 1.75)];
    let classes = classes.map(|(idempotency, objective_per_work)| Class {
        latency_objective: 200 * MS,
        objective_per_work,
        late_weight: 0.0,
        ..class(idempotency)
    });
    let one = |scheduler_index: u32| {
        let fleet = Settings {
            scheduler_index,
            scheduler_count: 3,
            zone: ZoneId(scheduler_index),
            load_report_source: LoadReportSource::Probes,
            ..settings()
        };
        let scheduler = Scheduler::new(
            Settings { classes: classes.to_vec(), rules: slow_start_rules(), ..fleet },
            3 * seed + u64::from(scheduler_index),
        );
        let mut driver = Driver { scheduler: scheduler.expect("sound settings"), now: 100 * S };
        driver.event(list(EndpointUpdate::Snapshot, (1..=10).filter(|n| *n != RESTARTED).map(endpoint)));
        driver
    };
    (0..3).map(one).collect()
}

/// What came of one run.
struct Overload {
    /// The most work sent to the restarted worker in any `overload_time`, as a multiple of what it can do in
    /// that time.
    max_factor: f64,
    /// How often another worker had an idle slot meanwhile.
    idle_workers: usize,
}

/// Three schedulers under a constant load while one of ten workers is restarted and warms up.
struct Simulation {
    /// Multiple of the load that the other workers can carry.
    load: f64,
    rules: Rules,
    schedulers: Vec<Driver>,
    workers: Workers,
    timers: Timers,
    random: Lcg,
    /// Work of each job, by its id.
    work: Vec<f64>,
    /// Work that was sent to the restarted worker, and when.
    admitted: Vec<(Micros, f64)>,
    restarted_at: Micros,
    overload: Overload,
}

impl Simulation {
    fn new(seed: u64, load: f64) -> Simulation {
        let schedulers = isolated_schedulers(seed);
        let restarted_at = schedulers[0].now + 3 * S;
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

    /// Runs until the restarted worker is warm.
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

    /// All schedulers are notified of the restarted worker.
    fn notifications(&self) -> Vec<(usize, Event)> {
        let restarted = Endpoint { started_at: self.restarted_at, ..endpoint(RESTARTED) };
        let notification = || list(EndpointUpdate::Changes, [restarted.clone()]);
        (0..self.schedulers.len()).map(|scheduler| (scheduler, notification())).collect()
    }

    /// Perhaps a request, at one of the schedulers.
    fn arrival(&mut self, now: Micros) -> Option<(usize, Event)> {
        let arrivals_per_tick = self.load * (9 * SLOTS) as f64 * TICK as f64 / MEAN_WORK as f64;
        if self.random.fraction() >= arrivals_per_tick {
            return None;
        }
        let id = self.work.len() as u64;
        let class = u32::from(self.random.fraction() < 0.5);
        let key = 60f64.powf(self.random.fraction()) as u64;
        let mean_work = [300.0, 150.0][class as usize] * MS as f64;
        let work = mean_work * -self.random.fraction().clamp(1e-9, 0.99).ln();
        self.work.push(work);
        let job = request(id, class, &format!("key-{key}"), now + 5 * S);
        let job = Request { expected_work: Some(work as Micros), ..job };
        let scheduler = (self.random.fraction() * 3.0) as usize;
        Some((scheduler, Event::Request(job)))
    }

    fn deliver(&mut self, now: Micros, scheduler: usize, event: Event) {
        for action in self.schedulers[scheduler].at(now, event) {
            match action {
                Action::Send { request: RequestId(id), worker, timeout } => {
                    let remaining = self.work[id as usize];
                    let timeout_at = now + timeout.expect("late work is worth nothing");
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

/// What overloads a warming worker is the sum of what all send it, and none of three that exchange no
/// messages knows of the others. Each keeps to the part that the worker is warm for, so that the sum holds,
/// at twice the load of the others too.
#[test]
fn three_isolated_schedulers_together_send_a_warming_worker_less_than_what_overloads_it() {
    for seed in 1..=5 {
        let Overload { max_factor, idle_workers } = Simulation::new(seed, 2.0).run();
        assert_eq!(idle_workers, 0, "the load left slots of the others idle");
        assert!(
            max_factor < slow_start_rules().overload_factor,
            "{max_factor} times what it can do, seed {seed}"
        );
    }
}
