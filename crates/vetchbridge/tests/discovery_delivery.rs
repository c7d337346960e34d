//! Lists that are pushed and lists that are polled: who opens the watch, and when.
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
use vetchbridge_testbed::wire::Wire;

/// A scheduler that has not called discovery again by then is not going to.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);
/// A large tier, where the pause after a second failure in a row is long.
const LARGE_TIER: u32 = 300;

/// How a watch ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchEnd {
    Refusal,
    Reset,
    Silence,
    Answer,
}

/// Where lists are pushed the scheduler never subscribes: the watch that pushes them is open from the first moment,
/// whatever the saved list holds, and is reopened at once after an answer, a refusal, a reset or silence.
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
    let accept = || async { Wire::new(scheduler.discovery.accept().await.expect("the watch").0) };
    let mut wire = accept().await;
    // How the watch ends, and how soon after its call the next one is there, in milliseconds.
    let ends = [
        (WatchEnd::Refusal, 200),
        (WatchEnd::Reset, 200),
        (WatchEnd::Silence, 5_500),
        (WatchEnd::Answer, 10),
    ];
    for (end, within_ms) in ends {
        let call = wire.read().await.expect("a call");
        assert!(call.target().contains("index=1&wait="), "{} before {end:?}", call.target());
        let called = Instant::now();
        let mut silent = None;
        match end {
            WatchEnd::Refusal => reject_call(&mut wire).await,
            WatchEnd::Reset => wire.reset(),
            // Its connection stays open, and not a byte comes.
            WatchEnd::Silence => silent = Some(wire),
            WatchEnd::Answer => {
                answer_changes(&mut wire, 2, json!([])).await;
                let call = wire.read().await.expect("the next call");
                assert!(call.target().contains("index=2&wait="), "{}", call.target());
                return;
            }
        }
        wire = accept().await;
        drop(silent);
        assert!(called.elapsed() <= Duration::from_millis(within_ms), "{:?} after {end:?}", called.elapsed());
    }
}

/// A reload may change lists from polled to pushed, or back, while a watch is open or just after one has failed. An open
/// one goes on, and the next one is opened by the delivery then in force: polls of a large tier back off for long from a
/// second failure in a row on; a service that pushes lists serves this scheduler alone.
#[rstest]
#[case::pushed_while_a_watch_is_open(EndpointDelivery::Poll, EndpointDelivery::Push, true)]
#[case::pushed_after_a_failure(EndpointDelivery::Poll, EndpointDelivery::Push, false)]
#[case::polled_while_a_watch_is_open(EndpointDelivery::Push, EndpointDelivery::Poll, true)]
#[case::polled_after_a_failure(EndpointDelivery::Push, EndpointDelivery::Poll, false)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn after_a_reload_the_next_watch_is_opened_by_the_delivery_in_force(
    #[case] from: EndpointDelivery,
    #[case] to: EndpointDelivery,
    #[case] watch_is_open: bool,
) {
    let setup = SchedulerSetup { scheduler_count: LARGE_TIER, delivery: from, ..SchedulerSetup::default() };
    let mut scheduler = TestScheduler::new(setup).await;
    scheduler.start_endpoint_watcher(json!([]));
    let (mut wire, _) = scheduler.accept_call().await;
    answer_complete_list(&mut wire, 2, json!([])).await;
    assert!(wire.read().await.expect("the watch continues").target().contains("index=2&"));
    if watch_is_open {
        scheduler.reload_with_delivery(to);
        wait_until_idle().await;
        answer_complete_list(&mut wire, 3, json!([])).await;
        assert!(wire.read().await.expect("the same watch continues").target().contains("index=3&"));
    }
    let mut waited = Duration::ZERO;
    // Two of the failures come after the reload.
    for failure in 0..if watch_is_open { 2 } else { 3 } {
        let failed = Instant::now();
        reject_call(&mut wire).await;
        if !watch_is_open && failure == 0 {
            wait_until_idle().await;
            scheduler.reload_with_delivery(to);
        }
        (wire, _) =
            timeout(LONGEST_PAUSE, scheduler.accept_call()).await.expect("the list is still followed");
        waited = failed.elapsed();
    }
    let pushed = waited <= Duration::from_millis(200);
    assert!(
        pushed == (to == EndpointDelivery::Push) && (pushed || waited >= Duration::from_secs(1)),
        "{waited:?}"
    );
}
