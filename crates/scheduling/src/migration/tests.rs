use super::*;
use crate::ids::WorkerId;
use crate::request::AttemptState;
use crate::test_support::NOW;

const SECOND: Micros = 1_000_000;

/// Returns an attempt whose job started at [`NOW`] and last reported progress at `last_progress_at`.
fn started(last_progress_at: Micros, fraction_done: f64) -> StartedAttempt {
    let id = AttemptId { request: RequestId(1), number: AttemptNo(0) };
    StartedAttempt { id, started_at: NOW, last_progress_at, fraction_done }
}

/// Assesses how well a started attempt proceeds. The expected work of its job is one second, and the worker
/// reports the job's progress every second.
fn health(attempt: &StartedAttempt, now: Micros, worker_speed: f64) -> AttemptHealth {
    AttemptHealth::assess(Some(attempt), now, SECOND, SECOND, worker_speed)
}

#[test]
fn an_attempt_that_has_not_started_is_waiting() {
    assert_eq!(AttemptHealth::assess(None, NOW, SECOND, SECOND, 1.0), AttemptHealth::Waiting);
}

#[test]
fn an_attempt_has_stalled_once_two_progress_reports_are_missing() {
    let attempt = started(NOW, 0.0);
    assert_eq!(health(&attempt, NOW + 2 * SECOND, 1.0), AttemptHealth::Normal);
    assert_eq!(health(&attempt, NOW + 2 * SECOND + 1, 1.0), AttemptHealth::Stalled);
    assert_eq!(
        AttemptHealth::assess(Some(&attempt), NOW + 60 * SECOND, 0, SECOND, 1.0),
        AttemptHealth::Normal,
        "workers send no progress reports"
    );
}

#[test]
fn an_attempt_is_slow_if_its_remainder_takes_three_times_its_expected_time_at_the_worker_s_speed() {
    let now = NOW + SECOND;
    assert_eq!(health(&started(now, 0.2), now, 1.0), AttemptHealth::Slow);
    assert_eq!(health(&started(now, 0.3), now, 1.0), AttemptHealth::Normal);
    assert_eq!(health(&started(now, 0.2), now, 0.5), AttemptHealth::Normal, "the worker is warming up");
    assert_eq!(
        AttemptHealth::assess(Some(&started(now, 0.01)), now, SECOND, 0, 1.0),
        AttemptHealth::Normal,
        "the expected work is unknown"
    );
}

#[test]
fn the_first_check_is_due_within_a_quarter_of_the_time_to_the_deadline() {
    assert_eq!(first_check_at(NOW, NOW + 60 * SECOND), NOW + MIGRATION_DELAY);
    assert_eq!(first_check_at(NOW, NOW + 800_000), NOW + 200_000);
    assert_eq!(first_check_at(NOW, NOW), NOW + MAX_START_DELAY);
}

#[test]
fn the_latest_attempt_in_flight_is_checked_when_due_until_the_request_has_migrated_twice() {
    let attempt = |state, sent_at| Attempt { worker: WorkerId(1), occupancy_at_send: None, state, sent_at };
    let mut request = PendingRequest { deadline: NOW + 60 * SECOND, ..PendingRequest::default() };
    let attempt_number =
        |now, request: &PendingRequest| attempt_to_check(now, request).map(|(number, _)| number);
    assert_eq!(attempt_number(NOW, &request), None);
    request.attempts.push(attempt(AttemptState::MayHaveRun, NOW - SECOND));
    request.attempts.push(attempt(AttemptState::InFlight, NOW));
    assert_eq!(attempt_number(NOW, &request), None, "the check is not due yet");
    assert_eq!(attempt_number(NOW + MIGRATION_DELAY, &request), Some(AttemptNo(1)));
    request.attempts.push(attempt(AttemptState::InFlight, NOW));
    assert_eq!(attempt_number(NOW + MIGRATION_DELAY, &request), None, "the request has migrated twice");
}
