use super::*;
use crate::test_support::NOW;

fn worker() -> Worker {
    Worker::new(Endpoint::default(), 2.0, None)
}

fn first_attempt(request: u64) -> AttemptId {
    AttemptId { request: RequestId(request), number: AttemptNo(0) }
}

fn in_flight_attempt(request: u64, sent_at: Micros, slots: f64) -> InFlightAttempt {
    InFlightAttempt { id: first_attempt(request), sent_at, slots }
}

#[test]
fn occupancy_is_the_latest_report_plus_slots_sent_since_until_the_report_is_too_old() {
    let mut worker = worker();
    assert_eq!(worker.occupancy(NOW), None);
    worker.in_flight = vec![in_flight_attempt(1, NOW - 2, 1.0), in_flight_attempt(2, NOW, 2.0)];
    worker.occupancy_report = Some(OccupancyReport { slots: Some(3.0), queried_at: NOW - 1 });
    assert_eq!(worker.occupancy(NOW), Some(5.0));
    assert_eq!(worker.occupancy_per_weight(NOW), Some(2.5));
    assert_eq!(worker.occupancy(NOW - 1 + MAX_REPORT_AGE), None);
    worker.occupancy_report = Some(OccupancyReport { slots: None, queried_at: NOW });
    assert_eq!(worker.occupancy(NOW), None, "the coordinator doesn't list the worker");
    assert!(worker.has_fresh_report(NOW));
    assert_eq!(worker.load(NOW), 1.5, "the scheduler's own slots, as the occupancy is unknown");
}

#[test]
fn a_worker_is_busy_when_its_occupancy_reaches_its_slots_but_takes_one_large_job_when_idle() {
    let mut worker = worker();
    let mut is_busy_at = |occupancy, slots| {
        worker.occupancy_report = Some(OccupancyReport { slots: Some(occupancy), queried_at: NOW });
        worker.is_busy(NOW, slots, 1.0)
    };
    assert!(!is_busy_at(1.0, 1.0));
    assert!(is_busy_at(2.0, 1.0));
    assert!(!is_busy_at(0.0, 8.0));
}

#[test]
fn a_job_that_is_not_reported_as_started_in_time_counts_as_a_delayed_start() {
    let mut worker = worker();
    worker.in_flight = vec![in_flight_attempt(1, NOW, 1.0)];
    assert!(!worker.has_delayed_start(NOW + MAX_START_DELAY));
    assert!(worker.has_delayed_start(NOW + MAX_START_DELAY + 1));
    worker.started = vec![StartedAttempt {
        id: first_attempt(1),
        started_at: NOW,
        last_progress_at: NOW,
        fraction_done: 0.0,
    }];
    assert!(!worker.has_delayed_start(NOW + MAX_START_DELAY + 1));
}

#[test]
fn a_restarted_worker_keeps_its_attempts_and_points_and_loses_what_was_learned() {
    let mut worker = worker();
    worker.in_flight = vec![in_flight_attempt(1, NOW, 1.0)];
    worker.points = 7;
    (0..3).for_each(|_| worker.record_result(NOW, Outcome::Error, false));
    assert!(worker.outlier.is_ejected(NOW));
    worker.restart(Endpoint::default(), 3.0, Some(NOW));
    assert!(!worker.outlier.is_ejected(NOW));
    assert_eq!((worker.slots_from_this_scheduler(), worker.points, worker.weight), (1.0, 7, 3.0));
    assert_eq!(worker.started_at, Some(NOW));
}

#[test]
fn an_attempt_is_removed_once() {
    let mut worker = worker();
    worker.in_flight = vec![in_flight_attempt(1, NOW, 1.0), in_flight_attempt(2, NOW, 2.0)];
    assert!(worker.remove_attempt(first_attempt(1)));
    assert!(!worker.remove_attempt(first_attempt(1)));
    assert_eq!(worker.slots_from_this_scheduler(), 2.0);
}
