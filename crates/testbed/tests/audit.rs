//! The exactly-once audit: every broken guarantee is reported, and sound records report none.
#![allow(missing_docs)]

use std::time::Duration;
use vetchbridge_testbed::arrivals::{Arrival, ClassLoad, Idempotency};
use vetchbridge_testbed::audit::{audit_jobs, Outage, Violation};
use vetchbridge_testbed::client::{Attempt, JobRecord, Outcome};
use vetchbridge_testbed::runs::{result, Run, RunEnd};

const WINDOW: Duration = Duration::from_secs(15);

/// Sound records: one class of each idempotency, and a job of each served by its one run.
fn sound_records() -> (Vec<ClassLoad>, Vec<JobRecord>, Vec<Run>) {
    let class = |name: &str, idempotency| ClassLoad {
        name: name.to_string(),
        share: 1.0,
        priority_weight: 1.0,
        work: Duration::from_secs(1),
        spread: 0.0,
        latency_objective: Duration::from_secs(1),
        objective_per_work: 0.0,
        deadline: Duration::from_secs(5),
        idempotency,
        objects: 1,
        zipf: 0.0,
        slots: 1,
    };
    let classes = vec![
        class("idempotent", Idempotency::Idempotent),
        class("keyed", Idempotency::Keyed(WINDOW)),
        class("non-idempotent", Idempotency::NonIdempotent),
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
        attempts: vec![Attempt {
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

type Corruption = fn(&mut Vec<JobRecord>, &mut Vec<Run>);

/// Each corruption of sound records breaks one guarantee, or none.
#[test]
fn each_broken_guarantee_is_reported_and_sound_records_report_none() {
    let cases: [(Corruption, Option<Violation>); 17] = [
        (|_, _| {}, None),
        (|jobs, _| jobs[0].attempts[0].outcome = Outcome::Unanswered, Some(Violation::Unanswered(0))),
        (|jobs, _| jobs[0].attempts[0].outcome = Outcome::Broken(String::new()), Some(Violation::Lost(0))),
        // Sent again: its first connection ended before it was read, or after it was accepted.
        (
            |jobs, runs| {
                jobs[0].attempts[0].resent = Some(Duration::from_millis(10));
                runs[0].started = Duration::from_millis(20);
            },
            None,
        ),
        (|jobs, _| jobs[0].attempts[0].resent = Some(Duration::from_millis(10)), Some(Violation::Lost(0))),
        // Nothing was accepted, so no response is due.
        (|jobs, _| jobs[0].attempts[0].outcome = Outcome::Unreachable(String::new()), None),
        (
            |jobs, _| jobs[0].attempts[0].outcome = Outcome::Served("invented".to_string()),
            Some(Violation::ForeignResult(0)),
        ),
        (
            |jobs, _| jobs[0].attempts[0].outcome = Outcome::Served(result(2, 2)),
            Some(Violation::ForeignResult(0)),
        ),
        (|_, runs| runs[0].end = RunEnd::Lost, Some(Violation::ForeignResult(0))),
        (|_, runs| runs.push(runs[1].clone()), Some(Violation::KeyedRanTwice("k".to_string()))),
        (
            |_, runs| {
                runs.push(Run { started: WINDOW, end: RunEnd::Lost, ..runs[1].clone() });
            },
            Some(Violation::KeyedRanTwice("k".to_string())),
        ),
        (
            |_, runs| {
                // It was lost and started again within the deduplication window.
                runs.push(Run { end: RunEnd::Lost, ..runs[1].clone() });
            },
            None,
        ),
        (|_, runs| runs.push(runs[2].clone()), Some(Violation::NonIdempotentRanTwice(2))),
        // An idempotent job may run any number of times, and be rejected after a run.
        (|_, runs| runs.push(runs[0].clone()), None),
        (|jobs, _| jobs[0].attempts[0].outcome = Outcome::Rejected, None),
        (|jobs, _| jobs[2].attempts[0].outcome = Outcome::Rejected, Some(Violation::RejectedAfterRun(2))),
        (|_, runs| runs.push(Run { id: 9, ..runs[0].clone() }), Some(Violation::UnknownRequest(9))),
    ];
    for (number, (corrupt, expected)) in cases.into_iter().enumerate() {
        let (classes, mut jobs, mut runs) = sound_records();
        corrupt(&mut jobs, &mut runs);
        let found = audit_jobs(&classes, &jobs, Some(&runs), &[]).violations;
        assert_eq!(found, expected.into_iter().collect::<Vec<_>>(), "case {number}");
    }
}

#[test]
fn a_run_that_started_before_a_resend_in_an_outage_does_not_count_as_repeated() {
    let (classes, mut jobs, mut runs) = sound_records();
    jobs[2].attempts[0].resent = Some(Duration::from_millis(10));
    runs.push(Run { started: Duration::from_millis(20), ..runs[2].clone() });
    jobs[2].attempts[0].outcome = Outcome::Served(result(2, 3));
    let outage =
        |from, until| Outage { from: Duration::from_millis(from), until: Duration::from_millis(until) };
    let found = |outage| audit_jobs(&classes, &jobs, Some(&runs), &[outage]).violations;
    assert_eq!(found(outage(0, 900)), []);
    assert_eq!(found(outage(1_001, 2_000)), [Violation::Lost(2), Violation::NonIdempotentRanTwice(2)]);
}

#[test]
fn only_an_attempt_in_flight_during_an_outage_may_be_lost() {
    let (classes, mut jobs, runs) = sound_records();
    jobs[0].attempts[0].outcome = Outcome::Broken(String::new());
    let outage =
        |from, until| Outage { from: Duration::from_millis(from), until: Duration::from_millis(until) };
    let found = |outage| audit_jobs(&classes, &jobs, Some(&runs), &[outage]).violations.len();
    assert_eq!((found(outage(500, 900)), found(outage(1_001, 2_000))), (0, 1));
}
