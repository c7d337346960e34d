//! The scheduler's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use vetchbridge_scheduling::Micros;

/// Unix time at the start and monotonic from there on, so that the start times in endpoint lists need no translation.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    origin: Micros,
}

impl Clock {
    /// A clock that reads Unix time now.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), origin: since_epoch.as_micros() as Micros }
    }

    /// The clock's reading.
    pub fn now(&self) -> Micros {
        self.origin + self.started.elapsed().as_micros() as Micros
    }

    /// The runtime's instant at which the clock reads `time`.
    pub fn instant(&self, time: Micros) -> Instant {
        self.started + Duration::from_micros(time.saturating_sub(self.origin))
    }
}
