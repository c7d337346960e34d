//! Counts and logs violations of the daemon's invariants, which are conditions that must always hold.
//!
//! The code that could violate an invariant checks the invariant itself. Each violation is logged with the
//! request and the reason, and the daemon continues. The number of violations is logged when the process
//! ends.

use crate::logs::HexRequestId;
use std::sync::atomic::{AtomicU64, Ordering};
use tracing::error;
use vetchbridge_scheduling::RequestId;

/// A condition that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// An attempt at a worker starts only if no other attempt of the same request is in flight at that
    /// worker.
    OneAttemptPerWorker,
    /// A non-idempotent job is not sent again after an attempt that may have run.
    NonIdempotentJobSentOnce,
    /// The daemon does not close a client connection on which a response is outstanding.
    UnansweredConnectionStaysOpen,
    /// The decision module gets the end of each attempt that it has commanded, even if the attempt is not sent.
    CommandedAttemptIsReported,
    /// An accepted request gets its final answer as long as its client waits, even if the process ends.
    AcceptedRequestIsAnswered,
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Counts and logs a violation of an invariant.
pub fn record_violation(invariant: Invariant, request: Option<RequestId>, reason: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    let request = request.map(|request| HexRequestId(request).to_string()).unwrap_or_default();
    error!(?invariant, request, reason, "invariant.violated");
}

/// Returns the number of violations of invariants since the process started.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
