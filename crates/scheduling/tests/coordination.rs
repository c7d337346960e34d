//! Tests of coordination between schedulers: the messages that schedulers exchange about a worker's
//! occupancy, and how these messages change the placement of requests at workers that each single scheduler
//! seldom uses.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeMap;
use vetchbridge_scheduling::*;
use vetchbridge_scheduling::{Occupancy, PeerMessage};

fn coordinating_settings(scheduler_index: u32, scheduler_count: u32) -> Settings {
    let mut settings = Settings {
        scheduler_index,
        scheduler_count,
        load_report_source: LoadReportSource::Never,
        ..settings()
    };
    settings.limits.may_message_peers = true;
    settings
}

/// Several schedulers with equal endpoint lists. A message between schedulers arrives at once, unless the
/// recipient is unreachable.
struct Fleet {
    schedulers: Vec<Driver>,
    unreachable: Vec<u32>,
    message_count: usize,
}

impl Fleet {
    fn new(scheduler_count: u32, workers: u64) -> Fleet {
        let driver_for = |index| Driver::with_fleet(coordinating_settings(index, scheduler_count), workers);
        Fleet {
            schedulers: (0..scheduler_count).map(driver_for).collect(),
            unreachable: vec![],
            message_count: 0,
        }
    }

    /// Passes an event to one scheduler, and delivers the messages that schedulers send in consequence.
    /// Returns the actions of all schedulers other than these messages.
    fn event(&mut self, scheduler_index: u32, event: Event) -> Vec<Action> {
        let mut pending_events = vec![(scheduler_index, event)];
        let mut actions = vec![];
        while let Some((scheduler_index, event)) = pending_events.pop() {
            for action in self.schedulers[scheduler_index as usize].event(event) {
                match action {
                    Action::SendPeerMessage { to: Recipient::One(to), data } => {
                        self.message_count += 1;
                        if !self.unreachable.contains(&to) {
                            pending_events.push((to, Event::PeerMessage { from: scheduler_index, data }));
                        }
                    }
                    other_action => actions.push(other_action),
                }
            }
        }
        actions
    }

    fn request(&mut self, scheduler_index: u32, id: u64, key: &str) -> Vec<Action> {
        let deadline = self.schedulers[0].now + 5 * SECOND;
        self.event(scheduler_index, Event::Request(request(id, IDEMPOTENT, key, deadline)))
    }

    fn advance(&mut self, duration: Micros) {
        self.schedulers.iter_mut().for_each(|driver| driver.now += duration);
    }
}

/// Each of ten schedulers sends one job to the home of one key. One job looks like little load to a single
/// scheduler, but without coordination the ten schedulers together put ten jobs on one worker.
#[test]
fn jobs_of_one_key_from_many_schedulers_spill_once_the_key_s_home_is_full() {
    for coordinated in [true, false] {
        let mut fleet = Fleet::new(10, 12);
        if !coordinated {
            fleet.schedulers.iter_mut().enumerate().for_each(|(scheduler_index, driver)| {
                let mut isolated_settings = coordinating_settings(scheduler_index as u32, 10);
                isolated_settings.limits.may_message_peers = false;
                *driver = Driver::with_fleet(isolated_settings, 12);
            });
        }
        let workers: Vec<WorkerId> =
            (0..10).flat_map(|index| sent_workers(&fleet.request(index, u64::from(index), "k"))).collect();
        let max_jobs =
            workers.iter().map(|worker| workers.iter().filter(|other| *other == worker).count()).max();
        // Four of the twelve workers are candidates for the key. With coordination, each candidate runs one
        // job and has one job in its queue, and the other two jobs are queued at the schedulers.
        assert_eq!(
            (workers.len(), max_jobs),
            if coordinated { (8, Some(2)) } else { (10, Some(10)) },
            "{workers:?}"
        );
        assert_eq!(fleet.message_count > 0, coordinated);
    }
}

#[test]
fn a_job_that_ended_frees_its_slots_at_the_coordinator() {
    let mut fleet = Fleet::new(10, 12);
    let home = sent_to(&fleet.request(0, 0, "k"));
    assert_ne!(
        sent_to(&fleet.request(1, 1, "k")),
        home,
        "a unit of weight is first estimated to have one slot"
    );
    fleet.event(0, attempt_finished(0, 0, home, Outcome::Ok));
    fleet.advance(100 * MILLISECOND);
    assert_eq!(sent_to(&fleet.request(2, 2, "k")), home);
}

/// If a worker's coordinator does not reply to an occupancy query in time, the scheduler places the job
/// without an occupancy report. The next scheduler in the order of rendezvous hashing then becomes the
/// coordinator of the worker.
#[test]
fn an_unresponsive_coordinator_delays_one_job_a_little_and_is_replaced() {
    let mut fleet = Fleet::new(10, 12);
    fleet.unreachable = (1..9).collect();
    let mut waiting_jobs = 0;
    for id in 0..200 {
        let mut actions = fleet.request(0, id, &format!("key-{id}"));
        if sent_workers(&actions).is_empty() {
            waiting_jobs += 1;
            let (expires_at, token) =
                timers(&actions).into_iter().min().expect("a timer for the next placement");
            let queried_at = fleet.schedulers[0].now;
            assert!(expires_at <= queried_at + 40 * MILLISECOND, "waits {} us", expires_at - queried_at);
            fleet.advance(expires_at - queried_at);
            actions = fleet.event(0, Event::Timer(token));
        }
        let worker = sent_to(&actions);
        fleet.event(0, attempt_finished(id, 0, worker, Outcome::Ok));
    }
    assert!(
        (1..=8).contains(&waiting_jobs),
        "{waiting_jobs} of 200 jobs waited for 8 unresponsive coordinators"
    );
}

/// The cause of a single failed attempt may be the connection, so one scheduler ejects a worker only after
/// two failures. With coordination, one failure at each of two schedulers suffices to eject the worker.
#[test]
fn failures_at_two_schedulers_eject_a_worker_for_all() {
    let mut fleet = Fleet::new(10, 12);
    let home = sent_to(&fleet.request(0, 0, "k"));
    fleet.event(0, attempt_finished(0, 0, home, Outcome::Reset));
    fleet.advance(SECOND);
    assert_eq!(sent_to(&fleet.request(1, 1, "k")), home, "one failure may be the connection's fault");
    fleet.event(1, attempt_finished(1, 0, home, Outcome::Reset));
    for index in 2..10 {
        fleet.advance(30 * MILLISECOND);
        let other = sent_to(&fleet.request(index, 10 + u64::from(index), "k"));
        assert_ne!(other, home, "scheduler {index}");
        fleet.event(index, attempt_finished(10 + u64::from(index), 0, other, Outcome::Ok));
    }
}

/// Unexpected messages from a peer must not change what a scheduler does: replies without an occupancy query,
/// messages about workers that the endpoint list lacks, and data that can't be decoded.
#[test]
fn unexpected_messages_change_nothing() {
    let mut driver = Driver::with_fleet(coordinating_settings(0, 3), 12);
    let fully_occupied =
        PeerMessage::OccupancyReply(Some(Occupancy { slots: 900.0, ejected_for: 8 * SECOND }));
    for worker in (1..=13).map(WorkerId) {
        driver.event(Event::PeerMessage { from: 1, data: fully_occupied.encode(worker) });
        driver.event(Event::PeerMessage {
            from: 1,
            data: PeerMessage::AttemptFinished { served: false, connection_failed: false }.encode(worker),
        });
    }
    driver.event(Event::PeerMessage { from: 1, data: vec![1; 300] });
    let mut fresh = Driver::with_fleet(coordinating_settings(0, 3), 12);
    for id in 0..50 {
        let key = format!("key-{id}");
        assert_eq!(driver.request(id, IDEMPOTENT, &key), fresh.request(id, IDEMPOTENT, &key));
    }
    let reply = driver.event(Event::PeerMessage {
        from: 2,
        data: PeerMessage::OccupancyQuery { work: 0 }.encode(WorkerId(13)),
    });
    assert_eq!(
        reply,
        [Action::SendPeerMessage {
            to: Recipient::One(2),
            data: PeerMessage::OccupancyReply(None).encode(WorkerId(13))
        }]
    );
}

/// Sends every scheduler messages in which a peer claims to have sent an attempt of `slots_per_worker` slots
/// to each worker.
fn occupy_workers(fleet: &mut Fleet, workers: u64, slots_per_worker: f64) {
    for scheduler_index in 0..fleet.schedulers.len() as u32 {
        for worker in (1..=workers).map(WorkerId) {
            let data = PeerMessage::AttemptStarted { slots: slots_per_worker, work: 0 }.encode(worker);
            fleet.schedulers[scheduler_index as usize]
                .event(Event::PeerMessage { from: (scheduler_index + 1) % 10, data });
        }
    }
}

/// In a worker's long queue, one more job would make all later jobs late. The job is therefore queued at the
/// scheduler, where younger jobs may overtake the job.
#[test]
fn a_job_joins_a_worker_s_short_queue_but_waits_at_the_scheduler_if_queues_are_long() {
    for (slots_per_worker, is_sent) in [(1.0, true), (2.0, false)] {
        let mut fleet = Fleet::new(10, 12);
        occupy_workers(&mut fleet, 12, slots_per_worker);
        let actions = fleet.request(0, 1, "k");
        assert_eq!(
            !sent_workers(&actions).is_empty(),
            is_sent,
            "{slots_per_worker} slots in flight: {actions:?}"
        );
        let next_timer = timers(&actions).iter().map(|t| t.0 - fleet.schedulers[0].now).min();
        assert!(
            is_sent || next_timer < Some(400 * MILLISECOND),
            "the job is not placed again soon: {next_timer:?}"
        );
    }
}

/// Restarted workers take jobs for which the other workers have no capacity, but only within the limits that
/// slow start sets on a worker's slots and work.
#[test]
fn a_warming_worker_takes_other_keys_while_its_coordinator_reports_capacity() {
    let mut fleet = Fleet::new(10, 0);
    let weight = 4.0;
    let started_at = fleet.schedulers[0].now - 100 * MILLISECOND;
    let mut endpoints: Vec<Endpoint> = (1..=12).map(|n| Endpoint { weight, ..endpoint(n) }).collect();
    endpoints
        .iter_mut()
        .filter(|endpoint| endpoint.worker.0 > 9)
        .for_each(|warming| warming.started_at = started_at);
    for scheduler_index in 0..10 {
        fleet.event(scheduler_index, endpoints_event(EndpointUpdate::Snapshot, endpoints.clone()));
    }
    occupy_workers(&mut fleet, 9, 9.0);
    let mut jobs_per_worker = BTreeMap::new();
    for id in 0..40 {
        // After this time, the occupancy reports of earlier requests are no longer fresh.
        fleet.advance(30 * MILLISECOND);
        for worker in sent_workers(&fleet.request(id as u32 % 10, id, &format!("key-{id}"))) {
            assert!(worker.0 > 9, "workers that are warm have long queues");
            *jobs_per_worker.entry(worker).or_insert(0) += 1;
        }
    }
    assert_eq!(jobs_per_worker.len(), 3, "{jobs_per_worker:?}");
    // At a quarter of its capacity, a worker may use three of its four slots, and fewer slots if its jobs
    // have much work.
    assert!(jobs_per_worker.values().all(|jobs| (2..=3).contains(jobs)), "{jobs_per_worker:?}");
}

/// All schedulers learn of a restarted worker at the same time, and all query the worker's coordinator for
/// its occupancy at the same time. The coordinator may report free capacity only to some of the schedulers.
#[test]
fn simultaneous_queries_for_a_restarted_worker_admit_only_a_few_jobs() {
    for (work, max_admitted) in [(100 * MILLISECOND, 3), (2 * SECOND, 1)] {
        let mut driver = Driver::new(coordinating_settings(0, 10));
        driver.event(endpoints_event(
            EndpointUpdate::Snapshot,
            [Endpoint { weight: 4.0, started_at: driver.now - 100 * MILLISECOND, ..endpoint(1) }],
        ));
        let mut admitted_jobs = 0;
        for round in 0..3 {
            for from in 1..10 {
                let actions = driver.event(Event::PeerMessage {
                    from,
                    data: PeerMessage::OccupancyQuery { work }.encode(WorkerId(1)),
                });
                let [Action::SendPeerMessage { to: Recipient::One(to), data }] = &actions[..] else {
                    panic!("{actions:?}")
                };
                let Some((PeerMessage::OccupancyReply(Some(Occupancy { slots, ejected_for: 0 })), _)) =
                    PeerMessage::decode(data)
                else {
                    panic!("{data:?}")
                };
                assert_eq!(*to, from);
                if round == 0 && slots < 4.0 {
                    admitted_jobs += 1;
                    driver.event(Event::PeerMessage {
                        from,
                        data: PeerMessage::AttemptStarted { slots: 1.0, work }.encode(WorkerId(1)),
                    });
                }
                assert!(
                    round == 0 || slots > 4.0,
                    "no attempt has ended, but {slots} slots are reported in flight"
                );
            }
            driver.now += 50 * MILLISECOND;
        }
        assert!(
            (1..=max_admitted).contains(&admitted_jobs),
            "{admitted_jobs} jobs of {work} us were admitted at the same time"
        );
    }
}

/// Each zone holds a third of the workers. If two of three zones fail, more than half of the workers are
/// ejected, so the schedulers assume that the cause affects all workers, and ignore ejections.
#[test]
fn a_failed_zone_gets_no_jobs_unless_most_workers_have_failed() {
    for (failed_zones, ejected) in [(1, true), (2, false)] {
        let mut driver = Driver::with_fleet(coordinating_settings(0, 10), 12);
        for worker in (1..=12).filter(|n| n % 3 < failed_zones).map(WorkerId) {
            for from in [1, 2] {
                let data =
                    PeerMessage::AttemptFinished { served: false, connection_failed: true }.encode(worker);
                driver.event(Event::PeerMessage { from, data });
            }
        }
        let mut jobs_to_failed_zones = 0;
        for id in 0..60 {
            let mut actions = driver.request(id, IDEMPOTENT, &format!("key-{id}"));
            if sent_workers(&actions).is_empty() {
                // No coordinator replies to the occupancy queries, so the request is placed when the wait for
                // the replies ends.
                driver.now += 40 * MILLISECOND;
                let (_, token) = timers(&actions).into_iter().min().expect("a timer for the next placement");
                actions = driver.event(Event::Timer(token));
            }
            let worker = sent_to(&actions);
            jobs_to_failed_zones += u32::from(worker.0 % 3 < failed_zones);
            driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        }
        assert_eq!(
            jobs_to_failed_zones == 0,
            ejected,
            "{failed_zones} of three zones failed: {jobs_to_failed_zones} of 60 jobs went to failed zones"
        );
    }
}

/// A peer starts two attempts at a worker, and the message about the end of the first attempt is lost. The
/// worker's coordinator must not remove the first attempt when the message about the end of the second
/// attempt arrives, because the second attempt would then count as in flight after its end.
#[test]
fn an_attempt_whose_end_message_was_lost_is_forgotten_before_a_later_attempt_ends() {
    let mut driver = Driver::with_fleet(coordinating_settings(0, 10), 12);
    let receive = |driver: &mut Driver, message: PeerMessage| {
        let data = message.encode(WorkerId(1));
        driver.event(Event::PeerMessage { from: 1, data })
    };
    receive(&mut driver, PeerMessage::AttemptStarted { slots: 1.0, work: SECOND });
    driver.now += 5 * SECOND;
    receive(&mut driver, PeerMessage::AttemptStarted { slots: 1.0, work: SECOND });
    receive(&mut driver, PeerMessage::AttemptFinished { served: true, connection_failed: false });
    let reply = receive(&mut driver, PeerMessage::OccupancyQuery { work: SECOND });
    let empty =
        PeerMessage::OccupancyReply(Some(Occupancy { slots: 0.0, ejected_for: 0 })).encode(WorkerId(1));
    assert_eq!(reply, [Action::SendPeerMessage { to: Recipient::One(1), data: empty }]);
}
