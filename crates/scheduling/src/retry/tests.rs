use super::*;
use crate::ids::{CellId, ZoneId};

const SECOND: Micros = 1_000_000;

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::Keyed { scope, deduplication_window: 2 * SECOND }
}

#[test]
fn a_job_that_has_not_run_may_be_retried_at_any_time() {
    for idempotency in [Idempotency::Idempotent, keyed(DeduplicationScope::Cell), Idempotency::NonIdempotent]
    {
        let safety = RetrySafety { idempotency, first_run_at: None };
        assert!(safety.allows_attempt_at(Micros::MAX), "{idempotency:?}");
        assert!(safety.allows_client_retry(SECOND, SECOND), "{idempotency:?}");
    }
}

#[test]
fn a_job_that_may_have_run_may_be_retried_if_its_idempotency_allows_it() {
    let allows =
        |idempotency, start| RetrySafety { idempotency, first_run_at: Some(SECOND) }.allows_attempt_at(start);
    assert!(allows(Idempotency::Idempotent, 60 * SECOND));
    assert!(!allows(Idempotency::NonIdempotent, SECOND));
    assert!(allows(keyed(DeduplicationScope::Zone), 3 * SECOND - 1));
    assert!(!allows(keyed(DeduplicationScope::Zone), 3 * SECOND));
}

#[test]
fn a_client_s_retry_of_a_keyed_job_is_harmless_only_while_every_worker_drops_it() {
    let allows = |scope, retry_after| {
        RetrySafety { idempotency: keyed(scope), first_run_at: Some(0) }.allows_client_retry(0, retry_after)
    };
    assert!(allows(DeduplicationScope::All, SECOND));
    assert!(!allows(DeduplicationScope::All, 2 * SECOND - MAX_CLIENT_DELAY));
    assert!(!allows(DeduplicationScope::Zone, 0));
    assert!(!allows(DeduplicationScope::Cell, 0));
}

#[test]
fn a_repeat_is_dropped_within_the_deduplication_scope_of_the_first_worker() {
    let endpoint = |zone, cell| Endpoint { zone: ZoneId(zone), cell: CellId(cell), ..Endpoint::default() };
    let first = endpoint(1, 1);
    for (scope, other, dropped) in [
        (DeduplicationScope::All, endpoint(2, 2), true),
        (DeduplicationScope::Zone, endpoint(1, 2), true),
        (DeduplicationScope::Zone, endpoint(2, 1), false),
        (DeduplicationScope::Cell, endpoint(2, 1), true),
        (DeduplicationScope::Cell, endpoint(1, 2), false),
    ] {
        assert_eq!(drops_repeat(scope, Some(&first), &other), dropped, "{scope:?}");
    }
    assert!(!drops_repeat(DeduplicationScope::Zone, None, &first));
    let unknown = Endpoint { zone: ZoneId::UNKNOWN, cell: CellId::UNKNOWN, ..Endpoint::default() };
    for (scope, dropped) in [
        (DeduplicationScope::All, true),
        (DeduplicationScope::Zone, false),
        (DeduplicationScope::Cell, false),
    ] {
        assert_eq!(drops_repeat(scope, Some(&unknown), &unknown), dropped, "unknown {scope:?}");
    }
}

#[test]
fn the_budget_starts_full_shrinks_with_retries_and_grows_with_successes_up_to_its_maximum() {
    let mut budget = RetryBudget::default();
    assert!(budget.allows_migration());
    let spent = (0..100).take_while(|_| budget.try_withdraw()).count();
    assert_eq!(spent, MAX_RETRIES as usize);
    assert!(!budget.allows_migration());
    budget.deposit();
    assert!(budget.try_withdraw() && !budget.try_withdraw());
    (0..100).for_each(|_| budget.deposit());
    assert_eq!((0..100).take_while(|_| budget.try_withdraw()).count(), MAX_RETRIES as usize);
}
