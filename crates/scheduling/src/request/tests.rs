use super::*;
use crate::settings::Idempotency;

const MILLISECOND: Micros = 1_000;

/// Returns a pending idempotent request that arrived at 100 ms of the scheduler's clock, without an estimate
/// of its work.
fn request() -> PendingRequest {
    let class = Class {
        latency_objective: 500 * MILLISECOND,
        objective_per_work: 2.0,
        late_weight: 0.0,
        idempotency: Idempotency::Idempotent,
        ..Class::default()
    };
    PendingRequest { class, max_attempts: 2, arrived_at: 100 * MILLISECOND, ..PendingRequest::default() }
}

fn attempt(state: AttemptState, sent_at: Micros) -> Attempt {
    Attempt { worker: WorkerId(1), occupancy_at_send: None, state, sent_at }
}

#[test]
fn the_objective_is_missed_once_it_leaves_no_time_for_the_remaining_work() {
    let hinted = PendingRequest { expected_work: 300 * MILLISECOND, ..request() };
    assert_eq!(hinted.objective_missed_after(0.0), 1_200 * MILLISECOND);
    assert_eq!(hinted.objective_missed_after(1.0), 900 * MILLISECOND);
    assert_eq!(hinted.objective_missed_after(5.0), 600 * MILLISECOND);
    assert_eq!(request().objective_missed_after(0.0), 600 * MILLISECOND);
}

#[test]
fn a_late_answer_is_worthless_only_if_its_objective_is_known() {
    assert!(!request().is_worthless_when_late(), "the objective grows with the work, which is unknown");
    let mut hinted = PendingRequest { expected_work: 1, ..request() };
    assert!(hinted.is_worthless_when_late());
    hinted.class.late_weight = 0.3;
    assert!(!hinted.is_worthless_when_late());
    let mut fixed = request();
    fixed.class.objective_per_work = 0.0;
    assert!(fixed.is_worthless_when_late());
}

#[test]
fn the_retry_safety_follows_the_first_attempt_that_may_have_run() {
    let mut pending = request();
    assert_eq!(pending.retry_safety().first_run_at, None);
    pending.attempts = vec![attempt(AttemptState::NeverRan, 1), attempt(AttemptState::InFlight, 2)];
    assert_eq!(pending.retry_safety().first_run_at, Some(2));
    assert!(pending.has_attempt_in_flight());
    assert!(!pending.allows_attempt_at(3), "both attempts of the request are used up");
    pending.attempts.pop();
    assert!(!pending.has_attempt_in_flight() && pending.allows_attempt_at(3));
}

#[test]
fn the_estimated_work_is_the_hint_or_else_the_latency_objective() {
    assert_eq!(request().estimated_work(), 500 * MILLISECOND);
    assert_eq!(PendingRequest { expected_work: 7, ..request() }.estimated_work(), 7);
}

#[test]
fn a_request_is_found_by_id_and_by_sequence_number_until_it_is_removed() {
    let mut requests = PendingRequests::default();
    let first = requests.insert(RequestId(9), request());
    let second = requests.insert(RequestId(4), PendingRequest { is_queued: true, ..request() });
    assert_eq!((first, second), (0, 1));
    assert_eq!(requests.find_by_sequence(first).map(|(id, _)| id), Some(RequestId(9)));
    assert_eq!(requests.ids(), [RequestId(4), RequestId(9)]);
    assert_eq!(requests.queued_ids(), [RequestId(4)]);
    assert!(requests.remove(RequestId(9)).is_some());
    assert!(requests.find_by_sequence(first).is_none() && !requests.contains(RequestId(9)));
    assert!(requests.remove(RequestId(9)).is_none());
}

#[test]
fn new_settings_may_lower_but_never_raise_the_attempts_of_pending_requests() {
    let mut requests = PendingRequests::default();
    requests.insert(RequestId(1), request());
    for (limit, expected) in [(5, 2), (1, 1), (3, 1)] {
        requests.limit_attempts(limit);
        assert_eq!(requests.get(RequestId(1)).map(|request| request.max_attempts), Some(expected));
    }
}
