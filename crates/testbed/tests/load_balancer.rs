//! Tests the stand-in load balancer: readiness of schedulers, round robin, and the detection of a scheduler
//! that no longer responds.
#![allow(missing_docs)]

use rstest::rstest;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use vetchbridge_testbed::load_balancer::LoadBalancer;
use vetchbridge_testbed::wire::HttpConnection;
use vetchbridge_testbed::{AbortOnDrop, Port};

/// Time limit for one test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_load_balancer_uses_ready_schedulers_and_detects_a_dead_one_after_a_delay() {
    let ready = Arc::new(AtomicBool::new(true));
    let scheduler_ready = ready.clone();
    let scheduler = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let dead_scheduler = Port::reserve().expect("a port is free");
    let detection_delay = Duration::from_millis(300);
    let balancer = LoadBalancer::start(
        &[dead_scheduler.address(), scheduler.local_addr().expect("the listener is bound")],
        detection_delay,
    )
    .await
    .expect("the load balancer starts");
    let scheduler_task = AbortOnDrop::spawn(async move {
        loop {
            let (stream, _) = scheduler.accept().await.expect("a client connects");
            let scheduler_ready = scheduler_ready.clone();
            tokio::spawn(async move {
                let mut connection = HttpConnection::new(stream);
                while connection.read().await.is_some() {
                    let status = if scheduler_ready.load(Ordering::Relaxed) { 200 } else { 503 };
                    connection.answer(status, "", "ok").await.expect("the answer is sent");
                }
            });
        }
    });
    while balancer.ready_schedulers() == 0 {
        tokio::task::yield_now().await;
    }
    for _ in 0..3 {
        let mut client =
            HttpConnection::connect(balancer.address()).await.expect("the load balancer listens");
        client.post("/c/k", "", "").await.expect("the request is sent");
        assert_eq!(client.read().await.expect("an answer").text(), "ok");
    }
    // A scheduler that reports that it is not ready receives no more connections, until it reports ready
    // again.
    for expected_ready in [false, true] {
        ready.store(expected_ready, Ordering::Relaxed);
        while (balancer.ready_schedulers() > 0) != expected_ready {
            tokio::task::yield_now().await;
        }
    }
    drop(scheduler_task);
    while balancer.ready_schedulers() > 0 {
        tokio::task::yield_now().await;
    }
    let mut client = HttpConnection::connect(balancer.address()).await.expect("the load balancer listens");
    assert!(client.read().await.is_none(), "no scheduler is left");
}
