//! Retries: decides by a job's idempotency and deduplication window whether the job may run again, and keeps
//! the budget for migrations and for retries at workers whose load is unknown.

use crate::events::Endpoint;
use crate::ids::Micros;
use crate::settings::{DeduplicationScope, Idempotency};

/// Longest expected delay between the end of a client's Retry-After and the client's retry, in microseconds.
const MAX_CLIENT_DELAY: Micros = 500_000;
/// Retries added to the budget for each served attempt.
const RETRIES_PER_SUCCESS: f64 = 1.0;
/// Largest number of retries in the budget, and the number at the start.
const MAX_RETRIES: f64 = 10.0;
/// Attempts may migrate only while the budget holds at least this many retries: when many attempts fail, the
/// budget is kept for retries.
const MIN_RETRIES_TO_MIGRATE: f64 = 0.9 * MAX_RETRIES;

/// The properties of a job that decide whether the job may run again.
#[derive(Clone, Copy)]
pub(crate) struct RetrySafety {
    pub(crate) idempotency: Idempotency,
    /// When the first attempt that may have run was sent; `None` if no attempt can have run.
    pub(crate) first_run_at: Option<Micros>,
}

impl RetrySafety {
    /// Whether a further attempt that starts at this time can't cause a second effect.
    pub(crate) fn allows_attempt_at(self, start: Micros) -> bool {
        let Some(first_run_at) = self.first_run_at else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { deduplication_window, .. } => start < first_run_at + deduplication_window,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Whether a retry by the client after `retry_after` microseconds is harmless. The client may retry at
    /// any scheduler, and any worker may get the request.
    pub(crate) fn allows_client_retry(self, now: Micros, retry_after: Micros) -> bool {
        let scope_covers_all_workers =
            !matches!(self.idempotency, Idempotency::Keyed { scope, .. } if scope != DeduplicationScope::All);
        (scope_covers_all_workers || self.first_run_at.is_none())
            && self.allows_attempt_at(now + retry_after + MAX_CLIENT_DELAY)
    }
}

/// Whether the worker `candidate` drops the repeat of a keyed job that may have run at the worker `first`;
/// `first` is `None` if that worker is no longer known.
pub(crate) fn drops_repeat(
    scope: DeduplicationScope,
    first: Option<&Endpoint>,
    candidate: &Endpoint,
) -> bool {
    match scope {
        DeduplicationScope::All => true,
        DeduplicationScope::Zone => first.is_some_and(|first| first.zone == candidate.zone),
        DeduplicationScope::Cell => first.is_some_and(|first| first.cell == candidate.cell),
    }
}

/// Limits retries, because retries add load but no capacity.
pub(crate) struct RetryBudget {
    /// Retries that may still be sent.
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { available: MAX_RETRIES }
    }
}

impl RetryBudget {
    /// Adds the retries for one served attempt.
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
