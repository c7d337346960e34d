//! Tests the exactly-once audit: it must report every broken guarantee, and no violation for correct records
//! of clients and workers.
#![allow(missing_docs)]

use rstest::rstest;
use std::time::Duration;
use vetchbridge_testbed::arrivals::{Arrival, ClassLoad, Idempotency};
use vetchbridge_testbed::audit::{audit_jobs, Outage, Violation};
use vetchbridge_testbed::client::{Attempt, JobRecord, Outcome};
use vetchbridge_testbed::runs::{run_result, Run, RunEnd};

/// How long workers remember the idempotency key of the keyed job.
const WINDOW: Duration = Duration::from_secs(15);
/// The idempotency key of the keyed job.
const KEY: &str = "k";
/// The number of the idempotent job; its run and its class have the same number.
const IDEMPOTENT: usize = 0;
/// The number of the keyed job; its run and its class have the same number.
const KEYED: usize = 1;
/// The number of the non-idempotent job; its run and its class have the same number.
const NON_IDEMPOTENT: usize = 2;

/// The records of clients and of workers that a test passes to the audit.
struct Records {
    classes: Vec<ClassLoad>,
    jobs: Vec<JobRecord>,
    runs: Vec<Run>,
}

impl Records {
    /// Returns records without violations: one class for each kind of idempotency, with one job that ran once
    /// and was served.
    fn correct() -> Records {
        let classes = [Idempotency::Idempotent, Idempotency::Keyed(WINDOW), Idempotency::NonIdempotent];
        Records {
            classes: classes.into_iter().map(class).collect(),
            jobs: [IDEMPOTENT, KEYED, NON_IDEMPOTENT].into_iter().map(job).collect(),
            runs: [IDEMPOTENT, KEYED, NON_IDEMPOTENT].into_iter().map(run).collect(),
        }
    }

    /// Returns the first attempt of a job.
    fn attempt(&mut self, job: usize) -> &mut Attempt {
        &mut self.jobs[job].attempts[0]
    }

    fn violations(&self, outages: &[Outage]) -> Vec<Violation> {
        audit_jobs(&self.classes, &self.jobs, Some(&self.runs), outages).violations
    }
}

fn class(idempotency: Idempotency) -> ClassLoad {
    ClassLoad {
        name: format!("{idempotency:?}"),
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
    }
}

fn key(job: usize) -> Option<String> {
    (job == KEYED).then(|| KEY.to_string())
}

fn job(number: usize) -> JobRecord {
    let arrival = Arrival {
        at: Duration::ZERO,
        job: number as u64,
        class: number,
        object: format!("o{number}"),
        work: Duration::from_secs(1),
        tenant: None,
        hint: None,
        id_seed: number as u64,
    };
    let attempt = Attempt {
        id: number as u64,
        sent: Duration::ZERO,
        resent: None,
        ended: Duration::from_secs(1),
        outcome: Outcome::Served(run_result(number as u64, number)),
    };
    JobRecord { arrival, key: key(number), attempts: vec![attempt] }
}

fn run(number: usize) -> Run {
    Run {
        id: number as u64,
        key: key(number),
        class: format!("c{number}"),
        object: format!("o{number}"),
        worker: "s-0".to_string(),
        arrived: Duration::ZERO,
        started: Duration::ZERO,
        end: RunEnd::Finished,
    }
}

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns an outage between two times, in milliseconds.
fn outage(from: u64, until: u64) -> Outage {
    Outage { from: milliseconds(from), until: milliseconds(until) }
}

#[rstest]
#[case::correct_records(|_: &mut Records| {}, &[])]
#[case::no_response(
    |records: &mut Records| records.attempt(IDEMPOTENT).outcome = Outcome::Unanswered,
    &[Violation::Unanswered(0)]
)]
#[case::broken_connection(
    |records: &mut Records| records.attempt(IDEMPOTENT).outcome = Outcome::Broken(String::new()),
    &[Violation::ConnectionLost(0)]
)]
#[case::resent_before_it_ran(
    |records: &mut Records| {
        records.attempt(IDEMPOTENT).resent = Some(milliseconds(10));
        records.runs[IDEMPOTENT].started = milliseconds(20);
    },
    &[]
)]
#[case::resent_after_it_ran(
    |records: &mut Records| records.attempt(IDEMPOTENT).resent = Some(milliseconds(10)),
    &[Violation::ConnectionLost(0)]
)]
#[case::no_connection(
    |records: &mut Records| records.attempt(IDEMPOTENT).outcome = Outcome::Unreachable(String::new()),
    &[]
)]
#[case::result_that_names_no_run(
    |records: &mut Records| records.attempt(IDEMPOTENT).outcome = Outcome::Served("invented".to_string()),
    &[Violation::ForeignResult(0)]
)]
#[case::result_of_another_job(
    |records: &mut Records| records.attempt(IDEMPOTENT).outcome = Outcome::Served(run_result(2, 2)),
    &[Violation::ForeignResult(0)]
)]
#[case::result_of_a_lost_run(
    |records: &mut Records| records.runs[IDEMPOTENT].end = RunEnd::Lost,
    &[Violation::ForeignResult(0)]
)]
#[case::keyed_job_that_finished_twice(
    |records: &mut Records| records.runs.push(run(KEYED)),
    &[Violation::KeyedRanTwice(KEY.to_string())]
)]
#[case::keyed_job_that_ran_again_after_its_window(
    |records: &mut Records| records.runs.push(Run { started: WINDOW, end: RunEnd::Lost, ..run(KEYED) }),
    &[Violation::KeyedRanTwice(KEY.to_string())]
)]
#[case::keyed_job_that_was_lost_within_its_window(
    |records: &mut Records| records.runs.push(Run { end: RunEnd::Lost, ..run(KEYED) }),
    &[]
)]
#[case::non_idempotent_job_that_ran_twice(
    |records: &mut Records| records.runs.push(run(NON_IDEMPOTENT)),
    &[Violation::NonIdempotentRanTwice(2)]
)]
#[case::idempotent_job_that_ran_twice(|records: &mut Records| records.runs.push(run(IDEMPOTENT)), &[])]
#[case::idempotent_job_rejected_after_it_ran(
    |records: &mut Records| records.attempt(IDEMPOTENT).outcome = Outcome::Rejected,
    &[]
)]
#[case::non_idempotent_job_rejected_after_it_ran(
    |records: &mut Records| records.attempt(NON_IDEMPOTENT).outcome = Outcome::Rejected,
    &[Violation::RejectedAfterRun(2)]
)]
#[case::run_without_a_request(
    |records: &mut Records| records.runs.push(Run { id: 9, ..run(IDEMPOTENT) }),
    &[Violation::UnknownRequest(9)]
)]
fn each_broken_guarantee_is_reported_and_correct_records_have_no_violation(
    #[case] corrupt: fn(&mut Records),
    #[case] expected: &[Violation],
) {
    let mut records = Records::correct();
    corrupt(&mut records);
    assert_eq!(records.violations(&[]), expected);
}

#[test]
fn a_run_that_started_before_a_resend_in_an_outage_does_not_count_as_repeated() {
    let mut records = Records::correct();
    records.attempt(NON_IDEMPOTENT).resent = Some(milliseconds(10));
    let after_the_resend = milliseconds(20);
    records.runs.push(Run { arrived: after_the_resend, started: after_the_resend, ..run(NON_IDEMPOTENT) });
    records.attempt(NON_IDEMPOTENT).outcome = Outcome::Served(run_result(2, 3));
    assert_eq!(records.violations(&[outage(0, 900)]), []);
    let without_excuse = records.violations(&[outage(1_001, 2_000)]);
    assert_eq!(without_excuse, [Violation::ConnectionLost(2), Violation::NonIdempotentRanTwice(2)]);
}

/// A worker may queue an attempt of a scheduler that dies, and run the job after the client has sent the request
/// again. A run of an attempt that arrived after the resend counts as repeated, whenever it started.
#[rstest]
#[case::arrived_before_the_resend(9, &[])]
#[case::arrived_after_the_resend(11, &[Violation::NonIdempotentRanTwice(2)])]
fn a_queued_attempt_of_a_scheduler_that_died_does_not_count_as_repeated(
    #[case] arrived_ms: u64,
    #[case] expected: &[Violation],
) {
    let mut records = Records::correct();
    records.attempt(NON_IDEMPOTENT).resent = Some(milliseconds(10));
    records.runs[NON_IDEMPOTENT].arrived = milliseconds(20);
    records.runs[NON_IDEMPOTENT].started = milliseconds(20);
    let (arrived, started) = (milliseconds(arrived_ms), milliseconds(30));
    records.runs.push(Run { arrived, started, ..run(NON_IDEMPOTENT) });
    assert_eq!(records.violations(&[outage(0, 900)]), expected);
}

#[test]
fn only_an_attempt_in_flight_during_an_outage_may_be_lost() {
    let mut records = Records::correct();
    records.attempt(IDEMPOTENT).outcome = Outcome::Broken(String::new());
    let violation_count = |outage| records.violations(&[outage]).len();
    assert_eq!((violation_count(outage(500, 900)), violation_count(outage(1_001, 2_000))), (0, 1));
}
