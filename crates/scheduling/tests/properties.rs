//! Property tests of the scheduler with random sequences of requests, outcomes of attempts, changes of the
//! endpoint list, messages from peers and timers, at fixed seeds. The scheduler must violate no rule and must
//! not panic, and equal events must give equal actions.
#![allow(missing_docs)]

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use vetchbridge_scheduling::*;
use vetchbridge_scheduling::{Occupancy, PeerMessage};

const WORKERS: u64 = 9;
/// How long workers drop a repeat of a keyed request, in microseconds. The value must equal the deduplication
/// window in `settings()`.
const DEDUPLICATION_WINDOW: Micros = 2 * SECOND;
const MAX_ATTEMPTS: usize = 4;
const ANSWER_SLACK: Micros = 8 * MILLISECOND;

/// An attempt that the scheduler has sent, as the harness records the attempt for its checks.
struct AttemptRecord {
    worker: WorkerId,
    sent_at: Micros,
    /// Whether the worker may have run the job in the attempt; `None` while the attempt is in flight.
    may_have_run: Option<bool>,
    /// Whether the worker returned the job in the attempt.
    returned: bool,
}

/// A request, as the harness records the request for its checks.
struct RequestRecord {
    class: u32,
    deadline: Micros,
    attempts: Vec<AttemptRecord>,
    answered: bool,
}

impl RequestRecord {
    /// Checks that the rules allow an attempt of the request at this worker at the time `now`.
    fn check_send(&self, now: Micros, worker: WorkerId) {
        assert!(!self.answered, "an attempt was sent after the final answer");
        assert!(now < self.deadline);
        assert!(self.attempts.len() < MAX_ATTEMPTS, "more attempts than allowed");
        assert!(self.attempts.iter().all(|a| a.may_have_run.is_some()), "two attempts in flight at once");
        assert!(
            !self.attempts.iter().any(|a| a.returned && a.worker == worker),
            "the worker returned the job"
        );
        let Some(first) = self.attempts.iter().find(|a| a.may_have_run == Some(true)) else { return };
        match self.class {
            IDEMPOTENT | MACHINE_BOUND => {}
            KEYED_ALL => assert!(now < first.sent_at + DEDUPLICATION_WINDOW),
            KEYED_CELL => {
                assert!(now < first.sent_at + DEDUPLICATION_WINDOW);
                assert_eq!(endpoint(first.worker.0).cell, endpoint(worker.0).cell);
            }
            _ => panic!("a non-idempotent job that may have run was sent again"),
        }
    }

    /// Checks that the rules allow this final answer to the request at the time `now`.
    fn check_answer(&self, now: Micros, is_rejection: bool) {
        assert!(!self.answered, "the request was answered twice");
        assert!(now <= self.deadline + ANSWER_SLACK, "the request was answered too late");
        if is_rejection {
            let never_ran = self.attempts.iter().all(|a| a.may_have_run == Some(false));
            let retry_is_harmless = matches!(self.class, IDEMPOTENT | MACHINE_BOUND | KEYED_ALL);
            assert!(never_ran || retry_is_harmless, "the request was rejected although a retry may do harm");
        }
    }
}

/// An attempt that the scheduler has sent and that has not ended.
struct InFlight {
    request: u64,
    attempt: u32,
    worker: WorkerId,
}

/// An occupancy query of the scheduler that has no reply yet.
struct Query {
    coordinator: u32,
    data: Vec<u8>,
}

/// One step of a random sequence: a number that selects the operation, and two arguments of the operation.
type Step = (u8, u8, u8);

/// A scheduler under test, together with the attempts, occupancy queries and timers of which the scheduler
/// still awaits the result.
struct Harness {
    driver: Driver,
    /// All actions that the scheduler has returned, in order.
    actions: Vec<Action>,
    requests: BTreeMap<u64, RequestRecord>,
    in_flight: Vec<InFlight>,
    queries: Vec<Query>,
    timers: Vec<(Micros, TimerToken)>,
    /// Workers that are draining or removed, with the time at which the endpoint list changed their state.
    stopped: BTreeMap<WorkerId, Micros>,
    next_request: u64,
}

impl Harness {
    fn new(settings: Settings) -> Harness {
        let mut harness = Harness {
            driver: Driver::new(settings),
            actions: vec![],
            requests: BTreeMap::new(),
            in_flight: vec![],
            queries: vec![],
            timers: vec![],
            stopped: BTreeMap::new(),
            next_request: 1,
        };
        harness.event(endpoints_event(EndpointUpdate::Restored, (1..=WORKERS).map(endpoint)));
        harness
    }

    /// Passes an event to the scheduler and checks the resulting actions against the rules.
    fn event(&mut self, event: Event) {
        let actions = self.driver.event(event);
        for action in &actions {
            self.check(action);
        }
        self.actions.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, worker, .. } => self.on_send(request.0, *worker),
            Action::Reject { request, .. } => self.on_answer(request.0, true),
            Action::Fail { request } => self.on_answer(request.0, false),
            Action::SetTimer { at, token } => self.timers.push((*at, *token)),
            Action::Probe(_) => panic!("a worker was probed"),
            Action::SendPeerMessage { to: Recipient::One(coordinator), data } => {
                self.on_peer_message(*coordinator, data);
            }
            Action::SendPeerMessage { .. } => panic!("message to all peers: {action:?}"),
            Action::Cancel { request, attempt } => {
                assert!((attempt.0 as usize) < self.requests[&request.0].attempts.len());
            }
            Action::CloseIdle(_) | Action::Subscribe(_) | Action::FetchEndpoints | Action::Log(_) => {}
        }
    }

    fn on_send(&mut self, request: u64, worker: WorkerId) {
        let sent_at = self.driver.now;
        assert!(!self.stopped.contains_key(&worker), "an attempt was sent to a draining or removed worker");
        let record = self.requests.get_mut(&request).expect("the request exists");
        record.check_send(sent_at, worker);
        let attempt = record.attempts.len() as u32;
        self.in_flight.push(InFlight { request, attempt, worker });
        record.attempts.push(AttemptRecord { worker, sent_at, may_have_run: None, returned: false });
    }

    fn on_answer(&mut self, request: u64, is_rejection: bool) {
        let record = self.requests.get_mut(&request).expect("the request exists");
        record.check_answer(self.driver.now, is_rejection);
        record.answered = true;
    }

    fn on_peer_message(&mut self, coordinator: u32, data: &[u8]) {
        assert!(coordinator != 0 && data.len() <= 256);
        if matches!(PeerMessage::decode(data), Some((PeerMessage::OccupancyQuery { .. }, _))) {
            self.queries.push(Query { coordinator, data: data.to_vec() });
        }
    }

    /// Advances the scheduler's clock to `until`. On the way, attempts that reach the deadline of their
    /// request time out, and due timers expire.
    fn advance(&mut self, until: Micros) {
        loop {
            let next_timer = self.timers.iter().enumerate().min_by_key(|(_, t)| t.0).map(|(i, t)| (i, t.0));
            // Find an attempt whose request reaches its deadline before the next timer expires; the attempt
            // times out at the deadline.
            let overdue = self.in_flight.iter().position(|attempt| {
                let record = &self.requests[&attempt.request];
                record.deadline <= until.min(next_timer.map_or(until, |(_, at)| at))
            });
            if let Some(position) = overdue {
                let attempt = self.in_flight.swap_remove(position);
                self.driver.now = self.driver.now.max(self.requests[&attempt.request].deadline);
                self.finish_attempt(&attempt, Outcome::Timeout, None);
                continue;
            }
            match next_timer {
                Some((position, at)) if at <= until => {
                    let (_, token) = self.timers.swap_remove(position);
                    self.driver.now = self.driver.now.max(at);
                    self.event(Event::Timer(token));
                }
                _ => break,
            }
        }
        self.driver.now = until;
    }

    fn finish_attempt(&mut self, ended: &InFlight, outcome: Outcome, load: Option<LoadReport>) {
        let record = self.requests.get_mut(&ended.request).expect("the request of the attempt exists");
        let attempt = &mut record.attempts[ended.attempt as usize];
        attempt.may_have_run = Some(!outcome.never_ran());
        attempt.returned = outcome == Outcome::Returned;
        record.answered |= outcome == Outcome::Ok;
        let request_closed = record.answered;
        self.event(Event::AttemptFinished {
            request: RequestId(ended.request),
            attempt: AttemptNo(ended.attempt),
            worker: ended.worker,
            outcome,
            latency: 5 * MILLISECOND,
            request_closed,
            load,
        });
    }

    fn step(&mut self, (selector, a, b): Step) {
        match selector % 10 {
            0..=2 => self.start_request(a, b),
            3..=5 if !self.in_flight.is_empty() => self.end_attempt(a, b),
            6 if b % 4 == 0 => self.deliver_message(a, b),
            6 if !self.queries.is_empty() => self.reply(a, b),
            7 => self.change_list(a, b),
            8 if b % 4 == 0 => self.event(endpoints_event(EndpointUpdate::Failed, [])),
            8 => self.disconnect_client(a),
            _ => self.advance(self.driver.now + u64::from(a) * 4 * MILLISECOND),
        }
    }

    fn start_request(&mut self, a: u8, b: u8) {
        let id = self.next_request;
        self.next_request += 1;
        let (class, deadline) =
            (u32::from(a % 5), self.driver.now + 20 * MILLISECOND + u64::from(b) * 20 * MILLISECOND);
        self.requests.insert(id, RequestRecord { class, deadline, attempts: vec![], answered: false });
        let mut job = request(id, class, &format!("key-{}", b % 7), deadline);
        job.slots = f64::from(1 + a / 100);
        job.retry = a % 11 == 0;
        self.event(Event::Request(job));
    }

    fn end_attempt(&mut self, a: u8, b: u8) {
        const OUTCOMES: [Outcome; 9] = [
            Outcome::Ok,
            Outcome::Rejected,
            Outcome::Returned,
            Outcome::ConnectFailed,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::Reset,
            Outcome::Timeout,
            Outcome::NotSent,
        ];
        let ended = self.in_flight.swap_remove(a as usize % self.in_flight.len());
        let load = LoadReport {
            free_slots: Some(f64::from(b % 9)),
            queued: Some(f64::from(a % 5)),
            service_ms: (b > 9).then_some(f64::from(b)),
            ..LoadReport::default()
        };
        self.finish_attempt(&ended, OUTCOMES[b as usize % OUTCOMES.len()], Some(load));
    }

    /// Delivers a message from a peer to the scheduler, other than a reply to an occupancy query. The message
    /// may be truncated.
    fn deliver_message(&mut self, a: u8, b: u8) {
        let messages = [
            PeerMessage::OccupancyQuery { work: SECOND },
            PeerMessage::AttemptStarted { slots: 1.0, work: SECOND },
            PeerMessage::AttemptFinished { served: a % 3 == 0, connection_failed: a % 3 == 1 },
        ];
        let worker = WorkerId(1 + u64::from(a) % (WORKERS + 1));
        let mut data = messages[b as usize / 4 % messages.len()].encode(worker);
        data.truncate(if b > 240 { a as usize % 20 } else { 16 });
        self.event(Event::PeerMessage { from: u32::from(a) % 5, data });
    }

    /// Delivers a coordinator's reply to one of the scheduler's occupancy queries.
    fn reply(&mut self, a: u8, b: u8) {
        let query = self.queries.swap_remove(a as usize % self.queries.len());
        let (_, worker) = PeerMessage::decode(&query.data).expect("the query can be decoded");
        let occupancy = Occupancy { slots: f64::from(b % 9), ejected_for: u64::from(b / 200) * SECOND };
        let data = PeerMessage::OccupancyReply((b % 5 > 0).then_some(occupancy)).encode(worker);
        self.event(Event::PeerMessage { from: query.coordinator, data });
    }

    fn change_list(&mut self, a: u8, b: u8) {
        const STATES: [EndpointState; 3] =
            [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];
        let n = 1 + u64::from(a) % WORKERS;
        let state = STATES[b as usize % STATES.len()];
        if state == EndpointState::Ready {
            self.stopped.remove(&WorkerId(n));
        } else {
            self.stopped.insert(WorkerId(n), self.driver.now);
        }
        let started_at = if b > 128 { self.driver.now } else { 0 };
        self.event(endpoints_event(EndpointUpdate::Changes, [Endpoint { state, started_at, ..endpoint(n) }]));
    }

    fn disconnect_client(&mut self, a: u8) {
        let id = 1 + u64::from(a) % self.next_request;
        if let Some(record) = self.requests.get_mut(&id) {
            record.answered = true;
        }
        self.event(Event::ClientDisconnected(RequestId(id)));
    }

    /// Advances the scheduler's clock beyond all deadlines, checks that every request got its final answer,
    /// and returns all actions of the scheduler.
    fn finish(mut self) -> Vec<Action> {
        self.advance(self.driver.now + 20 * SECOND);
        for (id, record) in &self.requests {
            assert!(record.answered, "request {id} got no final answer");
        }
        self.actions
    }
}

/// Runs one sequence of steps with a new scheduler and returns the scheduler's actions.
fn run(settings: &Settings, steps: &[Step]) -> Vec<Action> {
    let mut harness = Harness::new(settings.clone());
    for step in steps {
        harness.step(*step);
    }
    harness.finish()
}

#[test]
fn no_rule_is_violated_and_equal_events_give_equal_actions() {
    let mut coordinating = settings();
    coordinating.scheduler_count = 5;
    coordinating.limits.may_message_peers = true;
    coordinating.load_report_source = LoadReportSource::Never;
    coordinating.endpoint_delivery = EndpointDelivery::Poll;
    coordinating.rules.poll_within = Some(10 * SECOND);
    let configurations = [settings(), coordinating];
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let steps = proptest::collection::vec((any::<u8>(), any::<u8>(), any::<u8>()), 1..250);
    let result = runner.run(&steps, |steps| {
        for configuration in &configurations {
            assert_eq!(run(configuration, &steps), run(configuration, &steps));
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
