//! Arbitrary sequences of outcomes, list changes, messages and timers at fixed seeds: no rule breaks, nothing
//! panics, and equal events give equal actions.
#![allow(missing_docs)]

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use vetchbridge_scheduling::*;
use vetchbridge_scheduling::{Occupancy, PeerMessage};

const WORKERS: u64 = 9;
/// How long a repeat of a keyed request is dropped, as in the tests' settings.
const DEDUPLICATION_WINDOW: Micros = 2 * S;
const MAX_ATTEMPTS: usize = 4;
const ANSWER_SLACK: Micros = 8 * MS;

/// An attempt as the rules see it.
struct LedgerAttempt {
    worker: WorkerId,
    sent_at: Micros,
    /// `None` while it is in flight.
    may_have_run: Option<bool>,
}

/// One request as the rules see it.
struct Ledger {
    class: u32,
    deadline: Micros,
    attempts: Vec<LedgerAttempt>,
    answered: bool,
}

impl Ledger {
    /// Checks that an attempt may be sent to a worker now.
    fn check_send(&self, now: Micros, worker: WorkerId) {
        assert!(!self.answered, "sent after its answer");
        assert!(now < self.deadline);
        assert!(self.attempts.len() < MAX_ATTEMPTS, "too many attempts");
        assert!(self.attempts.iter().all(|a| a.may_have_run.is_some()), "two attempts in flight at once");
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

    /// Checks that this may be its final answer.
    fn check_answer(&self, now: Micros, is_rejection: bool) {
        assert!(!self.answered, "answered twice");
        assert!(now <= self.deadline + ANSWER_SLACK, "answered too late");
        if is_rejection {
            let never_ran = self.attempts.iter().all(|a| a.may_have_run == Some(false));
            let is_harmless = matches!(self.class, IDEMPOTENT | MACHINE_BOUND | KEYED_ALL);
            assert!(never_ran || is_harmless, "rejected though a retry may do harm");
        }
    }
}

/// An attempt whose outcome is still to come.
struct InFlight {
    request: u64,
    attempt: u32,
    worker: WorkerId,
}

/// An occupancy query that awaits its reply.
struct Query {
    coordinator: u32,
    data: Vec<u8>,
}

/// One step of a sequence: what happens, and two arguments.
type Step = (u8, u8, u8);

/// A scheduler under test, with everything that is still to come back to it.
struct World {
    driver: Driver,
    log: Vec<Action>,
    ledgers: BTreeMap<u64, Ledger>,
    in_flight: Vec<InFlight>,
    queries: Vec<Query>,
    timers: Vec<(Micros, TimerToken)>,
    /// Workers that are draining or removed, and since when.
    stopped: BTreeMap<WorkerId, Micros>,
    next_request: u64,
}

impl World {
    fn new(settings: Settings) -> World {
        let mut world = World {
            driver: Driver::new(settings),
            log: vec![],
            ledgers: BTreeMap::new(),
            in_flight: vec![],
            queries: vec![],
            timers: vec![],
            stopped: BTreeMap::new(),
            next_request: 1,
        };
        world.event(list(EndpointUpdate::Restored, (1..=WORKERS).map(endpoint)));
        world
    }

    /// Feeds an event and checks the rules on the actions.
    fn event(&mut self, event: Event) {
        let actions = self.driver.event(event);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, worker, .. } => self.on_send(request.0, *worker),
            Action::Reject { request, .. } => self.on_answer(request.0, true),
            Action::Fail { request } => self.on_answer(request.0, false),
            Action::SetTimer { at, token } => self.timers.push((*at, *token)),
            Action::Probe(_) => panic!("workers are not probed"),
            Action::SendPeerMessage { to: Recipient::One(coordinator), data } => {
                self.on_peer_message(*coordinator, data);
            }
            Action::SendPeerMessage { .. } => panic!("{action:?}"),
            Action::Cancel { request, attempt } => {
                assert!((attempt.0 as usize) < self.ledgers[&request.0].attempts.len());
            }
            Action::CloseIdle(_) | Action::Subscribe(_) | Action::FetchEndpoints | Action::Log(_) => {}
        }
    }

    fn on_send(&mut self, request: u64, worker: WorkerId) {
        let sent_at = self.driver.now;
        assert!(!self.stopped.contains_key(&worker), "sent to a draining or removed worker");
        let ledger = self.ledgers.get_mut(&request).expect("a request that exists");
        ledger.check_send(sent_at, worker);
        let attempt = ledger.attempts.len() as u32;
        self.in_flight.push(InFlight { request, attempt, worker });
        ledger.attempts.push(LedgerAttempt { worker, sent_at, may_have_run: None });
    }

    fn on_answer(&mut self, request: u64, is_rejection: bool) {
        let ledger = self.ledgers.get_mut(&request).expect("a request that exists");
        ledger.check_answer(self.driver.now, is_rejection);
        ledger.answered = true;
    }

    fn on_peer_message(&mut self, coordinator: u32, data: &[u8]) {
        assert!(coordinator != 0 && data.len() <= 256);
        if matches!(PeerMessage::decode(data), Some((PeerMessage::OccupancyQuery { .. }, _))) {
            self.queries.push(Query { coordinator, data: data.to_vec() });
        }
    }

    /// Lets time pass: attempts time out, and timers expire.
    fn advance(&mut self, until: Micros) {
        loop {
            let next_timer = self.timers.iter().enumerate().min_by_key(|(_, t)| t.0).map(|(i, t)| (i, t.0));
            // An attempt times out at its request's deadline.
            let overdue = self.in_flight.iter().position(|attempt| {
                let ledger = &self.ledgers[&attempt.request];
                ledger.deadline <= until.min(next_timer.map_or(until, |(_, at)| at))
            });
            if let Some(position) = overdue {
                let attempt = self.in_flight.swap_remove(position);
                self.driver.now = self.driver.now.max(self.ledgers[&attempt.request].deadline);
                self.end(&attempt, Outcome::Timeout, None);
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

    fn end(&mut self, ended: &InFlight, outcome: Outcome, load: Option<LoadReport>) {
        let ledger = self.ledgers.get_mut(&ended.request).expect("sent before");
        ledger.attempts[ended.attempt as usize].may_have_run = Some(!outcome.never_ran());
        ledger.answered |= outcome == Outcome::Ok;
        let request_closed = ledger.answered;
        self.event(Event::AttemptFinished {
            request: RequestId(ended.request),
            attempt: AttemptNo(ended.attempt),
            worker: ended.worker,
            outcome,
            latency: 5 * MS,
            request_closed,
            load,
        });
    }

    fn step(&mut self, (what, a, b): Step) {
        match what % 10 {
            0..=2 => self.new_request(a, b),
            3..=5 if !self.in_flight.is_empty() => self.attempt_ends(a, b),
            6 if b % 4 == 0 => self.unexpected_message(a, b),
            6 if !self.queries.is_empty() => self.reply(a, b),
            7 => self.list_change(a, b),
            8 if b % 4 == 0 => self.event(list(EndpointUpdate::Failed, [])),
            8 => self.client_disconnects(a),
            _ => self.advance(self.driver.now + u64::from(a) * 4 * MS),
        }
    }

    fn new_request(&mut self, a: u8, b: u8) {
        let id = self.next_request;
        self.next_request += 1;
        let (class, deadline) = (u32::from(a % 5), self.driver.now + 20 * MS + u64::from(b) * 20 * MS);
        self.ledgers.insert(id, Ledger { class, deadline, attempts: vec![], answered: false });
        let mut job = request(id, class, &format!("key-{}", b % 7), deadline);
        job.slots = f64::from(1 + a / 100);
        job.retry = a % 11 == 0;
        self.event(Event::Request(job));
    }

    fn attempt_ends(&mut self, a: u8, b: u8) {
        const OUTCOMES: [Outcome; 8] = [
            Outcome::Ok,
            Outcome::Rejected,
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
        self.end(&ended, OUTCOMES[b as usize % OUTCOMES.len()], Some(load));
    }

    /// A peer sends a message of its own accord, or data that is no message.
    fn unexpected_message(&mut self, a: u8, b: u8) {
        let messages = [
            PeerMessage::OccupancyQuery { work: S },
            PeerMessage::AttemptStarted { slots: 1.0, work: S },
            PeerMessage::AttemptFinished { served: a % 3 == 0, connection_failed: a % 3 == 1 },
        ];
        let worker = WorkerId(1 + u64::from(a) % (WORKERS + 1));
        let mut data = messages[b as usize / 4 % messages.len()].encode(worker);
        data.truncate(if b > 240 { a as usize % 20 } else { 16 });
        self.event(Event::PeerMessage { from: u32::from(a) % 5, data });
    }

    /// A coordinator replies to a query.
    fn reply(&mut self, a: u8, b: u8) {
        let query = self.queries.swap_remove(a as usize % self.queries.len());
        let (_, worker) = PeerMessage::decode(&query.data).expect("a message");
        let occupancy = Occupancy { slots: f64::from(b % 9), ejected_for: u64::from(b / 200) * S };
        let data = PeerMessage::OccupancyReply((b % 5 > 0).then_some(occupancy)).encode(worker);
        self.event(Event::PeerMessage { from: query.coordinator, data });
    }

    fn list_change(&mut self, a: u8, b: u8) {
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
        self.event(list(EndpointUpdate::Changes, [Endpoint { state, started_at, ..endpoint(n) }]));
    }

    fn client_disconnects(&mut self, a: u8) {
        let id = 1 + u64::from(a) % self.next_request;
        if let Some(ledger) = self.ledgers.get_mut(&id) {
            ledger.answered = true;
        }
        self.event(Event::ClientDisconnected(RequestId(id)));
    }

    /// Lets every request run out of time: each must have had its one answer.
    fn finish(mut self) -> Vec<Action> {
        self.advance(self.driver.now + 20 * S);
        for (id, ledger) in &self.ledgers {
            assert!(ledger.answered, "request {id} was lost");
        }
        self.log
    }
}

fn run(settings: &Settings, steps: &[Step]) -> Vec<Action> {
    let mut world = World::new(settings.clone());
    for step in steps {
        world.step(*step);
    }
    world.finish()
}

#[test]
fn the_rules_hold_and_equal_events_give_equal_actions() {
    let mut coordinating = settings();
    coordinating.scheduler_count = 5;
    coordinating.limits.may_message_peers = true;
    coordinating.load_report_source = LoadReportSource::Never;
    coordinating.endpoint_delivery = EndpointDelivery::Poll;
    coordinating.rules.poll_within = Some(10 * S);
    let deployments = [settings(), coordinating];
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let steps = proptest::collection::vec((any::<u8>(), any::<u8>(), any::<u8>()), 1..250);
    let result = runner.run(&steps, |steps| {
        for deployment in &deployments {
            assert_eq!(run(deployment, &steps), run(deployment, &steps));
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
