//! Tests of outlier detection: which outcomes of attempts eject a worker.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

/// Returns a scheduler with twelve workers. The scheduler has handled requests with so many keys that no key
/// counts as hot.
fn busy_driver() -> Driver {
    let mut driver = Driver::with_fleet(settings(), 12);
    for id in 1000..1200 {
        let worker = sent_to(&driver.request(id, IDEMPOTENT, &id.to_string()));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
    }
    driver
}

/// The cause of a single failed attempt may be the connection or the request; a second failure in a row is
/// attributed to the worker, which is then ejected.
#[test]
fn a_worker_is_ejected_after_the_second_failure_in_a_row() {
    for outcome in [Outcome::Reset, Outcome::NoResponse] {
        let mut driver = busy_driver();
        let worker = sent_to(&driver.request(1, IDEMPOTENT, "k"));
        driver.event(attempt_finished(1, 0, worker, outcome));
        assert_eq!(sent_to(&driver.request(2, IDEMPOTENT, "k")), worker);
        driver.event(attempt_finished(2, 0, worker, outcome));
        assert_ne!(sent_to(&driver.request(3, IDEMPOTENT, "k")), worker);
    }
}

/// A request that one worker finds invalid is invalid at every worker, so the worker is not at fault and must
/// not be ejected.
#[test]
fn an_invalid_request_fails_at_once_and_does_not_eject_the_worker() {
    let mut driver = busy_driver();
    let worker = sent_to(&driver.request(1, IDEMPOTENT, "k"));
    for id in 1..4 {
        let actions = driver.event(attempt_finished(id, 0, worker, Outcome::Invalid));
        assert!(has_failure(&actions) && sent_workers(&actions).is_empty(), "{actions:?}");
        assert_eq!(sent_to(&driver.request(id + 1, IDEMPOTENT, "k")), worker);
    }
}
