//! Retries: decides from a job's idempotency and deduplication window whether the job may run again. Also
//! keeps the retry budget, which limits migrations and the retries at workers whose load is unknown.

use crate::events::Endpoint;
use crate::ids::Micros;
use crate::settings::{DeduplicationScope, Idempotency};

/// Longest time that a client is expected to wait after its Retry-After has passed until its retry arrives,
/// in microseconds.
const MAX_CLIENT_DELAY: Micros = 500_000;
/// Number of retries added to the retry budget for each served attempt.
const RETRIES_PER_SUCCESS: f64 = 1.0;
/// Largest number of retries in the retry budget, and the number of retries in a new budget.
const MAX_RETRIES: f64 = 10.0;
/// Attempts may migrate only while the retry budget holds at least this number of retries. When many attempts
/// fail, the rest of the budget is kept for retries.
const MIN_RETRIES_TO_MIGRATE: f64 = 0.9 * MAX_RETRIES;

/// The properties of a request's job that decide whether the job may run again.
#[derive(Clone, Copy)]
pub(crate) struct RetrySafety {
    pub(crate) idempotency: Idempotency,
    /// When the first attempt that may have run the job was sent; `None` if no attempt can have run the job.
    pub(crate) first_run_at: Option<Micros>,
}

impl RetrySafety {
    /// Whether a further attempt that starts at this time can't make the job take effect a second time.
    pub(crate) fn allows_attempt_at(self, start: Micros) -> bool {
        let Some(first_run_at) = self.first_run_at else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { deduplication_window, .. } => start < first_run_at + deduplication_window,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Whether a retry of the request by the client after `retry_after` microseconds can't make the job take
    /// effect a second time. The client may retry at any scheduler, and any worker may get the request.
    pub(crate) fn allows_client_retry(self, now: Micros, retry_after: Micros) -> bool {
        let scope_covers_all_workers =
            !matches!(self.idempotency, Idempotency::Keyed { scope, .. } if scope != DeduplicationScope::All);
        (scope_covers_all_workers || self.first_run_at.is_none())
            && self.allows_attempt_at(now + retry_after + MAX_CLIENT_DELAY)
    }
}

/// Whether the worker `candidate` drops a repeat of a keyed job, if the job may have run at the worker
/// `first` before; `first` is `None` if that worker is no longer known. Returns `false` if it is not known
/// whether the two workers share a zone or a cell.
pub(crate) fn drops_repeat(
    scope: DeduplicationScope,
    first: Option<&Endpoint>,
    candidate: &Endpoint,
) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.is_some_and(|first| first.zone.is_known_and_equal(candidate.zone)),
        DeduplicationScope::Cell => first.is_some_and(|first| first.cell.is_known_and_equal(candidate.cell)),
    }
}

/// The retry budget of a scheduler: limits retries and migrations, because they add load but no capacity.
pub(crate) struct RetryBudget {
    /// Number of retries that the scheduler may still send.
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { available: MAX_RETRIES }
    }
}

impl RetryBudget {
    /// Adds [`RETRIES_PER_SUCCESS`] retries to the budget for one served attempt.
    pub(crate) fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }

    pub(crate) fn withdraw(&mut self) {
        self.available -= 1.0;
    }

    /// Takes one retry from the budget; returns `false` if the budget is used up.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let allowed = self.available >= 1.0;
        if allowed {
            self.withdraw();
        }
        allowed
    }

    pub(crate) fn allows_migration(&self) -> bool {
        self.available >= MIN_RETRIES_TO_MIGRATE
    }
}

#[cfg(test)]
mod tests;
