//! Retries: when a job is sent again and when its client may retry, for each idempotency.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

#[test]
fn a_rejected_job_goes_to_another_worker_and_is_rejected_when_attempts_run_out() {
    for class in [IDEMPOTENT, KEYED_ALL, KEYED_CELL, NON_IDEMPOTENT] {
        let mut driver = Driver::with_fleet(settings(), 12);
        let mut tried = vec![sent(&driver.request(1, class, "k"))];
        for attempt in 0..3 {
            let next =
                sent(&driver.event(attempt_finished(1, attempt, *tried.last().unwrap(), Outcome::Rejected)));
            assert!(!tried.contains(&next));
            tried.push(next);
        }
        let last = driver.event(attempt_finished(1, 3, tried[3], Outcome::Rejected));
        assert!(sends(&last).is_empty() && rejected(&last), "class {class}: {last:?}");
    }
}

#[test]
fn a_non_idempotent_job_that_may_have_run_fails_and_is_never_sent_again_or_rejected() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
        let mut driver = Driver::with_fleet(settings(), 12);
        let worker = sent(&driver.request(1, NON_IDEMPOTENT, "k"));
        let actions = driver.event(attempt_finished(1, 0, worker, outcome));
        assert!(sends(&actions).is_empty() && !rejected(&actions) && failed(&actions), "{outcome:?}");
    }
}

#[test]
fn an_idempotent_job_that_may_have_run_is_sent_again() {
    let mut driver = Driver::with_fleet(settings(), 12);
    let worker = sent(&driver.request(1, IDEMPOTENT, "k"));
    assert_ne!(sent(&driver.event(attempt_finished(1, 0, worker, Outcome::Error))), worker);
}

#[test]
fn a_keyed_job_that_may_have_run_stays_in_its_cell_and_window() {
    for n in 0..40 {
        let mut driver = Driver::with_fleet(settings(), 23);
        let key = format!("key-{n}");
        let first = sent(&driver.request(1, KEYED_CELL, &key));
        let second = sent(&driver.event(attempt_finished(1, 0, first, Outcome::Error)));
        assert_eq!(endpoint(first.0).cell, endpoint(second.0).cell);
        let late = driver.now + 2 * S;
        let actions = driver.at(late, attempt_finished(1, 1, second, Outcome::Error));
        assert!(sends(&actions).is_empty() && failed(&actions) && !rejected(&actions));
    }
}

/// Its client may come back to any worker, which would run it again.
#[test]
fn a_keyed_job_known_to_all_workers_is_neither_sent_nor_rejected_after_its_window() {
    let mut driver = Driver::with_fleet(settings(), 24);
    let first = sent(&driver.request(1, KEYED_ALL, "k"));
    let late = driver.now + 2 * S;
    let actions = driver.at(late, attempt_finished(1, 0, first, Outcome::Error));
    assert!(sends(&actions).is_empty() && failed(&actions) && !rejected(&actions));
}

/// A rejection promises that a retry is harmless. For a keyed job that may have run that holds while its
/// repeat is dropped, and its client takes a moment to come back.
#[test]
fn a_keyed_job_that_may_have_run_is_rejected_only_while_its_repeat_would_be_dropped() {
    for (name, age, harmless) in
        [("within its window", S, true), ("as it ends", 2 * S - 300 * MS, false), ("after it", 3 * S, false)]
    {
        let mut driver = Driver::with_fleet(settings(), 6);
        let Idempotency::Keyed { deduplication_window, .. } =
            settings().classes[KEYED_ALL as usize].idempotency
        else {
            panic!("keyed")
        };
        assert_eq!(deduplication_window, 2 * S);
        sent(&driver.request(1, KEYED_ALL, "k"));
        driver.now += age;
        let ending = driver.event(Event::ShuttingDown);
        assert_eq!((rejected(&ending), failed(&ending)), (harmless, !harmless), "{name}: {ending:?}");
        // One that surely never ran may be tried again at any time.
        let mut driver = Driver::with_fleet(settings(), 6);
        let worker = sent(&driver.request(1, KEYED_ALL, "k"));
        driver.now += age;
        driver.event(attempt_finished(1, 0, worker, Outcome::Rejected));
        assert!(rejected(&driver.event(Event::ShuttingDown)), "{name}: it never ran");
    }
}

/// A client that is rejected without one comes back at once, to workers that are still full.
#[test]
fn a_rejection_has_a_retry_after_where_clients_are_given_one() {
    for is_given in [true, false] {
        let mut settings = settings();
        settings.limits.retry_after = is_given;
        let max_retry_after = settings.limits.max_retry_after;
        let mut driver = Driver::with_fleet(settings, 12);
        let mut actions = driver.request(1, IDEMPOTENT, "k");
        for attempt in 0..4 {
            let worker = sent(&actions);
            actions = driver.event(attempt_finished(1, attempt, worker, Outcome::Rejected));
        }
        let retry_after_of =
            |a: &Action| if let Action::Reject { retry_after, .. } = a { Some(*retry_after) } else { None };
        let retry_after = actions.iter().find_map(retry_after_of).expect("out of attempts: rejected");
        assert!(
            if is_given { (1..=max_retry_after).contains(&retry_after) } else { retry_after == 0 },
            "given {is_given}: {retry_after}"
        );
    }
}
