//! Tests the stand-in discovery service: versions of the endpoint list, watches and faults.
#![allow(missing_docs)]

use rstest::rstest;
use std::time::Duration;
use vetchbridge_testbed::discovery::{Discovery, ResponseMode};
use vetchbridge_testbed::runs::Runs;
use vetchbridge_testbed::wire::HttpConnection;
use vetchbridge_testbed::worker::{Worker, WorkerSpec};

/// Time limit for one test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_watch_gets_the_changes_after_its_version_and_ends_when_discovery_fails() {
    let discovery = Discovery::start(1).await.expect("discovery starts");
    let worker = Worker::start(WorkerSpec::new("s-0"), Runs::default(), &[discovery.address(0)])
        .await
        .expect("the worker starts");
    let mut connection = HttpConnection::connect(discovery.address(0)).await.expect("discovery listens");
    let mut call = async |target: &str| -> serde_json::Value {
        connection
            .write(&format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n"))
            .await
            .expect("the call is sent");
        serde_json::from_slice(&connection.read().await.expect("an answer").body).unwrap_or_default()
    };
    let list = call("/registry/instances").await;
    assert_eq!((list["reset"].as_bool(), list["instances"].as_array().map(Vec::len)), (Some(true), Some(0)));
    let watch = format!("/registry/instances?index={}&wait=60000", list["generation"]);
    discovery.list_as_up(&worker);
    let changes = call(&watch).await;
    assert_eq!(changes["reset"].as_bool(), Some(false));
    assert_eq!(changes["instances"][0]["hostPort"], worker.addresses()[0].to_string());
    // A waiting watch ends when the discovery service starts to fail.
    let watch = format!("/registry/instances?index={}&wait=60000", changes["generation"]);
    let (failed, ()) = tokio::join!(call(&watch), async { discovery.set_response_mode(ResponseMode::Error) });
    assert!(failed.is_null());
    discovery.set_response_mode(ResponseMode::Normal);
    discovery.remove(&worker);
    assert_eq!(call(&watch).await["instances"][0]["lifecycle"], "removed");
    let old_address = discovery.address(0);
    let new_address = discovery.move_to_new_port(0).expect("another port is free");
    assert_ne!(old_address, new_address);
    HttpConnection::connect(new_address).await.expect("discovery listens on the new port");
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn discovery_does_not_answer_truncates_resets_or_delays_changes_as_configured() {
    let discovery = Discovery::start(1).await.expect("discovery starts");
    let worker = Worker::start(WorkerSpec::new("s-0"), Runs::default(), &[discovery.address(0)])
        .await
        .expect("the worker starts");
    let call = async |target: &str| {
        let mut connection = HttpConnection::connect(discovery.address(0)).await.expect("discovery listens");
        connection
            .write(&format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n"))
            .await
            .expect("the call is sent");
        // In the silent mode, the service keeps the connection open until its client, which is this test,
        // closes it.
        tokio::io::AsyncWriteExt::shutdown(connection.socket()).await.expect("the sending side closes");
        connection.read().await.map(|answer| answer.text())
    };
    for mode in [ResponseMode::Silent, ResponseMode::Truncate, ResponseMode::Reset] {
        discovery.set_response_mode(mode);
        assert_eq!(call("/registry/instances").await, None, "{mode:?}");
    }
    discovery.set_response_mode(ResponseMode::Normal);
    discovery.set_update_delay(Duration::from_secs(2));
    discovery.list_as_up(&worker);
    let list = call("/registry/instances").await.expect("a list");
    assert!(!list.contains("s-0"), "the change is listed before the update delay has passed: {list}");
    let changes = call("/registry/instances?index=1&wait=60000").await.expect("changes");
    assert!(changes.contains("s-0"), "{changes}");
}
