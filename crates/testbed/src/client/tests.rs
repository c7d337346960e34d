//! Tests of the rules by which clients retry jobs. The functions under test are private to the client module.

use super::record::Outcome;
use super::retry::{attempt_id, honors_retry_after, may_retry};
use crate::arrivals::Idempotency;
use std::time::Duration;

#[test]
fn a_client_retries_only_where_the_idempotency_of_its_class_allows_it() {
    let text = String::new;
    let outcomes = [
        Outcome::Served(text()),
        Outcome::Unanswered,
        Outcome::Rejected,
        Outcome::Unreachable(text()),
        Outcome::Failed(500),
        Outcome::Broken(text()),
    ];
    let second = Duration::from_secs(1);
    let allowed_retries = |idempotency| {
        outcomes.iter().map(|outcome| may_retry(idempotency, outcome, second)).collect::<Vec<_>>()
    };
    assert_eq!(allowed_retries(Idempotency::Idempotent), [false, false, true, true, true, true]);
    assert_eq!(allowed_retries(Idempotency::Keyed(2 * second)), [false, false, true, true, true, true]);
    assert_eq!(allowed_retries(Idempotency::Keyed(second)), [false, false, true, true, false, false]);
    assert_eq!(allowed_retries(Idempotency::NonIdempotent), [false, false, true, true, false, false]);
    let honoring = (0..1_000u64).filter(|n| honors_retry_after(attempt_id(n << 54, 1), 0.25)).count();
    assert!((200..300).contains(&honoring), "{honoring}");
    assert!(!honors_retry_after(0, 0.0) && honors_retry_after(u64::MAX, 1.0));
}
