//! Stories of connections that the daemon ends: the last answer arrives whole, and what comes after it goes nowhere.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use vetchbridge_testbed::wire::Wire;

/// A connection of which the other side alone has closed, in the kernel's words.
const CLOSE_WAIT: &str = "08";
const READY: &str = "GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n";
/// A worker's answer that ends its connection, so that each job is seen to be dialled for.
const ACCEPTED_LAST: &str = "HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

fn post(id: &str, length: usize) -> String {
    format!(
        "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: {id}\r\ncontent-length: {length}\r\n\r\n{}",
        "x".repeat(length)
    )
}

/// The daemon closes its side, and then the client's kernel knows of no break, which would take back what is on its way.
/// `daemon`: it goes on, and has answered another call after that; had it dropped the connection, that would be past.
async fn ends_cleanly(client: &mut Wire, daemon: Option<&Harness>) {
    let mut rest = Vec::new();
    let (here, there) = addresses(client);
    client.socket().read_to_end(&mut rest).await.expect("no reset");
    assert!(rest.is_empty(), "{}", rest.escape_ascii());
    if let Some(harness) = daemon {
        harness.readiness().await;
    }
    let state = kernel_connection(here, there).map(|connection| connection.state);
    assert_eq!(state.as_deref(), Some(CLOSE_WAIT), "only the other side has closed");
}

/// An answer that ends its connection is not taken back because of what the daemon has not read.
#[rstest]
#[case::too_large("POST /safe/k HTTP/1.1\r\nhost: x\r\ncontent-length: 62914560\r\n\r\n", "413")]
#[case::unreadable("POST /safe/k HTTP/1.1\r\nno header\r\n\r\n", "400")]
#[case::no_such_method("PUT /safe/k HTTP/1.1\r\nhost: x\r\ncontent-length: 60000\r\n\r\n", "405")]
#[case::last_by_wish("GET /health/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n", "200")]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_answer_outlives_what_is_unread(#[case] head: &str, #[case] expected: &str) {
    let harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    harness.daemon.suspend().await;
    client.send(&format!("{head}{}", "x".repeat(40_000))).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.resume();
    assert_eq!(status(&client.read().await), expected);
    ends_cleanly(&mut client, Some(&harness)).await;
    assert_eq!(harness.readiness().await.status(), "200");
}

/// What comes after a request whose answer ends the connection reaches no worker, whether it was read before or after.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn nothing_is_sent_on_of_what_follows_the_last_answer(#[values(100, 20_000)] length: usize) {
    let mut harness = Harness::start(1).await;
    harness.daemon.admin_command("quiesce").await;
    let mut client = dial(harness.daemon.address).await;
    client.send(&post("00000000000000a1", 4)).await;
    let (number, mut worker) = harness.accept_worker().await;
    worker.read().await.expect("the job");
    client.send(&post("00000000000000a2", length)).await;
    worker.send(ACCEPTED_LAST).await;
    harness.send_callback("00000000000000a1", number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    client.send(&post("00000000000000a3", length)).await;
    ends_cleanly(&mut client, Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}

/// A chunked job is its connection's last: however it came, what follows it reaches no worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn nothing_is_sent_on_of_what_follows_a_chunked_job(#[values(true, false)] at_once: bool) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    let head = "POST /safe/k HTTP/1.1\r\nhost: x\r\nx-trace-id: 00000000000000a1\r\ntransfer-encoding: chunked\r\n\r\n";
    let all = format!("{head}4\r\nwork\r\n0\r\n\r\n{}", post("00000000000000a2", 4));
    if at_once {
        client.send(&all).await;
    } else {
        client.write_in_pieces(&all).await.expect("the daemon reads");
    }
    let (number, mut worker) = harness.accept_worker().await;
    assert_eq!(worker.read().await.expect("the job").text(), "work");
    worker.send(ACCEPTED_LAST).await;
    harness.send_callback("00000000000000a1", number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    ends_cleanly(&mut client, Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}

/// Idle connections are closed while the next request is on the way: what has been read of it is read on and answered.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn half_a_request_is_no_idle_connection(#[values(1, 30, 120)] cut: usize) {
    let harness = Harness::start(1).await;
    let (mut client, mut idle) = (dial(harness.daemon.address).await, dial(harness.daemon.address).await);
    for kept in [&mut client, &mut idle] {
        kept.send(READY).await;
        assert_eq!(status(&kept.read().await), "200");
    }
    let job = post("00000000000000a1", 60);
    client.send(&job[..cut]).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.admin_command("quiesce").await;
    // Closed half a second later, and the other one with it.
    ends_cleanly(&mut idle, Some(&harness)).await;
    client.send(&job[cut..]).await;
    let (number, mut worker) = tokio::select! {
        asked = harness.accept_worker() => asked,
        ended = client.read() => panic!("it was ended with {ended:?}"),
    };
    worker.read().await.expect("the job");
    worker.send(ACCEPTED_LAST).await;
    harness.send_callback("00000000000000a1", number, "done").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    ends_cleanly(&mut client, Some(&harness)).await;
}

/// A request and the moment in which its idle connection is closed, found by the daemon together: it is answered whole,
/// or the connection ends with nothing sent on.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_that_meets_the_idle_close_is_answered_or_goes_nowhere() {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    client.send(READY).await;
    assert_eq!(status(&client.read().await), "200");
    harness.daemon.admin_command("quiesce").await;
    harness.daemon.suspend().await;
    // Its clock goes on, and passes the moment for certain.
    tokio::time::sleep(Duration::from_millis(600)).await;
    client.send(&post("00000000000000a1", 4)).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.resume();
    let served = async {
        let (number, mut worker) = harness.accept_worker().await;
        worker.read().await.expect("the job");
        worker.send(ACCEPTED_LAST).await;
        harness.send_callback("00000000000000a1", number, "done").await;
    };
    let answer = tokio::select! {
        // Either the worker is asked, and then the client has its answer, or the connection ends.
        () = served => Some(client.read().await.expect("an answer")),
        ended = client.read() => ended,
    };
    if let Some(answer) = answer {
        assert_eq!((answer.status(), answer.header("connection")), ("200", Some("close")));
    }
    ends_cleanly(&mut client, Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}

/// The last answers of a process that ends are whole, whether the client goes on writing before or after them.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn the_end_of_the_process_takes_no_answer_back() {
    let mut harness = Harness::start(1).await;
    let (mut before, _) = harness.submit_job("safe", "k").await;
    let (mut after, _) = harness.submit_job("safe", "k").await;
    for _ in 0..2 {
        let (_, mut worker) = harness.accept_worker().await;
        worker.read().await.expect("the job");
    }
    before.send(&post("00000000000000a2", 20_000)).await;
    harness.daemon.signal("-TERM");
    assert_eq!(status(&after.read().await), "503");
    after.send(&post("00000000000000a3", 20_000)).await;
    assert!(harness.daemon.child.wait().expect("it ends").success());
    assert_eq!(status(&before.read().await), "503");
    ends_cleanly(&mut before, None).await;
    ends_cleanly(&mut after, None).await;
}

/// A request that the daemon finds together with its last call, on a connection kept or new, is answered whole or its
/// connection ends with nothing sent on.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_that_meets_the_last_call_is_answered_or_goes_nowhere(#[values(true, false)] kept: bool) {
    let mut harness = Harness::start(1).await;
    let mut client = dial(harness.daemon.address).await;
    if kept {
        client.send(READY).await;
        assert_eq!(status(&client.read().await), "200");
    }
    harness.daemon.signal("-TERM");
    harness.daemon.wait_for_log("state=\"ending\"").await;
    harness.daemon.suspend().await;
    // Its clock goes on, and passes the last call for certain.
    tokio::time::sleep(Duration::from_millis(3400)).await;
    client.send(&post("00000000000000a1", 4)).await;
    wait_until_delivered(&mut client).await;
    harness.daemon.resume();
    let answer = client.read().await;
    assert!(harness.daemon.child.wait().expect("it ends").success());
    if let Some(answer) = answer {
        assert_eq!((answer.status(), answer.header("connection")), ("503", Some("close")));
    } else {
        // Whoever was dialled for it came before this.
        let mut marker = dial(harness.workers[0].local_addr().expect("bound")).await;
        let (_, mut first) = harness.accept_worker().await;
        assert_eq!(addresses(&mut first).1, addresses(&mut marker).0, "nothing was sent on");
    }
}

/// Who makes room is told so by an end of stream, and those who are slow to go keep no newcomer out.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn who_makes_room_is_not_reset_and_keeps_nobody_out() {
    let mut harness = Harness::start(1).await;
    let mut crowd = Vec::new();
    for _ in 0..4 * DESCRIPTOR_LIMIT {
        let mut kept = dial(harness.daemon.address).await;
        kept.send(READY).await;
        assert_eq!(status(&kept.read().await), "200");
        crowd.push(kept);
    }
    // The first to come was the first to go.
    ends_cleanly(&mut crowd[0], Some(&harness)).await;
    assert_eq!(harness.assert_only_next_job_arrives().await, 0);
}
