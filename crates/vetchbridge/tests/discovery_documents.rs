//! Which entries of the discovery service's endpoint lists are published to the scheduler if a list is
//! truncated or out of date.
#![allow(missing_docs)]

#[path = "common/in_process.rs"]
mod in_process;

use in_process::{
    answer_complete_list, answer_part_and_close, as_draining, instance, unused_address, wait_until_idle,
    TestScheduler, TEST_TIMEOUT,
};
use rstest::rstest;
use serde_json::json;
use vetchbridge::discovery::document::InstanceState;
use vetchbridge::discovery::request::DiscoveryRequest;

/// The truncated endpoint list contains s-a as up and s-b as draining. A draining entry is published whatever
/// the generation of the truncated list. An entry of a worker that is up, possibly as a new process, is
/// published only if the truncated list is no older than the published list.
#[rstest]
#[case::newer(6, InstanceState::Up)]
#[case::same(5, InstanceState::Up)]
#[case::older(4, InstanceState::Draining)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn the_complete_entries_of_a_truncated_document_are_published(
    #[case] generation: u32,
    #[case] expected_state: InstanceState,
) {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    scheduler.start_endpoint_watcher(json!([]));
    let (mut connection, _) = scheduler.accept_call().await;
    let (a, b) = (instance("s-a", unused_address()), instance("s-b", unused_address()));
    answer_complete_list(&mut connection, 5, json!([as_draining(a.clone()), b])).await;
    connection.read().await.expect("the watch continues");
    // This text is an indented document that ends within its third entry.
    let entries = json!([a, as_draining(b), {"instanceId": "s-c"}]);
    let document = json!({"generation": generation, "reset": false, "instances": entries});
    let text = serde_json::to_string_pretty(&document).expect("the document is valid JSON");
    answer_part_and_close(connection, &text, "s-c").await;
    let _next = scheduler.accept_call().await;
    let expected = [("s-a".into(), expected_state), ("s-b".into(), InstanceState::Draining)];
    assert_eq!(scheduler.listed_workers(), expected);
}

/// A complete endpoint list that arrives after newer updates of the watch must not undo these updates. If no
/// other call to discovery was answered in the meantime, a complete list with a lower generation shows that
/// the discovery service was reset, and is published.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_fetched_list_does_not_undo_newer_updates_of_the_watch() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    scheduler.start_endpoint_watcher(json!([]));
    let entry = instance("s-a", unused_address());
    let (mut watch, _) = scheduler.accept_call().await;
    scheduler.send_discovery_request(DiscoveryRequest::Fetch);
    let (mut fetch, target) = scheduler.accept_call().await;
    assert_eq!(target, "/registry/instances");
    answer_complete_list(&mut watch, 7, json!([as_draining(entry.clone())])).await;
    watch.read().await.expect("the watch continues");
    answer_complete_list(&mut fetch, 6, json!([entry])).await;
    wait_until_idle().await;
    assert_eq!(scheduler.listed_workers(), [("s-a".into(), InstanceState::Draining)]);
    scheduler.send_discovery_request(DiscoveryRequest::Fetch);
    fetch.read().await.expect("the next call");
    answer_complete_list(&mut fetch, 3, json!([entry])).await;
    wait_until_idle().await;
    assert_eq!(scheduler.listed_workers(), [("s-a".into(), InstanceState::Up)]);
}
