//! Tests of slow start in a simulated fleet: all schedulers together must not send more work to workers that
//! have just started than these workers can take without failing.
#![allow(missing_docs)]

mod common;
use common::simulation::{Job, Lcg, Timers, Workers};
use common::*;
use std::collections::{BTreeMap, VecDeque};
use vetchbridge_scheduling::*;

/// How the simulation delivers messages between schedulers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Messages {
    /// Schedulers may not send messages to each other.
    Forbidden,
    /// Each message arrives at its recipient after 4 ms.
    Delivered,
    /// One message in ten is lost. Every third scheduler crashes once, and can't exchange messages with the
    /// other schedulers for some seconds during the slow start.
    Faulty,
}

/// The parameters of one simulated fleet. Its workers report neither job starts nor load.
#[derive(Clone, Copy)]
struct Scenario {
    schedulers: u32,
    workers: u64,
    /// Number of workers that restart, one after the other within one second.
    restarted: u64,
    /// Work of the arriving requests, as a multiple of the current capacity of all workers.
    load: f64,
    /// Number of slots of each worker.
    slots: usize,
    seed: u64,
    messages: Messages,
}

const TICK: Micros = 4 * MILLISECOND;
const MESSAGE_DELAY: Micros = 4 * MILLISECOND;
/// Fraction of the messages between schedulers that are lost with [`Messages::Faulty`].
const MESSAGE_LOSS_RATE: f64 = 0.1;
/// Interval between the crashes of schedulers, in microseconds. The scheduler with index `i`, if it has
/// faults, crashes `i` intervals after the start of the simulation.
const CRASH_INTERVAL: Micros = 400 * MILLISECOND;
/// Beginning and end of the partition that separates every third scheduler from the others, in microseconds
/// since the start of the simulation.
const PARTITION_PERIOD: std::ops::Range<Micros> = 8 * SECOND..12 * SECOND;
/// Mean work of a job, in microseconds.
const MEAN_WORK: f64 = 0.225e6;
/// Relative rates of the requests that arrive at the schedulers; the list is repeated for more than four
/// schedulers. Every fourth scheduler gets several times the mean rate.
const RELATIVE_TRAFFIC: [f64; 4] = [0.4, 0.6, 1.0, 3.0];

fn rules() -> Rules {
    Rules {
        slow_start_floor: 0.2,
        slow_start_time: 20 * SECOND,
        overload_factor: 2.2,
        overload_time: 2500 * MILLISECOND,
        ..settings().rules
    }
}

impl Scenario {
    fn settings(&self, scheduler_index: u32) -> Settings {
        let classes = [Idempotency::Idempotent, Idempotency::NonIdempotent].map(class).to_vec();
        let may_message_peers = self.messages != Messages::Forbidden;
        Settings {
            scheduler_index,
            scheduler_count: self.schedulers,
            load_report_source: LoadReportSource::Never,
            reports_start: false,
            limits: Limits { may_message_peers, ..settings().limits },
            classes,
            rules: rules(),
            ..settings()
        }
    }

    /// Returns the scheduler with this index; all workers in its endpoint list started long ago.
    fn scheduler(&self, index: u32) -> Driver {
        let seed = 1000 * self.seed + u64::from(index);
        let scheduler = Scheduler::new(self.settings(index), seed).expect("the settings are valid");
        let mut driver = Driver { scheduler, now: 100 * SECOND };
        driver.event(endpoints_event(
            EndpointUpdate::Snapshot,
            (1..=self.workers).map(|worker| self.endpoint(worker)),
        ));
        driver
    }

    fn endpoint(&self, worker: u64) -> Endpoint {
        Endpoint { weight: self.slots as f64, ..endpoint(worker) }
    }

    fn has_faults(&self, scheduler: usize) -> bool {
        self.messages == Messages::Faulty && scheduler % 3 == 0
    }
}

/// The result of one simulation.
struct RunResult {
    /// Largest amount of work that the schedulers sent to a restarted worker within one window of
    /// `overload_time` beyond the work that makes the worker fail, in requests of mean work. A margin for
    /// random variation is subtracted. The value is negative if no worker was overloaded.
    excess: f64,
    /// Fraction of all jobs that were served.
    served: f64,
}

/// The attempts sent to one worker: the time of each attempt in microseconds, and the attempt's work in
/// requests of mean work.
type AdmittedWork = VecDeque<(Micros, f64)>;

struct Simulation {
    scenario: Scenario,
    rules: Rules,
    start: Micros,
    schedulers: Vec<Driver>,
    workers: Workers,
    timers: Timers,
    messages_in_transit: VecDeque<(Micros, usize, Event)>,
    random: Lcg,
    /// Work of each job in microseconds, indexed by job ID.
    work: Vec<f64>,
    /// Attempts that the schedulers sent to each worker, by worker ID.
    admitted: BTreeMap<u64, AdmittedWork>,
    excess: f64,
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let schedulers: Vec<Driver> =
            (0..scenario.schedulers).map(|index| scenario.scheduler(index)).collect();
        Simulation {
            scenario,
            rules: rules(),
            start: schedulers[0].now,
            schedulers,
            workers: Workers::new(scenario.slots),
            timers: Timers::default(),
            messages_in_transit: VecDeque::new(),
            random: Lcg::new(scenario.seed),
            work: vec![0.0],
            admitted: BTreeMap::new(),
            excess: f64::MIN,
        }
    }

    /// Returns the time at which a worker restarts, or `None` if the worker does not restart.
    fn restart_time(&self, worker: u64) -> Option<Micros> {
        let restarted = self.scenario.restarted;
        (worker <= restarted).then(|| self.start + 3 * SECOND + worker * SECOND / restarted)
    }

    fn warm_up_fraction(&self, worker: u64, at: Micros) -> f64 {
        let rules = &self.rules;
        let age = self.restart_time(worker).map_or(f64::MAX, |started_at| {
            at.saturating_sub(started_at) as f64 / rules.slow_start_time as f64
        });
        (rules.slow_start_floor + (1.0 - rules.slow_start_floor) * age).min(1.0)
    }

    /// Runs the simulation until the restarted workers are warm.
    fn run(mut self) -> RunResult {
        let end = self.start + 5 * SECOND + self.rules.slow_start_time;
        for now in (self.start..end).step_by(TICK as usize) {
            let mut events = self.restart_workers(now);
            events.extend(self.run_workers(now));
            self.crash_scheduler(now);
            events.extend(self.arrived_messages(now));
            events.extend(self.timers.expired(now));
            events.extend(self.arriving_requests(now));
            for (scheduler, event) in events {
                self.deliver(now, scheduler, event);
            }
            self.record_excess(now);
        }
        let jobs = self.work.len() - 1;
        RunResult { excess: self.excess, served: self.workers.served as f64 / jobs as f64 }
    }

    /// Restarts the workers whose restart time has come. Returns the events that notify all schedulers of the
    /// restart, and the results of the attempts that the restart breaks.
    fn restart_workers(&mut self, now: Micros) -> Vec<(usize, Event)> {
        let mut events = Vec::new();
        for worker in 1..=self.scenario.restarted {
            let at = self.restart_time(worker).expect("the worker restarts");
            if !(at..at + TICK).contains(&now) {
                continue;
            }
            let restarted = Endpoint { started_at: at, ..self.scenario.endpoint(worker) };
            let notification = || endpoints_event(EndpointUpdate::Changes, [restarted.clone()]);
            events.extend((0..self.schedulers.len()).map(|scheduler| (scheduler, notification())));
            for job in self.workers.jobs.remove(&worker).into_iter().flatten() {
                let reset = attempt_finished(job.id, 0, WorkerId(worker), Outcome::Reset);
                events.push((job.scheduler, reset));
            }
        }
        events
    }

    fn run_workers(&mut self, now: Micros) -> Vec<(usize, Event)> {
        let speeds: Vec<f64> =
            (0..=self.scenario.workers).map(|worker| self.warm_up_fraction(worker, now)).collect();
        self.workers.run(now, TICK, |worker| speeds[worker as usize])
    }

    /// Crashes the scheduler that is due at this time, if the scheduler has faults, and replaces the
    /// scheduler with a new process. The crashed scheduler's jobs in flight count as served, and the work of
    /// these jobs still counts as sent to the workers.
    fn crash_scheduler(&mut self, now: Micros) {
        let elapsed = now - self.start;
        let crashing_index = (elapsed / CRASH_INTERVAL) as usize;
        let is_time = elapsed % CRASH_INTERVAL == 0;
        if !is_time || crashing_index >= self.schedulers.len() || !self.scenario.has_faults(crashing_index) {
            return;
        }
        let mut replacement = self.scenario.scheduler(crashing_index as u32);
        replacement.now = now;
        let listed = (1..=self.scenario.workers).map(|worker| {
            let started_at = self.restart_time(worker).filter(|at| *at <= now).unwrap_or(0);
            Endpoint { started_at, ..self.scenario.endpoint(worker) }
        });
        replacement.event(endpoints_event(EndpointUpdate::Snapshot, listed));
        self.schedulers[crashing_index] = replacement;
        self.timers.clear(crashing_index);
        let jobs = self.workers.jobs.values_mut().flatten();
        jobs.filter(|job| job.scheduler == crashing_index).for_each(|job| job.remaining = 0.0);
    }

    fn arrived_messages(&mut self, now: Micros) -> Vec<(usize, Event)> {
        let mut events = Vec::new();
        while self.messages_in_transit.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, recipient, message) =
                self.messages_in_transit.pop_front().expect("a message has arrived");
            events.push((recipient, message));
        }
        events
    }

    fn arriving_requests(&mut self, now: Micros) -> Vec<(usize, Event)> {
        let Scenario { workers, slots, load, .. } = self.scenario;
        let capacity: f64 =
            (1..=workers).map(|worker| slots as f64 * self.warm_up_fraction(worker, now)).sum();
        let mut expected = load * capacity * TICK as f64 / MEAN_WORK;
        let mut events = Vec::new();
        while self.random.fraction() < expected {
            expected -= 1.0;
            events.push(self.new_request(now));
        }
        events
    }

    fn new_request(&mut self, now: Micros) -> (usize, Event) {
        let id = self.work.len() as u64;
        let key = 300f64.powf(self.random.fraction()) as u64;
        let work = 2.0 * MEAN_WORK / 3.0 * (0.5 - self.random.fraction().clamp(1e-9, 0.999).ln());
        self.work.push(work);
        let job = request(id, (id % 2) as u32, &format!("key-{key}"), now + 5 * SECOND);
        let job = Request { expected_work: Some(work as Micros), ..job };
        (self.pick_scheduler(), Event::Request(job))
    }

    /// Picks at random the scheduler that gets a request, weighted by [`RELATIVE_TRAFFIC`].
    fn pick_scheduler(&mut self) -> usize {
        let traffic: Vec<f64> = (0..self.schedulers.len())
            .map(|scheduler| RELATIVE_TRAFFIC[scheduler % RELATIVE_TRAFFIC.len()])
            .collect();
        let mut remaining_share = self.random.fraction() * traffic.iter().sum::<f64>();
        let is_chosen = |traffic: &f64| {
            remaining_share -= traffic;
            remaining_share < 0.0
        };
        traffic.iter().position(is_chosen).unwrap_or(0)
    }

    fn deliver(&mut self, now: Micros, scheduler: usize, event: Event) {
        for action in self.schedulers[scheduler].at(now, event) {
            match action {
                Action::Send { request: RequestId(id), worker, timeout } => {
                    let remaining = self.work[id as usize];
                    let timeout_at = now + timeout.unwrap_or(5 * SECOND);
                    self.workers.add(worker, Job { scheduler, id, remaining, timeout_at });
                    self.admitted.entry(worker.0).or_default().push_back((now, remaining / MEAN_WORK));
                }
                Action::SetTimer { at, token } => self.timers.insert(at, scheduler, token),
                Action::SendPeerMessage { to: Recipient::One(to), data } => {
                    self.transmit_message(now, scheduler, to as usize, data);
                }
                _ => {}
            }
        }
    }

    /// Sends a message from one scheduler to another, unless the partition or a random loss stops the
    /// message.
    fn transmit_message(&mut self, now: Micros, from: usize, to: usize, data: Vec<u8>) {
        let is_partitioned = PARTITION_PERIOD.contains(&(now - self.start))
            && self.scenario.has_faults(from) != self.scenario.has_faults(to);
        let is_lost =
            self.scenario.messages == Messages::Faulty && self.random.fraction() < MESSAGE_LOSS_RATE;
        if !is_partitioned && !is_lost {
            let message = Event::PeerMessage { from: from as u32, data };
            self.messages_in_transit.push_back((now + MESSAGE_DELAY, to, message));
        }
    }

    /// Compares the work sent to each warming worker within the last `overload_time` with the work that makes
    /// the worker fail, and records the largest excess.
    fn record_excess(&mut self, now: Micros) {
        let Rules { overload_time, overload_factor, .. } = self.rules;
        let mut admitted = std::mem::take(&mut self.admitted);
        for (worker, admitted) in &mut admitted {
            let warm_up_fraction = self.warm_up_fraction(*worker, now);
            let restarted_at = self.restart_time(*worker).filter(|at| now > *at && warm_up_fraction < 1.0);
            let Some(restarted_at) = restarted_at else { continue };
            while admitted.front().is_some_and(|(at, _)| at + overload_time <= now || *at < restarted_at) {
                admitted.pop_front();
            }
            let sent_work: f64 = admitted.iter().map(|(_, work)| work).sum();
            let slots = self.scenario.slots as f64;
            let capacity = slots * warm_up_fraction * overload_time as f64 / MEAN_WORK;
            let allowed = overload_factor * capacity;
            self.excess = self.excess.max(sent_work - allowed - 2.0 * allowed.sqrt() - 2.0);
        }
        self.admitted = admitted;
    }
}

/// Parameters of one case of a test.
#[derive(Clone, Copy)]
struct Case {
    restarted: u64,
    load: f64,
    /// Minimum fraction of the jobs that must be served.
    min_served: f64,
}

const fn case(restarted: u64, load: f64, min_served: f64) -> Case {
    Case { restarted, load, min_served }
}

/// The size of a simulated fleet.
#[derive(Clone, Copy)]
struct FleetSize {
    schedulers: u32,
    workers: u64,
    slots: usize,
}

const TWENTY_EACH: FleetSize = FleetSize { schedulers: 20, workers: 20, slots: 4 };

/// Simulates each case with each seed, in a fleet of this size. Checks that the schedulers together don't
/// overload a warming worker, and that enough of the jobs are served.
fn assert_overload_limit_holds(messages: Messages, size: FleetSize, cases: &[Case], seeds: &[u64]) {
    let FleetSize { schedulers, workers, slots } = size;
    for Case { restarted, load, min_served } in cases.iter().copied() {
        for seed in seeds.iter().copied() {
            let scenario = Scenario { schedulers, workers, restarted, load, slots, seed, messages };
            let RunResult { excess, served } = Simulation::new(scenario).run();
            println!(
                "{schedulers} {workers} {restarted} {load} seed {seed}: excess {excess:.1}, served {served:.3}"
            );
            assert!(excess <= 0.0, "{excess} requests beyond the limit and its margin for random variation");
            assert!(served >= min_served, "only a fraction of {served} was served");
        }
    }
}

/// The work that all schedulers together send can overload a restarted worker, and without messages no
/// scheduler knows how much work other schedulers send. Each scheduler therefore stays within an equal share
/// of the worker's work budget. The cases cover one restarted worker or six restarted workers in ten, a load
/// that the other workers carry easily or a load of twice the capacity of all workers, and few schedulers or
/// so many that a scheduler's share is less than the work of one request. The restarted workers must not be
/// starved either, so that the fleet serves the jobs for which it has capacity.
#[test]
fn schedulers_without_messages_together_do_not_overload_warming_workers() {
    let seeds = std::env::var("RAMP_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2);
    let seeds: Vec<u64> = (1..=seeds).collect();
    let sizes = [
        FleetSize { schedulers: 3, workers: 9, slots: 5 },
        TWENTY_EACH,
        FleetSize { schedulers: 30, workers: 20, slots: 4 },
    ];
    for size in sizes {
        let max_restarted = 6 * size.workers / 10;
        let cases = [
            case(1, 0.8, 0.97),
            case(1, 2.0, 0.32),
            case(max_restarted, 0.8, 0.93),
            case(max_restarted, 2.0, 0.32),
        ];
        assert_overload_limit_holds(Messages::Forbidden, size, &cases, &seeds);
    }
}

/// Schedulers that exchange messages limit the work sent to a warming worker by the account of the worker's
/// coordinator, which covers the attempts of all schedulers.
#[test]
fn schedulers_that_exchange_messages_do_not_overload_warming_workers() {
    assert_overload_limit_holds(Messages::Delivered, TWENTY_EACH, &[case(12, 2.0, 0.4)], &[6]);
}

/// Coordinators crash, messages between schedulers are lost, and a partition makes two schedulers coordinate
/// one worker. The worker must not be overloaded, because each coordinator spends only the work budget shares
/// of the peers that it can reach.
#[test]
fn coordinators_that_crash_or_are_partitioned_don_t_overload_a_warming_worker() {
    assert_overload_limit_holds(
        Messages::Faulty,
        TWENTY_EACH,
        &[case(1, 2.0, 0.4), case(12, 2.0, 0.4)],
        &[1, 6],
    );
}
