//! The rules by which clients retry jobs.

use super::record::Outcome;
use crate::arrivals::Idempotency;
use std::time::Duration;

/// The difference between the request ids of a job's consecutive attempts, modulo 2^64. The number is odd so
/// that no two attempts of a job have equal ids.
const ATTEMPT_ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Returns the request id of a job's attempt with this number; two attempts of a job never have the same id.
pub(super) fn attempt_id(id_seed: u64, number: u32) -> u64 {
    id_seed.wrapping_add(u64::from(number).wrapping_mul(ATTEMPT_ID_STEP))
}

/// Whether a client may retry a job after an attempt with this outcome; `elapsed` is the time from the job's
/// first attempt to the retry.
///
/// After a rejection or a failure to connect, the job has not run, so a retry is always allowed. After a
/// failure, the job may have run: a keyed job may be retried only while workers remember its key, a
/// non-idempotent job never. `Unanswered` means that the client's deadline has passed, so there is no retry.
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

/// Whether the client waits for the time in `Retry-After` after the attempt with this request id was
/// rejected. The ids spread these attempts evenly, so that about the fraction `share` of the attempts are
/// selected.
pub(super) fn honors_retry_after(id: u64, share: f64) -> bool {
    // The upper 53 bits of the id, as a fraction between 0 and 1.
    ((id >> 11) as f64 / (1u64 << 53) as f64) < share
}
