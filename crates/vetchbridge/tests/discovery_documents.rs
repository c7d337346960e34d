//! Which parts of the discovery service's documents are published: of those that break off, and of those that are late.
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

/// That a worker is draining is heeded whatever the generation; that one is up, or up again as another process, only if
/// the document is no older than the list.
#[rstest]
#[case::newer(6, InstanceState::Up)]
#[case::as_old(5, InstanceState::Up)]
#[case::older(4, InstanceState::Draining)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn the_complete_entries_of_a_document_that_breaks_off_are_published(
    #[case] generation: u32,
    #[case] first: InstanceState,
) {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    scheduler.start_endpoint_watcher(json!([]));
    let (mut wire, _) = scheduler.accept_call().await;
    let (a, b) = (instance("s-a", unused_address()), instance("s-b", unused_address()));
    answer_complete_list(&mut wire, 5, json!([as_draining(a.clone()), b])).await;
    wire.read().await.expect("the watch continues");
    // Indented, and cut within its third entry.
    let entries = json!([a, as_draining(b), {"instanceId": "s-c"}]);
    let document = json!({"generation": generation, "reset": false, "instances": entries});
    let text = serde_json::to_string_pretty(&document).expect("JSON");
    answer_part_and_close(wire, &text, "s-c").await;
    let _next = scheduler.accept_call().await;
    let expected = [("s-a".into(), first), ("s-b".into(), InstanceState::Draining)];
    assert_eq!(scheduler.listed_workers(), expected);
}

/// The complete list was fetched, and before it is here the watch brings newer changes: they stand. A generation that goes
/// back in the order of the calls is another matter: the service has been reset.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test(start_paused = true)]
async fn a_complete_list_that_was_overtaken_by_newer_changes_does_not_undo_them() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    scheduler.start_endpoint_watcher(json!([]));
    let up = instance("s-a", unused_address());
    let (mut watch, _) = scheduler.accept_call().await;
    scheduler.send_discovery_request(DiscoveryRequest::Fetch);
    let (mut fetch, target) = scheduler.accept_call().await;
    assert_eq!(target, "/registry/instances");
    answer_complete_list(&mut watch, 7, json!([as_draining(up.clone())])).await;
    watch.read().await.expect("the watch continues");
    answer_complete_list(&mut fetch, 6, json!([up])).await;
    wait_until_idle().await;
    assert_eq!(scheduler.listed_workers(), [("s-a".into(), InstanceState::Draining)]);
    scheduler.send_discovery_request(DiscoveryRequest::Fetch);
    fetch.read().await.expect("the next call");
    answer_complete_list(&mut fetch, 3, json!([up])).await;
    wait_until_idle().await;
    assert_eq!(scheduler.listed_workers(), [("s-a".into(), InstanceState::Up)]);
}
