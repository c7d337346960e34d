//! New settings: what they change for pending requests, and what stays.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

#[test]
fn pending_jobs_keep_their_class_and_its_idempotency_when_the_settings_change() {
    for (before, after, resent) in [
        (Idempotency::Idempotent, Idempotency::NonIdempotent, true),
        (Idempotency::NonIdempotent, Idempotency::Idempotent, false),
        (
            Idempotency::Keyed { scope: DeduplicationScope::Cell, deduplication_window: 2 * S },
            Idempotency::NonIdempotent,
            true,
        ),
    ] {
        let with =
            |idempotency, classes| Settings { classes: vec![class(idempotency); classes], ..settings() };
        let mut driver = Driver::with_fleet(with(before, 2), 23);
        let pending = sent(&driver.request(1, 1, "k"));
        // The class that it was taken under is the second; there is but one now, and it is another.
        driver.event(Event::Settings(Box::new(with(after, 1))));
        assert_eq!(
            sends(&driver.event(attempt_finished(1, 0, pending, Outcome::Error))).len(),
            usize::from(resent),
            "{before:?}"
        );
        let new = sent(&driver.request(2, 0, "k"));
        let again = sends(&driver.event(attempt_finished(2, 0, new, Outcome::Error))).len();
        assert_eq!(again, usize::from(after == Idempotency::Idempotent), "{after:?}");
        assert!(failed(&driver.request(3, 1, "k")), "there is no such class any more");
    }
}

#[test]
fn a_change_of_the_number_of_attempts_lowers_it_for_pending_jobs_and_never_raises_it() {
    for (before, after) in [(4, 2), (2, 4)] {
        let with =
            |max_attempts| Settings { limits: Limits { max_attempts, ..settings().limits }, ..settings() };
        let mut driver = Driver::with_fleet(with(before), 12);
        let mut worker = sent(&driver.request(1, IDEMPOTENT, "k"));
        driver.event(Event::Settings(Box::new(with(after))));
        worker = sent(&driver.event(attempt_finished(1, 0, worker, Outcome::Error)));
        let last = driver.event(attempt_finished(1, 1, worker, Outcome::Error));
        assert!(sends(&last).is_empty() && rejected(&last), "{before} to {after}: {last:?}");
        let mut attempts = 1;
        worker = sent(&driver.request(2, IDEMPOTENT, "k"));
        while let Some(next) =
            sends(&driver.event(attempt_finished(2, attempts - 1, worker, Outcome::Rejected))).first()
        {
            (worker, attempts) = (*next, attempts + 1);
        }
        assert_eq!(attempts, after);
    }
}

#[test]
fn the_ring_and_what_was_learned_survive_new_settings() {
    let mut driver = Driver::with_fleet(settings(), 12);
    // Served at once, so that none overflows from its home for the load of the others.
    let placed = |driver: &mut Driver, id: u64, class: u32, n: usize| {
        let worker = sent(&driver.request(id, class, &format!("key-{n}")));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        worker
    };
    let homes: Vec<WorkerId> = (0..40).map(|n| placed(&mut driver, n as u64, NON_IDEMPOTENT, n)).collect();
    let rejecting = homes[0];
    driver.request(99, NON_IDEMPOTENT, "key-0");
    let second = sent(&driver.event(attempt_finished(99, 0, rejecting, Outcome::Rejected)));
    driver.event(attempt_finished(99, 1, second, Outcome::Ok));
    let fewer = Settings { classes: vec![class(Idempotency::NonIdempotent)], ..settings() };
    driver.event(Event::Settings(Box::new(fewer)));
    for (n, home) in homes.iter().enumerate() {
        let there = placed(&mut driver, 100 + n as u64, 0, n);
        assert_eq!(there == *home, *home != rejecting, "key-{n}");
    }
}
