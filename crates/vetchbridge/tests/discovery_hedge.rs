//! Hedged calls: a second call while one is out that may have been lost.
#![allow(missing_docs)]

#[path = "common/in_process.rs"]
mod in_process;

use in_process::{
    answer_changes, answer_part_and_close, as_draining, instance, reject_call, unused_address,
    wait_until_idle, SchedulerSetup, TestScheduler, TEST_TIMEOUT,
};
use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;
use vetchbridge::discovery::document::InstanceState;

/// Two calls that are lost in a row while the service can be reached leave time for the answer to the third, in tiers
/// whose service can bear hedged calls. The worst moment for the service to come back is the one after a call.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn two_unanswered_calls_in_a_row_leave_time_for_the_third() {
    for (scheduler_count, seed) in [(1, 1), (1, 7), (3, 1), (3, 7), (11, 1), (11, 7)] {
        every_third_call_is_in_time(scheduler_count, seed).await;
    }
}

async fn every_third_call_is_in_time(scheduler_count: u32, seed: u64) {
    /// An update counts as notified after 6 s, and sends may go on for half a second; a second and more is left for the
    /// answer.
    const THIRD_CALL_WITHIN: Duration = Duration::from_millis(4_900);
    let mut scheduler =
        TestScheduler::new(SchedulerSetup { scheduler_count, seed, ..SchedulerSetup::default() }).await;
    scheduler.start_endpoint_watcher(json!([]));
    let watch = scheduler.confirm_saved_list().await;
    let began = Instant::now();
    watch.reset();
    let (mut unanswered, mut calls) = (Vec::new(), vec![began]);
    for _ in 0..20 {
        unanswered.push(scheduler.accept_call().await.0);
        calls.push(Instant::now());
    }
    let assert_in_time = |from: usize, to: usize| {
        let apart = calls[to].duration_since(calls[from]);
        assert!(
            apart <= THIRD_CALL_WITHIN,
            "{scheduler_count} schedulers: {apart:?} from call {from} to {to}: {calls:?}"
        );
    };
    // The watch is reset, and the two calls after that are lost.
    assert_in_time(0, 3);
    // The watch is silent, or a call before was lost: two more are.
    (2..calls.len() - 3).for_each(|call| assert_in_time(call, call + 3));
}

/// A service that has too many callers answers, late, that it has: hedged calls would keep all of them waiting.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_service_that_has_too_many_callers_gets_no_hedged_calls() {
    const TURN_WITHIN: Duration = Duration::from_millis(2_000);
    let mut scheduler = TestScheduler::with_scheduler_count(3).await;
    scheduler.start_endpoint_watcher(json!([]));
    let mut wire = scheduler.confirm_saved_list().await;
    for number in 0..6 {
        tokio::select! {
            _ = scheduler.discovery.accept() => panic!("a second call beside number {number}"),
            () = tokio::time::sleep(TURN_WITHIN) => {}
        }
        reject_call(&mut wire).await;
        wire = scheduler.accept_call().await.0;
    }
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn the_answer_to_a_hedged_call_is_published_and_the_watch_goes_on_from_it() {
    let mut scheduler = TestScheduler::with_scheduler_count(3).await;
    scheduler.start_endpoint_watcher(json!([]));
    let _silent = scheduler.confirm_saved_list().await;
    let _lost = scheduler.accept_call().await;
    let called = Instant::now();
    let (mut hedge, target) = scheduler.accept_call().await;
    assert!(called.elapsed() < Duration::from_millis(1_500), "{:?}", called.elapsed());
    assert_eq!(target, "/registry/instances?index=1&wait=0");
    answer_changes(&mut hedge, 2, json!([instance("s-new", unused_address())])).await;
    let next = hedge.read().await.expect("the watch continues");
    assert!(next.target().contains("index=2&wait="), "{}", next.target());
    assert_eq!(scheduler.listed_workers(), [("s-new".to_string(), InstanceState::Up)]);
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn the_complete_entries_of_a_hedged_answer_that_breaks_off_are_published() {
    let mut scheduler = TestScheduler::with_scheduler_count(3).await;
    let (a, b) = (instance("s-a", unused_address()), instance("s-b", unused_address()));
    scheduler.start_endpoint_watcher(json!([a, b]));
    let _silent = scheduler.confirm_saved_list().await;
    let _lost = scheduler.accept_call().await;
    let (hedge, _) = scheduler.accept_call().await;
    let document = json!({"generation": 2, "reset": false, "instances": [as_draining(a), b]}).to_string();
    answer_part_and_close(hedge, &document, "s-b").await;
    wait_until_idle().await;
    let listed = scheduler.listed_workers();
    assert!(listed.contains(&("s-a".to_string(), InstanceState::Draining)), "{listed:?}");
}
