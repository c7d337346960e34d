//! The scheduler's only source of randomness: a seeded generator with the same sequence on every machine.

use crate::hash::mix;

/// Increment of the generator's state: 2^64 divided by the golden ratio, as in splitmix64.
const STATE_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of random bits in a fraction: the precision of an `f64`.
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
