//! Tests of the refresh of the endpoint list: how schedulers spread their polls of a shared discovery
//! service, and how they use restored, handed-over and incomplete endpoint lists.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeSet;
use vetchbridge_scheduling::*;

/// Starts one of `scheduler_count` schedulers with a restored endpoint list of nine workers. Returns the
/// scheduler and its first actions.
fn start_with_restored_list(scheduler_index: u32, scheduler_count: u32) -> (Driver, Vec<Action>) {
    let settings = Settings {
        scheduler_index,
        scheduler_count,
        endpoint_delivery: EndpointDelivery::Poll,
        ..settings()
    };
    let scheduler = Scheduler::new(settings, 7 + u64::from(scheduler_index)).expect("the settings are valid");
    let mut driver = Driver { scheduler, now: 100 * SECOND };
    let actions = driver.event(endpoints_event(EndpointUpdate::Restored, (1..=9).map(endpoint)));
    (driver, actions)
}

fn poll_count(actions: &[Action]) -> usize {
    actions.iter().filter(|a| **a == Action::Subscribe(true)).count()
}

/// Runs one scheduler during an outage of discovery in which every poll of discovery fails after 2 s, the
/// longest time that discovery keeps a poll waiting. Returns the time of each poll, in microseconds since the
/// start of the scheduler.
fn poll_times(scheduler_index: u32, scheduler_count: u32, outage: Micros) -> Vec<Micros> {
    poll_times_failing_after(scheduler_index, scheduler_count, outage, 2 * SECOND)
}

/// Does the same as [`poll_times`], but each poll of discovery fails after `failure_delay`.
fn poll_times_failing_after(
    scheduler_index: u32,
    scheduler_count: u32,
    outage: Micros,
    failure_delay: Micros,
) -> Vec<Micros> {
    let (mut driver, mut actions) = start_with_restored_list(scheduler_index, scheduler_count);
    let (mut times, mut upcoming) = (vec![], vec![]);
    let end = driver.now + outage;
    loop {
        upcoming.extend(timers(&actions));
        if poll_count(&actions) > 0 {
            times.push(driver.now - 100 * SECOND);
            driver.now += failure_delay;
            actions = driver.event(endpoints_event(EndpointUpdate::Failed, []));
            continue;
        }
        upcoming.sort();
        let Some((next, token)) = upcoming.first().copied().filter(|t| t.0 < end) else { return times };
        upcoming.remove(0);
        driver.now = driver.now.max(next);
        actions = driver.event(Event::Timer(token));
    }
}

/// Simulates one discovery service for all schedulers. Discovery is unreachable for `outage` after the
/// schedulers start. Afterwards, discovery serves one poll at a time and needs `time_to_serve_all` to serve
/// one poll of every scheduler. A poll that has waited for 2 s fails. Returns for each scheduler the time
/// from the end of the outage to the arrival of the scheduler's endpoint list, in microseconds.
fn list_times(scheduler_count: u32, outage: Micros, time_to_serve_all: Micros) -> Vec<Micros> {
    let (mut discovery_free_at, service_time, outage_end) =
        (0, time_to_serve_all / u64::from(scheduler_count), 100 * SECOND + outage);
    let mut drivers = vec![];
    // Each entry consists of the time of the event, the index of the scheduler that gets the event, and the
    // event.
    let mut upcoming_events = BTreeSet::new();
    let mut delays = vec![None; scheduler_count as usize];
    let mut apply_actions =
        |scheduler_index: u32, now: Micros, actions: &[Action], upcoming_events: &mut BTreeSet<_>| {
            upcoming_events.extend(
                timers(actions)
                    .into_iter()
                    .map(|(at, token)| (at, scheduler_index, SimulatedEvent::Timer(token))),
            );
            if poll_count(actions) == 0 {
                return;
            }
            let served_at = now.max(discovery_free_at);
            if now < outage_end {
                upcoming_events.insert((now + 5 * MILLISECOND, scheduler_index, SimulatedEvent::PollFails));
            } else if served_at > now + 2 * SECOND {
                upcoming_events.insert((now + 2 * SECOND, scheduler_index, SimulatedEvent::PollFails));
            } else {
                discovery_free_at = served_at + service_time;
                upcoming_events.insert((discovery_free_at, scheduler_index, SimulatedEvent::PollIsAnswered));
            }
        };
    for scheduler_index in 0..scheduler_count {
        let (driver, actions) = start_with_restored_list(scheduler_index, scheduler_count);
        apply_actions(scheduler_index, driver.now, &actions, &mut upcoming_events);
        drivers.push(driver);
    }
    while let Some((at, scheduler_index, event)) = upcoming_events.pop_first() {
        assert!(at < outage_end + 60 * SECOND, "a scheduler has stopped polling, or discovery is overloaded");
        let driver = &mut drivers[scheduler_index as usize];
        driver.now = at;
        let actions = match event {
            SimulatedEvent::Timer(token) => driver.event(Event::Timer(token)),
            SimulatedEvent::PollFails => driver.event(endpoints_event(EndpointUpdate::Failed, [])),
            _ => {
                delays[scheduler_index as usize].get_or_insert(at - outage_end);
                continue;
            }
        };
        apply_actions(scheduler_index, at, &actions, &mut upcoming_events);
    }
    delays.into_iter().map(|at| at.expect("every scheduler is notified")).collect()
}

/// By the rules, a scheduler counts as notified of a change of the endpoint list 6 s after discovery has the
/// change and is reachable. Schedulers that start at the same time, or that waited for the end of an outage,
/// must all be notified within 6 s if discovery can serve all of them in that time. Otherwise discovery must
/// notify as many schedulers as it can serve: the schedulers' polls must neither leave discovery idle while
/// schedulers wait for a list nor overload discovery.
#[test]
fn schedulers_are_notified_in_time_after_a_start_or_an_outage_as_far_as_discovery_can_serve_them() {
    for schedulers in [3, 20, 100, 300] {
        for outage in [0, 8 * SECOND, 23 * SECOND] {
            let late_count =
                |time| list_times(schedulers, outage, time).into_iter().filter(|at| *at > 6 * SECOND).count();
            assert_eq!(
                late_count(4 * SECOND),
                0,
                "number of late schedulers among {schedulers} after an outage of {outage} us"
            );
            // Discovery can serve at most three quarters of the schedulers in 6 s. A third of the schedulers
            // may be late: the quarter that discovery can't serve in time, and one scheduler in twelve more.
            let late_count = late_count(8 * SECOND);
            assert!(
                late_count <= schedulers.div_ceil(3) as usize,
                "{late_count} of {schedulers} schedulers are late after an outage of {outage} us"
            );
        }
    }
}

/// A single scheduler polls discovery at once after its start. If there are only a few schedulers, spreading
/// their polls delays each scheduler only slightly. No scheduler waits longer between two polls than the
/// protocol of discovery allows.
#[test]
fn few_schedulers_poll_at_once_and_many_within_the_time_allowed() {
    let (_, actions) = start_with_restored_list(0, 1);
    assert_eq!(poll_count(&actions), 1);
    assert!((0..3).all(|scheduler_index| poll_times(scheduler_index, 3, SECOND)[0] <= 120 * MILLISECOND));
    for scheduler_index in 0..300 {
        let times = poll_times(scheduler_index, 300, 60 * SECOND);
        assert!(times[0] <= 4 * SECOND);
        assert!(times.windows(2).all(|pair| pair[1] - pair[0] <= 5 * SECOND), "{times:?}");
    }
}

/// By the rules, a scheduler counts as notified of a change 6 s after discovery is reachable. Discovery may
/// become reachable just after a poll was lost, and the next poll may have to wait 2 s until discovery serves
/// the poll. The next poll must therefore follow soon enough, however long the lost poll took to fail.
#[test]
fn polls_follow_one_another_soon_enough_however_long_they_take_to_fail() {
    for scheduler_count in [1, 3, 300] {
        for failure_delay in [0, 5 * MILLISECOND, SECOND, 2 * SECOND, 2_450 * MILLISECOND] {
            for scheduler_index in 0..scheduler_count {
                let times =
                    poll_times_failing_after(scheduler_index, scheduler_count, 60 * SECOND, failure_delay);
                assert!(
                    times.windows(2).all(|pair| pair[1] - pair[0] <= 3_200 * MILLISECOND),
                    "{scheduler_count} schedulers: {times:?}"
                );
            }
        }
    }
}

/// Schedulers that start at the same time must receive discovery's endpoint list before
/// [`LIST_CONFIRMATION_TIMEOUT`] allows them to send jobs by the restored list, if discovery can serve all
/// schedulers in that time.
#[test]
fn schedulers_that_all_start_at_once_have_their_list_confirmed_before_they_send() {
    for scheduler_count in [1, 3, 20, 100, 300] {
        let late_count = list_times(scheduler_count, 0, 4 * SECOND)
            .into_iter()
            .filter(|delay| *delay > LIST_CONFIRMATION_TIMEOUT)
            .count();
        assert_eq!(late_count, 0, "number of late schedulers among {scheduler_count}");
    }
}

/// A restored endpoint list may contain workers that were removed, so a job waits until discovery has
/// responded. A response that contains only changes of the list ends the wait too, but a failed poll does
/// not. Without a response, the scheduler sends the job by the restored list after
/// [`LIST_CONFIRMATION_TIMEOUT`].
#[test]
fn no_job_is_sent_by_a_restored_list_until_it_is_confirmed() {
    let (mut driver, _) = start_with_restored_list(0, 3);
    assert_eq!(sent_workers(&driver.request(1, IDEMPOTENT, "k")), []);
    driver.now += SECOND;
    assert_eq!(sent_workers(&driver.event(endpoints_event(EndpointUpdate::Failed, []))), []);
    let removed = (1..=8).map(|n| Endpoint { state: EndpointState::Removed, ..endpoint(n) });
    assert_eq!(sent_workers(&driver.event(endpoints_event(EndpointUpdate::Changes, removed))), [WorkerId(9)]);

    let (mut driver, _) = start_with_restored_list(0, 3);
    let restored_at = driver.now;
    let queued = driver.event(Event::Request(request(1, IDEMPOTENT, "k", restored_at + 30 * SECOND)));
    let mut upcoming = timers(&queued);
    let worker = loop {
        upcoming.sort();
        let (at, token) = upcoming.remove(0);
        driver.now = driver.now.max(at);
        let actions = driver.event(Event::Timer(token));
        upcoming.extend(timers(&actions));
        if let Some(worker) = sent_workers(&actions).first() {
            break *worker;
        }
    };
    assert!((1..=9).contains(&worker.0));
    assert!(
        (LIST_CONFIRMATION_TIMEOUT..2 * LIST_CONFIRMATION_TIMEOUT).contains(&(driver.now - restored_at)),
        "after {}",
        driver.now - restored_at
    );
}

/// An endpoint list handed over by the predecessor process is recent, so the scheduler sends jobs by the list
/// at once and subscribes to changes at discovery without delay.
#[test]
fn a_handed_over_list_is_used_at_once_and_polled_soon() {
    let settings = Settings {
        scheduler_index: 1,
        scheduler_count: 300,
        endpoint_delivery: EndpointDelivery::Poll,
        ..settings()
    };
    let mut driver =
        Driver { scheduler: Scheduler::new(settings, 7).expect("the settings are valid"), now: 100 * SECOND };
    let actions = driver.event(endpoints_event(EndpointUpdate::HandedOver, (1..=9).map(endpoint)));
    assert!(timers(&actions).iter().any(|(at, _)| *at <= driver.now + 150 * MILLISECOND), "{actions:?}");
    assert_eq!(sent_workers(&driver.request(1, IDEMPOTENT, "k")).len(), 1);
}

/// By the rules, a scheduler counts as notified 6 s after a change of the endpoint list, but a scheduler
/// detects a stalled watch on discovery only after 5.2 s. If the watch of one scheduler stalls, the scheduler
/// must therefore poll again without the delay that spreads the polls of many schedulers. If that poll fails
/// too, all schedulers are assumed to be affected, and polls are spread as after a start.
#[test]
fn a_single_stalled_watch_among_three_hundred_is_reopened_at_once() {
    let pause_after_failure = |driver: &mut Driver| {
        let actions = driver.event(endpoints_event(EndpointUpdate::Failed, []));
        let (at, token) = *timers(&actions).last().expect("a pause before the next poll");
        let pause = at - driver.now;
        assert_eq!(poll_count(&driver.at(at, Event::Timer(token))), 1);
        pause
    };
    let mut spread_count = 0;
    for scheduler_index in 0..300 {
        let (mut driver, _) = start_with_restored_list(scheduler_index, 300);
        driver.event(fleet_snapshot(9));
        driver.event(endpoints_event(EndpointUpdate::Changes, []));
        assert!(
            pause_after_failure(&mut driver) <= 150 * MILLISECOND,
            "only the watch of scheduler {scheduler_index} stalled"
        );
        spread_count += u32::from(pause_after_failure(&mut driver) > SECOND);
        // After a response of discovery, a further stall of the watch counts as a broken watch of this
        // scheduler alone again.
        driver.event(endpoints_event(EndpointUpdate::Changes, []));
        assert!(pause_after_failure(&mut driver) <= 150 * MILLISECOND);
    }
    assert!(spread_count >= 290, "only {spread_count} of 300 schedulers spread their polls");
}

/// An event in the simulation of an outage of discovery. Simulated events are ordered by time first and then
/// by variant.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulatedEvent {
    Timer(TimerToken),
    Job(u64),
    PollFails,
    PollIsAnswered,
}

/// Runs one of three schedulers through an outage of discovery. The scheduler's watch on discovery breaks,
/// and for 23 s each poll fails after `failure_delay`, while the scheduler goes on serving requests.
/// Discovery then responds with `change`. Returns the time of each poll, in microseconds since the watch
/// broke, and the scheduler after the response.
fn run_outage(scheduler_index: u32, failure_delay: Micros, change: Endpoint) -> (Vec<Micros>, Driver) {
    let (mut driver, _) = start_with_restored_list(scheduler_index, 3);
    driver.event(fleet_snapshot(9));
    let (outage_start, mut poll_times) = (driver.now, vec![]);
    let mut upcoming_events =
        BTreeSet::from([(outage_start, SimulatedEvent::PollFails), (outage_start, SimulatedEvent::Job(1))]);
    loop {
        let (at, event) = upcoming_events.pop_first().expect("jobs keep arriving");
        assert!(at < outage_start + 60 * SECOND, "the scheduler has stopped polling");
        driver.now = at;
        let actions = match event {
            SimulatedEvent::Timer(token) => driver.event(Event::Timer(token)),
            SimulatedEvent::PollFails => driver.event(endpoints_event(EndpointUpdate::Failed, [])),
            SimulatedEvent::PollIsAnswered => {
                driver.event(endpoints_event(EndpointUpdate::Changes, [change]));
                return (poll_times, driver);
            }
            SimulatedEvent::Job(id) => {
                let worker = sent_to(&driver.request(id, IDEMPOTENT, &format!("key-{id}")));
                assert!((1..=9).contains(&worker.0), "{worker:?} was never listed");
                upcoming_events.insert((at + 100 * MILLISECOND, SimulatedEvent::Job(id + 1)));
                driver.event(attempt_finished(id, 0, worker, Outcome::Ok))
            }
        };
        upcoming_events
            .extend(timers(&actions).into_iter().map(|(at, token)| (at, SimulatedEvent::Timer(token))));
        if poll_count(&actions) > 0 {
            poll_times.push(at - outage_start);
            let is_over = at >= outage_start + 23 * SECOND;
            upcoming_events.insert(if is_over {
                (at + MILLISECOND, SimulatedEvent::PollIsAnswered)
            } else {
                (at + failure_delay, SimulatedEvent::PollFails)
            });
        }
    }
}

/// Discovery is unreachable for 23 s. Each scheduler serves requests by its current endpoint list, keeps
/// polling discovery, and applies the changes of the list once discovery responds. All schedulers lose their
/// watch at the same time, but must not poll at the same time afterwards.
#[test]
fn schedulers_serve_by_their_current_list_and_poll_until_discovery_is_reachable() {
    let draining = || Endpoint { state: EndpointState::Draining, ..endpoint(1) };
    for failure_delay in [5 * MILLISECOND, SECOND, 2 * SECOND] {
        let mut all_polls = vec![];
        for scheduler_index in 0..3 {
            let (poll_times, mut driver) = run_outage(scheduler_index, failure_delay, draining());
            assert!(
                poll_times[0] <= 150 * MILLISECOND,
                "scheduler {scheduler_index} reopened its watch after {} us",
                poll_times[0]
            );
            let intervals: Vec<Micros> = poll_times.windows(2).map(|pair| pair[1] - pair[0]).collect();
            // A poll of discovery that is refused at once must not be repeated at once. With only three
            // schedulers, each scheduler must poll again within 1.5 s of a failure.
            assert!(
                intervals
                    .iter()
                    .all(|interval| (50 * MILLISECOND..=1_500 * MILLISECOND + failure_delay)
                        .contains(interval)),
                "{intervals:?}"
            );
            assert!(poll_times.len() <= 35, "{} polls of scheduler {scheduler_index}", poll_times.len());
            let workers =
                (10_000..10_200).map(|id| sent_to(&driver.request(id, IDEMPOTENT, &format!("key-{id}"))));
            assert!({ workers }.all(|worker| worker != WorkerId(1)), "a job went to a draining worker");
            all_polls.extend(poll_times);
        }
        all_polls.sort_unstable();
        assert!(
            all_polls.windows(3).all(|three| three[2] - three[0] >= 10 * MILLISECOND),
            "the schedulers poll at the same time: {all_polls:?}"
        );
    }
}

/// A response of discovery that breaks off counts as a failed poll, although the scheduler applies the
/// entries of the endpoint list received before the break. If every response breaks off, many schedulers must
/// not poll again at once after each break.
#[test]
fn entries_of_a_list_that_broke_off_are_applied_but_do_not_count_as_a_response() {
    let mut pauses = vec![];
    for scheduler_index in 0..300 {
        let (mut driver, _) = start_with_restored_list(scheduler_index, 300);
        driver.event(fleet_snapshot(9));
        for _ in 0..4 {
            let draining = Endpoint { state: EndpointState::Draining, ..endpoint(1) };
            let actions = driver.event(endpoints_event(EndpointUpdate::Failed, [draining]));
            let (at, token) = *timers(&actions).last().expect("a pause before the next poll");
            pauses.push(at - driver.now);
            assert_eq!(poll_count(&driver.at(at, Event::Timer(token))), 1);
        }
        let workers = (0..100).map(|id| sent_to(&driver.request(id, IDEMPOTENT, &format!("key-{id}"))));
        assert!({ workers }.all(|worker| worker != WorkerId(1)), "a job went to a draining worker");
        assert!(pauses.drain(..).skip(1).all(|pause| pause >= SECOND), "the scheduler polls again at once");
    }
}
