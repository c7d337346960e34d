//! Hot keys: decaying counts of keys, and over how many workers the traffic of one key is spread.

use crate::ids::Micros;
use std::collections::BTreeMap;

/// Time constant of the decaying counts, microseconds.
const DECAY_TIME: f64 = 20e6;
/// A key may use this fraction of a mean worker's usual load before it is spread over one more.
const MAX_KEY_LOAD: f64 = 0.5;
/// Keys that are counted at most; those with the smallest counts are forgotten first.
const MAX_KEYS: usize = 1024;
/// Requests that are assumed in addition to those counted, so that a few requests prove nothing.
const PRIOR_REQUESTS: f64 = 5.0;
/// The same where nothing reports the load of workers.
const PRIOR_REQUESTS_LOAD_UNKNOWN: f64 = 30.0;

/// A count that decays exponentially.
#[derive(Clone, Copy, Default)]
struct DecayingCount {
    count: f64,
    updated_at: Micros,
}

impl DecayingCount {
    fn at(self, now: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / DECAY_TIME).exp()
    }

    fn increment(&mut self, now: Micros) {
        *self = DecayingCount { count: self.at(now) + 1.0, updated_at: now };
    }
}

/// What the spread of a key depends on beside its count.
pub(crate) struct FleetView {
    pub(crate) ready_workers: usize,
    pub(crate) schedulers: u32,
    /// Reports of load or of starts show how full workers are.
    pub(crate) load_is_known: bool,
}

/// Counts of keys and of all requests.
#[derive(Default)]
pub(crate) struct HotKeys {
    keys: BTreeMap<u64, DecayingCount>,
    requests: DecayingCount,
}

impl HotKeys {
    /// Counts a request with this key; returns over how many workers the key's traffic is spread.
    pub(crate) fn record(&mut self, now: Micros, key_hash: u64, fleet: &FleetView) -> usize {
        self.requests.increment(now);
        let key = self.keys.entry(key_hash).or_default();
        key.increment(now);
        let count = key.count;
        if self.keys.len() > MAX_KEYS {
            self.keys.retain(|_, key| key.at(now) >= 1.0);
        }
        self.spread(count, fleet)
    }

    fn spread(&self, count: f64, fleet: &FleetView) -> usize {
        // Where the load is unknown, every scheduler may have seen as much of the key as this one.
        let (schedulers, prior_requests) = if fleet.load_is_known {
            (1.0, PRIOR_REQUESTS)
        } else {
            (f64::from(fleet.schedulers), PRIOR_REQUESTS_LOAD_UNKNOWN)
        };
        let key_fraction = (count - 1.0 / schedulers).max(0.0) / (self.requests.count + prior_requests);
        let workers = key_fraction * fleet.ready_workers as f64 / MAX_KEY_LOAD;
        (workers.ceil() as usize).clamp(1, (fleet.ready_workers / 2).max(1))
    }
}

#[cfg(test)]
mod tests;
