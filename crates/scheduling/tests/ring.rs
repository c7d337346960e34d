//! Tests of the choice of workers by the hash ring: schedulers agree, few keys move when a worker leaves,
//! requests spill from a busy worker to others, and the choice respects machine types, slow start and hot
//! keys.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeMap;
use vetchbridge_scheduling::*;

/// Returns the first and the second worker that a scheduler without any earlier requests chooses for a key.
fn first_two_choices(endpoints: &[Endpoint], key: &str) -> (WorkerId, WorkerId) {
    let mut driver = Driver::new(settings());
    for endpoint in endpoints {
        driver.event(endpoints_event(EndpointUpdate::Changes, [endpoint.clone()]));
    }
    let first = sent_to(&driver.request(1, IDEMPOTENT, key));
    (first, sent_to(&driver.event(attempt_finished(1, 0, first, Outcome::Rejected))))
}

#[test]
fn two_schedulers_with_equal_lists_agree_whatever_the_order_of_the_entries() {
    let forward: Vec<Endpoint> = (1..=9).map(endpoint).collect();
    let mut backward = forward.clone();
    backward.reverse();
    backward.swap(2, 5);
    for n in 0..200 {
        let key = format!("key-{n}");
        assert_eq!(first_two_choices(&forward, &key), first_two_choices(&backward, &key), "{key}");
    }
}

#[test]
fn removing_a_worker_moves_only_that_worker_s_keys() {
    let endpoints: Vec<Endpoint> = (1..=9).map(endpoint).collect();
    let remaining_endpoints: Vec<Endpoint> =
        endpoints.iter().filter(|endpoint| endpoint.worker != WorkerId(4)).cloned().collect();
    let mut moved = 0;
    for n in 0..300 {
        let key = format!("key-{n}");
        let (before, second) = first_two_choices(&endpoints, &key);
        let (after, _) = first_two_choices(&remaining_endpoints, &key);
        if before == WorkerId(4) {
            assert_eq!(after, second, "a key of the removed worker goes to its second choice");
            moved += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((10..80).contains(&moved), "{moved} of 300 keys belonged to the removed worker");
}

#[test]
fn keys_are_distributed_in_proportion_to_weights() {
    let mut endpoints: Vec<Endpoint> = (1..=8).map(endpoint).collect();
    for endpoint in &mut endpoints[..4] {
        endpoint.weight = 3.0;
    }
    let mut driver = Driver::new(settings());
    driver.event(endpoints_event(EndpointUpdate::Snapshot, endpoints));
    let mut jobs_at_large_workers = 0;
    for id in 0..1000 {
        driver.now += SECOND;
        let worker = sent_to(&driver.request(id, IDEMPOTENT, &format!("key-{id}")));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        jobs_at_large_workers += u32::from(worker.0 <= 4);
    }
    assert!(
        (680..=820).contains(&jobs_at_large_workers),
        "{jobs_at_large_workers} of 1000 keys went to the half of the workers with three times the weight"
    );
}

#[test]
fn jobs_without_a_key_are_spread_over_all_workers() {
    let mut driver = Driver::with_fleet(settings(), 8);
    let mut jobs_per_worker = BTreeMap::new();
    for id in 0..200 {
        let mut job = request(id, IDEMPOTENT, "", driver.now + 5 * SECOND);
        job.key = None;
        let worker = sent_to(&driver.event(Event::Request(job)));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        *jobs_per_worker.entry(worker).or_insert(0) += 1;
    }
    assert_eq!(jobs_per_worker.len(), 8, "{jobs_per_worker:?}");
}

#[test]
fn a_class_bound_to_a_machine_type_uses_that_type_only() {
    let mut driver = Driver::with_fleet(settings(), 12);
    for id in 0..100 {
        let worker = sent_to(&driver.request(id, MACHINE_BOUND, &format!("key-{id}")));
        assert_eq!(endpoint(worker.0).machine_type, MachineTypeId(1));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
    }
}

#[test]
fn all_schedulers_together_send_a_warming_worker_only_its_warm_up_fraction_of_jobs() {
    // 100 schedulers send 1000 jobs with different keys, and one of ten workers has just started. The fair
    // share of this warming worker is a tenth of the jobs times its warm-up fraction: 25 jobs at the start of
    // the warm-up and 62 jobs halfway through. The worker must get some jobs, but not many more than that
    // share.
    for (age, min, max) in [(0, 2, 45), (5 * SECOND, 25, 140)] {
        let mut to_warming = 0;
        for scheduler_index in 0..100 {
            let mut settings = settings();
            settings.scheduler_index = scheduler_index;
            settings.scheduler_count = 100;
            let mut driver = Driver::new(settings);
            let warming = Endpoint { started_at: driver.now - age, ..endpoint(10) };
            driver.event(endpoints_event(EndpointUpdate::Snapshot, (1..=9).map(endpoint).chain([warming])));
            for n in 0..10 {
                let id = u64::from(scheduler_index) * 10 + n;
                let worker = sent_to(&driver.request(id, IDEMPOTENT, &format!("key-{id}")));
                to_warming += u32::from(worker == WorkerId(10));
                driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
            }
        }
        assert!((min..=max).contains(&to_warming), "{to_warming} of 1000 at age {age}");
    }
}

#[test]
fn a_warming_worker_gets_no_job_that_another_worker_rejected() {
    let mut driver = Driver::new(settings());
    let started_at = driver.now;
    driver.event(endpoints_event(
        EndpointUpdate::Snapshot,
        (1..=8).map(|n| Endpoint { started_at: if n > 4 { started_at } else { 0 }, ..endpoint(n) }),
    ));
    let mut retried_jobs = 0;
    for id in 0..200 {
        driver.now += MILLISECOND;
        let Some(&first) = sent_workers(&driver.request(id, IDEMPOTENT, &format!("key-{id}"))).first() else {
            continue;
        };
        // Most jobs are served, so that the warm workers have capacity for the jobs that a worker rejects.
        if id % 8 != 0 {
            driver.event(attempt_finished(id, 0, first, Outcome::Ok));
            continue;
        }
        for retry_worker in sent_workers(&driver.event(attempt_finished(id, 0, first, Outcome::Rejected))) {
            assert!(retry_worker.0 <= 4, "a rejected job went to warming worker {retry_worker:?}");
            driver.event(attempt_finished(id, 1, retry_worker, Outcome::Ok));
            retried_jobs += 1;
        }
        driver.now += SECOND / 20;
    }
    assert!(retried_jobs >= 15, "only {retried_jobs} rejected jobs went to another worker");
}

#[test]
fn a_hot_key_is_spread_over_workers_and_each_scheduler_keeps_to_one_of_them() {
    let mut schedulers_per_worker = BTreeMap::new();
    for scheduler_index in 0..30 {
        let mut settings = settings();
        settings.scheduler_index = scheduler_index;
        settings.scheduler_count = 30;
        let mut driver = Driver::with_fleet(settings, 20);
        let mut workers = Vec::new();
        for id in 0..60 {
            let worker = sent_to(&driver.request(id, IDEMPOTENT, "heavy"));
            driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
            driver.now += 10 * MILLISECOND;
            workers.push(worker);
        }
        assert_eq!(workers[50..].iter().collect::<std::collections::BTreeSet<_>>().len(), 1);
        *schedulers_per_worker.entry(workers[59]).or_insert(0) += 1;
    }
    assert!(schedulers_per_worker.len() >= 4, "30 schedulers use only {schedulers_per_worker:?}");
}

#[test]
fn a_warming_worker_does_not_get_a_key_that_may_be_hot() {
    // Each of 400 schedulers gets a request with one hot key now and then. All requests with this key
    // together need the capacity of three workers.
    let (mut to_warming, mut sent_total) = (0, 0);
    // Find a key that belongs to one of the active points of a worker that has just started: with a work
    // budget that is practically unlimited, a request with this key goes to that worker.
    let mut settings_without_budget = settings();
    settings_without_budget.rules.overload_factor = 1e9;
    let key = (0..5000).map(|n| format!("key-{n}")).find(|key| {
        let mut driver = Driver::new(settings_without_budget.clone());
        let started_at = driver.now;
        driver.event(endpoints_event(
            EndpointUpdate::Snapshot,
            (1..=29).map(endpoint).chain([Endpoint { started_at, ..endpoint(30) }]),
        ));
        sent_to(&driver.request(1, IDEMPOTENT, key)) == WorkerId(30)
    });
    let key = key.expect("some key has its home at the warming worker");
    for scheduler_index in 0..400 {
        let mut settings = settings();
        (settings.scheduler_index, settings.scheduler_count) = (scheduler_index, 400);
        let mut driver = Driver::new(settings);
        let started_at = driver.now + 20 * SECOND;
        driver.event(endpoints_event(EndpointUpdate::Snapshot, (1..=29).map(endpoint)));
        for n in 0..40 {
            let worker = sent_to(&driver.request(
                n,
                IDEMPOTENT,
                &if n % 10 == 5 { key.clone() } else { format!("other-{scheduler_index}-{n}") },
            ));
            driver.event(attempt_finished(n, 0, worker, Outcome::Ok));
            driver.now += SECOND / 2;
        }
        driver.event(endpoints_event(EndpointUpdate::Changes, [Endpoint { started_at, ..endpoint(30) }]));
        let worker = sent_to(&driver.request(1000, IDEMPOTENT, &key));
        to_warming += u32::from(worker == WorkerId(30));
        sent_total += 1;
    }
    assert!(to_warming * 4 < sent_total, "{to_warming} of {sent_total} jobs went to the warming worker");
}

/// A slow worker rejects no job until its queue is full. Only the missing reports of job starts show the
/// scheduler that its jobs wait in the worker's queue.
#[test]
fn jobs_spill_to_the_second_choice_if_a_job_waits_for_a_slot_at_the_home() {
    for started in [true, false] {
        let mut driver = Driver::with_fleet(Settings { reports_start: true, ..settings() }, 12);
        let home = sent_to(&driver.request(1, IDEMPOTENT, "k"));
        if started {
            let (request, attempt) = (RequestId(1), AttemptNo(0));
            driver.event(Event::JobProgress { request, attempt, progress: JobProgress::Started });
        }
        driver.now += 300 * MILLISECOND;
        // The second request has another key with the same home as the first key, because two requests with
        // one key may be spread over several workers.
        let home_of =
            |key: &String| sent_to(&Driver::with_fleet(common::settings(), 12).request(1, IDEMPOTENT, key));
        let key = (0..10_000)
            .map(|n| format!("key-{n}"))
            .find(|key| home_of(key) == home)
            .expect("another key has the same home");
        let second_worker = sent_to(&driver.request(2, IDEMPOTENT, &key));
        assert_eq!(second_worker == home, started, "the first job started: {started}");
    }
}

/// A warming worker whose slots are all occupied must get no further jobs, because a queue of jobs would
/// overload the worker.
#[test]
fn a_busy_warming_worker_gets_no_queue() {
    let mut settings = settings();
    settings.reports_start = true;
    let mut driver = Driver::new(settings);
    let warming = Endpoint { started_at: driver.now - SECOND, ..endpoint(1) };
    driver.event(endpoints_event(EndpointUpdate::Snapshot, [warming]));
    let first =
        (0..100).find(|id| !sent_workers(&driver.request(*id, IDEMPOTENT, &format!("key-{id}"))).is_empty());
    assert!(first.is_some(), "an idle warming worker takes some jobs");
    driver.now += 300 * MILLISECOND;
    let queued: usize =
        (100..200).map(|id| sent_workers(&driver.request(id, IDEMPOTENT, &format!("key-{id}"))).len()).sum();
    assert_eq!(queued, 0);
}
