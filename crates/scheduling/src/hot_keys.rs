//! Hot keys: counts the recent requests of each key, and determines over how many workers the requests with
//! one key are spread.

use crate::ids::Micros;
use std::collections::BTreeMap;

/// Time constant of the exponential decay of request counts, in microseconds.
const DECAY_TIME: f64 = 20e6;
/// Largest load that the requests with one key may put on a worker, as a fraction of the mean load of a
/// worker. If the load is larger, the key is spread over one more worker.
const MAX_KEY_LOAD: f64 = 0.5;
/// Maximum number of keys with a count. If there are more keys, the keys whose counts have decayed below 1
/// are removed.
const MAX_KEYS: usize = 1024;
/// Number of requests that is added to the count of all requests, so that a key isn't spread after only a few
/// requests.
const PRIOR_REQUESTS: f64 = 5.0;
/// Number of requests that is added instead of [`PRIOR_REQUESTS`] if the load of workers is unknown.
const PRIOR_REQUESTS_LOAD_UNKNOWN: f64 = 30.0;

/// A count of requests that decays exponentially with time.
#[derive(Clone, Copy, Default)]
struct DecayingCount {
    count: f64,
    updated_at: Micros,
}

impl DecayingCount {
    /// Returns the decayed value of this count at the time `now`.
    fn decayed(self, now: Micros) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / DECAY_TIME).exp()
    }

    fn increment(&mut self, now: Micros) {
        *self = DecayingCount { count: self.decayed(now) + 1.0, updated_at: now };
    }
}

/// The facts about workers and schedulers that determine over how many workers a key is spread.
pub(crate) struct FleetView {
    pub(crate) ready_workers: usize,
    pub(crate) schedulers: u32,
    /// Whether the scheduler knows the workers' load, from the workers' coordinators or from reports of job
    /// starts.
    pub(crate) load_is_known: bool,
}

/// The decaying counts of the requests with each key and of all requests.
#[derive(Default)]
pub(crate) struct HotKeys {
    keys: BTreeMap<u64, DecayingCount>,
    requests: DecayingCount,
}

impl HotKeys {
    /// Counts a request with this key. Returns the number of workers over which the requests with this key
    /// are spread.
    pub(crate) fn record(&mut self, now: Micros, key_hash: u64, fleet: &FleetView) -> usize {
        self.requests.increment(now);
        let key = self.keys.entry(key_hash).or_default();
        key.increment(now);
        let count = key.count;
        if self.keys.len() > MAX_KEYS {
            self.keys.retain(|_, key| key.decayed(now) >= 1.0);
        }
        self.spread(count, fleet)
    }

    fn spread(&self, count: f64, fleet: &FleetView) -> usize {
        // A single request doesn't make a key hot, so one request is subtracted from the key's count. If the
        // load of workers is unknown, every scheduler may have seen the key as often as this scheduler has.
        // One request is then subtracted from the count of all schedulers together.
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
