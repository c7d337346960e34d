//! The ring and the busy test: agreement, minimal movement, spill, kinds, cold starts, heavy keys.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeMap;
use vetchbridge_scheduling::*;

/// First and second choice of a key at a scheduler that has seen nothing else.
fn choices(endpoints: &[Endpoint], key: &str) -> (WorkerId, WorkerId) {
    let mut d = Driver::new(settings());
    for endpoint in endpoints {
        d.event(list(EndpointUpdate::Changes, [endpoint.clone()]));
    }
    let first = sent(&d.request(1, SAFE, key));
    (first, sent(&d.event(attempt_finished(1, 0, first, Outcome::Rejected))))
}

#[test]
fn two_schedulers_with_one_list_agree_whatever_the_order_they_learned_it_in() {
    let forward: Vec<Endpoint> = (1..=9).map(endpoint).collect();
    let mut backward = forward.clone();
    backward.reverse();
    backward.swap(2, 5);
    for n in 0..200 {
        let key = format!("key-{n}");
        assert_eq!(choices(&forward, &key), choices(&backward, &key), "{key}");
    }
}

#[test]
fn losing_a_worker_moves_only_its_own_keys() {
    let all: Vec<Endpoint> = (1..=9).map(endpoint).collect();
    let fewer: Vec<Endpoint> = all.iter().filter(|m| m.worker != WorkerId(4)).cloned().collect();
    let mut moved = 0;
    for n in 0..300 {
        let key = format!("key-{n}");
        let (before, second) = choices(&all, &key);
        let (after, _) = choices(&fewer, &key);
        if before == WorkerId(4) {
            assert_eq!(after, second, "its keys go to their second choice");
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((10..80).contains(&moved), "{moved} of 300 keys were on one of nine workers");
}

#[test]
fn arcs_are_in_proportion_to_units() {
    let mut endpoints: Vec<Endpoint> = (1..=8).map(endpoint).collect();
    for endpoint in &mut endpoints[..4] {
        endpoint.weight = 3.0;
    }
    let mut d = Driver::new(settings());
    d.event(list(EndpointUpdate::Snapshot, endpoints));
    let mut large = 0;
    for id in 0..1000 {
        d.now += S;
        let worker = sent(&d.request(id, SAFE, &format!("key-{id}")));
        d.event(attempt_finished(id, 0, worker, Outcome::Ok));
        large += u32::from(worker.0 <= 4);
    }
    assert!((680..=820).contains(&large), "{large} of 1000 keys on the half that is three times as large");
}

#[test]
fn a_job_without_a_key_is_placed_and_spread() {
    let mut d = Driver::with_fleet(settings(), 8);
    let mut seen = BTreeMap::new();
    for id in 0..200 {
        let mut job = request(id, SAFE, "", d.now + 5 * S);
        job.key = None;
        let worker = sent(&d.event(Event::Request(job)));
        d.event(attempt_finished(id, 0, worker, Outcome::Ok));
        *seen.entry(worker).or_insert(0) += 1;
    }
    assert_eq!(seen.len(), 8, "{seen:?}");
}

#[test]
fn a_class_bound_to_a_kind_uses_that_kind_only() {
    let mut d = Driver::with_fleet(settings(), 12);
    for id in 0..100 {
        let worker = sent(&d.request(id, BOUND, &format!("key-{id}")));
        assert_eq!(endpoint(worker.0).kind, KindId(1));
        d.event(attempt_finished(id, 0, worker, Outcome::Ok));
    }
}

#[test]
fn all_schedulers_together_send_a_cold_worker_only_the_part_it_is_warm_for() {
    // 100 schedulers, 1000 keys of equal weight, one of ten workers just started: its share of first
    // attempts stays within its warmth of a tenth (25 and 62), at the start and half way, and is not nothing.
    for (age, low, high) in [(0, 2, 45), (5 * S, 25, 140)] {
        let mut to_cold = 0;
        for scheduler_index in 0..100 {
            let mut own = settings();
            own.scheduler_index = scheduler_index;
            own.scheduler_count = 100;
            let mut d = Driver::new(own);
            let cold = Endpoint { started_at: d.now - age, ..endpoint(10) };
            d.event(list(EndpointUpdate::Snapshot, (1..=9).map(endpoint).chain([cold])));
            for n in 0..10 {
                let id = u64::from(scheduler_index) * 10 + n;
                let worker = sent(&d.request(id, SAFE, &format!("key-{id}")));
                to_cold += u32::from(worker == WorkerId(10));
                d.event(attempt_finished(id, 0, worker, Outcome::Ok));
            }
        }
        assert!((low..=high).contains(&to_cold), "{to_cold} of 1000 at age {age}");
    }
}

#[test]
fn a_cold_worker_takes_no_spill_and_no_refused_job() {
    let mut d = Driver::new(settings());
    let started_at = d.now;
    d.event(list(
        EndpointUpdate::Snapshot,
        (1..=8).map(|n| Endpoint { started_at: if n > 4 { started_at } else { 0 }, ..endpoint(n) }),
    ));
    let mut walked = 0;
    for id in 0..200 {
        d.now += MS;
        let Some(&first) = sends(&d.request(id, SAFE, &format!("key-{id}"))).first() else { continue };
        // Most are served, so that the refused ones find room on the warm workers.
        if id % 8 != 0 {
            d.event(attempt_finished(id, 0, first, Outcome::Ok));
            continue;
        }
        for next in sends(&d.event(attempt_finished(id, 0, first, Outcome::Rejected))) {
            assert!(next.0 <= 4, "a refused job went to cold worker {next:?}");
            d.event(attempt_finished(id, 1, next, Outcome::Ok));
            walked += 1;
        }
        d.now += S / 20;
    }
    assert!(walked >= 15, "{walked} refused jobs walked on");
}

#[test]
fn a_heavy_key_is_spread_and_each_scheduler_keeps_its_start() {
    let mut starts = BTreeMap::new();
    for scheduler_index in 0..30 {
        let mut own = settings();
        own.scheduler_index = scheduler_index;
        own.scheduler_count = 30;
        let mut d = Driver::with_fleet(own, 20);
        let mut last = Vec::new();
        for id in 0..60 {
            let worker = sent(&d.request(id, SAFE, "heavy"));
            d.event(attempt_finished(id, 0, worker, Outcome::Ok));
            d.now += 10 * MS;
            last.push(worker);
        }
        assert_eq!(last[50..].iter().collect::<std::collections::BTreeSet<_>>().len(), 1);
        *starts.entry(last[59]).or_insert(0) += 1;
    }
    assert!(starts.len() >= 4, "30 dispatchers start at {starts:?}");
}

#[test]
fn a_cold_worker_is_spared_a_key_that_may_be_heavy() {
    // 400 schedulers that each see the key now and then; the key alone is as much as three workers carry.
    let (mut to_cold, mut sent_in_all) = (0, 0);
    // A key whose point on the cold worker is among the first to be active: with no multiple to keep, it goes there.
    let mut reckless = settings();
    reckless.rules.overload_factor = 1e9;
    let key = (0..5000).map(|n| format!("key-{n}")).find(|key| {
        let mut d = Driver::new(reckless.clone());
        let started_at = d.now;
        d.event(list(
            EndpointUpdate::Snapshot,
            (1..=29).map(endpoint).chain([Endpoint { started_at, ..endpoint(30) }]),
        ));
        sent(&d.request(1, SAFE, key)) == WorkerId(30)
    });
    let key = key.expect("some key is at home there");
    for scheduler_index in 0..400 {
        let mut own = settings();
        (own.scheduler_index, own.scheduler_count) = (scheduler_index, 400);
        let mut d = Driver::new(own);
        let started_at = d.now + 20 * S;
        d.event(list(EndpointUpdate::Snapshot, (1..=29).map(endpoint)));
        for n in 0..40 {
            let worker = sent(&d.request(
                n,
                SAFE,
                &if n % 10 == 5 { key.clone() } else { format!("other-{scheduler_index}-{n}") },
            ));
            d.event(attempt_finished(n, 0, worker, Outcome::Ok));
            d.now += S / 2;
        }
        d.event(list(EndpointUpdate::Changes, [Endpoint { started_at, ..endpoint(30) }]));
        let worker = sent(&d.request(1000, SAFE, &key));
        to_cold += u32::from(worker == WorkerId(30));
        sent_in_all += 1;
    }
    assert!(to_cold * 4 < sent_in_all, "{to_cold} of {sent_in_all} to the cold worker");
}

/// A slow worker refuses nothing while its queue has room; only word of starts shows that jobs wait there.
#[test]
fn a_worker_that_keeps_a_job_from_starting_spills_to_the_second_choice() {
    for started in [true, false] {
        let mut d = Driver::with_fleet(Settings { reports_start: true, ..settings() }, 12);
        let home = sent(&d.request(1, SAFE, "k"));
        if started {
            let (request, attempt) = (RequestId(1), AttemptNo(0));
            d.event(Event::JobProgress { request, attempt, progress: JobProgress::Started });
        }
        d.now += 300 * MS;
        // Another key of the same home: a key seen twice may already be spread.
        let alone = |key: &String| sent(&Driver::with_fleet(common::settings(), 12).request(1, SAFE, key));
        let key =
            (0..).map(|n| format!("key-{n}")).find(|key| alone(key) == home).expect("arcs have many keys");
        let next = sent(&d.request(2, SAFE, &key));
        assert_eq!(next == home, started, "started {started}");
    }
}

/// Once its slots are full, a worker that is still warming up must not be handed a queue as well: it topples.
#[test]
fn a_busy_cold_worker_is_not_the_last_resort() {
    let mut settings = settings();
    settings.reports_start = true;
    let mut d = Driver::new(settings);
    let cold = Endpoint { started_at: d.now - S, ..endpoint(1) };
    d.event(list(EndpointUpdate::Snapshot, [cold]));
    let first = (0..100).find(|id| !sends(&d.request(*id, SAFE, &format!("key-{id}"))).is_empty());
    assert!(first.is_some(), "an idle cold worker takes some jobs");
    d.now += 300 * MS;
    let more: usize = (100..200).map(|id| sends(&d.request(id, SAFE, &format!("key-{id}"))).len()).sum();
    assert_eq!(more, 0);
}
