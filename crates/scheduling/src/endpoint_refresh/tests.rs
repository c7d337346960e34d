use super::*;
use crate::test_support::NOW;

#[test]
fn a_restored_list_is_unconfirmed_until_discovery_responds_or_the_timeout_expires() {
    let mut refresh = EndpointRefresh::default();
    assert!(!refresh.is_unconfirmed(NOW));
    refresh.record_update(NOW, EndpointUpdate::Restored);
    assert!(refresh.is_unconfirmed(NOW + LIST_CONFIRMATION_TIMEOUT - 1));
    assert!(!refresh.is_unconfirmed(NOW + LIST_CONFIRMATION_TIMEOUT));
    for update in [EndpointUpdate::Failed, EndpointUpdate::Partial, EndpointUpdate::Renumbered] {
        refresh.record_update(NOW, update);
        assert!(refresh.is_unconfirmed(NOW), "{update:?} is not a response of discovery");
    }
    refresh.record_update(NOW, EndpointUpdate::Changes);
    assert!(!refresh.is_unconfirmed(NOW));
}

/// A response does not make the list current by itself: the response may have taken too long to arrive.
#[test]
fn an_outdated_list_is_unconfirmed_until_it_is_current_again() {
    let mut refresh = EndpointRefresh { list_age: ListAge::Outdated, ..EndpointRefresh::default() };
    refresh.record_update(NOW, EndpointUpdate::Changes);
    assert!(refresh.is_unconfirmed(NOW));
    refresh.list_age = ListAge::Current;
    assert!(!refresh.is_unconfirmed(NOW));
}

#[test]
fn first_polls_are_spread_by_the_number_of_schedulers() {
    for (schedulers, random, pause) in
        [(1, 0.9, 0), (3, 0.0, 0), (3, 0.5, 30_000), (11, 0.5, 150_000), (1000, 0.5, 1_000_000)]
    {
        let at = EndpointRefresh::default().schedule_poll(NOW, EndpointUpdate::Restored, schedulers, random);
        assert_eq!(at - NOW, pause, "{schedulers} schedulers");
    }
}

#[test]
fn pauses_grow_with_failures_up_to_a_maximum_and_are_reset_by_a_response() {
    let mut refresh = EndpointRefresh::default();
    let mut now = NOW;
    let mut pauses = |refresh: &mut EndpointRefresh| -> Vec<Micros> {
        let mut next_pause = || {
            let at = refresh.schedule_poll(now, EndpointUpdate::Failed, 1, 0.5);
            let pause = at - now;
            now = at;
            pause
        };
        (0..7).map(|_| next_pause()).collect()
    };
    let expected_pauses = [100_000, 100_000, 200_000, 400_000, 800_000, 1_000_000, 1_000_000];
    assert_eq!(pauses(&mut refresh), expected_pauses);
    refresh.record_update(NOW, EndpointUpdate::Snapshot);
    assert_eq!(pauses(&mut refresh), expected_pauses);
}

#[test]
fn a_poll_that_took_long_to_fail_is_followed_by_a_short_pause() {
    let mut refresh =
        EndpointRefresh { polls_since_response: 9, last_poll: NOW, ..EndpointRefresh::default() };
    let failed_at = NOW + 10_000_000;
    let at = refresh.schedule_poll(failed_at, EndpointUpdate::Failed, 300, 0.5);
    assert_eq!(at - failed_at, MAX_PAUSE_AFTER_FAILURE);
}

#[test]
fn a_single_broken_watch_is_reopened_soon_and_repeated_failures_are_spread() {
    let mut refresh = EndpointRefresh::default();
    let first = refresh.schedule_poll(NOW, EndpointUpdate::Failed, 300, 0.5);
    assert_eq!(first - NOW, BASE_POLL_INTERVAL);
    let second = refresh.schedule_poll(first, EndpointUpdate::Failed, 300, 0.5);
    assert_eq!(second - first, MAX_REPEATED_SPREAD);
}
