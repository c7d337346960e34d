//! The load balancer: readiness, round robin and the detection of a dead scheduler.
#![allow(missing_docs)]

use rstest::rstest;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use vetchbridge_testbed::load_balancer::LoadBalancer;
use vetchbridge_testbed::wire::Wire;
use vetchbridge_testbed::{AbortOnDrop, Port};

/// How long a test may take.
const HANG: Duration = Duration::from_secs(60);

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_load_balancer_uses_ready_schedulers_and_detects_a_dead_one_after_a_delay() {
    let ready = Arc::new(AtomicBool::new(true));
    let answers_ready = ready.clone();
    let scheduler = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let dead = Port::reserve().expect("a port");
    let detection_delay = Duration::from_millis(300);
    let balancer =
        LoadBalancer::start(&[dead.address(), scheduler.local_addr().expect("bound")], detection_delay)
            .await
            .expect("a load balancer");
    let serving = AbortOnDrop::spawn(async move {
        loop {
            let (stream, _) = scheduler.accept().await.expect("a connection");
            let answers_ready = answers_ready.clone();
            tokio::spawn(async move {
                let mut wire = Wire::new(stream);
                while wire.read().await.is_some() {
                    let status = if answers_ready.load(Ordering::Relaxed) { 200 } else { 503 };
                    wire.answer(status, "", "ok").await.expect("answered");
                }
            });
        }
    });
    while balancer.ready_schedulers() == 0 {
        tokio::task::yield_now().await;
    }
    for _ in 0..3 {
        let mut client = Wire::dial(balancer.address()).await.expect("it listens");
        client.post("/c/k", "", "").await.expect("sent");
        assert_eq!(client.read().await.expect("an answer").text(), "ok");
    }
    // A scheduler that is not ready gets no connection, until it is ready again.
    for wanted in [false, true] {
        ready.store(wanted, Ordering::Relaxed);
        while (balancer.ready_schedulers() > 0) != wanted {
            tokio::task::yield_now().await;
        }
    }
    drop(serving);
    while balancer.ready_schedulers() > 0 {
        tokio::task::yield_now().await;
    }
    let mut client = Wire::dial(balancer.address()).await.expect("it listens");
    assert!(client.read().await.is_none(), "no scheduler is left");
}
