//! What a load came to, as a table for people and as JSON for programs. Owns the figures' names; it must never
//! measure anything.

use comfy_table::{presets, Table};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;
use vetchbridge_testbed::account::{judge, Answers, Outage};
use vetchbridge_testbed::arrivals::{ClassLoad, LoadSpec};
use vetchbridge_testbed::client::{JobRecord, LoadRecord, Outcome};
use vetchbridge_testbed::runs::Run;

/// A load that ran so late was not what was asked for: the machine, not the schedulers, made its clients wait.
pub const LAG_LIMIT: Duration = Duration::from_millis(100);

/// One class's figures; latencies in milliseconds, from when a job should have been sent.
#[derive(Debug, Serialize)]
pub struct ClassFigures {
    /// Its name.
    pub class: String,
    /// Jobs.
    pub jobs: u64,
    /// Jobs served in the end.
    pub served: u64,
    /// Of those, in time.
    pub in_time: u64,
    /// Quantiles of the time until they were served.
    pub p50_ms: f64,
    /// The 90th of a hundred.
    pub p90_ms: f64,
    /// The 99th of a hundred.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// One tenant's figures.
#[derive(Debug, Serialize)]
pub struct TenantFigures {
    /// Its name.
    pub tenant: String,
    /// Jobs.
    pub jobs: u64,
    /// Jobs served in the end.
    pub served: u64,
    /// Of those, in time.
    pub in_time: u64,
}

/// See the head of this file.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Jobs that clients had.
    pub jobs: u64,
    /// Tries that they made of them.
    pub tries: u64,
    /// Answers to tries.
    pub answers: Answers,
    /// Attempts that reached workers, for each job; absent where the workers are not ours.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts_per_job: Option<f64>,
    /// Repeats of keyed jobs that workers dropped.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeats_dropped: Option<u64>,
    /// The share of an object's jobs at the worker that ran most of them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub affinity: Option<f64>,
    /// Worth answered in time over worth asked for.
    pub service: f64,
    /// Probes that workers had, for each job.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probes_per_job: Option<f64>,
    /// Figures of each class.
    pub classes: Vec<ClassFigures>,
    /// Figures of each tenant.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantFigures>,
    /// The longest time by which the load itself ran late.
    pub lag_ms: f64,
    /// Tries without an answer by what their connections said.
    pub causes: BTreeMap<String, u64>,
    /// Broken rules; each job had exactly one final answer if there is none.
    pub violations: Vec<String>,
}

fn ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e5).round() / 1e2
}

/// What the workers of a stage saw.
pub struct WorkerSide {
    /// What they ran.
    pub runs: Vec<Run>,
    /// Attempts that arrived, and repeats dropped.
    pub counts: (u64, u64),
    /// Probes that arrived; absent where workers answer none.
    pub probes: Option<u64>,
}

impl Report {
    /// Reckons up a load; without workers of ours, from the clients' side alone.
    pub fn of(
        spec: &LoadSpec,
        record: &LoadRecord,
        workers: Option<&WorkerSide>,
        outages: &[Outage],
    ) -> Report {
        let classes = &spec.classes;
        let verdict = judge(classes, &record.jobs, workers.map(|workers| workers.runs.as_slice()), outages);
        let jobs = record.jobs.len() as u64;
        let tries = record.jobs.iter().map(|job| job.tries.len() as u64).sum();
        let mut causes = BTreeMap::new();
        for one in record.jobs.iter().flat_map(|job| &job.tries) {
            if let Outcome::Broken(cause) | Outcome::Unreachable(cause) = &one.outcome {
                *causes.entry(cause.clone()).or_default() += 1;
            }
        }
        Report {
            jobs,
            tries,
            answers: verdict.answers,
            attempts_per_job: workers.map(|workers| workers.counts.0 as f64 / jobs.max(1) as f64),
            repeats_dropped: workers.map(|workers| workers.counts.1),
            affinity: workers.map(|_| verdict.affinity),
            service: verdict.service,
            probes_per_job: workers
                .and_then(|workers| workers.probes)
                .map(|probes| probes as f64 / jobs.max(1) as f64),
            classes: classes.iter().enumerate().map(|(at, class)| figures(class, at, &record.jobs)).collect(),
            tenants: spec
                .tenants
                .iter()
                .enumerate()
                .map(|(at, one)| tenant(&one.name, at, classes, &record.jobs))
                .collect(),
            lag_ms: ms(record.lag),
            causes,
            violations: verdict.violations.iter().map(ToString::to_string).collect(),
        }
    }

    /// Whether the machine could hold the load; if not, why its latencies say little.
    pub fn machine_fault(&self) -> Option<String> {
        let without: u64 =
            self.causes.iter().filter(|(cause, _)| cause.contains("os error 24")).map(|(_, n)| n).sum();
        if without > 0 {
            let text = "tries found no descriptor: raise the limit (ulimit -n) or lower the load";
            return Some(format!("{without} {text}"));
        }
        (self.lag_ms > ms(LAG_LIMIT)).then(|| {
            format!(
                "the load ran up to {:.0} ms late: this machine cannot hold the rate, and the latencies are not the \
                 schedulers' alone",
                self.lag_ms
            )
        })
    }

    /// As tables.
    pub fn text(&self) -> String {
        let mut all = Table::new();
        all.load_style(presets::UTF8_BORDERS_ONLY);
        let mut row = |name: &str, value: String| {
            all.add_row(vec![name.to_string(), value]);
        };
        let Answers { served, refused, failed, lost, unreachable, none } = self.answers;
        row("jobs", self.jobs.to_string());
        row("tries", self.tries.to_string());
        row("answers", format!("{served} served, {refused} refused, {failed} failed"));
        row("without an answer", format!("{lost} lost, {unreachable} unreachable, {none} timed out"));
        let verdict = match self.violations.len() {
            0 => "held: one final answer each".to_string(),
            n => format!("BROKEN, {n} times"),
        };
        row("exactly once", verdict);
        row("service", format!("{:.3} of the worth asked for, in time", self.service));
        if let Some(attempts) = self.attempts_per_job {
            row("attempts a job", format!("{attempts:.3}"));
        }
        if let Some(dropped) = self.repeats_dropped {
            row("keyed repeats dropped", dropped.to_string());
        }
        if let Some(affinity) = self.affinity {
            row("affinity", format!("{affinity:.3} of an object's jobs at its first worker"));
        }
        if let Some(probes) = self.probes_per_job {
            row("probes a job", format!("{probes:.3}"));
        }
        row("load ran late by", format!("{:.1} ms at most", self.lag_ms));
        let mut classes = Table::new();
        classes.load_style(presets::UTF8_BORDERS_ONLY);
        classes
            .set_header(vec!["class", "jobs", "served", "in time", "p50 ms", "p90 ms", "p99 ms", "max ms"]);
        for class in &self.classes {
            let counts = [class.jobs, class.served, class.in_time].map(|count| count.to_string());
            let times =
                [class.p50_ms, class.p90_ms, class.p99_ms, class.max_ms].map(|time| format!("{time:.1}"));
            let cells = [vec![class.class.clone()], counts.to_vec(), times.to_vec()].concat();
            classes.add_row(cells);
        }
        let mut text = format!("{all}\n{classes}\n");
        if !self.tenants.is_empty() {
            let mut tenants = Table::new();
            tenants.load_style(presets::UTF8_BORDERS_ONLY);
            tenants.set_header(vec!["tenant", "jobs", "served", "in time"]);
            for one in &self.tenants {
                let counts = [one.jobs, one.served, one.in_time].map(|count| count.to_string());
                tenants.add_row([vec![one.tenant.clone()], counts.to_vec()].concat());
            }
            text.push_str(&format!("{tenants}\n"));
        }
        for (cause, times) in &self.causes {
            text.push_str(&format!("{times} times: {cause}\n"));
        }
        for violation in self.violations.iter().take(10) {
            text.push_str(&format!("broken: {violation}\n"));
        }
        if self.violations.len() > 10 {
            text.push_str(&format!("and {} more\n", self.violations.len() - 10));
        }
        text
    }
}

fn figures(class: &ClassLoad, at: usize, jobs: &[JobRecord]) -> ClassFigures {
    let jobs: Vec<&JobRecord> = jobs.iter().filter(|job| job.arrival.class == at).collect();
    // Microseconds up to an hour, to three digits; the bounds are constants that hdrhistogram takes.
    let mut times: Histogram<u64> =
        Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|error| unreachable!("{error}"));
    let mut in_time = 0;
    for job in jobs.iter().filter(|job| job.served()) {
        times.saturating_record(job.latency().as_micros() as u64);
        in_time += u64::from(job.in_time(class));
    }
    let at = |quantile: f64| ms(Duration::from_micros(times.value_at_quantile(quantile)));
    ClassFigures {
        class: class.name.clone(),
        jobs: jobs.len() as u64,
        served: times.len(),
        in_time,
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        max_ms: ms(Duration::from_micros(times.max())),
    }
}

fn tenant(name: &str, at: usize, classes: &[ClassLoad], jobs: &[JobRecord]) -> TenantFigures {
    let jobs: Vec<&JobRecord> = jobs.iter().filter(|job| job.arrival.tenant == Some(at)).collect();
    let count = |counts: &dyn Fn(&JobRecord) -> bool| jobs.iter().filter(|job| counts(job)).count() as u64;
    TenantFigures {
        tenant: name.to_string(),
        jobs: jobs.len() as u64,
        served: count(&JobRecord::served),
        in_time: count(&|job| job.in_time(&classes[job.arrival.class])),
    }
}
