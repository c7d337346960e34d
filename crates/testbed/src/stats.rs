//! The load reports of a stand-in worker: their fields, the interval at which the reported load is refreshed,
//! and its age.
//!
//! The code of this module is pure: callers state the time of each call, as a duration from a common start.

use serde_json::{json, Map, Value};
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a worker's past loads are kept. The age of a reported load must not exceed this time.
const HISTORY: Duration = Duration::from_secs(60);

/// The load of a worker at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of the worker's jobs that wait for slots or run.
    pub inflight: usize,
    /// Number of the worker's jobs that wait for slots.
    pub queue: usize,
    /// Number of the worker's free slots.
    pub free: usize,
    /// Number of all slots of the worker.
    pub slots: usize,
}

/// A field of a load report; each variant's description begins with the field's name in reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// `inflight`: the number of jobs that wait for slots or run.
    Inflight,
    /// `queue`: the number of jobs that wait for slots.
    Queue,
    /// `x0`: the number of free slots.
    X0,
    /// `util`: the fraction of slots that are in use, rounded to two decimals.
    Util,
}

impl Field {
    fn name(self) -> &'static str {
        match self {
            Field::Inflight => "inflight",
            Field::Queue => "queue",
            Field::X0 => "x0",
            Field::Util => "util",
        }
    }

    fn value(self, load: &Load) -> Value {
        match self {
            Field::Inflight => json!(load.inflight),
            Field::Queue => json!(load.queue),
            Field::X0 => json!(load.free),
            Field::Util => {
                let utilization = 1.0 - load.free as f64 / load.slots.max(1) as f64;
                json!((utilization * 100.0).round() / 100.0)
            }
        }
    }
}

/// Configuration of a worker's load reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatsSpec {
    /// The fields of a load report, in the order in which the report lists them.
    pub fields: Vec<Field>,
    /// Interval at which the reported load is refreshed; with zero, each report contains the worker's load at
    /// the time that `delay` defines.
    pub refresh_interval: Duration,
    /// Age of the reported load, in addition to the time since its last refresh.
    pub delay: Duration,
    /// Whether responses and callbacks that end an attempt carry a load report.
    pub in_answers: bool,
}

impl StatsSpec {
    /// Returns a load report in the form of a header value, such as `TEXT inflight=7, queue=2`.
    pub fn text(&self, load: &Load) -> String {
        let pairs = self.fields.iter().map(|field| format!("{}={}", field.name(), field.value(load)));
        format!("TEXT {}", pairs.collect::<Vec<_>>().join(", "))
    }

    /// Returns a load report as a JSON object.
    pub fn json(&self, load: &Load) -> Value {
        let pairs = self.fields.iter().map(|field| (field.name().to_string(), field.value(load)));
        Value::Object(pairs.collect::<Map<_, _>>())
    }
}

/// The load of a worker from the time `at` until the next sample.
#[derive(Clone, Copy)]
struct Sample {
    at: Duration,
    load: Load,
}

/// The past loads of a worker, of which a load report may still contain one.
pub struct LoadHistory {
    refresh_interval: Duration,
    delay: Duration,
    /// The load of the worker without jobs, which applies before the first sample.
    idle: Load,
    samples: VecDeque<Sample>,
}

impl LoadHistory {
    /// Creates the history of a worker without jobs; `spec` is the configuration of its load reports, if any.
    pub fn new(spec: Option<&StatsSpec>, slots: usize) -> LoadHistory {
        LoadHistory {
            refresh_interval: spec.map_or(Duration::ZERO, |spec| spec.refresh_interval),
            delay: spec.map_or(Duration::ZERO, |spec| spec.delay),
            idle: Load { free: slots, slots, ..Load::default() },
            samples: VecDeque::new(),
        }
    }

    /// Sets the age of the load that later reports contain, in addition to the time since the last refresh.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }

    /// Records the load that applies from the time `at` on.
    pub fn record(&mut self, at: Duration, load: Load) {
        self.samples.push_back(Sample { at, load });
        while self.samples.get(1).is_some_and(|next| next.at + HISTORY < at) {
            self.samples.pop_front();
        }
    }

    /// Returns the load that a report made at the time `now` contains.
    pub fn reported(&self, now: Duration) -> Load {
        let Some(delayed) = now.checked_sub(self.delay) else { return self.idle };
        let since_refresh = delayed.as_nanos().checked_rem(self.refresh_interval.as_nanos()).unwrap_or(0);
        let refreshed_at = delayed.saturating_sub(Duration::from_nanos(since_refresh as u64));
        let sample = self.samples.iter().rev().find(|sample| sample.at <= refreshed_at);
        sample.map_or(self.idle, |sample| sample.load)
    }
}

#[cfg(test)]
mod tests;
