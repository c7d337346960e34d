//! What must never happen in this process, checked where it would: each violation is counted, and logged with the request
//! and the reason. The count is told when the process ends.

use crate::logs::Id;
use std::sync::atomic::{AtomicU64, Ordering};
use tracing::error;
use vetchbridge_scheduling::interface::RequestId;

/// One thing that must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// An attempt begins at a worker at which one of the same request has neither ended nor been given up.
    OneAttemptAtAWorker,
    /// A job that must not run twice is sent again after an attempt that may have run.
    UnsafeJobOnce,
    /// A client connection that owes an answer is closed by this side.
    OwedAnswerKeepsItsConnection,
    /// A request that was taken is dropped without its final answer while its client waits, as at the end of the process.
    TakenRequestIsAnswered,
}

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Notes that an invariant does not hold.
pub fn violated(invariant: Invariant, request: Option<RequestId>, reason: &str) {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
    let request = request.map(|request| Id(request).to_string()).unwrap_or_default();
    error!(?invariant, request, reason, "invariant.violated");
}

/// How many violations there were so far.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}
