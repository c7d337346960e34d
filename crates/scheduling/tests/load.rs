//! How full a worker is taken to be, by what there is to go by.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::{BTreeMap, BTreeSet};
use vetchbridge_scheduling::*;

/// Workers that tell neither start nor load take a queue of seconds before they refuse: their arcs are never even, and the
/// owner of a popular key drowns while others idle. So own jobs are spread by size, each key as near its place as that allows.
#[test]
fn where_nothing_tells_of_load_no_worker_is_sent_much_more_than_its_share() {
    let mut d = Driver::new(Settings { load_report_source: LoadReportSource::Never, ..settings() });
    let sized = |n: u64| Endpoint { weight: if n <= 4 { 5.0 } else { 3.0 }, ..endpoint(n) };
    d.event(list(EndpointUpdate::Snapshot, (1..=8).map(sized)));
    let mut out: BTreeMap<WorkerId, f64> = BTreeMap::new();
    let mut popular: BTreeMap<WorkerId, u32> = BTreeMap::new();
    for id in 1..=200 {
        let key = if id % 4 == 0 { "popular".to_string() } else { format!("key-{id}") };
        let worker = sent(&d.request(id, SAFE, &key));
        if key == "popular" {
            *popular.entry(worker).or_default() += 1;
        }
        *out.entry(worker).or_default() += 1.0;
    }
    for (worker, jobs) in &out {
        let share = 200.0 * sized(worker.0).weight / 32.0;
        assert!(*jobs <= 1.3 * share + 1.0, "{jobs} of 200 jobs at {worker:?}, whose share is {share}");
    }
    let most = popular.values().max();
    assert!(most >= Some(&15), "the popular key has no home: {popular:?}");
}

/// Where a late answer has no worth, work on it takes the peer's time from jobs that can still be in time; under a burst all
/// are late then. An attempt waits no longer than the aim, and what can't be in time is answered at once.
#[test]
fn a_job_whose_late_answer_is_worth_nothing_is_answered_once_it_is_late() {
    // Idempotency, share of the worth that a late answer keeps, hint; how long an attempt may wait, and whether trying again is harmless.
    let (never, all) = (Idempotency::NonIdempotent, Idempotency::Idempotent);
    for (idempotency, late_weight, hint, wait, harmless) in [
        (all, 0.0, Some(300 * MS), Some(500 * MS + 690 * MS), true),
        (never, 0.0, Some(300 * MS), Some(500 * MS + 690 * MS), false),
        (all, 0.0, None, None, true),
        (all, 0.3, Some(300 * MS), None, true),
    ] {
        let classes = vec![Class { late_weight, ..class(idempotency) }];
        let mut d = Driver::with_fleet(Settings { classes, ..settings() }, 6);
        let job = Request { expected_work: hint, ..request(1, 0, "k", d.now + 5 * S) };
        let done = d.event(Event::Request(job));
        let timeout = |a: &Action| if let Action::Send { timeout, .. } = a { Some(*timeout) } else { None };
        assert_eq!(done.iter().find_map(timeout), Some(wait), "{idempotency:?}, {late_weight}, {hint:?}");
        let Some(wait) = wait else { continue };
        d.now += wait;
        let done = d.event(attempt_finished(1, 0, sent(&done), Outcome::Timeout));
        assert!(
            sends(&done).is_empty() && refused(&done) == harmless && failed(&done) != harmless,
            "{done:?}"
        );
    }
}

/// The same while it waits here for room: it is answered when it can't be in time even on an idle peer, with advice.
#[test]
fn a_held_job_is_answered_when_it_can_t_be_in_time_any_more() {
    let classes = vec![Class { late_weight: 0.0, ..class(Idempotency::Idempotent) }];
    let mut d = Driver::new(Settings { classes, ..settings() });
    let started = d.now;
    let mut deadline = timers(&d.event(Event::Request(Request {
        expected_work: Some(300 * MS),
        ..request(1, 0, "k", started + 5 * S)
    })));
    loop {
        deadline.sort();
        let (at, token) = deadline.remove(0);
        let done = d.at(at, Event::Timer(token));
        if refused(&done) {
            break;
        }
        deadline.extend(timers(&done));
    }
    let waited = d.now - started;
    assert!(
        (800 * MS..=810 * MS).contains(&waited),
        "answered after {waited} us, aim and stretch leave 800 ms"
    );
}

/// Two peers, each with a job of ours: that is no reason to let a job wait that broke off at one of them.
#[test]
fn a_broken_job_goes_on_at_once_to_the_only_peer_that_is_left() {
    let mut d = Driver::with_fleet(Settings { load_report_source: LoadReportSource::Never, ..settings() }, 2);
    let first = sent(&d.request(1, SAFE, "k"));
    let second = sent(&d.request(2, SAFE, "k"));
    assert_ne!(first, second, "own load is spread");
    assert_eq!(sent(&d.event(attempt_finished(2, 0, second, Outcome::Reset))), first);
}

/// A peer that answers quickly with errors looks idle, and would be sent more than any other. It is passed over, for longer each
/// time, also when it serves every second job; one error in fifty, or errors everywhere, shut nobody out.
#[test]
fn a_peer_that_answers_with_errors_again_and_again_is_passed_over() {
    let share_of_bad = |fails: &dyn Fn(WorkerId, u64) -> bool| {
        let mut d =
            Driver::with_fleet(Settings { load_report_source: LoadReportSource::Never, ..settings() }, 6);
        let (mut bad, mut all) = (0, 0);
        for id in 1..=1200 {
            d.now += 20 * MS;
            let worker = sent(&d.request(id, UNSAFE, &format!("key-{id}")));
            all += 1;
            bad += u64::from(worker == WorkerId(3));
            let outcome = if fails(worker, id) { Outcome::Error } else { Outcome::Ok };
            d.event(attempt_finished(id, 0, worker, outcome));
        }
        100 * bad / all
    };
    assert!(share_of_bad(&|_, _| false) >= 10, "a sixth of the jobs, as it is well");
    assert!(share_of_bad(&|worker, _| worker == WorkerId(3)) <= 2, "it fails each job");
    assert!(
        share_of_bad(&|worker, id| worker == WorkerId(3) && mix(id) % 2 == 0) <= 6,
        "it fails every second one"
    );
    assert!(share_of_bad(&|worker, id| worker == WorkerId(3) && id % 50 == 0) >= 10, "it fails now and then");
    assert!(share_of_bad(&|_, _| true) >= 10, "nobody is better");
}

/// Spreads small numbers; seeded by nothing else.
fn mix(n: u64) -> u64 {
    (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 29) ^ n.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33
}

/// Slots of each peer, and the peer that comes back cold.
const SLOTS: usize = 5;
const COLD: u64 = 4;

fn cold_rules() -> Rules {
    Rules {
        slow_start_floor: 0.14,
        slow_start_time: 24 * S,
        overload_factor: 2.5,
        overload_time: 3 * S,
        ..settings().rules
    }
}

/// Three schedulers without a word between them, at peers that tell neither start nor load unasked.
fn strangers(seed: u64) -> Vec<Driver> {
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
            Settings { classes: classes.to_vec(), rules: cold_rules(), ..fleet },
            3 * seed + u64::from(scheduler_index),
        );
        let mut d = Driver { scheduler: scheduler.expect("sound settings"), now: 100 * S };
        d.event(list(EndpointUpdate::Snapshot, (1..=10).filter(|n| *n != COLD).map(endpoint)));
        d
    };
    (0..3).map(one).collect()
}

/// Plays them under so many times the load that the warm peers can carry, while one is cold. Returns the most work sent to
/// it in any `fall_time`, as a multiple of what it can do in that span, and how often another had a slot idle meanwhile.
fn flood_of_a_cold_peer(seed: u64, load: f64) -> (f64, usize) {
    const TICK: Micros = 2 * MS;
    struct Job {
        from: usize,
        id: u64,
        left: f64,
        until: Micros,
    }
    let mut all = strangers(seed);
    let (start, rules) = (all[0].now, cold_rules());
    let back = start + 3 * S;
    let warm_up_fraction = |at: Micros| {
        rules.slow_start_floor
            + (1.0 - rules.slow_start_floor) * at.saturating_sub(back) as f64 / rules.slow_start_time as f64
    };
    let mut state = seed;
    let mut random = || {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as f64 / (1u64 << 31) as f64
    };
    let mut peers: BTreeMap<u64, Vec<Job>> = BTreeMap::new();
    let (mut deadline, mut work, mut poured) =
        (BTreeSet::<(Micros, usize, TimerToken)>::new(), vec![0.0], Vec::<(Micros, f64)>::new());
    let (mut most, mut idle) = (0.0f64, 0);
    for now in (start..back + rules.slow_start_time).step_by(TICK as usize) {
        let mut events = Vec::new();
        if now == back {
            let cold = || list(EndpointUpdate::Changes, [Endpoint { started_at: back, ..endpoint(COLD) }]);
            events.extend((0..3).map(|from| (from, cold())));
        }
        for (peer, jobs) in &mut peers {
            let pace = if *peer == COLD { warm_up_fraction(now) } else { 1.0 };
            jobs.iter_mut().take(SLOTS).for_each(|job| job.left -= TICK as f64 * pace);
            jobs.retain(|job| {
                let outcome = if job.left <= 0.0 { Outcome::Ok } else { Outcome::Timeout };
                let over = job.left <= 0.0 || job.until <= now;
                events
                    .extend(over.then(|| (job.from, attempt_finished(job.id, 0, WorkerId(*peer), outcome))));
                !over
            });
        }
        while deadline.first().is_some_and(|(at, ..)| *at <= now) {
            let (_, from, token) = deadline.pop_first().expect("just seen");
            events.push((from, Event::Timer(token)));
        }
        // Nine peers at jobs of 225 ms on average.
        if random() < load * (9 * SLOTS) as f64 * TICK as f64 / (225 * MS) as f64 {
            let (id, class, key) =
                (work.len() as u64, u32::from(random() < 0.5), 60f64.powf(random()) as u64);
            work.push([300.0, 150.0][class as usize] * MS as f64 * -random().clamp(1e-9, 0.99).ln());
            let job = request(id, class, &format!("key-{key}"), now + 5 * S);
            let expected_work = Some(work[id as usize] as Micros);
            events.push(((random() * 3.0) as usize, Event::Request(Request { expected_work, ..job })));
        }
        for (from, event) in events {
            for action in all[from].at(now, event) {
                match action {
                    Action::Send { request: RequestId(id), worker, timeout } => {
                        let (left, until) =
                            (work[id as usize], now + timeout.expect("late work is worth nothing"));
                        peers.entry(worker.0).or_default().push(Job { from, id, left, until });
                        poured.extend((worker.0 == COLD).then_some((now, left)));
                    }
                    Action::SetTimer { at, token } => _ = deadline.insert((at, from, token)),
                    _ => {}
                }
            }
        }
        if now >= back + rules.overload_time {
            let sent: f64 =
                poured.iter().filter(|sent| sent.0 + rules.overload_time > now).map(|sent| sent.1).sum();
            let able =
                SLOTS as f64 * warm_up_fraction(now - rules.overload_time / 2) * rules.overload_time as f64;
            most = most.max(sent / able);
            idle += peers.iter().filter(|(peer, jobs)| **peer != COLD && jobs.len() < SLOTS).count();
        }
    }
    (most, idle)
}

/// What topples a cold peer is the sum of what all send it, and none of three that may not talk knows of the others. Each keeps
/// to the part that the peer is warm for, so that the sum holds without a word, twice the load that the others can carry included.
#[test]
fn three_strangers_together_send_a_cold_peer_less_than_what_topples_it() {
    for seed in 1..=5 {
        let (most, idle) = flood_of_a_cold_peer(seed, 2.0);
        assert_eq!(idle, 0, "the load left slots of the others idle");
        assert!(most < cold_rules().overload_factor, "{most} times what it can do, seed {seed}");
    }
}
