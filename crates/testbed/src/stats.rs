//! A worker's load reports: their fields, how often they are refreshed and how old they are.
//!
//! Pure: times are passed in, counted from the worker's start.

use serde_json::{json, Map, Value};
use std::collections::VecDeque;
use std::time::Duration;

/// How long past loads are remembered; no report may be older.
const HISTORY: Duration = Duration::from_secs(60);

/// A worker's load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that wait or run.
    pub inflight: usize,
    /// Requests that wait.
    pub queue: usize,
    /// Slots that are free.
    pub free: usize,
    /// All of its slots.
    pub slots: usize,
}

/// A field of a load report, by its name on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// `inflight`: requests that wait or run.
    Inflight,
    /// `queue`: requests that wait.
    Queue,
    /// `x0`: free slots.
    X0,
    /// `util`: the fraction of slots that is taken.
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
                let taken = 1.0 - load.free as f64 / load.slots.max(1) as f64;
                json!((taken * 100.0).round() / 100.0)
            }
        }
    }
}

/// Configuration of a worker's load reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatsSpec {
    /// The fields, in their order.
    pub fields: Vec<Field>,
    /// Interval at which the reported load is refreshed; zero for at each report.
    pub refresh_interval: Duration,
    /// Age of the load that is reported.
    pub delay: Duration,
    /// Whether answers and callbacks that end an attempt carry a report.
    pub in_answers: bool,
}

impl StatsSpec {
    /// A report as a header's value: `TEXT inflight=7, queue=2`.
    pub fn text(&self, load: &Load) -> String {
        let pairs = self.fields.iter().map(|field| format!("{}={}", field.name(), field.value(load)));
        format!("TEXT {}", pairs.collect::<Vec<_>>().join(", "))
    }

    /// A report as a JSON object.
    pub fn json(&self, load: &Load) -> Value {
        let pairs = self.fields.iter().map(|field| (field.name().to_string(), field.value(load)));
        Value::Object(pairs.collect::<Map<_, _>>())
    }
}

/// The load from a moment on, until the next sample.
#[derive(Clone, Copy)]
struct Sample {
    at: Duration,
    load: Load,
}

/// The past loads of a worker, as far back as a report may reach.
pub struct LoadHistory {
    refresh_interval: Duration,
    delay: Duration,
    /// The load before the first sample.
    idle: Load,
    samples: VecDeque<Sample>,
}

impl LoadHistory {
    /// The history of a worker without any work.
    pub fn new(spec: Option<&StatsSpec>, slots: usize) -> LoadHistory {
        LoadHistory {
            refresh_interval: spec.map_or(Duration::ZERO, |spec| spec.refresh_interval),
            delay: spec.map_or(Duration::ZERO, |spec| spec.delay),
            idle: Load { free: slots, slots, ..Load::default() },
            samples: VecDeque::new(),
        }
    }

    /// Sets the age of the load that is reported from now on.
    pub fn set_delay(&mut self, delay: Duration) {
        self.delay = delay;
    }

    /// Records the load from `at` on.
    pub fn record(&mut self, at: Duration, load: Load) {
        self.samples.push_back(Sample { at, load });
        while self.samples.get(1).is_some_and(|next| next.at + HISTORY < at) {
            self.samples.pop_front();
        }
    }

    /// The load that a report has at `now`.
    pub fn reported(&self, now: Duration) -> Load {
        let Some(then) = now.checked_sub(self.delay) else { return self.idle };
        let since_refresh = then.as_nanos().checked_rem(self.refresh_interval.as_nanos()).unwrap_or(0);
        let refreshed_at = then.saturating_sub(Duration::from_nanos(since_refresh as u64));
        let sample = self.samples.iter().rev().find(|sample| sample.at <= refreshed_at);
        sample.map_or(self.idle, |sample| sample.load)
    }
}

#[cfg(test)]
mod tests;
