//! Draining by operators and the graceful shutdown of the daemon as a process.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;

/// A graceful shutdown loses nothing that was accepted: the process is not ready, still serves clients that have a connection,
/// since the other schedulers may be restarting too, then closes connections, then ends.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_graceful_shutdown_responds_to_every_accepted_request() {
    let mut harness = Harness::start(1).await;
    let (mut early, early_id) = harness.submit_job("safe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(ACCEPTED).await;
    // Never complete, so never accepted: it must not delay the end, not even until it times out.
    let mut half = dial(harness.daemon.address).await;
    half.send("POST /safe/k HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nwork").await;
    harness.daemon.signal("-TERM");
    // Readiness is polled until the signal has arrived.
    let closed = loop {
        let answer = harness.get_readiness().await;
        if answer.status() == "503" {
            break answer;
        }
    };
    assert_eq!(closed.header("connection"), None);
    let (mut late, late_id) = harness.submit_job("safe", "k").await;
    worker.read().await.expect("the late job");
    worker.send(ACCEPTED).await;
    for (client, id) in [(&mut early, early_id), (&mut late, late_id)] {
        harness.send_callback(&id, number, "done").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), ("200", None));
    }
    // A client goes on using its connection.
    early.post_request("/safe/k", "X-Trace-Id: 00000000000000aa\r\n", "work").await;
    worker.read().await.expect("the next job");
    worker.send(ACCEPTED).await;
    harness.send_callback("00000000000000aa", number, "done").await;
    assert_eq!(status(early.read().await.as_ref()), "200");
    assert!(early.read().await.is_none() && late.read().await.is_none(), "closed late in the shutdown");
    assert!(harness.daemon.child.wait().expect("it ends").success());
    drop(half);
}

/// Operators drain a scheduler: it is not ready, idle connections are closed, requests that arrive all the same are served and
/// their connections closed, callbacks are accepted, and the process keeps running. It can be resumed, also in the middle.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_drained_scheduler_keeps_running_and_can_be_resumed() {
    let mut harness = Harness::start(1).await;
    assert_eq!(harness.daemon.admin_command("health").await, "ok serving\n");
    let mut idle = dial(harness.daemon.address).await;
    idle.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(idle.read().await.as_ref()), "200");
    // Connected and silent so far: whenever its job arrives, it gets a response.
    let mut slow = dial(harness.daemon.address).await;
    let (mut early, early_id) = harness.submit_job("safe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(ACCEPTED).await;
    assert_eq!(harness.daemon.admin_command("quiesce").await, "ok draining\n");
    let not_ready = harness.get_readiness().await;
    assert_eq!((not_ready.status(), not_ready.header("connection")), ("503", Some("close")));
    assert!(idle.read().await.is_none(), "an idle connection is closed");
    assert_eq!(harness.daemon.admin_command("health").await, "ok drained\n");
    slow.post_request("/safe/k", "X-Trace-Id: 00000000000000aa\r\n", "work").await;
    worker.read().await.expect("the slow client's job");
    worker.send(ACCEPTED).await;
    let (mut late, late_id) = harness.submit_job("safe", "k").await;
    worker.read().await.expect("the late job");
    worker.send(ACCEPTED).await;
    let slow_id = "00000000000000aa".to_string();
    for (client, id) in [(&mut early, early_id), (&mut late, late_id), (&mut slow, slow_id)] {
        harness.send_callback(&id, number, "done").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
        assert!(client.read().await.is_none());
    }
    for call in ["resume", "quiesce", "resume"] {
        harness.daemon.admin_command(call).await;
    }
    let ready = harness.get_readiness().await;
    assert_eq!((ready.status(), ready.header("connection")), ("200", None));
    harness.daemon.admin_command("quiesce").await;
    harness.daemon.signal("-TERM");
    assert!(harness.daemon.child.wait().expect("it ends").success(), "a drained scheduler ends as any other");
}

/// A request that can't be completed before the end gets a response all the same, and its attempt is canceled.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_open_at_the_end_of_a_shutdown_gets_a_final_response() {
    let mut harness = Harness::start(1).await;
    let (mut client, id) = harness.submit_job("safe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(ACCEPTED).await;
    harness.send_callback(&id, number, "started").await;
    harness.daemon.signal("-TERM");
    assert_eq!(status(client.read().await.as_ref()), "503");
    assert_eq!(worker.read().await.expect("a call").line, format!("DELETE /jobs/{id} HTTP/1.1"));
    assert!(harness.daemon.child.wait().expect("it ends").success());
}
