//! Chooses when a track of a soak test injects its next fault, and of which kind the fault is.

use super::super::fault::FaultKind;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// The longest random pause before a track's next fault, in seconds.
const MAX_PAUSE_SECONDS: f64 = 0.8;

/// The sequence of a track's faults: cycles through the track's kinds of faults, shuffled anew for each
/// cycle, and draws the parameters of each fault.
pub(super) struct FaultSchedule {
    pub(super) random: Pcg64,
    kinds: Vec<FaultKind>,
    next_index: usize,
    until: Instant,
}

impl FaultSchedule {
    pub(super) fn new(seed: u64, track: u64, kinds: &[FaultKind], until: Instant) -> FaultSchedule {
        let mut random = Pcg64::seed_from_u64(seed ^ (track << 48));
        let mut kinds = kinds.to_vec();
        kinds.shuffle(&mut random);
        FaultSchedule { random, kinds, next_index: 0, until }
    }

    /// Waits for a random pause and returns the kind of the track's next fault; `None` once the load has
    /// ended.
    pub(super) async fn next(&mut self) -> Option<FaultKind> {
        let pause = Duration::from_secs_f64(self.random.random_range(0.0..MAX_PAUSE_SECONDS));
        sleep(pause).await;
        if Instant::now() >= self.until {
            return None;
        }
        if self.next_index == self.kinds.len() {
            self.kinds.shuffle(&mut self.random);
            self.next_index = 0;
        }
        self.next_index += 1;
        Some(self.kinds[self.next_index - 1])
    }

    /// Returns a random element of a slice that is not empty.
    pub(super) fn choose<'a, T>(&mut self, items: &'a [T]) -> &'a T {
        &items[self.random.random_range(0..items.len())]
    }

    /// Returns a random duration between two durations, which are given in seconds.
    pub(super) fn duration(&mut self, min_seconds: f64, max_seconds: f64) -> Duration {
        Duration::from_secs_f64(self.random.random_range(min_seconds..max_seconds))
    }
}
