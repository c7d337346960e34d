//! Tests of new settings that a scheduler gets while it runs: their effect on pending requests, and the state
//! that the scheduler keeps.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

#[test]
fn pending_requests_keep_their_class_and_its_idempotency_when_the_settings_change() {
    for (before, after, resent) in [
        (Idempotency::Idempotent, Idempotency::NonIdempotent, true),
        (Idempotency::NonIdempotent, Idempotency::Idempotent, false),
        (
            Idempotency::Keyed { scope: DeduplicationScope::Cell, deduplication_window: 2 * SECOND },
            Idempotency::NonIdempotent,
            true,
        ),
    ] {
        let settings_with =
            |idempotency, classes| Settings { classes: vec![class(idempotency); classes], ..settings() };
        let mut driver = Driver::with_fleet(settings_with(before, 2), 23);
        let pending = sent_to(&driver.request(1, 1, "k"));
        // The pending request belongs to the second class of the old settings; the new settings have a single
        // class with another idempotency.
        driver.event(Event::Settings(Box::new(settings_with(after, 1))));
        assert_eq!(
            sent_workers(&driver.event(attempt_finished(1, 0, pending, Outcome::Error))).len(),
            usize::from(resent),
            "{before:?}"
        );
        let worker = sent_to(&driver.request(2, 0, "k"));
        let retries = sent_workers(&driver.event(attempt_finished(2, 0, worker, Outcome::Error))).len();
        assert_eq!(retries, usize::from(after == Idempotency::Idempotent), "{after:?}");
        assert!(has_failure(&driver.request(3, 1, "k")), "the new settings have no class with this index");
    }
}

#[test]
fn a_new_maximum_of_attempts_applies_to_pending_requests_only_if_it_is_lower() {
    for (before, after) in [(4, 2), (2, 4)] {
        let settings_with =
            |max_attempts| Settings { limits: Limits { max_attempts, ..settings().limits }, ..settings() };
        let mut driver = Driver::with_fleet(settings_with(before), 12);
        let mut worker = sent_to(&driver.request(1, IDEMPOTENT, "k"));
        driver.event(Event::Settings(Box::new(settings_with(after))));
        worker = sent_to(&driver.event(attempt_finished(1, 0, worker, Outcome::Error)));
        let last = driver.event(attempt_finished(1, 1, worker, Outcome::Error));
        assert!(sent_workers(&last).is_empty() && has_rejection(&last), "{before} to {after}: {last:?}");
        let mut attempts = 1;
        worker = sent_to(&driver.request(2, IDEMPOTENT, "k"));
        while let Some(next) =
            sent_workers(&driver.event(attempt_finished(2, attempts - 1, worker, Outcome::Rejected))).first()
        {
            (worker, attempts) = (*next, attempts + 1);
        }
        assert_eq!(attempts, after);
    }
}

#[test]
fn new_settings_keep_the_ring_and_what_was_learned_about_workers() {
    let mut driver = Driver::with_fleet(settings(), 12);
    // The home of each request serves the request at once, so that no home is busy when the next request
    // arrives.
    let serve_and_locate = |driver: &mut Driver, id: u64, class: u32, n: usize| {
        let worker = sent_to(&driver.request(id, class, &format!("key-{n}")));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        worker
    };
    let homes: Vec<WorkerId> =
        (0..40).map(|n| serve_and_locate(&mut driver, n as u64, NON_IDEMPOTENT, n)).collect();
    let rejecting = homes[0];
    driver.request(99, NON_IDEMPOTENT, "key-0");
    let second = sent_to(&driver.event(attempt_finished(99, 0, rejecting, Outcome::Rejected)));
    driver.event(attempt_finished(99, 1, second, Outcome::Ok));
    let fewer = Settings { classes: vec![class(Idempotency::NonIdempotent)], ..settings() };
    driver.event(Event::Settings(Box::new(fewer)));
    for (n, home) in homes.iter().enumerate() {
        let worker = serve_and_locate(&mut driver, 100 + n as u64, 0, n);
        assert_eq!(worker == *home, *home != rejecting, "key-{n}");
    }
}
