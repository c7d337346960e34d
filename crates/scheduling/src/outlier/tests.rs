use super::*;
use crate::test_support::NOW;

/// Returns the outlier detector of a worker that has recorded these outcomes of attempts, all at [`NOW`].
fn detector_after(outcomes: &[Outcome]) -> OutlierDetector {
    let mut detector = OutlierDetector::default();
    for outcome in outcomes {
        detector.record_result(NOW, *outcome, false);
    }
    detector
}

#[test]
fn the_second_failure_in_a_row_ejects_and_each_further_failure_doubles_the_duration() {
    for outcome in [Outcome::Reset, Outcome::NoResponse, Outcome::Error] {
        assert!(!detector_after(&[outcome]).is_ejected(NOW), "{outcome:?}");
        for (failures, ejection) in [(2, 1_000_000), (3, 2_000_000), (4, 4_000_000), (9, MAX_EJECTION)] {
            assert_eq!(
                detector_after(&vec![outcome; failures]).ejected_until(),
                NOW + ejection,
                "{outcome:?}"
            );
        }
    }
}

#[test]
fn a_failed_connection_ejects_the_worker_unless_it_was_refused_immediately() {
    assert_eq!(detector_after(&[Outcome::ConnectFailed]).ejected_until(), NOW + BASE_EJECTION);
    let mut detector = OutlierDetector::default();
    detector.record_result(NOW, Outcome::ConnectFailed, true);
    assert!(!detector.is_ejected(NOW));
}

#[test]
fn served_attempts_halve_the_failures_and_end_the_ejection_at_zero() {
    let mut detector = detector_after(&[Outcome::Error, Outcome::Error]);
    detector.record_result(NOW, Outcome::Ok, false);
    assert!(detector.is_ejected(NOW), "one of the two failures is left");
    detector.record_result(NOW, Outcome::Ok, false);
    assert!(!detector.is_ejected(NOW));
}

#[test]
fn outcomes_that_the_worker_did_not_cause_do_not_eject() {
    for outcome in
        [Outcome::Rejected, Outcome::Returned, Outcome::Timeout, Outcome::Cancelled, Outcome::NotSent]
    {
        assert!(!detector_after(&[outcome; 5]).is_ejected(NOW), "{outcome:?}");
        assert!(detector_after(&[Outcome::Reset, outcome, Outcome::Reset]).is_ejected(NOW), "{outcome:?}");
    }
    assert!(!detector_after(&[Outcome::Reset, Outcome::Invalid, Outcome::Reset]).is_ejected(NOW));
}

#[test]
fn the_coordinator_s_ejection_extends_the_local_one_and_never_shortens_it() {
    let mut detector = detector_after(&[Outcome::Error; 3]);
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
