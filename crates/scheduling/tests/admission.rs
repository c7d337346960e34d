//! Admission: how full a worker is taken to be, by what is known of its load, and which jobs wait.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeMap;
use vetchbridge_scheduling::*;

/// Workers that report neither start nor load queue jobs for seconds before they reject one: arcs are never
/// even, and the home of a popular key would be overloaded while others are idle. So own jobs are spread by
/// weight, each key as near to its home as that allows.
#[test]
fn where_load_is_unknown_no_worker_is_sent_much_more_than_its_fair_share() {
    let mut driver = Driver::new(Settings { load_report_source: LoadReportSource::Never, ..settings() });
    let sized = |n: u64| Endpoint { weight: if n <= 4 { 5.0 } else { 3.0 }, ..endpoint(n) };
    driver.event(list(EndpointUpdate::Snapshot, (1..=8).map(sized)));
    let mut in_flight: BTreeMap<WorkerId, f64> = BTreeMap::new();
    let mut popular: BTreeMap<WorkerId, u32> = BTreeMap::new();
    for id in 1..=200 {
        let key = if id % 4 == 0 { "popular".to_string() } else { format!("key-{id}") };
        let worker = sent(&driver.request(id, IDEMPOTENT, &key));
        if key == "popular" {
            *popular.entry(worker).or_default() += 1;
        }
        *in_flight.entry(worker).or_default() += 1.0;
    }
    for (worker, jobs) in &in_flight {
        let share = 200.0 * sized(worker.0).weight / 32.0;
        assert!(*jobs <= 1.3 * share + 1.0, "{jobs} of 200 jobs at {worker:?}, whose share is {share}");
    }
    let jobs_at_home = popular.values().max();
    assert!(jobs_at_home >= Some(&15), "the popular key has no home: {popular:?}");
}

/// Where a late answer has no weight, work on it takes the worker's time from jobs that can still be in time;
/// under a burst all would be late. An attempt waits no longer than the latency objective, and what can't be
/// in time is answered at once.
#[test]
fn a_job_whose_late_answer_is_worth_nothing_is_answered_once_it_is_late() {
    // Idempotency, weight of a late answer, hint; how long an attempt may wait, and whether a retry is
    // harmless.
    let (never, all) = (Idempotency::NonIdempotent, Idempotency::Idempotent);
    for (idempotency, late_weight, hint, wait, harmless) in [
        (all, 0.0, Some(300 * MS), Some(500 * MS + 690 * MS), true),
        (never, 0.0, Some(300 * MS), Some(500 * MS + 690 * MS), false),
        (all, 0.0, None, None, true),
        (all, 0.3, Some(300 * MS), None, true),
    ] {
        let classes = vec![Class { late_weight, ..class(idempotency) }];
        let mut driver = Driver::with_fleet(Settings { classes, ..settings() }, 6);
        let job = Request { expected_work: hint, ..request(1, 0, "k", driver.now + 5 * S) };
        let done = driver.event(Event::Request(job));
        let timeout = |a: &Action| if let Action::Send { timeout, .. } = a { Some(*timeout) } else { None };
        assert_eq!(done.iter().find_map(timeout), Some(wait), "{idempotency:?}, {late_weight}, {hint:?}");
        let Some(wait) = wait else { continue };
        driver.now += wait;
        let done = driver.event(attempt_finished(1, 0, sent(&done), Outcome::Timeout));
        assert!(
            sends(&done).is_empty() && rejected(&done) == harmless && failed(&done) != harmless,
            "{done:?}"
        );
    }
}

/// That is when it can't be in time even at an idle worker.
#[test]
fn a_queued_job_is_answered_when_it_can_t_be_in_time_any_more() {
    let classes = vec![Class { late_weight: 0.0, ..class(Idempotency::Idempotent) }];
    let mut driver = Driver::new(Settings { classes, ..settings() });
    let started = driver.now;
    let mut upcoming = timers(&driver.event(Event::Request(Request {
        expected_work: Some(300 * MS),
        ..request(1, 0, "k", started + 5 * S)
    })));
    loop {
        upcoming.sort();
        let (at, token) = upcoming.remove(0);
        let done = driver.at(at, Event::Timer(token));
        if rejected(&done) {
            break;
        }
        upcoming.extend(timers(&done));
    }
    let waited = driver.now - started;
    assert!(
        (800 * MS..=810 * MS).contains(&waited),
        "answered after {waited} us, the objective leaves 800 ms"
    );
}

/// Two workers, each with an own job: that is no reason to queue a job whose connection broke at one of them.
#[test]
fn a_job_whose_connection_broke_goes_on_at_once_to_the_only_worker_that_is_left() {
    let mut driver =
        Driver::with_fleet(Settings { load_report_source: LoadReportSource::Never, ..settings() }, 2);
    let first = sent(&driver.request(1, IDEMPOTENT, "k"));
    let second = sent(&driver.request(2, IDEMPOTENT, "k"));
    assert_ne!(first, second, "own load is spread");
    assert_eq!(sent(&driver.event(attempt_finished(2, 0, second, Outcome::Reset))), first);
}

/// A worker that answers quickly with errors looks idle, and would be sent more than any other. It is
/// ejected, for longer each time, also when it serves every second job; one error in fifty, or errors
/// everywhere, eject none.
#[test]
fn a_worker_that_answers_with_errors_again_and_again_is_ejected() {
    let percent_at_failing_worker = |fails: &dyn Fn(WorkerId, u64) -> bool| {
        let mut driver =
            Driver::with_fleet(Settings { load_report_source: LoadReportSource::Never, ..settings() }, 6);
        let (mut at_failing, mut all) = (0, 0);
        for id in 1..=1200 {
            driver.now += 20 * MS;
            let worker = sent(&driver.request(id, NON_IDEMPOTENT, &format!("key-{id}")));
            all += 1;
            at_failing += u64::from(worker == WorkerId(3));
            let outcome = if fails(worker, id) { Outcome::Error } else { Outcome::Ok };
            driver.event(attempt_finished(id, 0, worker, outcome));
        }
        100 * at_failing / all
    };
    assert!(percent_at_failing_worker(&|_, _| false) >= 10, "a sixth of the jobs, while it doesn't fail");
    assert!(percent_at_failing_worker(&|worker, _| worker == WorkerId(3)) <= 2, "it fails each job");
    assert!(
        percent_at_failing_worker(&|worker, id| worker == WorkerId(3) && mix(id) % 2 == 0) <= 6,
        "it fails every second one"
    );
    assert!(
        percent_at_failing_worker(&|worker, id| worker == WorkerId(3) && id % 50 == 0) >= 10,
        "it fails now and then"
    );
    assert!(percent_at_failing_worker(&|_, _| true) >= 10, "no worker is better");
}

/// Scatters small numbers; without a seed.
fn mix(n: u64) -> u64 {
    (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 29) ^ n.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33
}
