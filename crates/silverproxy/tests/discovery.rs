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
