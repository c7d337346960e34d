//! The rules by which a client retries; they are private to the module.

use super::*;

#[test]
fn a_client_asks_again_only_where_that_does_no_harm() {
    let text = String::new;
    let heard = [
        Outcome::Served(text()),
        Outcome::Unanswered,
        Outcome::Rejected,
        Outcome::Unreachable(text()),
        Outcome::Failed(500),
        Outcome::Broken(text()),
    ];
    let second = Duration::from_secs(1);
    let again =
        |idempotency| heard.iter().map(|heard| comes_back(idempotency, heard, second)).collect::<Vec<_>>();
    assert_eq!(again(Idempotency::Idempotent), [false, false, true, true, true, true]);
    assert_eq!(again(Idempotency::Keyed(2 * second)), [false, false, true, true, true, true]);
    assert_eq!(again(Idempotency::Keyed(second)), [false, false, true, true, false, false]);
    assert_eq!(again(Idempotency::NonIdempotent), [false, false, true, true, false, false]);
    let heeding = (0..1_000u64).filter(|n| heeds(try_id(n << 54, 1), 0.25)).count();
    assert!((200..300).contains(&heeding), "{heeding}");
    assert!(!heeds(0, 0.0) && heeds(u64::MAX, 1.0));
}
