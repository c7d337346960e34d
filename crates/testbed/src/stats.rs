//! What a worker tells of its load: which fields, how often looked up anew, how late.
//!
//! Pure: times are handed in, since the worker began. It must never know how a report travels.

use serde_json::{json, Map, Value};
use std::collections::VecDeque;
use std::time::Duration;

/// The past beyond this is forgotten; no report may be later.
const KEPT: Duration = Duration::from_secs(60);

/// A worker's load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it holds, waiting or running.
    pub inflight: usize,
    /// Requests that wait.
    pub queue: usize,
    /// Slots that are free.
    pub free: usize,
    /// All of its slots.
    pub slots: usize,
}

/// A field of a load report, by the name that it has on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    /// `inflight`: requests held.
    Inflight,
    /// `queue`: requests waiting.
    Queue,
    /// `x0`: free slots.
    X0,
    /// `util`: the share of slots that is taken.
    Util,
}

impl Field {
    fn told(self, load: &Load) -> (&'static str, Value) {
        match self {
            Field::Inflight => ("inflight", json!(load.inflight)),
            Field::Queue => ("queue", json!(load.queue)),
            Field::X0 => ("x0", json!(load.free)),
            Field::Util => {
                let taken = 1.0 - load.free as f64 / load.slots.max(1) as f64;
                ("util", json!((taken * 100.0).round() / 100.0))
            }
        }
    }
}

/// How a worker tells of its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatsSpec {
    /// The fields, in their order; none where there are no reports.
    pub fields: Vec<Field>,
    /// A report is looked up anew so often; zero for always.
    pub every: Duration,
    /// It tells what was true so long ago.
    pub late: Duration,
    /// What ends an attempt carries a report too.
    pub in_answers: bool,
}

impl StatsSpec {
    /// As `TEXT inflight=7, queue=2`, the form of a header.
    pub fn text(&self, load: &Load) -> String {
        let pairs = self.fields.iter().map(|field| field.told(load));
        let pairs: Vec<String> = pairs.map(|(name, value)| format!("{name}={value}")).collect();
        format!("TEXT {}", pairs.join(", "))
    }

    /// As an object of JSON.
    pub fn json(&self, load: &Load) -> Value {
        let pairs = self.fields.iter().map(|field| field.told(load));
        Value::Object(pairs.map(|(name, value)| (name.to_string(), value)).collect::<Map<_, _>>())
    }
}

/// What the load was when, as far back as a report may look.
pub struct Ledger {
    every: Duration,
    late: Duration,
    idle: Load,
    past: VecDeque<(Duration, Load)>,
}

impl Ledger {
    /// A worker without any work.
    pub fn new(spec: Option<&StatsSpec>, slots: usize) -> Ledger {
        let (every, late) = spec.map_or_else(Default::default, |spec| (spec.every, spec.late));
        let idle = Load { free: slots, slots, ..Load::default() };
        Ledger { every, late, idle, past: VecDeque::new() }
    }

    /// Tells so late from now on.
    pub fn late(&mut self, late: Duration) {
        self.late = late;
    }

    /// Notes a change.
    pub fn note(&mut self, at: Duration, load: Load) {
        self.past.push_back((at, load));
        while self.past.get(1).is_some_and(|(next, _)| *next + KEPT < at) {
            self.past.pop_front();
        }
    }

    /// What a report of this moment says.
    pub fn told(&self, now: Duration) -> Load {
        let Some(then) = now.checked_sub(self.late) else { return self.idle };
        let every = self.every.as_nanos();
        let since = then.as_nanos().checked_rem(every).unwrap_or(0);
        let looked = then.saturating_sub(Duration::from_nanos(since as u64));
        let known = self.past.iter().rev().find(|(at, _)| *at <= looked);
        known.map_or(self.idle, |(_, load)| *load)
    }
}

#[cfg(test)]
mod tests;
