//! Tests of admission: which workers get jobs when the load of workers is unknown, and which requests wait at
//! the scheduler or get their final answer.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeMap;
use vetchbridge_scheduling::*;

/// Workers that report neither job starts nor load queue jobs for seconds before they reject a job. The parts
/// of the ring that belong to the workers are never equal, so the home of a popular key would be overloaded
/// while other workers are idle. A scheduler therefore spreads its jobs by the weights of the workers, and
/// keeps each key as near to its home on the ring as the weights allow.
#[test]
fn no_worker_of_unknown_load_is_sent_much_more_than_its_fair_share() {
    let mut driver = Driver::new(Settings { load_report_source: LoadReportSource::Never, ..settings() });
    let sized = |n: u64| Endpoint { weight: if n <= 4 { 5.0 } else { 3.0 }, ..endpoint(n) };
    driver.event(endpoints_event(EndpointUpdate::Snapshot, (1..=8).map(sized)));
    let mut in_flight: BTreeMap<WorkerId, f64> = BTreeMap::new();
    let mut jobs_of_popular_key: BTreeMap<WorkerId, u32> = BTreeMap::new();
    for id in 1..=200 {
        let key = if id % 4 == 0 { "popular".to_string() } else { format!("key-{id}") };
        let worker = sent_to(&driver.request(id, IDEMPOTENT, &key));
        if key == "popular" {
            *jobs_of_popular_key.entry(worker).or_default() += 1;
        }
        *in_flight.entry(worker).or_default() += 1.0;
    }
    for (worker, jobs) in &in_flight {
        let share = 200.0 * sized(worker.0).weight / 32.0;
        assert!(*jobs <= 1.3 * share + 1.0, "{jobs} of 200 jobs at {worker:?}, whose share is {share}");
    }
    let jobs_at_home = jobs_of_popular_key.values().max();
    assert!(
        jobs_at_home >= Some(&15),
        "too few jobs of the popular key went to one worker: {jobs_of_popular_key:?}"
    );
}

/// If a late final answer is worthless, work on a late request takes a worker's time from jobs that can still
/// meet their latency objective, so that all jobs would become late during a burst. An attempt therefore
/// times out when its response would be late, and a request that can't meet its latency objective gets its
/// final answer at once.
#[test]
fn a_request_whose_late_answer_is_worthless_is_answered_once_it_is_late() {
    // Each case: the idempotency of the class, the weight of a late final answer, the client's estimate of
    // the work, the expected timeout of the attempt, and whether a retry by the client is harmless.
    let (non_idempotent, idempotent) = (Idempotency::NonIdempotent, Idempotency::Idempotent);
    for (idempotency, late_weight, work_hint, expected_timeout, is_harmless) in [
        (idempotent, 0.0, Some(300 * MILLISECOND), Some(500 * MILLISECOND + 690 * MILLISECOND), true),
        (non_idempotent, 0.0, Some(300 * MILLISECOND), Some(500 * MILLISECOND + 690 * MILLISECOND), false),
        (idempotent, 0.0, None, None, true),
        (idempotent, 0.3, Some(300 * MILLISECOND), None, true),
    ] {
        let classes = vec![Class { late_weight, ..class(idempotency) }];
        let mut driver = Driver::with_fleet(Settings { classes, ..settings() }, 6);
        let job = Request { expected_work: work_hint, ..request(1, 0, "k", driver.now + 5 * SECOND) };
        let actions = driver.event(Event::Request(job));
        let timeout_of =
            |a: &Action| if let Action::Send { timeout, .. } = a { Some(*timeout) } else { None };
        assert_eq!(
            actions.iter().find_map(timeout_of),
            Some(expected_timeout),
            "{idempotency:?}, {late_weight}, {work_hint:?}"
        );
        let Some(timeout) = expected_timeout else { continue };
        driver.now += timeout;
        let actions = driver.event(attempt_finished(1, 0, sent_to(&actions), Outcome::Timeout));
        assert!(
            sent_workers(&actions).is_empty()
                && has_rejection(&actions) == is_harmless
                && has_failure(&actions) != is_harmless,
            "{actions:?}"
        );
    }
}

/// A queued request whose late final answer is worthless gets its final answer as soon as not even an idle
/// worker could serve the request within the latency objective.
#[test]
fn a_queued_request_is_answered_when_it_can_no_longer_be_in_time() {
    let classes = vec![Class { late_weight: 0.0, ..class(Idempotency::Idempotent) }];
    let mut driver = Driver::new(Settings { classes, ..settings() });
    let started = driver.now;
    let mut pending_timers = timers(&driver.event(Event::Request(Request {
        expected_work: Some(300 * MILLISECOND),
        ..request(1, 0, "k", started + 5 * SECOND)
    })));
    loop {
        pending_timers.sort();
        let (at, token) = pending_timers.remove(0);
        let actions = driver.at(at, Event::Timer(token));
        if has_rejection(&actions) {
            break;
        }
        pending_timers.extend(timers(&actions));
    }
    let waited = driver.now - started;
    assert!(
        (800 * MILLISECOND..=810 * MILLISECOND).contains(&waited),
        "answered after {waited} us; the latency objective allows a wait of 800 ms"
    );
}

/// Each of two workers has one job in flight, and the connection of one job breaks. The scheduler must retry
/// the job at the other worker at once. The scheduler must not queue the job on the ground that the other
/// worker has a job already.
#[test]
fn a_job_whose_connection_broke_is_retried_at_once_at_the_only_other_worker() {
    let mut driver =
        Driver::with_fleet(Settings { load_report_source: LoadReportSource::Never, ..settings() }, 2);
    let first = sent_to(&driver.request(1, IDEMPOTENT, "k"));
    let second = sent_to(&driver.request(2, IDEMPOTENT, "k"));
    assert_ne!(first, second, "the jobs of the scheduler are spread over the workers");
    assert_eq!(sent_to(&driver.event(attempt_finished(2, 0, second, Outcome::Reset))), first);
}

/// A worker that responds quickly with errors looks idle and would get more jobs than any other worker. Such
/// a worker is ejected, each time for a longer time, even if the worker serves every second job. A worker is
/// not ejected for one error in fifty jobs, and ejections are ignored if all workers respond with errors.
#[test]
fn a_worker_that_repeatedly_answers_with_errors_is_ejected() {
    let percent_of_jobs_at_worker = |fails: &dyn Fn(WorkerId, u64) -> bool| {
        let mut driver =
            Driver::with_fleet(Settings { load_report_source: LoadReportSource::Never, ..settings() }, 6);
        let (mut jobs_at_worker, mut jobs) = (0, 0);
        for id in 1..=1200 {
            driver.now += 20 * MILLISECOND;
            let worker = sent_to(&driver.request(id, NON_IDEMPOTENT, &format!("key-{id}")));
            jobs += 1;
            jobs_at_worker += u64::from(worker == WorkerId(3));
            let outcome = if fails(worker, id) { Outcome::Error } else { Outcome::Ok };
            driver.event(attempt_finished(id, 0, worker, outcome));
        }
        100 * jobs_at_worker / jobs
    };
    assert!(
        percent_of_jobs_at_worker(&|_, _| false) >= 10,
        "without failures the worker gets a sixth of the jobs"
    );
    assert!(percent_of_jobs_at_worker(&|worker, _| worker == WorkerId(3)) <= 2, "the worker fails every job");
    assert!(
        percent_of_jobs_at_worker(&|worker, id| worker == WorkerId(3) && mix(id) % 2 == 0) <= 6,
        "the worker fails every second job"
    );
    assert!(
        percent_of_jobs_at_worker(&|worker, id| worker == WorkerId(3) && id % 50 == 0) >= 10,
        "the worker fails one job in fifty"
    );
    assert!(percent_of_jobs_at_worker(&|_, _| true) >= 10, "all workers fail every job");
}

/// Returns a hash of a small number, which decides whether the worker fails the job with this number.
fn mix(n: u64) -> u64 {
    (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 29) ^ n.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33
}
