//! The watch on the discovery service with pushed and with polled endpoint lists: whether the endpoint
//! watcher or the scheduler opens the watch, and when.
#![allow(missing_docs)]

#[path = "common/in_process.rs"]
mod in_process;

use in_process::{
    answer_changes, answer_complete_list, reject_call, wait_until_idle, SchedulerSetup, TestScheduler,
    TEST_TIMEOUT,
};
use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use tokio::time::{timeout, Instant};
use vetchbridge_scheduling::EndpointDelivery;
use vetchbridge_testbed::wire::HttpConnection;

/// Time without a call to discovery after which a scheduler counts as having stopped its calls.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Number of schedulers in a large tier, in which a scheduler pauses for a long time after its second failed
/// call to discovery in a row.
const LARGE_TIER: u32 = 300;

/// The ways in which a watch on the discovery service ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchEnd {
    Refusal,
    Reset,
    NoAnswer,
    Answer,
}

/// If endpoint lists are pushed, the scheduler never subscribes to them. The endpoint watcher must open the
/// watch at the start, whatever the saved list contains, and must reopen the watch promptly after an answer,
/// a refusal, a reset or a call without an answer.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_pushed_list_is_watched_from_the_start_and_after_every_end_of_its_watch() {
    let setup = SchedulerSetup {
        scheduler_count: LARGE_TIER,
        delivery: EndpointDelivery::Push,
        ..SchedulerSetup::default()
    };
    let mut scheduler = TestScheduler::new(setup).await;
    scheduler.start_endpoint_watcher(json!([]));
    let accept = || async { HttpConnection::new(scheduler.discovery.accept().await.expect("the watch").0) };
    let mut connection = accept().await;
    // How the discovery service ends the watch, and the maximum time from the call that opened this watch to
    // the next call to discovery, in milliseconds.
    let ends = [
        (WatchEnd::Refusal, 200),
        (WatchEnd::Reset, 200),
        (WatchEnd::NoAnswer, 5_500),
        (WatchEnd::Answer, 10),
    ];
    for (end, max_ms) in ends {
        let call = connection.read().await.expect("a call to discovery");
        assert!(call.target().contains("index=1&wait="), "{} before {end:?}", call.target());
        let called_at = Instant::now();
        let mut unanswered = None;
        match end {
            WatchEnd::Refusal => reject_call(&mut connection).await,
            WatchEnd::Reset => connection.reset(),
            // The connection to discovery stays open without a response.
            WatchEnd::NoAnswer => unanswered = Some(connection),
            WatchEnd::Answer => {
                answer_changes(&mut connection, 2, json!([])).await;
                let call = connection.read().await.expect("the next call");
                assert!(call.target().contains("index=2&wait="), "{}", call.target());
                return;
            }
        }
        connection = accept().await;
        drop(unanswered);
        assert!(
            called_at.elapsed() <= Duration::from_millis(max_ms),
            "{:?} after {end:?}",
            called_at.elapsed()
        );
    }
}

/// A reload of the configuration may change the delivery between polled and pushed endpoint lists while a
/// watch is open or just after a watch has failed. An open watch continues. The delivery in force decides how
/// soon the next watch opens: polls in a large tier back off for a long time after the second failure in a
/// row, while the watch for a pushed list reopens promptly, since a service that pushes lists serves this
/// scheduler alone.
#[rstest]
#[case::pushed_while_a_watch_is_open(EndpointDelivery::Poll, EndpointDelivery::Push, true)]
#[case::pushed_after_a_failure(EndpointDelivery::Poll, EndpointDelivery::Push, false)]
#[case::polled_while_a_watch_is_open(EndpointDelivery::Push, EndpointDelivery::Poll, true)]
#[case::polled_after_a_failure(EndpointDelivery::Push, EndpointDelivery::Poll, false)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_reload_of_the_delivery_applies_to_the_next_watch(
    #[case] from: EndpointDelivery,
    #[case] to: EndpointDelivery,
    #[case] watch_is_open: bool,
) {
    let setup = SchedulerSetup { scheduler_count: LARGE_TIER, delivery: from, ..SchedulerSetup::default() };
    let mut scheduler = TestScheduler::new(setup).await;
    scheduler.start_endpoint_watcher(json!([]));
    let (mut connection, _) = scheduler.accept_call().await;
    answer_complete_list(&mut connection, 2, json!([])).await;
    assert!(connection.read().await.expect("the watch continues").target().contains("index=2&"));
    if watch_is_open {
        scheduler.reload_with_delivery(to);
        wait_until_idle().await;
        answer_complete_list(&mut connection, 3, json!([])).await;
        assert!(connection.read().await.expect("the same watch continues").target().contains("index=3&"));
    }
    let mut waited = Duration::ZERO;
    // Two failures of a watch come after the reload. If the reload comes just after a failure, that failure
    // is the first of three.
    for failure in 0..if watch_is_open { 2 } else { 3 } {
        let failed_at = Instant::now();
        reject_call(&mut connection).await;
        if !watch_is_open && failure == 0 {
            wait_until_idle().await;
            scheduler.reload_with_delivery(to);
        }
        (connection, _) =
            timeout(MAX_PAUSE, scheduler.accept_call()).await.expect("the scheduler calls discovery again");
        waited = failed_at.elapsed();
    }
    let reopened_promptly = waited <= Duration::from_millis(200);
    assert!(
        reopened_promptly == (to == EndpointDelivery::Push)
            && (reopened_promptly || waited >= Duration::from_secs(1)),
        "{waited:?}"
    );
}
