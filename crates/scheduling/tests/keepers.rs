//! Keepers: what schedulers tell one another, and what comes of it for a worker that each of them seldom meets.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeMap;
use vetchbridge_scheduling::peer_message::{Occupancy, PeerMessage};
use vetchbridge_scheduling::*;

fn talking(scheduler_index: u32, scheduler_count: u32) -> Settings {
    let mut settings = Settings {
        scheduler_index,
        scheduler_count,
        load_report_source: LoadReportSource::Never,
        ..settings()
    };
    settings.limits.may_message_peers = true;
    settings
}

/// Several schedulers on one list; what they tell one another arrives at once, unless it is for a deaf one.
struct Fleet {
    all: Vec<Driver>,
    deaf: Vec<u32>,
    messages: usize,
}

impl Fleet {
    fn new(scheduler_count: u32, workers: u64) -> Fleet {
        let one = |scheduler_index| Driver::with_fleet(talking(scheduler_index, scheduler_count), workers);
        Fleet { all: (0..scheduler_count).map(one).collect(), deaf: vec![], messages: 0 }
    }

    /// Gives one scheduler an event; returns all that is done about it by anyone, but for the talk.
    fn event(&mut self, at: u32, event: Event) -> Vec<Action> {
        let mut post = vec![(at, event)];
        let mut done = vec![];
        while let Some((at, event)) = post.pop() {
            for action in self.all[at as usize].event(event) {
                match action {
                    Action::SendPeerMessage { to: Recipient::One(to), data } => {
                        self.messages += 1;
                        if !self.deaf.contains(&to) {
                            post.push((to, Event::PeerMessage { from: at, data }));
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
        self.event(at, Event::Request(request(id, SAFE, key, deadline)))
    }

    fn pass(&mut self, time: Micros) {
        self.all.iter_mut().for_each(|d| d.now += time);
    }
}

/// Each of ten schedulers sends a key's home one job: fine for each alone, ten jobs in one place for all.
#[test]
fn jobs_of_one_key_from_many_schedulers_spill_once_its_home_is_full() {
    for talk in [true, false] {
        let mut fleet = Fleet::new(10, 12);
        if !talk {
            fleet.all.iter_mut().enumerate().for_each(|(scheduler_index, d)| {
                let mut alone = talking(scheduler_index as u32, 10);
                alone.limits.may_message_peers = false;
                *d = Driver::with_fleet(alone, 12);
            });
        }
        let homes: Vec<WorkerId> =
            (0..10).flat_map(|at| sends(&fleet.request(at, u64::from(at), "k"))).collect();
        let most = homes.iter().map(|home| homes.iter().filter(|other| *other == home).count()).max();
        // Only four of the twelve are looked at: one runs and one waits at each of them, and two jobs wait here.
        assert_eq!((homes.len(), most), if talk { (8, Some(2)) } else { (10, Some(10)) }, "{homes:?}");
        assert_eq!(fleet.messages > 0, talk);
    }
}

/// The end of a job is told as well: its place is free again for everyone.
#[test]
fn a_job_that_ended_gives_its_place_back_at_the_keeper() {
    let mut fleet = Fleet::new(10, 12);
    let home = sent(&fleet.request(0, 0, "k"));
    assert_ne!(sent(&fleet.request(1, 1, "k")), home, "one slot for each unit of size is the first guess");
    fleet.event(0, attempt_finished(0, 0, home, Outcome::Ok));
    fleet.pass(100 * MS);
    assert_eq!(sent(&fleet.request(2, 2, "k")), home);
}

/// A keeper that died says nothing: its workers are placed blind after a moment, and the next by rendezvous keeps them.
#[test]
fn a_silent_keeper_delays_one_job_a_little_and_is_replaced() {
    let mut fleet = Fleet::new(10, 12);
    fleet.deaf = (1..9).collect();
    let mut waited = 0;
    for id in 0..200 {
        let mut done = fleet.request(0, id, &format!("key-{id}"));
        if sends(&done).is_empty() {
            waited += 1;
            let (at, token) = timers(&done).into_iter().min().expect("a timer to go on at");
            let began = fleet.all[0].now;
            assert!(at <= began + 40 * MS, "waits {} us", at - began);
            fleet.pass(at - began);
            done = fleet.event(0, Event::Timer(token));
        }
        let worker = sent(&done);
        fleet.event(0, attempt_finished(id, 0, worker, Outcome::Ok));
    }
    assert!((1..=8).contains(&waited), "{waited} of 200 jobs waited for 8 dead keepers");
}

/// What breaks at several schedulers once each is a dead worker; alone, each would have to see it twice.
#[test]
fn breaks_at_two_schedulers_pass_a_worker_over_for_all() {
    let mut fleet = Fleet::new(10, 12);
    let home = sent(&fleet.request(0, 0, "k"));
    fleet.event(0, attempt_finished(0, 0, home, Outcome::Reset));
    fleet.pass(S);
    assert_eq!(sent(&fleet.request(1, 1, "k")), home, "one break may be the connection's");
    fleet.event(1, attempt_finished(1, 0, home, Outcome::Reset));
    for at in 2..10 {
        fleet.pass(30 * MS);
        let other = sent(&fleet.request(at, 10 + u64::from(at), "k"));
        assert_ne!(other, home, "dispatcher {at}");
        fleet.event(at, attempt_finished(10 + u64::from(at), 0, other, Outcome::Ok));
    }
}

/// A report that nobody asked for, from a stranger, or about a worker that is not listed changes nothing.
#[test]
fn words_out_of_place_change_nothing() {
    let mut d = Driver::with_fleet(talking(0, 3), 12);
    let full = PeerMessage::OccupancyReply(Some(Occupancy { slots: 900.0, ejected_for: 8 * S }));
    for worker in (1..=13).map(WorkerId) {
        d.event(Event::PeerMessage { from: 1, data: full.encode(worker) });
        d.event(Event::PeerMessage {
            from: 1,
            data: PeerMessage::AttemptFinished { served: false, connection_failed: false }.encode(worker),
        });
    }
    d.event(Event::PeerMessage { from: 1, data: vec![1; 300] });
    let mut fresh = Driver::with_fleet(talking(0, 3), 12);
    for id in 0..50 {
        let key = format!("key-{id}");
        assert_eq!(d.request(id, SAFE, &key), fresh.request(id, SAFE, &key));
    }
    let answer = d.event(Event::PeerMessage {
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

/// Fills every worker by word of a peer that has `each` slots in hand there.
fn fill(fleet: &mut Fleet, workers: u64, each: f64) {
    for at in 0..fleet.all.len() as u32 {
        for worker in (1..=workers).map(WorkerId) {
            let data = PeerMessage::AttemptStarted { slots: each, work: 0 }.encode(worker);
            fleet.all[at as usize].event(Event::PeerMessage { from: (at + 1) % 10, data });
        }
    }
}

/// Where all queues are long, one more job in them makes all that follow late: it waits here, and fresher ones pass it.
#[test]
fn a_job_joins_a_short_queue_and_waits_before_a_long_one() {
    for (each, joins) in [(1.0, true), (2.0, false)] {
        let mut fleet = Fleet::new(10, 12);
        fill(&mut fleet, 12, each);
        let done = fleet.request(0, 1, "k");
        assert_eq!(!sends(&done).is_empty(), joins, "{each} slots in hand: {done:?}");
        let wakes = timers(&done).iter().map(|t| t.0 - fleet.all[0].now).min();
        assert!(joins || wakes < Some(400 * MS), "it looks again soon: {wakes:?}");
    }
}

/// Workers that come back cold take what overflows, once they are known to have room and no more than they bear.
#[test]
fn a_cold_worker_takes_spill_while_its_keeper_knows_it_to_have_room() {
    let mut fleet = Fleet::new(10, 0);
    let weight = 4.0;
    let started_at = fleet.all[0].now - 100 * MS;
    let mut endpoints: Vec<Endpoint> = (1..=12).map(|n| Endpoint { weight, ..endpoint(n) }).collect();
    endpoints.iter_mut().filter(|m| m.worker.0 > 9).for_each(|cold| cold.started_at = started_at);
    for at in 0..10 {
        fleet.event(at, list(EndpointUpdate::Snapshot, endpoints.clone()));
    }
    fill(&mut fleet, 9, 9.0);
    let mut to_cold = BTreeMap::new();
    for id in 0..40 {
        // Longer than a report counts as fresh.
        fleet.pass(30 * MS);
        for worker in sends(&fleet.request(id as u32 % 10, id, &format!("key-{id}"))) {
            assert!(worker.0 > 9, "the others have long queues");
            *to_cold.entry(worker).or_insert(0) += 1;
        }
    }
    assert_eq!(to_cold.len(), 3, "{to_cold:?}");
    // Three quarters of four slots at a quarter of its warmth, and less if the work is much.
    assert!(to_cold.values().all(|jobs| (2..=3).contains(jobs)), "{to_cold:?}");
}

/// Told of a cold worker in one moment, everyone who holds a job asks in that moment: not all may hear that there is room.
#[test]
fn a_rush_to_a_worker_that_has_just_come_back_is_let_in_by_few_at_a_time() {
    for (work, most) in [(100 * MS, 3), (2 * S, 1)] {
        let mut d = Driver::new(talking(0, 10));
        d.event(list(
            EndpointUpdate::Snapshot,
            [Endpoint { weight: 4.0, started_at: d.now - 100 * MS, ..endpoint(1) }],
        ));
        let mut let_in = 0;
        for round in 0..3 {
            for from in 1..10 {
                let done = d.event(Event::PeerMessage {
                    from,
                    data: PeerMessage::OccupancyQuery { work }.encode(WorkerId(1)),
                });
                let [Action::SendPeerMessage { to: Recipient::One(to), data }] = &done[..] else {
                    panic!("{done:?}")
                };
                let Some((PeerMessage::OccupancyReply(Some(Occupancy { slots: held, ejected_for: 0 })), _)) =
                    PeerMessage::decode(data)
                else {
                    panic!("{data:?}")
                };
                assert_eq!(*to, from);
                if round == 0 && held < 4.0 {
                    let_in += 1;
                    d.event(Event::PeerMessage {
                        from,
                        data: PeerMessage::AttemptStarted { slots: 1.0, work }.encode(WorkerId(1)),
                    });
                }
                assert!(round == 0 || held > 4.0, "nothing has ended, {held} in hand");
            }
            d.now += 50 * MS;
        }
        assert!((1..=most).contains(&let_in), "{let_in} jobs of {work} us in one moment");
    }
}

/// A zone that dies is a third of the fleet and more, and passed over all the same: it is no trouble that all share.
#[test]
fn a_zone_that_broke_is_passed_over_whole() {
    for (zones, passed_over) in [(1, true), (2, false)] {
        let mut d = Driver::with_fleet(talking(0, 10), 12);
        for worker in (1..=12).filter(|n| n % 3 < zones).map(WorkerId) {
            for from in [1, 2] {
                let data =
                    PeerMessage::AttemptFinished { served: false, connection_failed: true }.encode(worker);
                d.event(Event::PeerMessage { from, data });
            }
        }
        let mut to_dead = 0;
        for id in 0..60 {
            let mut done = d.request(id, SAFE, &format!("key-{id}"));
            if sends(&done).is_empty() {
                // Nobody answers for the keepers.
                d.now += 40 * MS;
                let (_, token) = timers(&done).into_iter().min().expect("a timer to go on at");
                done = d.event(Event::Timer(token));
            }
            let worker = sent(&done);
            to_dead += u32::from(worker.0 % 3 < zones);
            d.event(attempt_finished(id, 0, worker, Outcome::Ok));
        }
        assert_eq!(
            to_dead == 0,
            passed_over,
            "{zones} zones of three connection_failed: {to_dead} of 60 jobs went there"
        );
    }
}

/// Word of an end that was lost must not be made good by a later job's: that one would count as running on.
#[test]
fn a_lost_end_is_forgotten_with_its_job_and_takes_no_other_s_place() {
    let mut d = Driver::with_fleet(talking(0, 10), 12);
    let tell = |d: &mut Driver, word: PeerMessage| {
        let data = word.encode(WorkerId(1));
        d.event(Event::PeerMessage { from: 1, data })
    };
    tell(&mut d, PeerMessage::AttemptStarted { slots: 1.0, work: S });
    d.now += 5 * S;
    tell(&mut d, PeerMessage::AttemptStarted { slots: 1.0, work: S });
    tell(&mut d, PeerMessage::AttemptFinished { served: true, connection_failed: false });
    let answer = tell(&mut d, PeerMessage::OccupancyQuery { work: S });
    let empty =
        PeerMessage::OccupancyReply(Some(Occupancy { slots: 0.0, ejected_for: 0 })).encode(WorkerId(1));
    assert_eq!(answer, [Action::SendPeerMessage { to: Recipient::One(1), data: empty }]);
}
