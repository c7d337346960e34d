//! Unit tests of the schedule of calls to the discovery service; they need no clock and no service. They are
//! unit tests because the schedule is private to the discovery module.

use super::*;
use rstest::rstest;

const IMMEDIATE: WatchTimes = WatchTimes { wait: Duration::ZERO, timeout: RESPONSE_TIMEOUT };

#[rstest]
#[case::before_the_first_response(CallOutcome::Succeeded, false)]
#[case::after_a_failed_call(CallOutcome::Failed, true)]
#[case::after_a_call_without_response(CallOutcome::NoResponse, true)]
fn a_call_that_checks_whether_the_service_is_reachable_does_not_wait(
    #[case] outcome: CallOutcome,
    #[case] confirmed: bool,
) {
    let mut schedule = DiscoverySchedule::new(Instant::now());
    schedule.record_outcome(outcome);
    assert_eq!(schedule.next_watch_times(0, confirmed), IMMEDIATE);
}

/// A scheduler must know of a change of the endpoint list 6 s after its watch fell silent. The time limits of
/// a watch call leave time in these 6 s for the next call and its response.
#[test]
fn a_silent_watch_is_detected_in_time_for_another_call() {
    let mut schedule = DiscoverySchedule::new(Instant::now());
    for index in 0..1000 {
        let times = schedule.next_watch_times(index, true);
        assert!(times.wait >= Duration::from_millis(1200) && times.wait <= Duration::from_millis(2000));
        assert_eq!(times.timeout, times.wait + Duration::from_secs(1));
    }
}

#[test]
fn the_waits_of_the_schedulers_of_a_tier_are_spread_and_change_with_each_call() {
    let mut schedules: Vec<_> = (0..20).map(|_| DiscoverySchedule::new(Instant::now())).collect();
    let mut previous_waits = vec![Duration::ZERO; schedules.len()];
    for _ in 0..5 {
        let schedules_with_index = schedules.iter_mut().zip(0..);
        let waits: Vec<_> = schedules_with_index
            .map(|(schedule, index)| schedule.next_watch_times(index, true).wait)
            .collect();
        assert!(waits.iter().zip(&previous_waits).all(|(wait, before)| wait != before), "{waits:?}");
        previous_waits.clone_from(&waits);
        let mut sorted = waits;
        sorted.sort_unstable();
        let closest = sorted.windows(2).map(|pair| pair[1] - pair[0]).min().expect("at least two waits");
        // 20 waits that are spread evenly over 800 ms are 40 ms apart; at least half of that distance is
        // required.
        assert!(closest >= Duration::from_millis(20), "{sorted:?}");
    }
}

#[rstest]
#[case::after_a_call_without_response_in_a_small_tier(CallOutcome::NoResponse, 11, true)]
#[case::not_in_a_large_tier(CallOutcome::NoResponse, 12, false)]
#[case::not_after_a_call_that_was_refused(CallOutcome::Failed, 1, false)]
#[case::not_after_a_successful_call(CallOutcome::Succeeded, 1, false)]
fn a_call_is_hedged_only_after_one_without_response_and_in_a_small_tier(
    #[case] outcome: CallOutcome,
    #[case] scheduler_count: u32,
    #[case] hedged: bool,
) {
    let now = Instant::now();
    let mut schedule = DiscoverySchedule::new(now);
    schedule.record_outcome(outcome);
    let expected = hedged.then(|| now + Duration::from_millis(1100));
    assert_eq!(schedule.hedge_at(now, scheduler_count), expected);
}

#[test]
fn a_pushed_list_is_watched_at_once_and_the_watch_is_reopened_soon_after_it_ends() {
    let start = Instant::now();
    let mut schedule = DiscoverySchedule::new(start);
    schedule.update_reopening(false, EndpointDelivery::Push);
    assert_eq!(schedule.reopen_at(), Some(start));
    schedule.update_reopening(true, EndpointDelivery::Push);
    assert_eq!(schedule.reopen_at(), None, "a watch is open");
    let end = start + Duration::from_secs(3);
    schedule.record_watch_end(end);
    schedule.update_reopening(false, EndpointDelivery::Push);
    assert_eq!(schedule.reopen_at(), Some(end + Duration::from_millis(100)));
}

#[test]
fn a_polled_list_is_watched_when_the_scheduler_subscribes() {
    let mut schedule = DiscoverySchedule::new(Instant::now());
    schedule.update_reopening(false, EndpointDelivery::Poll);
    assert_eq!(schedule.reopen_at(), None);
}

#[test]
fn a_watch_that_ended_while_lists_were_pushed_is_reopened_after_a_change_to_polling() {
    let start = Instant::now();
    let mut schedule = DiscoverySchedule::new(start);
    schedule.update_reopening(false, EndpointDelivery::Push);
    schedule.update_reopening(false, EndpointDelivery::Poll);
    assert_eq!(schedule.reopen_at(), Some(start));
    schedule.update_reopening(true, EndpointDelivery::Poll);
    schedule.update_reopening(false, EndpointDelivery::Poll);
    assert_eq!(schedule.reopen_at(), None, "the scheduler reopens the watch by subscribing");
}
