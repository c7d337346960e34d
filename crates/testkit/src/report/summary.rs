//! The part of a report on the jobs of one class or of one tenant.

use super::milliseconds;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;
use vetchbridge_testbed::arrivals::ClassLoad;
use vetchbridge_testbed::client::JobRecord;

/// The shortest latency that the histogram of latencies resolves, in microseconds.
const MIN_LATENCY_MICROS: u64 = 1;
/// The longest latency that the histogram of latencies resolves, in microseconds: one hour.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// The number of significant decimal digits to which the histogram keeps a latency.
const LATENCY_DIGITS: u8 = 3;

/// The results of the jobs of one class. Latencies are in milliseconds and count from the time at which a job
/// was due to be sent.
#[derive(Debug, Serialize)]
pub struct ClassSummary {
    /// The name of the class.
    #[serde(rename = "class")]
    pub name: String,
    /// The number of jobs of the class.
    pub jobs: u64,
    /// The number of jobs whose last attempt was served.
    pub served: u64,
    /// The number of jobs that were served within their latency objective.
    pub in_time: u64,
    /// The median latency of the served jobs.
    pub p50_ms: f64,
    /// The 90th percentile of the latency of the served jobs.
    pub p90_ms: f64,
    /// The 99th percentile of the latency of the served jobs.
    pub p99_ms: f64,
    /// The maximum latency of the served jobs.
    pub max_ms: f64,
}

impl ClassSummary {
    /// Summarizes those of the load's jobs that belong to the class with this index.
    pub(super) fn new(class: &ClassLoad, index: usize, jobs: &[JobRecord]) -> ClassSummary {
        let jobs: Vec<&JobRecord> = jobs.iter().filter(|job| job.arrival.class == index).collect();
        let mut latencies = new_histogram();
        let mut in_time = 0;
        for job in jobs.iter().filter(|job| job.served()) {
            latencies.saturating_record(job.latency().as_micros() as u64);
            in_time += u64::from(job.in_time(class));
        }
        let quantile =
            |quantile: f64| milliseconds(Duration::from_micros(latencies.value_at_quantile(quantile)));
        ClassSummary {
            name: class.name.clone(),
            jobs: jobs.len() as u64,
            served: latencies.len(),
            in_time,
            p50_ms: quantile(0.5),
            p90_ms: quantile(0.9),
            p99_ms: quantile(0.99),
            max_ms: milliseconds(Duration::from_micros(latencies.max())),
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(MIN_LATENCY_MICROS, MAX_LATENCY_MICROS, LATENCY_DIGITS)
        .unwrap_or_else(|error| unreachable!("these constant bounds are valid: {error}"))
}

/// The results of the jobs of one tenant.
#[derive(Debug, Serialize)]
pub struct TenantSummary {
    /// The name of the tenant.
    #[serde(rename = "tenant")]
    pub name: String,
    /// The number of jobs of the tenant.
    pub jobs: u64,
    /// The number of jobs whose last attempt was served.
    pub served: u64,
    /// The number of jobs that were served within their latency objective.
    pub in_time: u64,
}

impl TenantSummary {
    /// Summarizes those of the load's jobs that belong to the tenant with this index.
    pub(super) fn new(name: &str, index: usize, classes: &[ClassLoad], jobs: &[JobRecord]) -> TenantSummary {
        let jobs: Vec<&JobRecord> = jobs.iter().filter(|job| job.arrival.tenant == Some(index)).collect();
        let served = jobs.iter().filter(|job| job.served()).count();
        let in_time = jobs.iter().filter(|job| job.in_time(&classes[job.arrival.class])).count();
        TenantSummary {
            name: name.to_string(),
            jobs: jobs.len() as u64,
            served: served as u64,
            in_time: in_time as u64,
        }
    }
}
