use super::*;
use crate::ids::WorkerId;
use crate::request::AttemptState;
use crate::test_support::NOW;

const SECOND: Micros = 1_000_000;

fn started(last_progress_at: Micros, fraction_done: f64) -> StartedAttempt {
    let id = AttemptId { request: RequestId(1), number: AttemptNo(0) };
    StartedAttempt { id, started_at: NOW, last_progress_at, fraction_done }
}

fn pace(attempt: &StartedAttempt, now: Micros, worker_speed: f64) -> Pace {
    Pace::of(Some(attempt), now, SECOND, SECOND, worker_speed)
}

#[test]
fn an_attempt_that_has_not_started_waits() {
    assert_eq!(Pace::of(None, NOW, SECOND, SECOND, 1.0), Pace::Waiting);
}

#[test]
fn an_attempt_has_stalled_once_two_progress_reports_are_missing() {
    let attempt = started(NOW, 0.0);
    assert_eq!(pace(&attempt, NOW + 2 * SECOND, 1.0), Pace::Normal);
    assert_eq!(pace(&attempt, NOW + 2 * SECOND + 1, 1.0), Pace::Stalled);
    assert_eq!(Pace::of(Some(&attempt), NOW + 60 * SECOND, 0, SECOND, 1.0), Pace::Normal, "no reports");
}

#[test]
fn an_attempt_is_slow_when_its_rest_takes_three_times_as_long_as_all_of_it_at_its_worker_s_speed() {
    let now = NOW + SECOND;
    assert_eq!(pace(&started(now, 0.2), now, 1.0), Pace::Slow);
    assert_eq!(pace(&started(now, 0.3), now, 1.0), Pace::Normal);
    assert_eq!(pace(&started(now, 0.2), now, 0.5), Pace::Normal, "its worker is warming up");
    assert_eq!(Pace::of(Some(&started(now, 0.01)), now, SECOND, 0, 1.0), Pace::Normal, "without a hint");
}

#[test]
fn an_attempt_is_first_checked_within_a_quarter_of_its_time() {
    assert_eq!(first_check_at(NOW, NOW + 60 * SECOND), NOW + MIGRATION_DELAY);
    assert_eq!(first_check_at(NOW, NOW + 800_000), NOW + 200_000);
    assert_eq!(first_check_at(NOW, NOW), NOW + MAX_START_DELAY);
}

#[test]
fn only_the_latest_attempt_in_flight_is_checked_when_it_is_due_and_two_migrations_at_most() {
    let attempt = |state, sent_at| Attempt { worker: WorkerId(1), occupancy_at_send: None, state, sent_at };
    let mut request = PendingRequest { deadline: NOW + 60 * SECOND, ..PendingRequest::default() };
    let number = |now, request: &PendingRequest| attempt_to_check(now, request).map(|(number, _)| number);
    assert_eq!(number(NOW, &request), None);
    request.attempts.push(attempt(AttemptState::MayHaveRun, NOW - SECOND));
    request.attempts.push(attempt(AttemptState::InFlight, NOW));
    assert_eq!(number(NOW, &request), None, "its timer has not expired");
    assert_eq!(number(NOW + MIGRATION_DELAY, &request), Some(AttemptNo(1)));
    request.attempts.push(attempt(AttemptState::InFlight, NOW));
    assert_eq!(number(NOW + MIGRATION_DELAY, &request), None, "it has migrated twice");
}
