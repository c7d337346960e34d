//! The result of a load, as a table for people and as JSON for programs. Nothing is measured here.

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

/// The longest time by which a load may run late. Beyond it the machine, not the schedulers, makes clients wait.
pub const MAX_LAG: Duration = Duration::from_millis(100);
/// How the operating system's error for "too many open files" (EMFILE) is printed.
const NO_DESCRIPTOR_ERROR: &str = "os error 24";

/// The result of a load.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Jobs that clients had.
    pub jobs: u64,
    /// Requests that they sent for these, retries included.
    #[serde(rename = "tries")]
    pub requests: u64,
    /// Answers to the requests.
    pub answers: Answers,
    /// Attempts that reached workers, for each job; absent where the workers are not the kit's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts_per_job: Option<f64>,
    /// Repeats of keyed jobs that workers dropped.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeats_dropped: Option<u64>,
    /// The share of an object's jobs at the worker that ran most of them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<f64>,
    /// The share of the requested priority weight that was served in time.
    pub service: f64,
    /// Probes that workers received, for each job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probes_per_job: Option<f64>,
    /// Figures of each class.
    pub classes: Vec<ClassSummary>,
    /// Figures of each tenant.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantSummary>,
    /// The longest time by which the load itself ran late.
    pub lag_ms: f64,
    /// Requests without an answer, by the error of their connections.
    pub causes: BTreeMap<String, u64>,
    /// Violated rules; if there is none, each job had exactly one final answer.
    pub violations: Vec<String>,
}

/// To two decimals.
fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e5).round() / 1e2
}

/// What the workers of a deployment recorded.
pub struct WorkerRecord {
    /// What they ran.
    pub runs: Vec<Run>,
    /// Attempts that arrived.
    pub attempts: u64,
    /// Repeats that they dropped.
    pub repeats_dropped: u64,
    /// Probes that arrived; absent where workers answer none.
    pub probes: Option<u64>,
}

impl Report {
    /// Summarizes and judges a load; without a record of the workers, from the clients' side alone.
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
            service: verdict.in_time_share,
            probes_per_job: workers.and_then(|workers| workers.probes).map(per_job),
            classes: class_summaries.collect(),
            tenants: tenant_summaries.collect(),
            lag_ms: milliseconds(load.lag),
            causes: count_causes(jobs),
            violations: verdict.violations.iter().map(ToString::to_string).collect(),
        }
    }

    /// Why the machine could not generate the load as planned, so that its latencies mean little; `None` if it could.
    pub fn machine_fault(&self) -> Option<String> {
        let causes = self.causes.iter().filter(|(cause, _)| cause.contains(NO_DESCRIPTOR_ERROR));
        let without_descriptor: u64 = causes.map(|(_, count)| count).sum();
        if without_descriptor > 0 {
            let text = "tries found no descriptor: raise the limit (ulimit -n) or lower the load";
            return Some(format!("{without_descriptor} {text}"));
        }
        (self.lag_ms > milliseconds(MAX_LAG)).then(|| {
            format!(
                "the load ran up to {:.0} ms late: this machine cannot sustain the rate, and the latencies are not the \
                 schedulers' alone",
                self.lag_ms
            )
        })
    }
}

/// Requests whose connection failed, by its error.
fn count_causes(jobs: &[JobRecord]) -> BTreeMap<String, u64> {
    let mut causes = BTreeMap::new();
    for request in jobs.iter().flat_map(|job| &job.attempts) {
        if let Outcome::Broken(cause) | Outcome::Unreachable(cause) = &request.outcome {
            *causes.entry(cause.clone()).or_default() += 1;
        }
    }
    causes
}
