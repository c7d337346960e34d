//! How the daemon as a process follows the endpoint list of discovery.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use vetchbridge_testbed::wire::Wire;

/// The watch continues from the version last received, a list that can't be parsed changes nothing, and a draining worker
/// gets nothing new.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn the_upstream_group_follows_discovery() {
    let mut harness = Harness::start(2).await;
    let address = |n: usize, harness: &Harness| harness.workers[n].local_addr().unwrap();
    let lists =
        [json!([instance(0, address(0, &harness), "up")]), json!([{"instanceId": "s-0", "lifecycle": "?"}])];
    let mut watch = Wire::new(harness.discovery.accept().await.expect("the watch").0);
    for (list, version) in lists.into_iter().zip([1, 5]) {
        let target = watch.read_target().await;
        assert!(target.starts_with(&format!("/registry/instances?index={version}&wait=")), "{target}");
        watch.send_endpoints(5, list).await;
    }
    // The invalid list ended the watch; the decision module opens the next one from the version that it has.
    assert!(watch.read_target().await.contains("index=5&"));
    harness.serve_jobs_at_worker_0("safe").await;
}

/// A list that is incomplete is not applied, but a worker that it calls draining is.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_incomplete_endpoint_list_still_names_draining_workers() {
    let mut harness = Harness::start(2).await;
    let drains = instance(1, harness.workers[1].local_addr().unwrap(), "draining");
    let mut watch = Wire::new(harness.discovery.accept().await.expect("the watch").0);
    assert!(watch.read_target().await.contains("index=1&"));
    let part = format!(
        "{{\"generation\": 5, \"reset\": true, \"instances\": [{drains}, {{\"instanceId\": \"s-0\", "
    );
    watch.send(&format!("HTTP/1.1 200 OK\r\ncontent-length: 9999\r\n\r\n{part}")).await;
    drop(watch);
    // The version is what it was.
    let mut watch = Wire::new(harness.discovery.accept().await.expect("the next watch").0);
    assert!(watch.read_target().await.contains("index=1&"));
    harness.serve_jobs_at_worker_0("safe").await;
}
