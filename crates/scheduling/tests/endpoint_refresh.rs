//! Refresh of the endpoint list: one discovery for all schedulers, and how their polls are spread.
#![allow(missing_docs)]

mod common;
use common::*;
use std::collections::BTreeSet;
use vetchbridge_scheduling::*;

/// One of so many schedulers, started with a restored list.
fn start(scheduler_index: u32, scheduler_count: u32) -> (Driver, Vec<Action>) {
    let settings = Settings {
        scheduler_index,
        scheduler_count,
        endpoint_delivery: EndpointDelivery::Poll,
        ..settings()
    };
    let scheduler = Scheduler::new(settings, 7 + u64::from(scheduler_index)).expect("sound settings");
    let mut driver = Driver { scheduler, now: 100 * S };
    let done = driver.event(list(EndpointUpdate::Restored, (1..=9).map(endpoint)));
    (driver, done)
}

fn polls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| **a == Action::Subscribe(true)).count()
}

/// Runs one scheduler for `outage` against a discovery that answers no poll; returns when it polled. Each
/// poll fails after the two seconds that discovery lets one wait.
fn poll_times(scheduler_index: u32, scheduler_count: u32, outage: Micros) -> Vec<Micros> {
    poll_times_failing_after(scheduler_index, scheduler_count, outage, 2 * S)
}

/// The same with polls that fail after so long.
fn poll_times_failing_after(
    scheduler_index: u32,
    scheduler_count: u32,
    outage: Micros,
    fails: Micros,
) -> Vec<Micros> {
    let (mut driver, mut done) = start(scheduler_index, scheduler_count);
    let (mut at, mut upcoming) = (vec![], vec![]);
    let end = driver.now + outage;
    loop {
        upcoming.extend(timers(&done));
        if polls(&done) > 0 {
            at.push(driver.now - 100 * S);
            driver.now += fails;
            done = driver.event(list(EndpointUpdate::Failed, []));
            continue;
        }
        upcoming.sort();
        let Some((next, token)) = upcoming.first().copied().filter(|t| t.0 < end) else { return at };
        upcoming.remove(0);
        driver.now = driver.now.max(next);
        done = driver.event(Event::Timer(token));
    }
}

/// One discovery for so many schedulers: unreachable until `down` after they start, then it serves one poll
/// after another, and all schedulers once in `all`; a poll that has waited for two seconds fails. Returns,
/// for each scheduler, how long after the end of the outage it had its list.
fn notified_after(scheduler_count: u32, down: Micros, all: Micros) -> Vec<Micros> {
    let (mut ready, work, up) = (0, all / u64::from(scheduler_count), 100 * S + down);
    let mut drivers = vec![];
    // When, whose, and what: a timer, or a poll that fails or is answered.
    let mut upcoming = BTreeSet::new();
    let mut notified = vec![None; scheduler_count as usize];
    let mut take = |scheduler_index: u32, now: Micros, done: &[Action], upcoming: &mut BTreeSet<_>| {
        upcoming
            .extend(timers(done).into_iter().map(|(at, token)| (at, scheduler_index, Next::Timer(token))));
        if polls(done) == 0 {
            return;
        }
        let served = now.max(ready);
        if now < up {
            upcoming.insert((now + 5 * MS, scheduler_index, Next::PollFails));
        } else if served > now + 2 * S {
            upcoming.insert((now + 2 * S, scheduler_index, Next::PollFails));
        } else {
            ready = served + work;
            upcoming.insert((ready, scheduler_index, Next::PollIsAnswered));
        }
    };
    for scheduler_index in 0..scheduler_count {
        let (driver, done) = start(scheduler_index, scheduler_count);
        take(scheduler_index, driver.now, &done, &mut upcoming);
        drivers.push(driver);
    }
    while let Some((at, scheduler_index, next)) = upcoming.pop_first() {
        assert!(at < up + 60 * S, "one of them polls no more, or discovery is overloaded");
        let driver = &mut drivers[scheduler_index as usize];
        driver.now = at;
        let done = match next {
            Next::Timer(token) => driver.event(Event::Timer(token)),
            Next::PollFails => driver.event(list(EndpointUpdate::Failed, [])),
            _ => {
                notified[scheduler_index as usize].get_or_insert(at - up);
                continue;
            }
        };
        take(scheduler_index, at, &done, &mut upcoming);
    }
    notified.into_iter().map(|at| at.expect("all of them are notified")).collect()
}

/// A change counts as notified 6 s after discovery had it and could be reached. Schedulers that start at
/// once, or have been kept waiting by an outage, must all be notified within that where discovery can serve
/// all of them in time, and as many of them as it can serve where it can't: it must neither be idle while
/// they wait, nor be overloaded by their polls.
#[test]
fn all_are_notified_in_time_after_a_start_or_an_outage_as_far_as_discovery_can_serve_them() {
    for scheduler_count in [3, 20, 100, 300] {
        for down in [0, 8 * S, 23 * S] {
            let late =
                |all| notified_after(scheduler_count, down, all).into_iter().filter(|at| *at > 6 * S).count();
            assert_eq!(late(4 * S), 0, "{scheduler_count} after {down}");
            // In six seconds it serves three quarters of them at the most; one in twelve more may be late.
            let late = late(8 * S);
            assert!(late <= scheduler_count.div_ceil(3) as usize, "{late} of {scheduler_count} after {down}");
        }
    }
}

/// One alone polls at once; a few lose next to nothing by the spread; none waits for longer than a poll may
/// be due.
#[test]
fn few_schedulers_poll_at_once_and_many_within_the_time_allowed() {
    let (_, done) = start(0, 1);
    assert_eq!(polls(&done), 1);
    assert!((0..3).all(|scheduler_index| poll_times(scheduler_index, 3, S)[0] <= 120 * MS));
    for scheduler_index in 0..300 {
        let at = poll_times(scheduler_index, 300, 60 * S);
        assert!(at[0] <= 4 * S);
        assert!(at.windows(2).all(|pair| pair[1] - pair[0] <= 5 * S), "{at:?}");
    }
}

/// A change counts as notified 6 s after discovery could be reached, which may be the moment after a poll was
/// lost: the next one, which may have to wait for its turn for two seconds, is sent early enough whatever
/// became of the last.
#[test]
fn polls_follow_one_another_soon_enough_whatever_became_of_them() {
    for scheduler_count in [1, 3, 300] {
        for fails in [0, 5 * MS, S, 2 * S, 2_450 * MS] {
            for scheduler_index in 0..scheduler_count {
                let at = poll_times_failing_after(scheduler_index, scheduler_count, 60 * S, fails);
                assert!(
                    at.windows(2).all(|pair| pair[1] - pair[0] <= 3_200 * MS),
                    "{scheduler_count}: {at:?}"
                );
            }
        }
    }
}

/// All have the list confirmed before they send by the restored one, where discovery can serve them all in
/// that time.
#[test]
fn schedulers_that_all_start_at_once_have_their_list_confirmed_before_they_send() {
    for scheduler_count in [1, 3, 20, 100, 300] {
        let late = notified_after(scheduler_count, 0, 4 * S)
            .into_iter()
            .filter(|at| *at > LIST_CONFIRMATION_TIMEOUT)
            .count();
        assert_eq!(late, 0, "of {scheduler_count}");
    }
}

/// A restored list may name workers that were removed: a job waits until discovery has answered, also with
/// changes alone, and is sent by that answer. A failed poll is no answer. Where none comes, the job is sent
/// by the restored list after a while.
#[test]
fn no_job_is_sent_by_a_restored_list_until_it_is_confirmed() {
    let (mut driver, _) = start(0, 3);
    assert_eq!(sends(&driver.request(1, IDEMPOTENT, "k")), []);
    driver.now += S;
    assert_eq!(sends(&driver.event(list(EndpointUpdate::Failed, []))), []);
    let removed = (1..=8).map(|n| Endpoint { state: EndpointState::Removed, ..endpoint(n) });
    assert_eq!(sends(&driver.event(list(EndpointUpdate::Changes, removed))), [WorkerId(9)]);

    let (mut driver, _) = start(0, 3);
    let restored_at = driver.now;
    let queued = driver.event(Event::Request(request(1, IDEMPOTENT, "k", restored_at + 30 * S)));
    let mut upcoming = timers(&queued);
    let worker = loop {
        upcoming.sort();
        let (at, token) = upcoming.remove(0);
        driver.now = driver.now.max(at);
        let done = driver.event(Event::Timer(token));
        upcoming.extend(timers(&done));
        if let Some(worker) = sends(&done).first() {
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

/// The predecessor had its list a moment ago: jobs are sent by it at once, and the watch goes on at once.
#[test]
fn a_handed_over_list_is_used_at_once_and_polled_soon() {
    let settings = Settings {
        scheduler_index: 1,
        scheduler_count: 300,
        endpoint_delivery: EndpointDelivery::Poll,
        ..settings()
    };
    let mut driver = Driver { scheduler: Scheduler::new(settings, 7).expect("sound settings"), now: 100 * S };
    let done = driver.event(list(EndpointUpdate::HandedOver, (1..=9).map(endpoint)));
    assert!(timers(&done).iter().any(|(at, _)| *at <= driver.now + 150 * MS), "{done:?}");
    assert_eq!(sends(&driver.request(1, IDEMPOTENT, "k")).len(), 1);
}

/// What a stalled watch missed counts as notified at 6 s, and the stall is detected at 5.2 s: the next poll
/// must not be spread as after a common fault. Where that poll fails too, the fault is a common one, and
/// polls are spread as at the start.
#[test]
fn one_stalled_watch_among_three_hundred_is_opened_anew_at_once() {
    let pause = |driver: &mut Driver| {
        let done = driver.event(list(EndpointUpdate::Failed, []));
        let (at, token) = *timers(&done).last().expect("a pause before the next poll");
        let pause = at - driver.now;
        assert_eq!(polls(&driver.at(at, Event::Timer(token))), 1);
        pause
    };
    let mut spread = 0;
    for scheduler_index in 0..300 {
        let (mut driver, _) = start(scheduler_index, 300);
        driver.event(fleet(9));
        driver.event(list(EndpointUpdate::Changes, []));
        assert!(pause(&mut driver) <= 150 * MS, "the watch of {scheduler_index} was the only one");
        spread += u32::from(pause(&mut driver) > S);
        // An answer and another stall: a single watch once more.
        driver.event(list(EndpointUpdate::Changes, []));
        assert!(pause(&mut driver) <= 150 * MS);
    }
    assert!(spread >= 290, "only {spread} of 300 are spread over the capacity of discovery");
}

/// What happens next in a simulated outage; ordered after its time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Timer(TimerToken),
    Job(u64),
    PollFails,
    PollIsAnswered,
}

/// One of three schedulers whose watch breaks; each further poll fails after `fails`, for 23 s, while it goes
/// on serving. Returns when it polled, from the failure on, and the scheduler after the answer.
fn outage(scheduler_index: u32, fails: Micros, change: Endpoint) -> (Vec<Micros>, Driver) {
    let (mut driver, _) = start(scheduler_index, 3);
    driver.event(fleet(9));
    let (down, mut polled) = (driver.now, vec![]);
    let mut upcoming = BTreeSet::from([(down, Next::PollFails), (down, Next::Job(1))]);
    loop {
        let (at, next) = upcoming.pop_first().expect("jobs go on coming");
        assert!(at < down + 60 * S, "it polls no more");
        driver.now = at;
        let done = match next {
            Next::Timer(token) => driver.event(Event::Timer(token)),
            Next::PollFails => driver.event(list(EndpointUpdate::Failed, [])),
            Next::PollIsAnswered => {
                driver.event(list(EndpointUpdate::Changes, [change]));
                return (polled, driver);
            }
            Next::Job(id) => {
                let worker = sent(&driver.request(id, IDEMPOTENT, &format!("key-{id}")));
                assert!((1..=9).contains(&worker.0), "{worker:?} was never listed");
                upcoming.insert((at + 100 * MS, Next::Job(id + 1)));
                driver.event(attempt_finished(id, 0, worker, Outcome::Ok))
            }
        };
        upcoming.extend(timers(&done).into_iter().map(|(at, token)| (at, Next::Timer(token))));
        if polls(&done) > 0 {
            polled.push(at - down);
            let up = at >= down + 23 * S;
            upcoming.insert(if up { (at + MS, Next::PollIsAnswered) } else { (at + fails, Next::PollFails) });
        }
    }
}

/// Discovery is unreachable for 23 s: each scheduler serves by the list that it has, goes on polling, and
/// follows what has changed once it is answered. All lost their watch at once, and must not poll at once.
#[test]
fn schedulers_serve_by_the_list_they_have_and_poll_until_discovery_is_back() {
    let draining = || Endpoint { state: EndpointState::Draining, ..endpoint(1) };
    for fails in [5 * MS, S, 2 * S] {
        let mut all_polls = vec![];
        for scheduler_index in 0..3 {
            let (polled, mut driver) = outage(scheduler_index, fails, draining());
            assert!(
                polled[0] <= 150 * MS,
                "the watch of {scheduler_index} was opened anew after {} us",
                polled[0]
            );
            let apart: Vec<Micros> = polled.windows(2).map(|pair| pair[1] - pair[0]).collect();
            // A poll that is refused at once is not repeated at once; three schedulers are few, and poll
            // within 1.5 s of a failure.
            assert!(apart.iter().all(|apart| (50 * MS..=1_500 * MS + fails).contains(apart)), "{apart:?}");
            assert!(polled.len() <= 35, "{} polls of {scheduler_index}", polled.len());
            let jobs = (10_000..10_200).map(|id| sent(&driver.request(id, IDEMPOTENT, &format!("key-{id}"))));
            assert!({ jobs }.all(|worker| worker != WorkerId(1)), "a job went to a draining worker");
            all_polls.extend(polled);
        }
        all_polls.sort_unstable();
        assert!(
            all_polls.windows(3).all(|three| three[2] - three[0] >= 10 * MS),
            "all at once: {all_polls:?}"
        );
    }
}

/// A list that breaks off is a failure, though its entries up to there count: where every answer breaks off,
/// many schedulers must not poll again at once each time.
#[test]
fn entries_of_a_list_that_broke_off_are_applied_and_do_not_count_as_an_answer() {
    let mut apart = vec![];
    for scheduler_index in 0..300 {
        let (mut driver, _) = start(scheduler_index, 300);
        driver.event(fleet(9));
        for _ in 0..4 {
            let draining = Endpoint { state: EndpointState::Draining, ..endpoint(1) };
            let done = driver.event(list(EndpointUpdate::Failed, [draining]));
            let (at, token) = *timers(&done).last().expect("a pause before the next poll");
            apart.push(at - driver.now);
            assert_eq!(polls(&driver.at(at, Event::Timer(token))), 1);
        }
        let sent = (0..100).map(|id| sent(&driver.request(id, IDEMPOTENT, &format!("key-{id}"))));
        assert!({ sent }.all(|worker| worker != WorkerId(1)), "a job went to a draining worker");
        assert!(apart.drain(..).skip(1).all(|pause| pause >= S), "it polls again at once");
    }
}
