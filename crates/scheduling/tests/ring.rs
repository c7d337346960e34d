//! The ring and its candidates: agreement between schedulers, minimal movement, overflow, machine types, slow
//! start, hot keys.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeMap;
use vetchbridge_scheduling::*;

/// First and second choice of a key at a scheduler that has seen nothing else.
fn choices(endpoints: &[Endpoint], key: &str) -> (WorkerId, WorkerId) {
    let mut driver = Driver::new(settings());
    for endpoint in endpoints {
        driver.event(list(EndpointUpdate::Changes, [endpoint.clone()]));
    }
    let first = sent(&driver.request(1, IDEMPOTENT, key));
    (first, sent(&driver.event(attempt_finished(1, 0, first, Outcome::Rejected))))
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
fn arcs_are_in_proportion_to_weights() {
    let mut endpoints: Vec<Endpoint> = (1..=8).map(endpoint).collect();
    for endpoint in &mut endpoints[..4] {
        endpoint.weight = 3.0;
    }
    let mut driver = Driver::new(settings());
    driver.event(list(EndpointUpdate::Snapshot, endpoints));
    let mut large = 0;
    for id in 0..1000 {
        driver.now += S;
        let worker = sent(&driver.request(id, IDEMPOTENT, &format!("key-{id}")));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        large += u32::from(worker.0 <= 4);
    }
    assert!((680..=820).contains(&large), "{large} of 1000 keys on the half that is three times as large");
}

#[test]
fn a_job_without_a_key_is_placed_and_spread() {
    let mut driver = Driver::with_fleet(settings(), 8);
    let mut seen = BTreeMap::new();
    for id in 0..200 {
        let mut job = request(id, IDEMPOTENT, "", driver.now + 5 * S);
        job.key = None;
        let worker = sent(&driver.event(Event::Request(job)));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        *seen.entry(worker).or_insert(0) += 1;
    }
    assert_eq!(seen.len(), 8, "{seen:?}");
}

#[test]
fn a_class_bound_to_a_machine_type_uses_that_type_only() {
    let mut driver = Driver::with_fleet(settings(), 12);
    for id in 0..100 {
        let worker = sent(&driver.request(id, MACHINE_BOUND, &format!("key-{id}")));
        assert_eq!(endpoint(worker.0).machine_type, MachineTypeId(1));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
    }
}

#[test]
fn all_schedulers_together_send_a_warming_worker_only_the_part_it_is_warm_for() {
    // 100 schedulers, 1000 keys of equal weight, one of ten workers just started: its share of first attempts
    // stays within its warm-up fraction of a tenth (25 and 62), at the start and half way, and is not
    // nothing.
    for (age, low, high) in [(0, 2, 45), (5 * S, 25, 140)] {
        let mut to_warming = 0;
        for scheduler_index in 0..100 {
            let mut own = settings();
            own.scheduler_index = scheduler_index;
            own.scheduler_count = 100;
            let mut driver = Driver::new(own);
            let warming = Endpoint { started_at: driver.now - age, ..endpoint(10) };
            driver.event(list(EndpointUpdate::Snapshot, (1..=9).map(endpoint).chain([warming])));
            for n in 0..10 {
                let id = u64::from(scheduler_index) * 10 + n;
                let worker = sent(&driver.request(id, IDEMPOTENT, &format!("key-{id}")));
                to_warming += u32::from(worker == WorkerId(10));
                driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
            }
        }
        assert!((low..=high).contains(&to_warming), "{to_warming} of 1000 at age {age}");
    }
}

#[test]
fn a_warming_worker_takes_no_other_keys_and_no_rejected_job() {
    let mut driver = Driver::new(settings());
    let started_at = driver.now;
    driver.event(list(
        EndpointUpdate::Snapshot,
        (1..=8).map(|n| Endpoint { started_at: if n > 4 { started_at } else { 0 }, ..endpoint(n) }),
    ));
    let mut sent_again = 0;
    for id in 0..200 {
        driver.now += MS;
        let Some(&first) = sends(&driver.request(id, IDEMPOTENT, &format!("key-{id}"))).first() else {
            continue;
        };
        // Most are served, so that the warm workers have capacity for the rejected ones.
        if id % 8 != 0 {
            driver.event(attempt_finished(id, 0, first, Outcome::Ok));
            continue;
        }
        for next in sends(&driver.event(attempt_finished(id, 0, first, Outcome::Rejected))) {
            assert!(next.0 <= 4, "a rejected job went to warming worker {next:?}");
            driver.event(attempt_finished(id, 1, next, Outcome::Ok));
            sent_again += 1;
        }
        driver.now += S / 20;
    }
    assert!(sent_again >= 15, "{sent_again} rejected jobs went to another worker");
}

#[test]
fn a_hot_key_is_spread_and_each_scheduler_keeps_its_start() {
    let mut starts = BTreeMap::new();
    for scheduler_index in 0..30 {
        let mut own = settings();
        own.scheduler_index = scheduler_index;
        own.scheduler_count = 30;
        let mut driver = Driver::with_fleet(own, 20);
        let mut last = Vec::new();
        for id in 0..60 {
            let worker = sent(&driver.request(id, IDEMPOTENT, "heavy"));
            driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
            driver.now += 10 * MS;
            last.push(worker);
        }
        assert_eq!(last[50..].iter().collect::<std::collections::BTreeSet<_>>().len(), 1);
        *starts.entry(last[59]).or_insert(0) += 1;
    }
    assert!(starts.len() >= 4, "30 schedulers start at {starts:?}");
}

#[test]
fn a_warming_worker_does_not_get_a_key_that_may_be_hot() {
    // 400 schedulers that each see the key now and then; the key alone is as much as three workers carry.
    let (mut to_warming, mut sent_in_all) = (0, 0);
    // A key whose point on the warming worker is among the first to be active: without an overload factor, it
    // goes there.
    let mut without_admission_budget = settings();
    without_admission_budget.rules.overload_factor = 1e9;
    let key = (0..5000).map(|n| format!("key-{n}")).find(|key| {
        let mut driver = Driver::new(without_admission_budget.clone());
        let started_at = driver.now;
        driver.event(list(
            EndpointUpdate::Snapshot,
            (1..=29).map(endpoint).chain([Endpoint { started_at, ..endpoint(30) }]),
        ));
        sent(&driver.request(1, IDEMPOTENT, key)) == WorkerId(30)
    });
    let key = key.expect("some key has its home there");
    for scheduler_index in 0..400 {
        let mut own = settings();
        (own.scheduler_index, own.scheduler_count) = (scheduler_index, 400);
        let mut driver = Driver::new(own);
        let started_at = driver.now + 20 * S;
        driver.event(list(EndpointUpdate::Snapshot, (1..=29).map(endpoint)));
        for n in 0..40 {
            let worker = sent(&driver.request(
                n,
                IDEMPOTENT,
                &if n % 10 == 5 { key.clone() } else { format!("other-{scheduler_index}-{n}") },
            ));
            driver.event(attempt_finished(n, 0, worker, Outcome::Ok));
            driver.now += S / 2;
        }
        driver.event(list(EndpointUpdate::Changes, [Endpoint { started_at, ..endpoint(30) }]));
        let worker = sent(&driver.request(1000, IDEMPOTENT, &key));
        to_warming += u32::from(worker == WorkerId(30));
        sent_in_all += 1;
    }
    assert!(to_warming * 4 < sent_in_all, "{to_warming} of {sent_in_all} to the warming worker");
}

/// A slow worker rejects nothing while its queue isn't full; only reports of starts show that jobs wait
/// there.
#[test]
fn a_worker_whose_jobs_wait_for_a_slot_overflows_to_the_second_choice() {
    for started in [true, false] {
        let mut driver = Driver::with_fleet(Settings { reports_start: true, ..settings() }, 12);
        let home = sent(&driver.request(1, IDEMPOTENT, "k"));
        if started {
            let (request, attempt) = (RequestId(1), AttemptNo(0));
            driver.event(Event::JobProgress { request, attempt, progress: JobProgress::Started });
        }
        driver.now += 300 * MS;
        // Another key with the same home: a key that is seen twice may already be spread.
        let alone =
            |key: &String| sent(&Driver::with_fleet(common::settings(), 12).request(1, IDEMPOTENT, key));
        let key = (0..10_000)
            .map(|n| format!("key-{n}"))
            .find(|key| alone(key) == home)
            .expect("arcs have many keys");
        let next = sent(&driver.request(2, IDEMPOTENT, &key));
        assert_eq!(next == home, started, "started {started}");
    }
}

/// Once its slots are full, a worker that is still warming up must get no queue as well: it would be
/// overloaded.
#[test]
fn a_busy_warming_worker_gets_no_queue() {
    let mut settings = settings();
    settings.reports_start = true;
    let mut driver = Driver::new(settings);
    let warming = Endpoint { started_at: driver.now - S, ..endpoint(1) };
    driver.event(list(EndpointUpdate::Snapshot, [warming]));
    let first = (0..100).find(|id| !sends(&driver.request(*id, IDEMPOTENT, &format!("key-{id}"))).is_empty());
    assert!(first.is_some(), "an idle warming worker takes some jobs");
    driver.now += 300 * MS;
    let more: usize =
        (100..200).map(|id| sends(&driver.request(id, IDEMPOTENT, &format!("key-{id}"))).len()).sum();
    assert_eq!(more, 0);
}
