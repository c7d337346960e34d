use super::*;
use crate::test_support::NOW;

#[test]
fn a_rejection_lowers_the_limit_to_the_slots_in_flight_and_each_success_adds_one_slot() {
    let mut limit = ConcurrencyLimit::default();
    assert!(!limit.is_exceeded(1e9, 1.0), "there is no limit at first");
    limit.record_result(NOW, Outcome::Rejected, false, 4.0);
    assert!(!limit.is_exceeded(3.0, 1.0) && limit.is_exceeded(4.0, 1.0));
    limit.record_result(NOW, Outcome::Ok, false, 3.0);
    assert!(!limit.is_exceeded(4.0, 1.0) && limit.is_exceeded(5.0, 1.0));
}

#[test]
fn errors_and_timeouts_lower_the_limit_but_a_single_job_is_always_allowed() {
    let mut limit = ConcurrencyLimit::default();
    limit.record_result(NOW, Outcome::Rejected, false, 10.0);
    limit.record_result(NOW, Outcome::Error, false, 9.0);
    assert!(!limit.is_exceeded(6.0, 1.0) && limit.is_exceeded(7.0, 1.0));
    (0..50).for_each(|_| limit.record_result(NOW, Outcome::Timeout, false, 0.0));
    assert!(!limit.is_exceeded(0.0, 8.0) && limit.is_exceeded(1.0, 1.0));
}

#[test]
fn a_worker_is_avoided_after_a_rejection_and_for_longer_after_a_refused_connection() {
    for (outcome, refused_immediately, pause) in [
        (Outcome::Rejected, false, REJECTION_PAUSE),
        (Outcome::Returned, false, REJECTION_PAUSE),
        (Outcome::ConnectFailed, true, REFUSED_CONNECTION_PAUSE),
        (Outcome::ConnectFailed, false, 0),
        (Outcome::Reset, false, 0),
    ] {
        let mut limit = ConcurrencyLimit::default();
        limit.record_result(NOW, outcome, refused_immediately, 0.0);
        assert_eq!(limit.rejecting_until().saturating_sub(NOW), pause, "{outcome:?}");
        assert_eq!(limit.is_rejecting(NOW), pause > 0);
        assert!(!limit.is_rejecting(NOW + pause));
    }
}
