//! The scheduler's only source of randomness: a generator whose sequence depends on its seed alone and is the
//! same on every machine.

use crate::hash::mix;

/// Amount added to the generator's state for each random number: 2^64 divided by the golden ratio, as in
/// splitmix64.
const STATE_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of random bits in a random fraction, equal to the precision of an `f64`.
const FRACTION_BITS: u32 = 53;

/// A seeded generator of random fractions.
pub(crate) struct RandomSource {
    state: u64,
}

impl RandomSource {
    pub(crate) fn new(seed: u64) -> RandomSource {
        RandomSource { state: seed }
    }

    /// Returns the next random fraction in `[0, 1)`.
    pub(crate) fn next_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_add(STATE_INCREMENT);
        (mix(self.state) >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
    }
}

#[cfg(test)]
mod tests;
