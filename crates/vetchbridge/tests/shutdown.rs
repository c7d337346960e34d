//! Drains of the daemon by operators, and the graceful shutdown of the daemon after SIGTERM. The daemon runs
//! as a process.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;

/// A graceful shutdown must not lose an accepted request. After SIGTERM the daemon is not ready for new
/// clients, but still serves clients that have a connection, since the other schedulers may be restarting
/// too. Later the daemon closes the connections and ends.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_graceful_shutdown_responds_to_every_accepted_request() {
    let mut harness = Harness::start(1).await;
    let (mut early, early_id) = harness.submit_job("safe", "k").await;
    let (number, mut worker) = harness.accept_worker_connection().await;
    worker.read().await.expect("the job");
    worker.send(ACCEPTED).await;
    // An incomplete request is never accepted. The shutdown must not wait for such a request, not even until
    // the request times out.
    let mut incomplete = dial(harness.daemon.address).await;
    incomplete.send("POST /safe/k HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nwork").await;
    harness.daemon.signal("-TERM");
    // The daemon may not have received SIGTERM yet, so the test polls the daemon's readiness.
    let not_ready = loop {
        let answer = harness.get_readiness().await;
        if answer.status() == "503" {
            break answer;
        }
    };
    assert_eq!(not_ready.header("connection"), None);
    let (mut late, late_id) = harness.submit_job("safe", "k").await;
    worker.read().await.expect("the late job");
    worker.send(ACCEPTED).await;
    for (client, id) in [(&mut early, early_id), (&mut late, late_id)] {
        harness.send_callback(&id, number, "done").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), ("200", None));
    }
    // An early client sends a further request on its open connection.
    early.post_request("/safe/k", "X-Trace-Id: 00000000000000aa\r\n", "work").await;
    worker.read().await.expect("the next job");
    worker.send(ACCEPTED).await;
    harness.send_callback("00000000000000aa", number, "done").await;
    assert_eq!(status(early.read().await.as_ref()), "200");
    assert!(
        early.read().await.is_none() && late.read().await.is_none(),
        "connections are closed late in the shutdown"
    );
    assert!(harness.daemon.child.wait().expect("the daemon ends").success());
    drop(incomplete);
}

/// A scheduler that operators drain is not ready for new clients and closes idle connections. The scheduler
/// still serves requests that arrive and then closes their connections, accepts callbacks, and keeps running.
/// Operators can resume the scheduler at any time, also during the drain.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_drained_scheduler_keeps_running_and_can_be_resumed() {
    let mut harness = Harness::start(1).await;
    assert_eq!(harness.daemon.admin_command("health").await, "ok serving\n");
    let mut idle = dial(harness.daemon.address).await;
    idle.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
    assert_eq!(status(idle.read().await.as_ref()), "200");
    // A client that connected before the drain and sent nothing must get a response to a job that it sends
    // during the drain.
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
    for command in ["resume", "quiesce", "resume"] {
        harness.daemon.admin_command(command).await;
    }
    let ready = harness.get_readiness().await;
    assert_eq!((ready.status(), ready.header("connection")), ("200", None));
    harness.daemon.admin_command("quiesce").await;
    harness.daemon.signal("-TERM");
    assert!(
        harness.daemon.child.wait().expect("the daemon ends").success(),
        "a drained scheduler shuts down"
    );
}

/// A request that can't be completed before the daemon ends must get a final response, and its attempt must
/// be cancelled.
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
    assert_eq!(
        worker.read().await.expect("the cancellation").start_line,
        format!("DELETE /jobs/{id} HTTP/1.1")
    );
    assert!(harness.daemon.child.wait().expect("the daemon ends").success());
}
