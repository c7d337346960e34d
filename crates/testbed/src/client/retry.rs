//! The rules by which clients retry.

use super::record::Outcome;
use crate::arrivals::Idempotency;
use std::time::Duration;

/// The distance between the ids of a job's attempts, modulo 2^64: odd, so that no two of them are equal.
const ATTEMPT_ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// The id of a job's attempt; never the same for two of them.
pub(super) fn attempt_id(id_seed: u64, number: u32) -> u64 {
    id_seed.wrapping_add(u64::from(number).wrapping_mul(ATTEMPT_ID_STEP))
}

/// Whether a client retries after an outcome; `elapsed` is the time from the first attempt to the retry.
///
/// A rejection, or no connection, means that nothing ran. A failure leaves that open: a keyed job is retried
/// only while workers remember its key, a non-idempotent one never. After its deadline a client does not
/// retry.
pub(super) fn may_retry(idempotency: Idempotency, outcome: &Outcome, elapsed: Duration) -> bool {
    match outcome {
        Outcome::Served(_) | Outcome::Unanswered => false,
        Outcome::Rejected | Outcome::Unreachable(_) => true,
        Outcome::Failed(_) | Outcome::Broken(_) => match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed(window) => elapsed < window,
            Idempotency::NonIdempotent => false,
        },
    }
}

/// Whether the client of an attempt waits for the time of `Retry-After`: a share of them, chosen by the id.
pub(super) fn honors_retry_after(id: u64, share: f64) -> bool {
    // The upper 53 bits, as a fraction from 0 to 1.
    ((id >> 11) as f64 / (1u64 << 53) as f64) < share
}
