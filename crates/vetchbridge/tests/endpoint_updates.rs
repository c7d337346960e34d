//! Updates of the endpoint list from discovery, received by the daemon as a process.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use vetchbridge_testbed::wire::HttpConnection;

/// The watch on discovery continues from the generation that the daemon last received. An endpoint list that
/// can't be parsed changes nothing. A worker that a complete list no longer contains gets no new job.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn the_daemon_applies_endpoint_lists_from_discovery() {
    let mut harness = Harness::start(2).await;
    let address = |n: usize, harness: &Harness| harness.workers[n].local_addr().unwrap();
    let lists =
        [json!([instance(0, address(0, &harness), "up")]), json!([{"instanceId": "s-0", "lifecycle": "?"}])];
    let mut watch = HttpConnection::new(harness.discovery.accept().await.expect("the watch").0);
    for (list, generation) in lists.into_iter().zip([1, 5]) {
        let target = watch.read_target().await;
        assert!(target.starts_with(&format!("/registry/instances?index={generation}&wait=")), "{target}");
        watch.send_endpoints(5, list).await;
    }
    // The invalid list ended the watch. The decision module opens the next watch on discovery from the last
    // known generation.
    assert!(watch.read_target().await.contains("index=5&"));
    harness.serve_jobs_at_worker_0("safe").await;
}

/// An endpoint list whose response is truncated is not applied, except for its entries of draining workers.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn draining_entries_of_a_truncated_endpoint_list_apply() {
    let mut harness = Harness::start(2).await;
    let draining = instance(1, harness.workers[1].local_addr().unwrap(), "draining");
    let mut watch = HttpConnection::new(harness.discovery.accept().await.expect("the watch").0);
    assert!(watch.read_target().await.contains("index=1&"));
    let truncated_document = format!(
        "{{\"generation\": 5, \"reset\": true, \"instances\": [{draining}, {{\"instanceId\": \"s-0\", "
    );
    watch.send(&format!("HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n{truncated_document}")).await;
    drop(watch);
    // The daemon's next watch starts from generation 1, since the truncated list did not change the known
    // generation.
    let mut watch = HttpConnection::new(harness.discovery.accept().await.expect("the next watch").0);
    assert!(watch.read_target().await.contains("index=1&"));
    harness.serve_jobs_at_worker_0("safe").await;
}
