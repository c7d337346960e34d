//! The scheduler's clock, which gives the time in microseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use vetchbridge_scheduling::Micros;

/// A monotonic clock that is set to Unix time when it starts, so that its readings can be compared with the
/// start times in endpoint lists.
#[derive(Clone, Copy)]
pub struct Clock {
    start_instant: Instant,
    /// Unix time at `start_instant`, in microseconds.
    start_time: Micros,
}

impl Clock {
    /// Starts a clock that shows the current Unix time.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start_instant: Instant::now(), start_time: since_epoch.as_micros() as Micros }
    }

    /// Returns the clock's current time, in microseconds.
    pub fn now(&self) -> Micros {
        self.start_time + self.start_instant.elapsed().as_micros() as Micros
    }

    /// Returns the async runtime's instant at which this clock shows `time`; `time` is in microseconds.
    pub fn instant_at(&self, time: Micros) -> Instant {
        self.start_instant + Duration::from_micros(time.saturating_sub(self.start_time))
    }
}
