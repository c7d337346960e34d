//! Hedged calls to discovery: a scheduler makes a second call while the first call is in flight and may have
//! been lost.
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

/// In tiers that hedge calls to discovery, two lost calls in a row must leave time for the answer to the
/// third call. The worst case is a discovery service that recovers just after a call was made.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn two_unanswered_calls_in_a_row_leave_time_for_the_third() {
    for (scheduler_count, seed) in [(1, 1), (1, 7), (3, 1), (3, 7), (11, 1), (11, 7)] {
        assert_third_calls_in_time(scheduler_count, seed).await;
    }
}

async fn assert_third_calls_in_time(scheduler_count: u32, seed: u64) {
    /// Maximum time from a failed call to the third call after it. A scheduler counts as notified of an
    /// update after 6 s and may keep sending to a removed worker for half a second more, so this limit leaves
    /// over a second for the answer to the third call.
    const MAX_TIME_TO_THIRD_CALL: Duration = Duration::from_millis(4_900);
    let mut scheduler =
        TestScheduler::new(SchedulerSetup { scheduler_count, seed, ..SchedulerSetup::default() }).await;
    scheduler.start_endpoint_watcher(json!([]));
    let watch = scheduler.confirm_saved_list().await;
    let reset_at = Instant::now();
    watch.reset();
    let (mut unanswered, mut calls) = (Vec::new(), vec![reset_at]);
    for _ in 0..20 {
        unanswered.push(scheduler.accept_call().await.0);
        calls.push(Instant::now());
    }
    let assert_in_time = |from: usize, to: usize| {
        let elapsed = calls[to].duration_since(calls[from]);
        assert!(
            elapsed <= MAX_TIME_TO_THIRD_CALL,
            "{scheduler_count} schedulers: {elapsed:?} from call {from} to {to}: {calls:?}"
        );
    };
    // The watch is reset, and the next two calls to discovery are lost.
    assert_in_time(0, 3);
    // A call to discovery stays without an answer, and the next two calls are lost too.
    (2..calls.len() - 3).for_each(|call| assert_in_time(call, call + 3));
}

/// An overloaded discovery service refuses calls after a delay. Hedged calls would add to the service's load
/// and delay the answers to all schedulers.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn calls_that_an_overloaded_service_refuses_are_not_hedged() {
    const REFUSAL_DELAY: Duration = Duration::from_millis(2_000);
    let mut scheduler = TestScheduler::with_scheduler_count(3).await;
    scheduler.start_endpoint_watcher(json!([]));
    let mut connection = scheduler.confirm_saved_list().await;
    for number in 0..6 {
        tokio::select! {
            _ = scheduler.discovery.accept() => panic!("a hedged call while call {number} is in flight"),
            () = tokio::time::sleep(REFUSAL_DELAY) => {}
        }
        reject_call(&mut connection).await;
        connection = scheduler.accept_call().await.0;
    }
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn the_answer_to_a_hedged_call_is_published_and_the_watch_continues_from_it() {
    let mut scheduler = TestScheduler::with_scheduler_count(3).await;
    scheduler.start_endpoint_watcher(json!([]));
    let _unanswered_watch = scheduler.confirm_saved_list().await;
    let _lost_call = scheduler.accept_call().await;
    let called_at = Instant::now();
    let (mut hedge, target) = scheduler.accept_call().await;
    assert!(called_at.elapsed() < Duration::from_millis(1_500), "{:?}", called_at.elapsed());
    assert_eq!(target, "/registry/instances?index=1&wait=0");
    answer_changes(&mut hedge, 2, json!([instance("s-new", unused_address())])).await;
    let next = hedge.read().await.expect("the watch continues");
    assert!(next.target().contains("index=2&wait="), "{}", next.target());
    assert_eq!(scheduler.listed_workers(), [("s-new".to_string(), InstanceState::Up)]);
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn the_complete_entries_of_a_truncated_hedged_answer_are_published() {
    let mut scheduler = TestScheduler::with_scheduler_count(3).await;
    let (a, b) = (instance("s-a", unused_address()), instance("s-b", unused_address()));
    scheduler.start_endpoint_watcher(json!([a, b]));
    let _unanswered_watch = scheduler.confirm_saved_list().await;
    let _lost_call = scheduler.accept_call().await;
    let (hedge, _) = scheduler.accept_call().await;
    let document = json!({"generation": 2, "reset": false, "instances": [as_draining(a), b]}).to_string();
    answer_part_and_close(hedge, &document, "s-b").await;
    wait_until_idle().await;
    let listed = scheduler.listed_workers();
    assert!(listed.contains(&("s-a".to_string(), InstanceState::Draining)), "{listed:?}");
}
