//! Invariants of this process, checked where they could be violated.
//!
//! Each violation is counted, and logged with the request and the reason; the daemon goes on. The count is logged when
//! the process ends.

use crate::logs::Id;
use std::sync::atomic::{AtomicU64, Ordering};
use tracing::error;
use vetchbridge_scheduling::RequestId;

/// A statement that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// An attempt begins at a worker only when no attempt of the same request is waiting there.
    OneAttemptPerWorker,
    /// A non-idempotent job is not sent again after an attempt that may have run.
    NonIdempotentJobSentOnce,
    /// A client connection on which a response is outstanding is not closed by this side.
    UnansweredConnectionStaysOpen,
    /// A request that was accepted gets its final answer as long as its client waits, also at the end of the process.
    AcceptedRequestIsAnswered,
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Counts and logs that an invariant does not hold.
pub fn record_violation(invariant: Invariant, request: Option<RequestId>, reason: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    let request = request.map(|request| Id(request).to_string()).unwrap_or_default();
    error!(?invariant, request, reason, "invariant.violated");
}

/// How many violations there were so far.
pub fn violation_count() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
