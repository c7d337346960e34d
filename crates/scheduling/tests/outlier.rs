//! Outlier detection: which results eject a worker.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

/// A fleet that has served jobs of so many keys that none of them is spread.
fn busy_fleet() -> Driver {
    let mut driver = Driver::with_fleet(settings(), 12);
    for id in 1000..1200 {
        let worker = sent(&driver.request(id, IDEMPOTENT, &id.to_string()));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
    }
    driver
}

/// One failure may be the connection's fault, or the request's; the second in a row is the worker's.
#[test]
fn a_worker_is_ejected_from_the_second_failure_in_a_row() {
    for outcome in [Outcome::Reset, Outcome::NoResponse] {
        let mut driver = busy_fleet();
        let worker = sent(&driver.request(1, IDEMPOTENT, "k"));
        driver.event(attempt_finished(1, 0, worker, outcome));
        assert_eq!(sent(&driver.request(2, IDEMPOTENT, "k")), worker);
        driver.event(attempt_finished(2, 0, worker, outcome));
        assert_ne!(sent(&driver.request(3, IDEMPOTENT, "k")), worker);
    }
}

/// A request that one worker finds invalid is invalid everywhere.
#[test]
fn an_invalid_request_fails_at_once_and_is_no_failure_of_the_worker() {
    let mut driver = busy_fleet();
    let worker = sent(&driver.request(1, IDEMPOTENT, "k"));
    for id in 1..4 {
        let actions = driver.event(attempt_finished(id, 0, worker, Outcome::Invalid));
        assert!(failed(&actions) && sends(&actions).is_empty(), "{actions:?}");
        assert_eq!(sent(&driver.request(id + 1, IDEMPOTENT, "k")), worker);
    }
}
