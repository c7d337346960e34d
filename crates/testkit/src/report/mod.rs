//! The report on a load: its results as tables for people and as JSON for programs.

mod summary;
mod tables;

pub use summary::{ClassSummary, TenantSummary};
pub(crate) use tables::new_table;

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use vetchbridge_testbed::arrivals::LoadSpec;
use vetchbridge_testbed::audit::{audit_jobs, Answers, Outage};
use vetchbridge_testbed::client::{JobRecord, LoadRecord, Outcome};
use vetchbridge_testbed::runs::Run;

/// The longest acceptable delay between the time at which a job is due and the time at which the clients send
/// it. With a longer delay, the load generator rather than the schedulers delays clients.
pub const MAX_LAG: Duration = Duration::from_millis(100);
/// The text by which an error message of the operating system is recognized as "too many open files"
/// (EMFILE).
const NO_DESCRIPTOR_ERROR: &str = "os error 24";

/// The report on a load that clients sent to schedulers.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The number of jobs that clients sent.
    pub jobs: u64,
    /// The number of requests that clients sent for these jobs, retries included.
    #[serde(rename = "tries")]
    pub requests: u64,
    /// The numbers of clients' requests by outcome.
    pub answers: Answers,
    /// The mean number of attempts per job that reached a worker, over all jobs that clients sent; an attempt
    /// counts once its complete request has arrived at the worker. Absent if the workers are not the kit's
    /// own.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts_per_job: Option<f64>,
    /// The number of attempts that workers did not run because they repeated a keyed job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeats_dropped: Option<u64>,
    /// The share of runs that took place at the worker with most runs of the same object, over objects with
    /// two runs or more.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<f64>,
    /// The priority weight of jobs that were served within their latency objective, divided by that of all
    /// jobs.
    #[serde(rename = "service")]
    pub in_time_share: f64,
    /// The number of probes that workers received, divided by the number of jobs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probes_per_job: Option<f64>,
    /// The results of each class of jobs.
    pub classes: Vec<ClassSummary>,
    /// The results of each tenant; empty if the load has no tenants.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantSummary>,
    /// The longest delay between the time at which a job was due and the time at which it was sent, in
    /// milliseconds.
    pub lag_ms: f64,
    /// The numbers of requests whose connection failed, by the error of the connection.
    pub causes: BTreeMap<String, u64>,
    /// The violations that the exactly-once audit found; if there are none, each job had exactly one final
    /// answer.
    pub violations: Vec<String>,
}

/// Returns a duration in milliseconds, rounded to two decimals.
fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e5).round() / 1e2
}

/// The records that the workers of a deployment made of a load.
pub struct WorkerRecord {
    /// The runs of jobs at the workers.
    pub runs: Vec<Run>,
    /// The number of attempts that arrived at workers.
    pub attempts: u64,
    /// The number of attempts that workers did not run because they repeated a keyed job.
    pub repeats_dropped: u64,
    /// The number of probes that arrived at workers; `None` if the workers don't answer probes.
    pub probes: Option<u64>,
}

impl Report {
    /// Audits the records of a load and summarizes the load. Without records of the workers, the report
    /// covers only what the clients observed.
    pub fn new(
        spec: &LoadSpec,
        load: &LoadRecord,
        workers: Option<&WorkerRecord>,
        outages: &[Outage],
    ) -> Report {
        let (classes, jobs) = (&spec.classes, &load.jobs);
        let verdict = audit_jobs(classes, jobs, workers.map(|workers| workers.runs.as_slice()), outages);
        let per_job = |count: u64| count as f64 / jobs.len().max(1) as f64;
        let class_summaries =
            classes.iter().enumerate().map(|(index, class)| ClassSummary::new(class, index, jobs));
        let tenants = spec.tenants.iter().enumerate();
        let tenant_summaries =
            tenants.map(|(index, tenant)| TenantSummary::new(&tenant.name, index, classes, jobs));
        Report {
            jobs: jobs.len() as u64,
            requests: jobs.iter().map(|job| job.attempts.len() as u64).sum(),
            answers: verdict.answers,
            attempts_per_job: workers.map(|workers| per_job(workers.attempts)),
            repeats_dropped: workers.map(|workers| workers.repeats_dropped),
            affinity: workers.map(|_| verdict.affinity),
            in_time_share: verdict.in_time_share,
            probes_per_job: workers.and_then(|workers| workers.probes).map(per_job),
            classes: class_summaries.collect(),
            tenants: tenant_summaries.collect(),
            lag_ms: milliseconds(load.lag),
            causes: count_causes(jobs),
            violations: verdict.violations.iter().map(ToString::to_string).collect(),
        }
    }

    /// Returns the reason why the clients could not send the load as planned, so that not only the schedulers
    /// determined the latencies; `None` if the clients sent the load as planned.
    pub fn load_generation_error(&self) -> Option<String> {
        let causes = self.causes.iter().filter(|(cause, _)| cause.contains(NO_DESCRIPTOR_ERROR));
        let without_descriptor: u64 = causes.map(|(_, count)| count).sum();
        if without_descriptor > 0 {
            let text =
                "requests found no free file descriptor: raise the limit (ulimit -n) or lower the load";
            return Some(format!("{without_descriptor} {text}"));
        }
        (self.lag_ms > milliseconds(MAX_LAG)).then(|| {
            format!(
                "the load was sent up to {:.0} ms late: this machine cannot sustain the rate, and the \
                 latencies are not the schedulers' alone",
                self.lag_ms
            )
        })
    }
}

/// Returns the numbers of requests whose connection failed, by the error of the connection.
fn count_causes(jobs: &[JobRecord]) -> BTreeMap<String, u64> {
    let mut causes = BTreeMap::new();
    for request in jobs.iter().flat_map(|job| &job.attempts) {
        if let Outcome::Broken(cause) | Outcome::Unreachable(cause) = &request.outcome {
            *causes.entry(cause.clone()).or_default() += 1;
        }
    }
    causes
}
