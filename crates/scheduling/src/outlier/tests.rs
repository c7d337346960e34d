use super::*;
use crate::test_support::NOW;

fn after(outcomes: &[Outcome]) -> OutlierDetector {
    let mut detector = OutlierDetector::default();
    for outcome in outcomes {
        detector.record_result(NOW, *outcome, false);
    }
    detector
}

#[test]
fn the_second_failure_in_a_row_ejects_and_each_further_one_doubles_the_time() {
    for outcome in [Outcome::Reset, Outcome::NoResponse, Outcome::Error] {
        assert!(!after(&[outcome]).is_ejected(NOW), "{outcome:?}");
        for (failures, ejection) in [(2, 1_000_000), (3, 2_000_000), (4, 4_000_000), (9, MAX_EJECTION)] {
            assert_eq!(after(&vec![outcome; failures]).ejected_until(), NOW + ejection, "{outcome:?}");
        }
    }
}

#[test]
fn a_connection_that_was_not_made_ejects_at_once_unless_it_was_refused_at_once() {
    assert_eq!(after(&[Outcome::ConnectFailed]).ejected_until(), NOW + BASE_EJECTION);
    let mut detector = OutlierDetector::default();
    detector.record_result(NOW, Outcome::ConnectFailed, true);
    assert!(!detector.is_ejected(NOW));
}

#[test]
fn a_served_attempt_ends_the_ejection_once_the_failures_have_halved_to_none() {
    let mut detector = after(&[Outcome::Error, Outcome::Error]);
    detector.record_result(NOW, Outcome::Ok, false);
    assert!(detector.is_ejected(NOW), "one failure of two is left");
    detector.record_result(NOW, Outcome::Ok, false);
    assert!(!detector.is_ejected(NOW));
}

#[test]
fn outcomes_that_are_no_fault_of_the_worker_change_nothing() {
    for outcome in [Outcome::Rejected, Outcome::Timeout, Outcome::Cancelled, Outcome::NotSent] {
        assert!(!after(&[outcome; 5]).is_ejected(NOW), "{outcome:?}");
        assert!(after(&[Outcome::Reset, outcome, Outcome::Reset]).is_ejected(NOW), "{outcome:?}");
    }
    assert!(!after(&[Outcome::Reset, Outcome::Invalid, Outcome::Reset]).is_ejected(NOW));
}

#[test]
fn the_coordinator_s_ejection_extends_the_own_one_and_never_shortens_it() {
    let mut detector = after(&[Outcome::Error; 3]);
    detector.extend_ejection(NOW, 1);
    assert_eq!(detector.ejected_until(), NOW + 2_000_000);
    detector.extend_ejection(NOW, u64::MAX);
    assert_eq!(detector.ejected_until(), NOW + MAX_EJECTION);
}

#[test]
fn ejections_apply_up_to_half_of_the_ready_workers() {
    assert!(ejections_apply(0, 0));
    assert!(ejections_apply(6, 12));
    assert!(!ejections_apply(7, 12));
}
