//! The account of a run: every rule, broken once, is reported, and a sound record reports none.
#![allow(missing_docs)]

use std::time::Duration;
use vetchbridge_testbed::account::{judge, Outage, Violation};
use vetchbridge_testbed::arrivals::{Arrival, ClassLoad, Repeat};
use vetchbridge_testbed::client::{JobRecord, Outcome, Try};
use vetchbridge_testbed::runs::{result, Run, RunEnd};

const WINDOW: Duration = Duration::from_secs(15);

/// A sound day: one class of each kind, a job of each served by its one run.
fn day() -> (Vec<ClassLoad>, Vec<JobRecord>, Vec<Run>) {
    let class = |name: &str, repeat| ClassLoad {
        name: name.to_string(),
        share: 1.0,
        worth: 1.0,
        work: Duration::from_secs(1),
        spread: 0.0,
        aim: Duration::from_secs(1),
        stretch: 0.0,
        deadline: Duration::from_secs(5),
        repeat,
        objects: 1,
        zipf: 0.0,
        slots: 1,
    };
    let classes = vec![
        class("safe", Repeat::Safe),
        class("keyed", Repeat::Keyed(WINDOW)),
        class("unsafe", Repeat::Unsafe),
    ];
    let key = |n: usize| (n == 1).then(|| "k".to_string());
    let jobs = (0..3).map(|n| JobRecord {
        arrival: Arrival {
            at: Duration::ZERO,
            job: n as u64,
            class: n,
            object: format!("o{n}"),
            work: Duration::from_secs(1),
            tenant: None,
            hint: None,
            salt: n as u64,
        },
        key: key(n),
        tries: vec![Try {
            id: n as u64,
            sent: Duration::ZERO,
            resent: None,
            ended: Duration::from_secs(1),
            outcome: Outcome::Served(result(n as u64, n)),
        }],
    });
    let runs = (0..3).map(|n| Run {
        id: n as u64,
        key: key(n),
        class: classes[n].name.clone(),
        object: format!("o{n}"),
        worker: "s-0".to_string(),
        started: Duration::ZERO,
        end: RunEnd::Finished,
    });
    let (jobs, runs) = (jobs.collect(), runs.collect());
    (classes, jobs, runs)
}

type Break = fn(&mut Vec<JobRecord>, &mut Vec<Run>);

/// A check that can't fail is none: each rule, broken once, is named; the sound day names none.
#[test]
fn each_broken_rule_is_found_and_a_sound_day_has_none() {
    let cases: [(Break, Option<Violation>); 17] = [
        (|_, _| {}, None),
        (|jobs, _| jobs[0].tries[0].outcome = Outcome::Unanswered, Some(Violation::Unanswered(0))),
        (|jobs, _| jobs[0].tries[0].outcome = Outcome::Broken(String::new()), Some(Violation::Lost(0))),
        // Sent once more: its first connection ended with it unread, or after it had been taken.
        (
            |jobs, runs| {
                jobs[0].tries[0].resent = Some(Duration::from_millis(10));
                runs[0].started = Duration::from_millis(20);
            },
            None,
        ),
        (|jobs, _| jobs[0].tries[0].resent = Some(Duration::from_millis(10)), Some(Violation::Lost(0))),
        // Nothing was taken, so nothing is owed.
        (|jobs, _| jobs[0].tries[0].outcome = Outcome::Unreachable(String::new()), None),
        (
            |jobs, _| jobs[0].tries[0].outcome = Outcome::Served("made up".to_string()),
            Some(Violation::Foreign(0)),
        ),
        (|jobs, _| jobs[0].tries[0].outcome = Outcome::Served(result(2, 2)), Some(Violation::Foreign(0))),
        (|_, runs| runs[0].end = RunEnd::Lost, Some(Violation::Foreign(0))),
        (|_, runs| runs.push(runs[1].clone()), Some(Violation::KeyedTwice("k".to_string()))),
        (
            |_, runs| {
                runs.push(Run { started: WINDOW, end: RunEnd::Lost, ..runs[1].clone() });
            },
            Some(Violation::KeyedTwice("k".to_string())),
        ),
        (
            |_, runs| {
                // It broke off and began again in time: that is what the window is for.
                runs.push(Run { end: RunEnd::Lost, ..runs[1].clone() });
            },
            None,
        ),
        (|_, runs| runs.push(runs[2].clone()), Some(Violation::UnsafeTwice(2))),
        // Of the safe one any number may run, and be refused after it.
        (|_, runs| runs.push(runs[0].clone()), None),
        (|jobs, _| jobs[0].tries[0].outcome = Outcome::Refused, None),
        (|jobs, _| jobs[2].tries[0].outcome = Outcome::Refused, Some(Violation::RefusedAfterRun(2))),
        (|_, runs| runs.push(Run { id: 9, ..runs[0].clone() }), Some(Violation::Unasked(9))),
    ];
    for (number, (spoil, expected)) in cases.into_iter().enumerate() {
        let (classes, mut jobs, mut runs) = day();
        spoil(&mut jobs, &mut runs);
        let found = judge(&classes, &jobs, Some(&runs), &[]).violations;
        assert_eq!(found, expected.into_iter().collect::<Vec<_>>(), "case {number}");
    }
}

#[test]
fn what_had_begun_when_its_scheduler_died_is_not_held_against_its_clients_second_sending() {
    let (classes, mut jobs, mut runs) = day();
    jobs[2].tries[0].resent = Some(Duration::from_millis(10));
    runs.push(Run { started: Duration::from_millis(20), ..runs[2].clone() });
    jobs[2].tries[0].outcome = Outcome::Served(result(2, 3));
    let outage =
        |from, until| Outage { from: Duration::from_millis(from), until: Duration::from_millis(until) };
    let found = |outage| judge(&classes, &jobs, Some(&runs), &[outage]).violations;
    assert_eq!(found(outage(0, 900)), []);
    assert_eq!(found(outage(1_001, 2_000)), [Violation::Lost(2), Violation::UnsafeTwice(2)]);
}

#[test]
fn only_a_try_that_was_open_in_an_outage_may_be_lost() {
    let (classes, mut jobs, runs) = day();
    jobs[0].tries[0].outcome = Outcome::Broken(String::new());
    let outage =
        |from, until| Outage { from: Duration::from_millis(from), until: Duration::from_millis(until) };
    let found = |outage| judge(&classes, &jobs, Some(&runs), &[outage]).violations.len();
    assert_eq!((found(outage(500, 900)), found(outage(1_001, 2_000))), (0, 1));
}
