//! Tests of retries: when the scheduler retries a request at another worker and when the client may retry,
//! for each idempotency of a class.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

#[test]
fn a_job_rejected_by_workers_is_retried_elsewhere_and_rejected_after_its_last_attempt() {
    for class in [IDEMPOTENT, KEYED_ALL, KEYED_CELL, NON_IDEMPOTENT] {
        let mut driver = Driver::with_fleet(settings(), 12);
        let mut tried = vec![sent_to(&driver.request(1, class, "k"))];
        for attempt in 0..3 {
            let next = sent_to(&driver.event(attempt_finished(
                1,
                attempt,
                *tried.last().unwrap(),
                Outcome::Rejected,
            )));
            assert!(!tried.contains(&next));
            tried.push(next);
        }
        let last = driver.event(attempt_finished(1, 3, tried[3], Outcome::Rejected));
        assert!(sent_workers(&last).is_empty() && has_rejection(&last), "class {class}: {last:?}");
    }
}

/// Guards against a job that runs twice: the repeated report of a worker that returned the job must not seem
/// to prove that a later attempt at the same worker never ran. A worker that rejected the job in its response
/// repeats no report and may get the job again.
#[test]
fn a_job_goes_back_to_a_worker_that_rejected_it_but_not_to_one_that_returned_it() {
    for class in [IDEMPOTENT, KEYED_ALL, KEYED_CELL, NON_IDEMPOTENT] {
        for (outcome, is_sent_again) in [(Outcome::Rejected, true), (Outcome::Returned, false)] {
            let mut driver = Driver::with_fleet(settings(), 2);
            let first = sent_to(&driver.request(1, class, "k"));
            let second = sent_to(&driver.event(attempt_finished(1, 0, first, outcome)));
            assert_ne!(first, second);
            let mut actions = driver.event(attempt_finished(1, 1, second, outcome));
            if is_sent_again {
                let (at, token) = timers(&actions)[0];
                actions = driver.at(at, Event::Timer(token));
            }
            let is_answered = has_rejection(&actions);
            assert_eq!(
                (sent_workers(&actions).len(), is_answered),
                (usize::from(is_sent_again), !is_sent_again)
            );
        }
    }
}

/// A returned job is rejected only if every worker in the list has had the job. While the list is empty, the
/// job waits for a worker.
#[test]
fn a_returned_job_waits_for_a_worker_while_the_list_is_empty() {
    let mut driver = Driver::with_fleet(settings(), 2);
    let first = sent_to(&driver.request(1, NON_IDEMPOTENT, "k"));
    driver.event(fleet_snapshot(0));
    let actions = driver.event(attempt_finished(1, 0, first, Outcome::Returned));
    assert!(sent_workers(&actions).is_empty() && !has_rejection(&actions), "{actions:?}");
    let actions = driver.event(fleet_snapshot(3));
    assert_ne!(sent_to(&actions), first);
}

/// A returned job also waits for a worker that gets no job at present because it has just rejected the job.
#[test]
fn a_returned_job_waits_for_a_worker_that_rejects_jobs_at_present() {
    let mut driver = Driver::with_fleet(settings(), 2);
    let first = sent_to(&driver.request(1, NON_IDEMPOTENT, "k"));
    let second = sent_to(&driver.event(attempt_finished(1, 0, first, Outcome::Returned)));
    assert_ne!(first, second);
    let actions = driver.event(attempt_finished(1, 1, second, Outcome::Rejected));
    assert!(sent_workers(&actions).is_empty() && !has_rejection(&actions), "{actions:?}");
    let (at, token) = timers(&actions)[0];
    assert_eq!(sent_to(&driver.at(at, Event::Timer(token))), second);
}

#[test]
fn a_non_idempotent_job_that_may_have_run_fails_without_a_retry_or_a_rejection() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut driver = Driver::with_fleet(settings(), 12);
        let worker = sent_to(&driver.request(1, NON_IDEMPOTENT, "k"));
        let actions = driver.event(attempt_finished(1, 0, worker, outcome));
        assert!(
            sent_workers(&actions).is_empty() && !has_rejection(&actions) && has_failure(&actions),
            "{outcome:?}"
        );
    }
}

#[test]
fn an_idempotent_job_that_may_have_run_is_retried() {
    let mut driver = Driver::with_fleet(settings(), 12);
    let worker = sent_to(&driver.request(1, IDEMPOTENT, "k"));
    assert_ne!(sent_to(&driver.event(attempt_finished(1, 0, worker, Outcome::Error))), worker);
}

#[test]
fn a_keyed_job_that_may_have_run_is_retried_only_in_its_cell_and_deduplication_window() {
    for n in 0..40 {
        let mut driver = Driver::with_fleet(settings(), 23);
        let key = format!("key-{n}");
        let first = sent_to(&driver.request(1, KEYED_CELL, &key));
        let second = sent_to(&driver.event(attempt_finished(1, 0, first, Outcome::Error)));
        assert_eq!(endpoint(first.0).cell, endpoint(second.0).cell);
        let window_end = driver.now + 2 * SECOND;
        let actions = driver.at(window_end, attempt_finished(1, 1, second, Outcome::Error));
        assert!(sent_workers(&actions).is_empty() && has_failure(&actions) && !has_rejection(&actions));
    }
}

/// After the deduplication window, workers no longer drop a repeat of a keyed job. A retry by the scheduler
/// or by the client would therefore run the job again.
#[test]
fn a_keyed_job_is_neither_retried_nor_rejected_after_its_deduplication_window() {
    let mut driver = Driver::with_fleet(settings(), 24);
    let first = sent_to(&driver.request(1, KEYED_ALL, "k"));
    let window_end = driver.now + 2 * SECOND;
    let actions = driver.at(window_end, attempt_finished(1, 0, first, Outcome::Error));
    assert!(sent_workers(&actions).is_empty() && has_failure(&actions) && !has_rejection(&actions));
}

/// A rejection promises that a retry by the client is harmless. For a keyed job that may have run, a retry is
/// harmless only if it arrives while workers drop the repeat, and the client takes some time to retry.
#[test]
fn a_keyed_job_that_may_have_run_is_rejected_only_while_workers_drop_its_repeat() {
    for (name, age, is_harmless) in [
        ("within the window", SECOND, true),
        ("shortly before the end of the window", 2 * SECOND - 300 * MILLISECOND, false),
        ("after the window", 3 * SECOND, false),
    ] {
        let mut driver = Driver::with_fleet(settings(), 6);
        let Idempotency::Keyed { deduplication_window, .. } =
            settings().classes[KEYED_ALL as usize].idempotency
        else {
            panic!("the class is not keyed")
        };
        assert_eq!(deduplication_window, 2 * SECOND);
        sent_to(&driver.request(1, KEYED_ALL, "k"));
        driver.now += age;
        let actions = driver.event(Event::ShuttingDown);
        assert_eq!(
            (has_rejection(&actions), has_failure(&actions)),
            (is_harmless, !is_harmless),
            "{name}: {actions:?}"
        );
        // A worker never ran the job of a rejected attempt, so the attempt does not start the deduplication
        // window.
        let mut driver = Driver::with_fleet(settings(), 6);
        let worker = sent_to(&driver.request(1, KEYED_ALL, "k"));
        driver.now += age;
        driver.event(attempt_finished(1, 0, worker, Outcome::Rejected));
        assert!(has_rejection(&driver.event(Event::ShuttingDown)), "{name}: the rejected attempt never ran");
    }
}

/// A rejection carries a Retry-After, because a client that is rejected without a Retry-After retries at
/// once, while the workers are still full.
#[test]
fn a_rejection_has_a_retry_after_if_the_settings_allow_it() {
    for is_allowed in [true, false] {
        let mut settings = settings();
        settings.limits.retry_after = is_allowed;
        let max_retry_after = settings.limits.max_retry_after;
        let mut driver = Driver::with_fleet(settings, 12);
        let mut actions = driver.request(1, IDEMPOTENT, "k");
        for attempt in 0..4 {
            let worker = sent_to(&actions);
            actions = driver.event(attempt_finished(1, attempt, worker, Outcome::Rejected));
        }
        let retry_after_of =
            |a: &Action| if let Action::Reject { retry_after, .. } = a { Some(*retry_after) } else { None };
        let retry_after = actions
            .iter()
            .find_map(retry_after_of)
            .expect("the request is rejected once its attempts are used up");
        assert!(
            if is_allowed { (1..=max_retry_after).contains(&retry_after) } else { retry_after == 0 },
            "Retry-After allowed: {is_allowed}; given: {retry_after} us"
        );
    }
}
