//! One discovery for all schedulers: how their calls for the list are spread.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

/// Dispatcher `me` of so many, started with a saved list.
fn start(scheduler_index: u32, scheduler_count: u32) -> (Driver, Vec<Action>) {
    let settings = Settings {
        scheduler_index,
        scheduler_count,
        endpoint_delivery: EndpointDelivery::Poll,
        ..settings()
    };
    let scheduler = Scheduler::new(settings, 7 + u64::from(scheduler_index)).expect("sound settings");
    let mut d = Driver { scheduler, now: 100 * S };
    let done = d.event(list(EndpointUpdate::Restored, (1..=9).map(endpoint)));
    (d, done)
}

fn asks(actions: &[Action]) -> usize {
    actions.iter().filter(|a| **a == Action::Subscribe(true)).count()
}

/// Plays one scheduler against a discovery that answers no call for `deaf`; returns when it asked. Each call fails after the
/// two seconds that discovery lets one wait.
fn calls(scheduler_index: u32, scheduler_count: u32, deaf: Micros) -> Vec<Micros> {
    calls_failing(scheduler_index, scheduler_count, deaf, 2 * S)
}

/// The same with calls that fail after so long.
fn calls_failing(scheduler_index: u32, scheduler_count: u32, deaf: Micros, fails: Micros) -> Vec<Micros> {
    let (mut d, mut done) = start(scheduler_index, scheduler_count);
    let (mut at, mut deadline) = (vec![], vec![]);
    let end = d.now + deaf;
    loop {
        deadline.extend(timers(&done));
        if asks(&done) > 0 {
            at.push(d.now - 100 * S);
            d.now += fails;
            done = d.event(list(EndpointUpdate::Failed, []));
            continue;
        }
        deadline.sort();
        let Some((next, token)) = deadline.first().copied().filter(|t| t.0 < end) else { return at };
        deadline.remove(0);
        d.now = d.now.max(next);
        done = d.event(Event::Timer(token));
    }
}

/// One discovery for so many schedulers: out of reach until `down` after they start, then it serves one call after another
/// and all of them once in `all`; a call that has waited for two seconds fails. Returns, for each scheduler, how long after
/// the return it had its list.
fn heard(scheduler_count: u32, down: Micros, all: Micros) -> Vec<Micros> {
    let (mut ready, work, up) = (0, all / u64::from(scheduler_count), 100 * S + down);
    let mut drivers = vec![];
    // When, whose, and what: a timer, or a call that fails or is answered.
    let mut deadline = std::collections::BTreeSet::new();
    let mut heard = vec![None; scheduler_count as usize];
    let mut take =
        |scheduler_index: u32, now: Micros, done: &[Action], deadline: &mut std::collections::BTreeSet<_>| {
            deadline.extend(
                timers(done).into_iter().map(|(at, token)| (at, scheduler_index, Next::Timer(token))),
            );
            if asks(done) == 0 {
                return;
            }
            let served = now.max(ready);
            if now < up {
                deadline.insert((now + 5 * MS, scheduler_index, Next::CallFails));
            } else if served > now + 2 * S {
                deadline.insert((now + 2 * S, scheduler_index, Next::CallFails));
            } else {
                ready = served + work;
                deadline.insert((ready, scheduler_index, Next::CallIsAnswered));
            }
        };
    for scheduler_index in 0..scheduler_count {
        let (driver, done) = start(scheduler_index, scheduler_count);
        take(scheduler_index, driver.now, &done, &mut deadline);
        drivers.push(driver);
    }
    while let Some((at, scheduler_index, next)) = deadline.pop_first() {
        assert!(at < up + 60 * S, "one of them has given up asking, or discovery is drowned");
        let driver = &mut drivers[scheduler_index as usize];
        driver.now = at;
        let done = match next {
            Next::Timer(token) => driver.event(Event::Timer(token)),
            Next::CallFails => driver.event(list(EndpointUpdate::Failed, [])),
            _ => {
                heard[scheduler_index as usize].get_or_insert(at - up);
                continue;
            }
        };
        take(scheduler_index, at, &done, &mut deadline);
    }
    heard.into_iter().map(|at| at.expect("all of them hear")).collect()
}

/// News counts as told 6 s after discovery had it and could be reached. So many that start in one moment, or have been kept
/// waiting by an outage, must all hear within that where discovery can serve all of them in time, and as many of them as it
/// can serve where it can't: it must neither stand idle while they wait for their turn, nor drown in their calls.
#[test]
fn all_hear_of_a_list_in_time_after_a_start_or_an_outage_as_far_as_discovery_can_serve_them() {
    for scheduler_count in [3, 20, 100, 300] {
        for down in [0, 8 * S, 23 * S] {
            let late = |all| heard(scheduler_count, down, all).into_iter().filter(|at| *at > 6 * S).count();
            assert_eq!(late(4 * S), 0, "{scheduler_count} after {down}");
            // In six seconds it serves three quarters of them at the most; one in twelve more may be late.
            let late = late(8 * S);
            assert!(late <= scheduler_count.div_ceil(3) as usize, "{late} of {scheduler_count} after {down}");
        }
    }
}

/// Alone it asks at once; a few lose next to nothing by the spread; none waits for longer than a list may be unasked.
#[test]
fn few_schedulers_ask_at_once_and_many_within_the_time_allowed() {
    let (_, done) = start(0, 1);
    assert_eq!(asks(&done), 1);
    assert!((0..3).all(|scheduler_index| calls(scheduler_index, 3, S)[0] <= 120 * MS));
    for scheduler_index in 0..300 {
        let at = calls(scheduler_index, 300, 60 * S);
        assert!(at[0] <= 4 * S);
        assert!(at.windows(2).all(|pair| pair[1] - pair[0] <= 5 * S), "{at:?}");
    }
}

/// News counts as told 6 s after discovery could be reached, which may be the moment after a call was lost: the next one, which
/// may have to wait for its turn for two seconds, goes out early enough whatever became of the last.
#[test]
fn calls_follow_one_another_soon_enough_whatever_became_of_them() {
    for scheduler_count in [1, 3, 300] {
        for fails in [0, 5 * MS, S, 2 * S, 2_450 * MS] {
            for scheduler_index in 0..scheduler_count {
                let at = calls_failing(scheduler_index, scheduler_count, 60 * S, fails);
                assert!(
                    at.windows(2).all(|pair| pair[1] - pair[0] <= 3_200 * MS),
                    "{scheduler_count}: {at:?}"
                );
            }
        }
    }
}

/// All that start in one moment have the list confirmed before they send by the saved one, where discovery can serve them all
/// in that time; and none of them has sent a job before.
#[test]
fn a_whole_fleet_that_starts_at_once_has_its_list_confirmed_before_it_sends() {
    for scheduler_count in [1, 3, 20, 100, 300] {
        let late = heard(scheduler_count, 0, 4 * S).into_iter().filter(|at| *at > CONFIRM_WITHIN).count();
        assert_eq!(late, 0, "of {scheduler_count}");
    }
}

/// A saved list may name workers that have left: a job waits until discovery has answered, also with changes alone, and is sent
/// by what it said. An answer that fails is none. Where none comes, the job is sent by the saved list after a while.
#[test]
fn no_job_is_sent_by_a_saved_list_until_it_is_confirmed() {
    let (mut d, _) = start(0, 3);
    assert_eq!(sends(&d.request(1, SAFE, "k")), []);
    d.now += S;
    assert_eq!(sends(&d.event(list(EndpointUpdate::Failed, []))), []);
    let gone = (1..=8).map(|n| Endpoint { state: EndpointState::Removed, ..endpoint(n) });
    assert_eq!(sends(&d.event(list(EndpointUpdate::Changes, gone))), [WorkerId(9)]);

    let (mut d, _) = start(0, 3);
    let saved_at = d.now;
    let held = d.event(Event::Request(request(1, SAFE, "k", saved_at + 30 * S)));
    let mut deadline = timers(&held);
    let worker = loop {
        deadline.sort();
        let (at, token) = deadline.remove(0);
        d.now = d.now.max(at);
        let done = d.event(Event::Timer(token));
        deadline.extend(timers(&done));
        if let Some(worker) = sends(&done).first() {
            break *worker;
        }
    };
    assert!((1..=9).contains(&worker.0));
    assert!((CONFIRM_WITHIN..2 * CONFIRM_WITHIN).contains(&(d.now - saved_at)), "after {}", d.now - saved_at);
}

/// The process before this one held its list a moment ago: jobs are sent by it at once, and the watch goes on at once.
#[test]
fn an_inherited_list_is_sent_by_at_once_and_asked_for_soon() {
    let settings = Settings {
        scheduler_index: 1,
        scheduler_count: 300,
        endpoint_delivery: EndpointDelivery::Poll,
        ..settings()
    };
    let mut d = Driver { scheduler: Scheduler::new(settings, 7).expect("sound settings"), now: 100 * S };
    let done = d.event(list(EndpointUpdate::HandedOver, (1..=9).map(endpoint)));
    assert!(timers(&done).iter().any(|(at, _)| *at <= d.now + 150 * MS), "{done:?}");
    assert_eq!(sends(&d.request(1, SAFE, "k")).len(), 1);
}

/// What a silent watch missed counts as told at 6 s, and its silence shows at 5.2 s: the next call must not wait its turn as
/// in a herd. Where that call fails too, it was no single watch, and the calls are spread as at the start.
#[test]
fn one_silent_watch_among_three_hundred_is_opened_anew_at_once() {
    let pause = |d: &mut Driver| {
        let done = d.event(list(EndpointUpdate::Failed, []));
        let (at, token) = *timers(&done).last().expect("a pause before the next call");
        let pause = at - d.now;
        assert_eq!(asks(&d.at(at, Event::Timer(token))), 1);
        pause
    };
    let mut spread = 0;
    for scheduler_index in 0..300 {
        let (mut d, _) = start(scheduler_index, 300);
        d.event(fleet(9));
        d.event(list(EndpointUpdate::Changes, []));
        assert!(pause(&mut d) <= 150 * MS, "the watch of {scheduler_index} was the only one");
        spread += u32::from(pause(&mut d) > S);
        // An answer again, silence again: alone once more.
        d.event(list(EndpointUpdate::Changes, []));
        assert!(pause(&mut d) <= 150 * MS);
    }
    assert!(spread >= 290, "only {spread} of 300 keep away from a discovery that is short of room");
}

/// What happens next in a play of an outage, with the moment before it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Timer(TimerToken),
    Job(u64),
    CallFails,
    CallIsAnswered,
}

/// One of three schedulers whose watch breaks; each further call fails after `fails`, for 23 s, while it goes on serving.
/// Returns when it asked, from the break on, and the scheduler at the answer.
fn outage(scheduler_index: u32, fails: Micros, news: Endpoint) -> (Vec<Micros>, Driver) {
    let (mut d, _) = start(scheduler_index, 3);
    d.event(fleet(9));
    let (down, mut asked) = (d.now, vec![]);
    let mut deadline = std::collections::BTreeSet::from([(down, Next::CallFails), (down, Next::Job(1))]);
    loop {
        let (at, next) = deadline.pop_first().expect("jobs go on coming");
        assert!(at < down + 60 * S, "it has given up asking");
        d.now = at;
        let done = match next {
            Next::Timer(token) => d.event(Event::Timer(token)),
            Next::CallFails => d.event(list(EndpointUpdate::Failed, [])),
            Next::CallIsAnswered => {
                d.event(list(EndpointUpdate::Changes, [news]));
                return (asked, d);
            }
            Next::Job(id) => {
                let worker = sent(&d.request(id, SAFE, &format!("key-{id}")));
                assert!((1..=9).contains(&worker.0), "{worker:?} was never listed");
                deadline.insert((at + 100 * MS, Next::Job(id + 1)));
                d.event(attempt_finished(id, 0, worker, Outcome::Ok))
            }
        };
        deadline.extend(timers(&done).into_iter().map(|(at, token)| (at, Next::Timer(token))));
        if asks(&done) > 0 {
            asked.push(at - down);
            let up = at >= down + 23 * S;
            deadline.insert(if up { (at + MS, Next::CallIsAnswered) } else { (at + fails, Next::CallFails) });
        }
    }
}

/// A list out of reach for 23 s: each scheduler serves on by the list that it has, never stops asking, and heeds what has
/// changed once it is answered. All lost their watch in one moment, and must not call in one.
#[test]
fn a_list_out_of_reach_is_served_by_as_it_was_and_asked_for_again_until_it_is_back() {
    let drains = || Endpoint { state: EndpointState::Draining, ..endpoint(1) };
    for fails in [5 * MS, S, 2 * S] {
        let mut calls = vec![];
        for scheduler_index in 0..3 {
            let (asked, mut d) = outage(scheduler_index, fails, drains());
            assert!(
                asked[0] <= 150 * MS,
                "the watch of {scheduler_index} was opened anew after {} us",
                asked[0]
            );
            let apart: Vec<Micros> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
            // A refusal at once invites no storm; three are no herd, and learn of the return within 1.5 s of a call's end.
            assert!(apart.iter().all(|apart| (50 * MS..=1_500 * MS + fails).contains(apart)), "{apart:?}");
            assert!(asked.len() <= 35, "{} calls of {scheduler_index}", asked.len());
            let jobs = (10_000..10_200).map(|id| sent(&d.request(id, SAFE, &format!("key-{id}"))));
            assert!({ jobs }.all(|worker| worker != WorkerId(1)), "a job went to a worker told to drain");
            calls.extend(asked);
        }
        calls.sort();
        assert!(calls.windows(3).all(|three| three[2] - three[0] >= 10 * MS), "all at once: {calls:?}");
    }
}

/// A list that breaks off has told what it holds up to there, and is a failure all the same: where every answer breaks off, many
/// schedulers must not call again at once each time.
#[test]
fn entries_of_a_list_that_broke_off_are_heeded_and_do_not_count_as_an_answer() {
    let mut apart = vec![];
    for scheduler_index in 0..300 {
        let (mut d, _) = start(scheduler_index, 300);
        d.event(fleet(9));
        for _ in 0..4 {
            let drains = Endpoint { state: EndpointState::Draining, ..endpoint(1) };
            let done = d.event(list(EndpointUpdate::Failed, [drains]));
            let (at, token) = *timers(&done).last().expect("a pause before the next call");
            apart.push(at - d.now);
            assert_eq!(asks(&d.at(at, Event::Timer(token))), 1);
        }
        let sent = (0..100).map(|id| sent(&d.request(id, SAFE, &format!("key-{id}"))));
        assert!({ sent }.all(|worker| worker != WorkerId(1)), "a job went to a worker told to drain");
        assert!(apart.drain(..).skip(1).all(|pause| pause >= S), "it calls again at once");
    }
}
