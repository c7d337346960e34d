use super::*;
use crate::events::{EndpointUpdate, Request};
use crate::ids::{ClassId, TenantId};
use crate::settings::{Idempotency, Settings};
use crate::test_support::{endpoint, settings, NOW};

const REQUEST: RequestId = RequestId(1);

/// Returns a scheduler with three workers and one request, whose first attempt is in flight, and the worker
/// of this attempt.
fn scheduler_with_request(settings: Settings) -> (Scheduler, WorkerId) {
    let mut scheduler = Scheduler::new(settings, 1).expect("the settings are valid");
    let endpoints = (1..=3).map(endpoint).collect();
    scheduler.on_endpoints(NOW, EndpointUpdate::Snapshot, endpoints, &mut Vec::new());
    let request = Request {
        id: REQUEST,
        class: ClassId(0),
        tenant: TenantId(0),
        key: None,
        deadline: NOW + 5_000_000,
        expected_work: None,
        slots: 1.0,
        retry: false,
    };
    scheduler.on_request(NOW, &request, &mut Vec::new());
    let worker = scheduler.requests.get(REQUEST).expect("the request is pending").attempts[0].worker;
    (scheduler, worker)
}

fn non_idempotent() -> Settings {
    let mut settings = settings();
    settings.classes[0].idempotency = Idempotency::NonIdempotent;
    settings
}

/// Passes the result of the request's first attempt to the scheduler and returns the scheduler's actions.
fn finish_attempt(
    scheduler: &mut Scheduler,
    worker: WorkerId,
    outcome: Outcome,
    request_closed: bool,
) -> Vec<Action> {
    let id = AttemptId { request: REQUEST, number: AttemptNo(0) };
    let mut actions = Vec::new();
    let result = AttemptResult { id, worker, outcome, latency: 1_000, request_closed };
    scheduler.on_attempt_finished(NOW, &result, &mut actions);
    actions
}

#[test]
fn a_served_request_gets_no_further_answer() {
    let (mut scheduler, worker) = scheduler_with_request(settings());
    assert_eq!(finish_attempt(&mut scheduler, worker, Outcome::Ok, true), []);
    assert!(!scheduler.requests.contains(REQUEST));
    assert_eq!(
        finish_attempt(&mut scheduler, worker, Outcome::Ok, true),
        [],
        "the attempt has already ended"
    );
}

#[test]
fn an_invalid_request_fails() {
    let (mut scheduler, worker) = scheduler_with_request(settings());
    let actions = finish_attempt(&mut scheduler, worker, Outcome::Invalid, false);
    assert_eq!(actions, [Action::Fail { request: REQUEST }]);
}

#[test]
fn a_non_idempotent_job_that_may_have_run_fails() {
    let (mut scheduler, worker) = scheduler_with_request(non_idempotent());
    let actions = finish_attempt(&mut scheduler, worker, Outcome::Error, false);
    assert_eq!(actions, [Action::Fail { request: REQUEST }]);
}

#[test]
fn idle_connections_to_a_worker_that_gives_no_response_are_closed() {
    let (mut scheduler, worker) = scheduler_with_request(non_idempotent());
    let actions = finish_attempt(&mut scheduler, worker, Outcome::NoResponse, false);
    assert_eq!(actions, [Action::CloseIdle(worker), Action::Fail { request: REQUEST }]);
}

#[test]
fn a_request_in_flight_at_its_deadline_is_answered_after_half_of_the_answer_slack() {
    let (mut scheduler, _) = scheduler_with_request(settings());
    let (deadline, mut actions) = (NOW + 5_000_000, Vec::new());
    scheduler.on_deadline_timer(deadline, 0, &mut actions);
    let token = Timer::Deadline(0).token();
    assert_eq!(actions, [Action::SetTimer { at: deadline + 4_000, token }]);
    actions.clear();
    scheduler.on_deadline_timer(deadline + 4_000, 0, &mut actions);
    let cancel = Action::Cancel { request: REQUEST, attempt: AttemptNo(0) };
    assert_eq!(actions, [Action::Reject { request: REQUEST, retry_after: MIN_QUEUE_PAUSE }, cancel]);
}

#[test]
fn every_pending_request_gets_its_final_answer_at_shutdown() {
    let (mut scheduler, _) = scheduler_with_request(non_idempotent());
    let mut actions = Vec::new();
    scheduler.on_shutdown(NOW, &mut actions);
    let cancel = Action::Cancel { request: REQUEST, attempt: AttemptNo(0) };
    assert_eq!(actions, [Action::Fail { request: REQUEST }, cancel]);
    assert_eq!(scheduler.requests.ids(), []);
}

#[test]
fn the_retry_after_ends_when_a_worker_takes_jobs_again_but_stays_within_its_limits() {
    let (mut scheduler, _) = scheduler_with_request(settings());
    assert_eq!(scheduler.retry_after(NOW, None), MIN_QUEUE_PAUSE, "a worker takes jobs already");
    for (ejection, retry_after) in [(1_000_000, 1_000_000), (6_000_000, 2_000_000)] {
        scheduler.fleet.iter_mut().for_each(|worker| worker.outlier.extend_ejection(NOW, ejection));
        assert_eq!(scheduler.retry_after(NOW, None), retry_after);
    }
    assert_eq!(scheduler.retry_after(NOW, Some(MachineTypeId(9))), 2_000_000, "no worker of this type");
    scheduler.settings.limits.retry_after = false;
    assert_eq!(scheduler.retry_after(NOW, None), 0);
}
