//! Tests of changes of the endpoint list: draining, removed and returning workers, and requests that arrive
//! while no worker is listed.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

#[test]
fn nothing_is_sent_to_a_draining_or_removed_worker() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut driver = Driver::with_fleet(settings(), 6);
        let first = sent_to(&driver.request(1, IDEMPOTENT, "k"));
        driver.event(attempt_finished(1, 0, first, Outcome::Ok));
        let listed = Endpoint { state, ..endpoint(first.0) };
        driver.event(endpoints_event(EndpointUpdate::Changes, [listed]));
        for id in 2..50 {
            assert_ne!(sent_to(&driver.request(id, IDEMPOTENT, "k")), first);
        }
    }
}

#[test]
fn a_worker_missing_from_a_complete_list_is_removed_and_gets_its_keys_back_when_listed_again() {
    let mut driver = Driver::with_fleet(settings(), 6);
    let first = sent_to(&driver.request(1, IDEMPOTENT, "k"));
    driver.event(attempt_finished(1, 0, first, Outcome::Ok));
    driver.event(endpoints_event(EndpointUpdate::Snapshot, (1..=6).filter(|n| *n != first.0).map(endpoint)));
    let other = sent_to(&driver.request(2, IDEMPOTENT, "k"));
    assert_ne!(other, first);
    driver.event(attempt_finished(2, 0, other, Outcome::Ok));
    driver.now += 60 * SECOND;
    driver.event(fleet_snapshot(6));
    assert_eq!(sent_to(&driver.request(3, IDEMPOTENT, "k")), first);
}

#[test]
fn a_request_without_any_worker_is_rejected_by_its_deadline() {
    let mut driver = Driver::new(settings());
    let deadline = driver.now + 5 * SECOND;
    let mut pending = timers(&driver.request(1, NON_IDEMPOTENT, "k"));
    let mut answered = false;
    while let Some(position) =
        pending.iter().enumerate().min_by_key(|(_, timer)| timer.0).map(|(index, _)| index)
    {
        let (at, token) = pending.swap_remove(position);
        let actions = driver.at(at, Event::Timer(token));
        assert!(!answered || actions.is_empty());
        if has_rejection(&actions) {
            assert!(at <= deadline);
            answered = true;
        }
        pending.extend(timers(&actions));
    }
    assert!(answered);
}

#[test]
fn events_for_finished_requests_and_unknown_attempts_are_ignored() {
    let mut driver = Driver::with_fleet(settings(), 6);
    let worker = sent_to(&driver.request(1, IDEMPOTENT, "k"));
    assert!(driver.event(attempt_finished(1, 7, worker, Outcome::Error)).is_empty());
    assert!(driver.event(attempt_finished(99, 0, worker, Outcome::Error)).is_empty());
    driver.event(Event::ClientDisconnected(RequestId(1)));
    assert!(driver.event(Event::ClientDisconnected(RequestId(1))).is_empty());
    assert!(sent_workers(&driver.event(attempt_finished(1, 0, worker, Outcome::Rejected))).is_empty());
}
