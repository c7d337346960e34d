//! Coordination: what schedulers send one another, and what it changes for a worker that each of them seldom
//! uses.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeMap;
use vetchbridge_scheduling::*;
use vetchbridge_scheduling::{Occupancy, PeerMessage};

fn coordinating(scheduler_index: u32, scheduler_count: u32) -> Settings {
    let mut settings = Settings {
        scheduler_index,
        scheduler_count,
        load_report_source: LoadReportSource::Never,
        ..settings()
    };
    settings.limits.may_message_peers = true;
    settings
}

/// Several schedulers with one endpoint list. Messages arrive at once, unless their recipient is unreachable.
struct Fleet {
    all: Vec<Driver>,
    unreachable: Vec<u32>,
    messages: usize,
}

impl Fleet {
    fn new(scheduler_count: u32, workers: u64) -> Fleet {
        let one =
            |scheduler_index| Driver::with_fleet(coordinating(scheduler_index, scheduler_count), workers);
        Fleet { all: (0..scheduler_count).map(one).collect(), unreachable: vec![], messages: 0 }
    }

    /// Gives one scheduler an event; returns the actions of all schedulers but for their messages.
    fn event(&mut self, at: u32, event: Event) -> Vec<Action> {
        let mut mail = vec![(at, event)];
        let mut done = vec![];
        while let Some((at, event)) = mail.pop() {
            for action in self.all[at as usize].event(event) {
                match action {
                    Action::SendPeerMessage { to: Recipient::One(to), data } => {
                        self.messages += 1;
                        if !self.unreachable.contains(&to) {
                            mail.push((to, Event::PeerMessage { from: at, data }));
                        }
                    }
                    other => done.push(other),
                }
            }
        }
        done
    }

    fn request(&mut self, at: u32, id: u64, key: &str) -> Vec<Action> {
        let deadline = self.all[0].now + 5 * S;
        self.event(at, Event::Request(request(id, IDEMPOTENT, key, deadline)))
    }

    fn advance(&mut self, time: Micros) {
        self.all.iter_mut().for_each(|driver| driver.now += time);
    }
}

/// Each of ten schedulers sends a key's home one job: few for each alone, but ten jobs at one worker for all.
#[test]
fn jobs_of_one_key_from_many_schedulers_spill_once_its_home_is_full() {
    for coordinates in [true, false] {
        let mut fleet = Fleet::new(10, 12);
        if !coordinates {
            fleet.all.iter_mut().enumerate().for_each(|(scheduler_index, driver)| {
                let mut alone = coordinating(scheduler_index as u32, 10);
                alone.limits.may_message_peers = false;
                *driver = Driver::with_fleet(alone, 12);
            });
        }
        let homes: Vec<WorkerId> =
            (0..10).flat_map(|at| sends(&fleet.request(at, u64::from(at), "k"))).collect();
        let most = homes.iter().map(|home| homes.iter().filter(|other| *other == home).count()).max();
        // Four of the twelve are candidates: one job runs and one waits at each, and two are queued here.
        assert_eq!((homes.len(), most), if coordinates { (8, Some(2)) } else { (10, Some(10)) }, "{homes:?}");
        assert_eq!(fleet.messages > 0, coordinates);
    }
}

#[test]
fn a_job_that_ended_frees_its_slots_at_the_coordinator() {
    let mut fleet = Fleet::new(10, 12);
    let home = sent(&fleet.request(0, 0, "k"));
    assert_ne!(sent(&fleet.request(1, 1, "k")), home, "one slot for each unit of size is the first guess");
    fleet.event(0, attempt_finished(0, 0, home, Outcome::Ok));
    fleet.advance(100 * MS);
    assert_eq!(sent(&fleet.request(2, 2, "k")), home);
}

/// Its workers are chosen without a report after a moment, and the next scheduler by rendezvous hashing
/// coordinates them.
#[test]
fn an_unresponsive_coordinator_delays_one_job_a_little_and_is_replaced() {
    let mut fleet = Fleet::new(10, 12);
    fleet.unreachable = (1..9).collect();
    let mut waited = 0;
    for id in 0..200 {
        let mut done = fleet.request(0, id, &format!("key-{id}"));
        if sends(&done).is_empty() {
            waited += 1;
            let (at, token) = timers(&done).into_iter().min().expect("a timer to go on at");
            let began = fleet.all[0].now;
            assert!(at <= began + 40 * MS, "waits {} us", at - began);
            fleet.advance(at - began);
            done = fleet.event(0, Event::Timer(token));
        }
        let worker = sent(&done);
        fleet.event(0, attempt_finished(id, 0, worker, Outcome::Ok));
    }
    assert!((1..=8).contains(&waited), "{waited} of 200 jobs waited for 8 unresponsive coordinators");
}

/// One failure at each of several schedulers is the worker's fault; alone, each would have to see two.
#[test]
fn failures_at_two_schedulers_eject_a_worker_for_all() {
    let mut fleet = Fleet::new(10, 12);
    let home = sent(&fleet.request(0, 0, "k"));
    fleet.event(0, attempt_finished(0, 0, home, Outcome::Reset));
    fleet.advance(S);
    assert_eq!(sent(&fleet.request(1, 1, "k")), home, "one failure may be the connection's");
    fleet.event(1, attempt_finished(1, 0, home, Outcome::Reset));
    for at in 2..10 {
        fleet.advance(30 * MS);
        let other = sent(&fleet.request(at, 10 + u64::from(at), "k"));
        assert_ne!(other, home, "scheduler {at}");
        fleet.event(at, attempt_finished(10 + u64::from(at), 0, other, Outcome::Ok));
    }
}

/// That is a reply without a query, a message about a worker that is not listed, and data that is no message.
#[test]
fn messages_that_were_not_expected_change_nothing() {
    let mut driver = Driver::with_fleet(coordinating(0, 3), 12);
    let full = PeerMessage::OccupancyReply(Some(Occupancy { slots: 900.0, ejected_for: 8 * S }));
    for worker in (1..=13).map(WorkerId) {
        driver.event(Event::PeerMessage { from: 1, data: full.encode(worker) });
        driver.event(Event::PeerMessage {
            from: 1,
            data: PeerMessage::AttemptFinished { served: false, connection_failed: false }.encode(worker),
        });
    }
    driver.event(Event::PeerMessage { from: 1, data: vec![1; 300] });
    let mut fresh = Driver::with_fleet(coordinating(0, 3), 12);
    for id in 0..50 {
        let key = format!("key-{id}");
        assert_eq!(driver.request(id, IDEMPOTENT, &key), fresh.request(id, IDEMPOTENT, &key));
    }
    let answer = driver.event(Event::PeerMessage {
        from: 2,
        data: PeerMessage::OccupancyQuery { work: 0 }.encode(WorkerId(13)),
    });
    assert_eq!(
        answer,
        [Action::SendPeerMessage {
            to: Recipient::One(2),
            data: PeerMessage::OccupancyReply(None).encode(WorkerId(13))
        }]
    );
}

/// Fills every worker: peers report `each` slots in flight there.
fn fill(fleet: &mut Fleet, workers: u64, each: f64) {
    for at in 0..fleet.all.len() as u32 {
        for worker in (1..=workers).map(WorkerId) {
            let data = PeerMessage::AttemptStarted { slots: each, work: 0 }.encode(worker);
            fleet.all[at as usize].event(Event::PeerMessage { from: (at + 1) % 10, data });
        }
    }
}

/// One more job in a long queue makes all that follow late: it waits here, and younger ones pass it.
#[test]
fn a_job_joins_a_short_queue_and_is_queued_here_rather_than_in_a_long_one() {
    for (each, joins) in [(1.0, true), (2.0, false)] {
        let mut fleet = Fleet::new(10, 12);
        fill(&mut fleet, 12, each);
        let done = fleet.request(0, 1, "k");
        assert_eq!(!sends(&done).is_empty(), joins, "{each} slots in flight: {done:?}");
        let wakes = timers(&done).iter().map(|t| t.0 - fleet.all[0].now).min();
        assert!(joins || wakes < Some(400 * MS), "it looks again soon: {wakes:?}");
    }
}

/// Restarted workers take what others have no capacity for, no more than they bear while they warm up.
#[test]
fn a_warming_worker_takes_other_keys_while_its_coordinator_reports_capacity() {
    let mut fleet = Fleet::new(10, 0);
    let weight = 4.0;
    let started_at = fleet.all[0].now - 100 * MS;
    let mut endpoints: Vec<Endpoint> = (1..=12).map(|n| Endpoint { weight, ..endpoint(n) }).collect();
    endpoints.iter_mut().filter(|m| m.worker.0 > 9).for_each(|warming| warming.started_at = started_at);
    for at in 0..10 {
        fleet.event(at, list(EndpointUpdate::Snapshot, endpoints.clone()));
    }
    fill(&mut fleet, 9, 9.0);
    let mut to_warming = BTreeMap::new();
    for id in 0..40 {
        // Reports are no longer fresh.
        fleet.advance(30 * MS);
        for worker in sends(&fleet.request(id as u32 % 10, id, &format!("key-{id}"))) {
            assert!(worker.0 > 9, "the others have long queues");
            *to_warming.entry(worker).or_insert(0) += 1;
        }
    }
    assert_eq!(to_warming.len(), 3, "{to_warming:?}");
    // Three quarters of four slots at a quarter of the capacity, and less if there is much work.
    assert!(to_warming.values().all(|jobs| (2..=3).contains(jobs)), "{to_warming:?}");
}

/// All schedulers are notified of a restarted worker at once, and query it at once: only some may get a reply
/// of free capacity.
#[test]
fn a_rush_to_a_restarted_worker_is_admitted_a_few_jobs_at_a_time() {
    for (work, max_admitted) in [(100 * MS, 3), (2 * S, 1)] {
        let mut driver = Driver::new(coordinating(0, 10));
        driver.event(list(
            EndpointUpdate::Snapshot,
            [Endpoint { weight: 4.0, started_at: driver.now - 100 * MS, ..endpoint(1) }],
        ));
        let mut admitted = 0;
        for round in 0..3 {
            for from in 1..10 {
                let done = driver.event(Event::PeerMessage {
                    from,
                    data: PeerMessage::OccupancyQuery { work }.encode(WorkerId(1)),
                });
                let [Action::SendPeerMessage { to: Recipient::One(to), data }] = &done[..] else {
                    panic!("{done:?}")
                };
                let Some((PeerMessage::OccupancyReply(Some(Occupancy { slots, ejected_for: 0 })), _)) =
                    PeerMessage::decode(data)
                else {
                    panic!("{data:?}")
                };
                assert_eq!(*to, from);
                if round == 0 && slots < 4.0 {
                    admitted += 1;
                    driver.event(Event::PeerMessage {
                        from,
                        data: PeerMessage::AttemptStarted { slots: 1.0, work }.encode(WorkerId(1)),
                    });
                }
                assert!(round == 0 || slots > 4.0, "nothing has ended, {slots} in flight");
            }
            driver.now += 50 * MS;
        }
        assert!((1..=max_admitted).contains(&admitted), "{admitted} jobs of {work} us in one moment");
    }
}

/// A zone is a third of the fleet; two of them are so much that the fault is a common one.
#[test]
fn a_zone_that_failed_is_ejected_as_a_whole() {
    for (zones, ejected) in [(1, true), (2, false)] {
        let mut driver = Driver::with_fleet(coordinating(0, 10), 12);
        for worker in (1..=12).filter(|n| n % 3 < zones).map(WorkerId) {
            for from in [1, 2] {
                let data =
                    PeerMessage::AttemptFinished { served: false, connection_failed: true }.encode(worker);
                driver.event(Event::PeerMessage { from, data });
            }
        }
        let mut to_failed = 0;
        for id in 0..60 {
            let mut done = driver.request(id, IDEMPOTENT, &format!("key-{id}"));
            if sends(&done).is_empty() {
                // No coordinator answers.
                driver.now += 40 * MS;
                let (_, token) = timers(&done).into_iter().min().expect("a timer to go on at");
                done = driver.event(Event::Timer(token));
            }
            let worker = sent(&done);
            to_failed += u32::from(worker.0 % 3 < zones);
            driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        }
        assert_eq!(
            to_failed == 0,
            ejected,
            "{zones} zones of three connection_failed: {to_failed} of 60 jobs went there"
        );
    }
}

/// The message of a later job's end must not stand for one that was lost: the later job would count as
/// running.
#[test]
fn an_attempt_whose_end_was_lost_is_forgotten_and_no_other_stands_for_it() {
    let mut driver = Driver::with_fleet(coordinating(0, 10), 12);
    let receive = |driver: &mut Driver, message: PeerMessage| {
        let data = message.encode(WorkerId(1));
        driver.event(Event::PeerMessage { from: 1, data })
    };
    receive(&mut driver, PeerMessage::AttemptStarted { slots: 1.0, work: S });
    driver.now += 5 * S;
    receive(&mut driver, PeerMessage::AttemptStarted { slots: 1.0, work: S });
    receive(&mut driver, PeerMessage::AttemptFinished { served: true, connection_failed: false });
    let answer = receive(&mut driver, PeerMessage::OccupancyQuery { work: S });
    let empty =
        PeerMessage::OccupancyReply(Some(Occupancy { slots: 0.0, ejected_for: 0 })).encode(WorkerId(1));
    assert_eq!(answer, [Action::SendPeerMessage { to: Recipient::One(1), data: empty }]);
}
