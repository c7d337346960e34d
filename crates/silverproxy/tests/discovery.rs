//! One discovery for all dispatchers: how their calls for the list are spread.
#![allow(missing_docs)]

mod common;
use common::*;
use silverproxy::*;

/// Dispatcher `me` of so many, started with a saved list.
fn start(me: u32, dispatchers: u32) -> (Driver, Vec<Action>) {
    let settings = Settings { me, dispatchers, discovery: Discovery::Ask, ..settings() };
    let policy = Policy::new(settings, 7 + u64::from(me)).expect("sound settings");
    let mut d = Driver { policy, now: 100 * S };
    let done = d.event(list(ListKind::Saved, (1..=9).map(member)));
    (d, done)
}

fn asks(actions: &[Action]) -> usize {
    actions.iter().filter(|a| **a == Action::Subscribe(true)).count()
}

/// Plays one dispatcher against a discovery that answers no call for `deaf`; returns when it asked.
fn calls(me: u32, dispatchers: u32, deaf: Micros) -> Vec<Micros> {
    let (mut d, mut done) = start(me, dispatchers);
    let (mut at, mut due) = (vec![], vec![]);
    let end = d.now + deaf;
    loop {
        due.extend(timers(&done));
        if asks(&done) > 0 {
            at.push(d.now - 100 * S);
            // It fails after the two seconds that discovery lets a call wait.
            d.now += 2 * S;
            done = d.event(list(ListKind::Failed, []));
            continue;
        }
        due.sort();
        let Some((next, token)) = due.first().copied().filter(|t| t.0 < end) else { return at };
        due.remove(0);
        d.now = d.now.max(next);
        done = d.event(Event::Timer(token));
    }
}

/// The most calls of all dispatchers in any two seconds.
fn most_in_two_seconds(dispatchers: u32, after: Micros) -> usize {
    let mut all: Vec<Micros> = (0..dispatchers).flat_map(|me| calls(me, dispatchers, 30 * S)).collect();
    all.retain(|at| *at >= after);
    all.sort();
    all.iter()
        .map(|from| all.iter().filter(|at| (*from..from + 2 * S).contains(at)).count())
        .max()
        .unwrap_or(0)
}

/// A hundred that start in one moment must not call in one moment: a discovery that serves each of them every five to eight
/// seconds falls behind, and works from then on for callers that have given up.
#[test]
fn a_hundred_dispatchers_that_start_together_don_t_ask_together() {
    assert!(most_in_two_seconds(100, 0) <= 55, "{} calls", most_in_two_seconds(100, 0));
    let later = most_in_two_seconds(100, 10 * S);
    assert!(later <= 40, "{later} calls in two seconds while none gets through");
}

/// Alone it asks at once; a few lose next to nothing by the spread; none waits for longer than a list may be unasked.
#[test]
fn few_dispatchers_ask_at_once_and_many_within_the_time_allowed() {
    let (_, done) = start(0, 1);
    assert_eq!(asks(&done), 1);
    assert!((0..3).all(|me| calls(me, 3, S)[0] <= 120 * MS));
    for me in 0..300 {
        let at = calls(me, 300, 60 * S);
        assert!(at[0] <= 5 * S);
        assert!(at.windows(2).all(|pair| pair[1] - pair[0] <= 17 * S), "{at:?}");
    }
}

/// What a silent watch missed counts as told at 6 s, and its silence shows at 5.2 s: the next call must not wait its turn as
/// in a herd. Where that call fails too, it was no single watch, and the calls are spread as at the start.
#[test]
fn one_silent_watch_among_three_hundred_is_opened_anew_at_once() {
    let pause = |d: &mut Driver| {
        let done = d.event(list(ListKind::Failed, []));
        let (at, token) = *timers(&done).last().expect("a pause before the next call");
        let pause = at - d.now;
        assert_eq!(asks(&d.at(at, Event::Timer(token))), 1);
        pause
    };
    let mut spread = 0;
    for me in 0..300 {
        let (mut d, _) = start(me, 300);
        d.event(fleet(9));
        d.event(list(ListKind::Changes, []));
        assert!(pause(&mut d) <= 150 * MS, "the watch of {me} was the only one");
        spread += u32::from(pause(&mut d) > S);
        // An answer again, silence again: alone once more.
        d.event(list(ListKind::Changes, []));
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

/// One of three dispatchers whose watch breaks; each further call fails after `fails`, for 23 s, while it goes on serving.
/// Returns when it asked, from the break on, and the dispatcher at the answer.
fn outage(me: u32, fails: Micros, news: Member) -> (Vec<Micros>, Driver) {
    let (mut d, _) = start(me, 3);
    d.event(fleet(9));
    let (down, mut asked) = (d.now, vec![]);
    let mut due = std::collections::BTreeSet::from([(down, Next::CallFails), (down, Next::Job(1))]);
    loop {
        let (at, next) = due.pop_first().expect("jobs go on coming");
        assert!(at < down + 60 * S, "it has given up asking");
        d.now = at;
        let done = match next {
            Next::Timer(token) => d.event(Event::Timer(token)),
            Next::CallFails => d.event(list(ListKind::Failed, [])),
            Next::CallIsAnswered => {
                d.event(list(ListKind::Changes, [news]));
                return (asked, d);
            }
            Next::Job(id) => {
                let worker = sent(&d.request(id, SAFE, &format!("key-{id}")));
                assert!((1..=9).contains(&worker.0), "{worker:?} was never listed");
                due.insert((at + 100 * MS, Next::Job(id + 1)));
                d.event(outcome(id, 0, worker, Status::Ok))
            }
        };
        due.extend(timers(&done).into_iter().map(|(at, token)| (at, Next::Timer(token))));
        if asks(&done) > 0 {
            asked.push(at - down);
            let up = at >= down + 23 * S;
            due.insert(if up { (at + MS, Next::CallIsAnswered) } else { (at + fails, Next::CallFails) });
        }
    }
}

/// A list out of reach for 23 s: each dispatcher serves on by the list that it has, never stops asking, and heeds what has
/// changed once it is answered. All lost their watch in one moment, and must not call in one.
#[test]
fn a_list_out_of_reach_is_served_by_as_it_was_and_asked_for_again_until_it_is_back() {
    let drains = || Member { state: MemberState::Draining, ..member(1) };
    for fails in [5 * MS, S, 2 * S] {
        let mut calls = vec![];
        for me in 0..3 {
            let (asked, mut d) = outage(me, fails, drains());
            assert!(asked[0] <= 150 * MS, "the watch of {me} was opened anew after {} us", asked[0]);
            let apart: Vec<Micros> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
            // A refusal at once invites no storm; three are no herd, and learn of the return within 1.5 s of a call's end.
            assert!(apart.iter().all(|apart| (50 * MS..=1_500 * MS + fails).contains(apart)), "{apart:?}");
            assert!(asked.len() <= 35, "{} calls of {me}", asked.len());
            let jobs = (10_000..10_200).map(|id| sent(&d.request(id, SAFE, &format!("key-{id}"))));
            assert!({ jobs }.all(|worker| worker != WorkerId(1)), "a job went to a worker told to drain");
            calls.extend(asked);
        }
        calls.sort();
        assert!(calls.windows(3).all(|three| three[2] - three[0] >= 10 * MS), "all at once: {calls:?}");
    }
}
