//! The result of a load, as a table for people and as JSON for programs.

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

/// The longest delay with which the load may be sent. Beyond it, the load generator rather than the
/// schedulers delays clients.
pub const MAX_LAG: Duration = Duration::from_millis(100);
/// The text in the operating system's error for "too many open files" (EMFILE).
const NO_DESCRIPTOR_ERROR: &str = "os error 24";

/// The result of a load.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The number of jobs.
    pub jobs: u64,
    /// The number of requests for these jobs, retries included.
    #[serde(rename = "tries")]
    pub requests: u64,
    /// The number of requests by how they ended.
    pub answers: Answers,
    /// The number of attempts that reached workers, per job; absent if the workers are not the kit's own.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts_per_job: Option<f64>,
    /// The number of repeats of keyed jobs that workers dropped.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeats_dropped: Option<u64>,
    /// The share of an object's jobs that ran at the worker that ran most of them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<f64>,
    /// The share of the requested priority weight that was served in time.
    #[serde(rename = "service")]
    pub in_time_share: f64,
    /// The number of probes that workers received, per job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probes_per_job: Option<f64>,
    /// The results of each class.
    pub classes: Vec<ClassSummary>,
    /// The results of each tenant.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantSummary>,
    /// The longest delay with which the load was sent, in milliseconds.
    pub lag_ms: f64,
    /// The number of requests without an answer, by the error of their connections.
    pub causes: BTreeMap<String, u64>,
    /// The violations that the audit found; if there are none, each job had exactly one final answer.
    pub violations: Vec<String>,
}

/// Returns a duration in milliseconds, rounded to two decimals.
fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e5).round() / 1e2
}

/// The records of a deployment's workers.
pub struct WorkerRecord {
    /// The runs of jobs.
    pub runs: Vec<Run>,
    /// The number of attempts that arrived.
    pub attempts: u64,
    /// The number of repeats that workers dropped.
    pub repeats_dropped: u64,
    /// The number of probes that arrived; `None` if the workers don't answer probes.
    pub probes: Option<u64>,
}

impl Report {
    /// Summarizes a load and audits it. Without records of the workers, the report covers only what the
    /// clients observed.
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

    /// Returns why the load could not be generated as planned, in which case the latencies are not the
    /// schedulers' alone; `None` if it could.
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

/// Counts the requests whose connection failed, by the connection's error.
fn count_causes(jobs: &[JobRecord]) -> BTreeMap<String, u64> {
    let mut causes = BTreeMap::new();
    for request in jobs.iter().flat_map(|job| &job.attempts) {
        if let Outcome::Broken(cause) | Outcome::Unreachable(cause) = &request.outcome {
            *causes.entry(cause.clone()).or_default() += 1;
        }
    }
    causes
}
