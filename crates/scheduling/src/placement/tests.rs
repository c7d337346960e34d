use super::*;
use crate::events::{EndpointUpdate, Event, Outcome};
use crate::ids::{ClassId, TenantId, WorkerId};
use crate::settings::{LoadReportSource, Settings};
use crate::test_support::{endpoint, settings, NOW};

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

fn scheduler(settings: Settings, workers: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(settings, 1).expect("sound settings");
    let endpoints = (1..=workers).map(endpoint).collect();
    scheduler.on_endpoints(NOW, EndpointUpdate::Snapshot, endpoints, &mut Vec::new());
    scheduler
}

fn place(scheduler: &mut Scheduler, request: &Request) -> Vec<Action> {
    let mut actions = Vec::new();
    scheduler.on_request(NOW, request, &mut actions);
    actions
}

fn timer(at: Micros, timer: Timer) -> Action {
    Action::SetTimer { at, token: timer.token() }
}

fn is_send(action: &Action) -> bool {
    matches!(action, Action::Send { .. })
}

#[test]
fn a_request_is_sent_at_once_and_answered_a_little_before_its_deadline() {
    let mut scheduler = scheduler(settings(), 3);
    let actions = place(&mut scheduler, &request(1));
    assert_eq!(actions[0], timer(NOW + 5_000_000 - 6_000, Timer::Deadline(0)));
    assert!(matches!(actions[1..], [Action::Send { request: RequestId(1), timeout: None, .. }]));
}

#[test]
fn a_request_that_is_known_already_or_has_no_class_is_not_placed() {
    let mut scheduler = scheduler(settings(), 3);
    place(&mut scheduler, &request(1));
    assert_eq!(place(&mut scheduler, &request(1)), []);
    let unknown_class = Request { class: ClassId(9), ..request(2) };
    assert_eq!(place(&mut scheduler, &unknown_class), [Action::Fail { request: RequestId(2) }]);
}

#[test]
fn a_request_with_invalid_slots_takes_one() {
    for slots in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let mut scheduler = scheduler(settings(), 3);
        place(&mut scheduler, &Request { slots, ..request(1) });
        let pending = scheduler.requests.get(RequestId(1)).expect("it is pending");
        assert_eq!(pending.slots, 1.0, "{slots}");
    }
}

#[test]
fn without_a_worker_a_request_is_queued_and_sent_when_one_is_listed() {
    let mut scheduler = scheduler(settings(), 0);
    let actions = place(&mut scheduler, &request(1));
    let [_, Action::SetTimer { at, token }] = actions[..] else { panic!("{actions:?}") };
    assert_eq!(token, Timer::Placement(0).token());
    assert!((NOW + MIN_QUEUE_PAUSE / 2..NOW + MIN_QUEUE_PAUSE * 3 / 2).contains(&at));
    let mut actions = Vec::new();
    scheduler.on_endpoints(NOW, EndpointUpdate::Changes, vec![endpoint(1)], &mut actions);
    assert!(actions.iter().any(is_send), "{actions:?}");
}

#[test]
fn where_schedulers_coordinate_the_home_s_occupancy_is_queried_before_the_request_is_sent() {
    let mut coordinating = Settings { scheduler_count: 1000, ..settings() };
    coordinating.load_report_source = LoadReportSource::Never;
    coordinating.limits.may_message_peers = true;
    let mut scheduler = scheduler(coordinating, 3);
    let actions = place(&mut scheduler, &request(1));
    let [_, Action::SendPeerMessage { data, .. }, awaited] = &actions[..] else { panic!("{actions:?}") };
    let query = PeerMessage::decode(data).map(|(message, _)| message);
    assert_eq!(query, Some(PeerMessage::OccupancyQuery { work: 500_000 }));
    assert_eq!(*awaited, timer(NOW + QUERY_TIMEOUT, Timer::Placement(0)));
    let mut actions = Vec::new();
    scheduler.on_placement_timer(NOW + QUERY_TIMEOUT, 0, &mut actions);
    assert!(actions.iter().any(is_send), "without a reply it is sent all the same: {actions:?}");
}

#[test]
fn a_request_is_retried_until_its_attempts_are_used_up() {
    let mut scheduler = scheduler(settings(), 9);
    let mut actions = place(&mut scheduler, &request(1));
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
