use super::*;
use crate::events::{EndpointUpdate, Event, Outcome};
use crate::ids::{ClassId, TenantId, WorkerId};
use crate::settings::{LoadReportSource, Settings};
use crate::test_support::{endpoint, settings, NOW};

/// Returns a request with a key and without an estimate of its work. The request's deadline is five seconds
/// after [`NOW`].
fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: TenantId(0),
        key: Some("key".into()),
        deadline: NOW + 5_000_000,
        expected_work: None,
        slots: 1.0,
        retry: false,
    }
}

/// Returns a scheduler whose endpoint list contains the workers with ids from 1 to `workers`.
fn scheduler(settings: Settings, workers: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(settings, 1).expect("the settings are valid");
    let endpoints = (1..=workers).map(endpoint).collect();
    scheduler.on_endpoints(NOW, EndpointUpdate::Snapshot, endpoints, &mut Vec::new());
    scheduler
}

/// Passes a client's request to the scheduler at [`NOW`] and returns the scheduler's actions.
fn submit(scheduler: &mut Scheduler, request: &Request) -> Vec<Action> {
    let mut actions = Vec::new();
    scheduler.on_request(NOW, request, &mut actions);
    actions
}

/// Returns the action by which the scheduler sets this timer.
fn timer(at: Micros, timer: Timer) -> Action {
    Action::SetTimer { at, token: timer.token() }
}

fn is_send(action: &Action) -> bool {
    matches!(action, Action::Send { .. })
}

#[test]
fn a_request_is_sent_at_once_and_its_answer_is_due_shortly_before_its_deadline() {
    let mut scheduler = scheduler(settings(), 3);
    let actions = submit(&mut scheduler, &request(1));
    assert_eq!(actions[0], timer(NOW + 5_000_000 - 6_000, Timer::Deadline(0)));
    assert!(matches!(actions[1..], [Action::Send { request: RequestId(1), timeout: None, .. }]));
}

#[test]
fn a_duplicate_request_and_a_request_of_an_unknown_class_are_not_placed() {
    let mut scheduler = scheduler(settings(), 3);
    submit(&mut scheduler, &request(1));
    assert_eq!(submit(&mut scheduler, &request(1)), []);
    let unknown_class = Request { class: ClassId(9), ..request(2) };
    assert_eq!(submit(&mut scheduler, &unknown_class), [Action::Fail { request: RequestId(2) }]);
}

#[test]
fn a_request_with_an_invalid_number_of_slots_takes_one_slot() {
    for slots in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let mut scheduler = scheduler(settings(), 3);
        submit(&mut scheduler, &Request { slots, ..request(1) });
        let pending = scheduler.requests.get(RequestId(1)).expect("the request is pending");
        assert_eq!(pending.slots, 1.0, "{slots}");
    }
}

#[test]
fn a_request_without_a_worker_is_queued_and_sent_when_a_worker_is_listed() {
    let mut scheduler = scheduler(settings(), 0);
    let actions = submit(&mut scheduler, &request(1));
    let [_, Action::SetTimer { at, token }] = actions[..] else { panic!("{actions:?}") };
    assert_eq!(token, Timer::Placement(0).token());
    assert!((NOW + MIN_QUEUE_PAUSE / 2..NOW + MIN_QUEUE_PAUSE * 3 / 2).contains(&at));
    let mut actions = Vec::new();
    scheduler.on_endpoints(NOW, EndpointUpdate::Changes, vec![endpoint(1)], &mut actions);
    assert!(actions.iter().any(is_send), "{actions:?}");
}

#[test]
fn coordinating_schedulers_query_the_occupancy_of_the_home_before_they_send_a_request() {
    let mut coordinating = Settings { scheduler_count: 1000, ..settings() };
    coordinating.load_report_source = LoadReportSource::Never;
    coordinating.limits.may_message_peers = true;
    let mut scheduler = scheduler(coordinating, 3);
    let actions = submit(&mut scheduler, &request(1));
    let [_, Action::SendPeerMessage { data, .. }, query_timer] = &actions[..] else { panic!("{actions:?}") };
    let query = PeerMessage::decode(data).map(|(message, _)| message);
    assert_eq!(query, Some(PeerMessage::OccupancyQuery { work: 500_000 }));
    assert_eq!(*query_timer, timer(NOW + QUERY_TIMEOUT, Timer::Placement(0)));
    let mut actions = Vec::new();
    scheduler.on_placement_timer(NOW + QUERY_TIMEOUT, 0, &mut actions);
    assert!(actions.iter().any(is_send), "the request is sent although the query has no reply: {actions:?}");
}

#[test]
fn a_rejected_request_is_retried_until_its_attempts_are_used_up() {
    let mut scheduler = scheduler(settings(), 9);
    let mut actions = submit(&mut scheduler, &request(1));
    let mut workers: Vec<WorkerId> = Vec::new();
    while let Some(Action::Send { worker, .. }) = actions.iter().find(|action| is_send(action)) {
        workers.push(*worker);
        let rejected = Event::AttemptFinished {
            request: RequestId(1),
            attempt: AttemptNo(workers.len() as u32 - 1),
            worker: *worker,
            outcome: Outcome::Rejected,
            latency: 1_000,
            request_closed: false,
            load: None,
        };
        actions.clear();
        scheduler.handle(NOW, rejected, &mut actions);
    }
    assert_eq!(workers.len(), 4);
    assert!(matches!(actions[..], [Action::Reject { request: RequestId(1), .. }]), "{actions:?}");
}
