//! Arbitrary outcome sequences, membership changes and timers at fixed seeds: no rule breaks, nothing
//! panics, and equal events give equal actions.
#![allow(missing_docs)]

mod common;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use vetchbridge_scheduling::peer_message::{Occupancy, PeerMessage};
use vetchbridge_scheduling::*;

/// One request as the rules see it.
struct Ledger {
    class: u32,
    deadline: Micros,
    /// Worker, when sent, and once it ended whether it may have run.
    attempts: Vec<(WorkerId, Micros, Option<bool>)>,
    answered: bool,
}

/// A scheduler under test, with everything that is still to come back to it.
struct World {
    d: Driver,
    log: Vec<Action>,
    ledgers: BTreeMap<u64, Ledger>,
    pending: Vec<(u64, u32, WorkerId)>,
    /// Keepers that were asked, and of what.
    asked: Vec<(u32, Vec<u8>)>,
    timers: Vec<(Micros, TimerToken)>,
    stopped: BTreeMap<WorkerId, Micros>,
    next: u64,
}

const NODES: u64 = 9;

impl World {
    fn new(settings: Settings) -> World {
        let mut world = World {
            d: Driver::new(settings),
            log: vec![],
            ledgers: BTreeMap::new(),
            pending: vec![],
            asked: vec![],
            timers: vec![],
            stopped: BTreeMap::new(),
            next: 1,
        };
        world.event(list(EndpointUpdate::Restored, (1..=NODES).map(endpoint)));
        world
    }

    /// Feeds an event and checks the rules on what is done about it.
    fn event(&mut self, event: Event) {
        let now = self.d.now;
        let actions = self.d.event(event);
        for action in &actions {
            match action {
                Action::Send { request, worker, .. } => {
                    let ledger = self.ledgers.get_mut(&request.0).expect("a request that exists");
                    assert!(!ledger.answered, "sent after its answer");
                    assert!(now < ledger.deadline);
                    assert!(!self.stopped.contains_key(worker), "sent to a drained or gone worker");
                    assert!(ledger.attempts.len() < 4, "too many attempts");
                    assert!(ledger.attempts.iter().all(|a| a.2.is_some()), "two attempts out at once");
                    if let Some(first) = ledger.attempts.iter().find(|a| a.2 == Some(true)) {
                        match ledger.class {
                            SAFE | BOUND => {}
                            KEYED_ALL => assert!(now < first.1 + 2 * S),
                            KEYED_CELL => {
                                assert!(now < first.1 + 2 * S);
                                assert_eq!(endpoint(first.0 .0).cell, endpoint(worker.0).cell);
                            }
                            _ => panic!("an unsafe job that may have run was sent again"),
                        }
                    }
                    self.pending.push((request.0, ledger.attempts.len() as u32, *worker));
                    ledger.attempts.push((*worker, now, None));
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    let ledger = self.ledgers.get_mut(&request.0).expect("a request that exists");
                    assert!(!ledger.answered, "answered twice");
                    assert!(now <= ledger.deadline + 8 * MS, "answered too late");
                    if matches!(action, Action::Reject { .. }) {
                        let never_ran = ledger.attempts.iter().all(|a| a.2 == Some(false));
                        assert!(
                            never_ran || matches!(ledger.class, SAFE | BOUND | KEYED_ALL),
                            "refused in vain"
                        );
                    }
                    ledger.answered = true;
                }
                Action::SetTimer { at, token } => self.timers.push((*at, *token)),
                Action::Probe(_) => panic!("workers are not probed"),
                Action::SendPeerMessage { to, data } => {
                    let Recipient::One(keeper) = to else { panic!("{action:?}") };
                    assert!(*keeper != 0 && data.len() <= 256);
                    if PeerMessage::decode(data)
                        .is_some_and(|(word, _)| matches!(word, PeerMessage::OccupancyQuery { .. }))
                    {
                        self.asked.push((*keeper, data.clone()));
                    }
                }
                Action::Cancel { request, attempt } => {
                    assert!((attempt.0 as usize) < self.ledgers[&request.0].attempts.len());
                }
                Action::CloseIdle(_) | Action::Subscribe(_) | Action::FetchEndpoints => {}
                Action::Log(_) => {}
            }
        }
        self.log.extend(actions);
    }

    fn advance(&mut self, until: Micros) {
        loop {
            let deadline = self.timers.iter().enumerate().min_by_key(|(_, t)| t.0).map(|(i, t)| (i, t.0));
            // The client's give-up time ends an attempt with a time-out, within a tick.
            let overdue = self.pending.iter().position(|p| {
                let ledger = &self.ledgers[&p.0];
                ledger.deadline <= until.min(deadline.map_or(until, |d| d.1))
            });
            if let Some(place) = overdue {
                let (id, attempt, worker) = self.pending.swap_remove(place);
                self.d.now = self.d.now.max(self.ledgers[&id].deadline);
                self.end(id, attempt, worker, Outcome::Timeout, None);
                continue;
            }
            match deadline {
                Some((i, at)) if at <= until => {
                    let (_, token) = self.timers.swap_remove(i);
                    self.d.now = self.d.now.max(at);
                    self.event(Event::Timer(token));
                }
                _ => break,
            }
        }
        self.d.now = until;
    }

    fn end(&mut self, id: u64, attempt: u32, worker: WorkerId, outcome: Outcome, load: Option<LoadReport>) {
        let ledger = self.ledgers.get_mut(&id).expect("sent before");
        ledger.attempts[attempt as usize].2 = Some(!outcome.never_ran());
        ledger.answered |= outcome == Outcome::Ok;
        let closed = ledger.answered;
        let (request, attempt) = (RequestId(id), AttemptNo(attempt));
        self.event(Event::AttemptFinished {
            request,
            attempt,
            worker,
            outcome,
            latency: 5 * MS,
            closed,
            load,
        });
    }

    fn step(&mut self, (what, a, b): (u8, u8, u8)) {
        let load = Some(LoadReport {
            free_slots: Some(f64::from(b % 9)),
            queued: Some(f64::from(a % 5)),
            service_ms: (b > 9).then_some(f64::from(b)),
            ..LoadReport::default()
        });
        match what % 10 {
            0..=2 => {
                let id = self.next;
                self.next += 1;
                let (class, deadline) = (u32::from(a % 5), self.d.now + 20 * MS + u64::from(b) * 20 * MS);
                self.ledgers.insert(id, Ledger { class, deadline, attempts: vec![], answered: false });
                let mut job = request(id, class, &format!("key-{}", b % 7), deadline);
                job.slots = f64::from(1 + a / 100);
                job.retry = a % 11 == 0;
                self.event(Event::Request(job));
            }
            3..=5 if !self.pending.is_empty() => {
                let (id, attempt, worker) = self.pending.swap_remove(a as usize % self.pending.len());
                let all = [
                    Outcome::Ok,
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::Reset,
                    Outcome::Timeout,
                    Outcome::NotSent,
                ];
                self.end(id, attempt, worker, all[b as usize % all.len()], load);
            }
            6 if b % 4 == 0 => {
                // A peer says something of its own accord, or what no peer would say.
                let peer_message = [
                    PeerMessage::OccupancyQuery { work: S },
                    PeerMessage::AttemptStarted { slots: 1.0, work: S },
                    PeerMessage::AttemptFinished { served: a % 3 == 0, connection_failed: a % 3 == 1 },
                ];
                let mut data =
                    peer_message[b as usize / 4 % 3].encode(WorkerId(1 + u64::from(a) % (NODES + 1)));
                data.truncate(if b > 240 { a as usize % 20 } else { 16 });
                self.event(Event::PeerMessage { from: u32::from(a) % 5, data });
            }
            6 if !self.asked.is_empty() => {
                let (from, data) = self.asked.swap_remove(a as usize % self.asked.len());
                let (_, worker) = PeerMessage::decode(&data).expect("a word");
                let known = (b % 5 > 0)
                    .then_some(Occupancy { slots: f64::from(b % 9), ejected_for: u64::from(b / 200) * S });
                let data = PeerMessage::OccupancyReply(known).encode(worker);
                self.event(Event::PeerMessage { from, data });
            }
            7 => {
                let n = 1 + u64::from(a) % NODES;
                let state =
                    [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][b as usize % 3];
                match state {
                    EndpointState::Ready => self.stopped.remove(&WorkerId(n)),
                    EndpointState::Draining | EndpointState::Removed => {
                        self.stopped.insert(WorkerId(n), self.d.now)
                    }
                };
                let started_at = if b > 128 { self.d.now } else { 0 };
                self.event(list(EndpointUpdate::Changes, [Endpoint { state, started_at, ..endpoint(n) }]));
            }
            8 if b % 4 == 0 => {
                self.event(list(EndpointUpdate::Failed, []));
            }
            8 => {
                let id = 1 + u64::from(a) % self.next;
                if let Some(ledger) = self.ledgers.get_mut(&id) {
                    ledger.answered = true;
                }
                self.event(Event::ClientDisconnected(RequestId(id)));
            }
            _ => self.advance(self.d.now + u64::from(a) * 4 * MS),
        }
    }

    /// Lets every request run out of time: each must have had its one answer.
    fn finish(mut self) -> Vec<Action> {
        self.advance(self.d.now + 20 * S);
        for (id, ledger) in &self.ledgers {
            assert!(ledger.answered, "request {id} was lost");
        }
        self.log
    }
}

fn play(settings: &Settings, steps: &[(u8, u8, u8)]) -> Vec<Action> {
    let mut world = World::new(settings.clone());
    for step in steps {
        world.step(*step);
    }
    world.finish()
}

#[test]
fn the_rules_hold_and_equal_events_give_equal_actions() {
    let mut talking = settings();
    talking.scheduler_count = 5;
    talking.limits.may_message_peers = true;
    talking.load_report_source = LoadReportSource::Never;
    talking.endpoint_delivery = EndpointDelivery::Poll;
    talking.rules.poll_within = Some(10 * S);
    let sites = [settings(), talking];
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let steps = proptest::collection::vec((any::<u8>(), any::<u8>(), any::<u8>()), 1..250);
    let result = runner.run(&steps, |steps| {
        for site in &sites {
            assert_eq!(play(site, &steps), play(site, &steps));
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
