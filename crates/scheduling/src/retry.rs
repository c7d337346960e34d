//! Retries: whether a job may run again, by its idempotency and its deduplication window, and the budget for
//! attempts that are sent without knowledge of the worker's load.

use crate::events::Endpoint;
use crate::ids::Micros;
use crate::settings::{DeduplicationScope, Idempotency};

/// A rejected client is back this long after its Retry-After at the latest, microseconds.
const MAX_CLIENT_DELAY: Micros = 500_000;
/// Retries that each served attempt adds to the budget.
const RETRIES_PER_SUCCESS: f64 = 1.0;
/// Retries in the budget at most, and at the start.
const MAX_RETRIES: f64 = 10.0;
/// Retries in the budget from which on attempts may migrate: where much fails, retries go first.
const MIN_RETRIES_TO_MIGRATE: f64 = 0.9 * MAX_RETRIES;

/// What decides whether a job may run again.
#[derive(Clone, Copy)]
pub(crate) struct RetrySafety {
    pub(crate) idempotency: Idempotency,
    /// When the first attempt that may have run was sent; `None`: none has run.
    pub(crate) first_run_at: Option<Micros>,
}

impl RetrySafety {
    /// Whether a further attempt that begins by then has no second effect.
    pub(crate) fn allows_attempt_by(self, by: Micros) -> bool {
        let Some(first_run_at) = self.first_run_at else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { deduplication_window, .. } => by < first_run_at + deduplication_window,
            Idempotency::NonIdempotent => false,
        }
    }

    /// Whether the client may be promised that a retry is harmless, that long from now. It may come back to
    /// any scheduler, and its request may go to any worker.
    pub(crate) fn allows_client_retry(self, now: Micros, retry_after: Micros) -> bool {
        let at_any_worker =
            !matches!(self.idempotency, Idempotency::Keyed { scope, .. } if scope != DeduplicationScope::All);
        (at_any_worker || self.first_run_at.is_none())
            && self.allows_attempt_by(now + retry_after + MAX_CLIENT_DELAY)
    }
}

/// Whether a worker drops the repeat of a keyed job that may have run at `first`; `None`: at a worker that is
/// no longer known.
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

/// Retries still allowed; they add load, but no capacity.
pub(crate) struct RetryBudget {
    available: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { available: MAX_RETRIES }
    }
}

impl RetryBudget {
    /// An attempt was served.
    pub(crate) fn deposit(&mut self) {
        self.available = (self.available + RETRIES_PER_SUCCESS).min(MAX_RETRIES);
    }

    pub(crate) fn withdraw(&mut self) {
        self.available -= 1.0;
    }

    /// Takes one retry from the budget, if there is one.
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
