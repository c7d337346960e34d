//! Stories of crowds: clients that only stay take no descriptor from a callback, a probe of readiness or a job.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use vetchbridge_testbed::wire::Wire;

const READY: &str = "GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n";

impl Harness {
    /// The machine gives the daemon so many descriptors from now on, whatever it was told.
    fn may_hold_descriptors(&self, most: u64) {
        let pid = Pid::from_raw(self.daemon.child.id() as i32).expect("a process");
        let limit = Rlimit { current: Some(most), maximum: Some(1024) };
        prlimit(Some(pid), Resource::Nofile, limit).expect("its limit is ours to set");
    }

    /// Takes the last descriptor that the machine gives the daemon; a connection waits that could not be accepted.
    async fn no_descriptor_is_left(&mut self) -> Vec<Wire> {
        const DESCRIPTORS: u64 = 40;
        self.may_hold_descriptors(DESCRIPTORS);
        let mut crowd = Vec::new();
        for _ in 0..=DESCRIPTORS {
            let mut stays = dial(self.daemon.address).await;
            // Who has been answered may stay; who says nothing is sent away in time.
            stays.send(READY).await;
            crowd.push(stays);
        }
        self.daemon.wait_for_log("accept.failed").await;
        crowd
    }

    /// Tells the list once, and goes: no call to discovery holds a descriptor from then on.
    async fn discovery_goes(&mut self) {
        let mut watch = Wire::new(self.discovery.accept().await.expect("the watch").0);
        watch.read_target().await;
        watch.send_endpoints(5, json!(self.known)).await;
        watch.read_target().await;
        drop(std::mem::replace(&mut self.discovery, TcpListener::bind("127.0.0.1:0").await.expect("a port")));
        drop(watch);
        self.daemon.wait_for_log("discovery.failed").await;
    }
}

/// Clients and callbacks that have been answered and stay fill all there is, discovery is down and no connection to a worker
/// is left: a job still gets its dial, its callback and its answer, and readiness is told.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn idle_connections_keep_out_no_job_while_discovery_is_down() {
    let mut harness = Harness::start(1).await;
    drop(std::mem::replace(&mut harness.discovery, TcpListener::bind("127.0.0.1:0").await.expect("a port")));
    let (mut first, id) = harness.submit_job("safe", "k").await;
    harness.serve_next_attempt(&id).await;
    assert_eq!(status(&first.read().await), "200");
    let mut crowd = vec![first];
    for number in 0..4 * DESCRIPTOR_LIMIT {
        let mut stays = dial(harness.daemon.address).await;
        if number % 2 == 0 {
            stays.send(READY).await;
        } else {
            let body = json!({"id": id, "from": "s-0", "state": "done", "result": "made"}).to_string();
            stays.post_request("/callback", "", &body).await;
        }
        assert_eq!(status(&stays.read().await), "200");
        crowd.push(stays);
    }
    for _ in 0..DESCRIPTOR_LIMIT {
        assert_eq!(harness.assert_only_next_job_arrives().await, 0);
        assert_eq!(harness.readiness().await.status(), "200");
    }
}

/// Where the machine gives fewer descriptors than were told, accepting pauses and goes on once there are some again.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn accepting_goes_on_after_the_last_descriptor() {
    const FAILURES: u32 = 10;
    let mut harness = Harness::start_with_limit(0, &[], 1024).await;
    harness.may_hold_descriptors(40);
    let began = Instant::now();
    let mut crowd: Vec<Wire> = Vec::new();
    for _ in 0..100 {
        crowd.push(dial(harness.daemon.address).await);
    }
    for _ in 0..FAILURES {
        harness.daemon.wait_for_log("accept.failed").await;
    }
    assert!(began.elapsed() >= (FAILURES - 1) * Duration::from_millis(20), "it pauses after each");
    drop(crowd);
    assert_eq!(harness.readiness().await.status(), "200");
}

/// An attempt that finds no descriptor for its dial never ran, and is no fault of its worker: even one that must not run twice
/// is refused at once with harmless advice, which does not grow however often it happens, and goes through once there are
/// descriptors again.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_dial_without_a_descriptor_blames_no_worker() {
    const TIMES: usize = 2;
    // A worker that is ejected is tried all the same where there is no other, and the advice tells until when it would be.
    let mut harness = Harness::start_with_limit(1, &[], 1024).await;
    harness.discovery_goes().await;
    let mut client = dial(harness.daemon.address).await;
    client.send(READY).await;
    assert_eq!(status(&client.read().await), "200");
    let crowd = harness.no_descriptor_is_left().await;
    for id in 0..TIMES {
        client.post_request("/unsafe/k", &format!("X-Trace-Id: {id:016x}\r\n"), "work").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!(answer.status(), "503", "it never ran: {answer:?}");
        let advice: f64 = answer.header("retry-after").expect("advice").parse().expect("seconds");
        assert!(advice <= 0.6, "{advice} after {id} of them");
    }
    harness.may_hold_descriptors(1024);
    client.post_request("/unsafe/k", "X-Trace-Id: 00000000000000ab\r\n", "work").await;
    harness.serve_next_attempt("00000000000000ab").await;
    assert_eq!(status(&client.read().await), "200");
    drop(crowd);
}

/// Hands in jobs to the one worker until a newcomer is turned away: the connections of all others, which are owed an answer, and
/// their ids.
async fn every_place_is_owed_an_answer(harness: &mut Harness) -> Vec<(Wire, String)> {
    let mut owed = Vec::new();
    loop {
        let (mut client, id) = harness.submit_job("safe", "k").await;
        tokio::select! {
            closed = client.read() => {
                assert_eq!(closed, None, "no word");
                assert!(owed.len() >= DESCRIPTOR_LIMIT as usize / 4, "{} connections", owed.len());
                return owed;
            }
            (_, mut worker) = harness.accept_worker() => {
                let job = worker.read().await.expect("the job");
                assert_eq!(job.header("x-trace-id"), Some(id.as_str()), "and not one that was turned away");
                worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
                worker.closed().await;
                owed.push((client, id));
            }
        }
    }
}

/// Where every connection is owed an answer, nobody makes room: a newcomer is closed at once and nothing of it is read, and
/// those that are owed an answer are not disturbed.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_newcomer_for_whom_nobody_can_be_spared_goes_unheard() {
    let mut harness = Harness::start(1).await;
    let mut owed = every_place_is_owed_an_answer(&mut harness).await;
    for (client, _) in &mut owed {
        assert!(futures_util::poll!(std::pin::pin!(client.read())).is_pending(), "it waits on");
    }
}

/// What all of them wait for comes on connections of its own: a callback is heard where no other newcomer is.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_callback_is_heard_although_every_place_is_owed_an_answer() {
    let mut harness = Harness::start(1).await;
    let owed = every_place_is_owed_an_answer(&mut harness).await;
    let mut callbacks = Vec::new();
    for (_, id) in &owed {
        // A worker that keeps its connection must not keep the next callback out.
        let mut callback = dial(harness.daemon.address).await;
        let body = json!({"id": id, "from": "s-0", "state": "started"}).to_string();
        callback.post_request("/callback", "", &body).await;
        assert_eq!(status(&callback.read().await), "200");
        callbacks.push(callback);
    }
    for (mut client, id) in owed {
        harness.send_callback(&id, 0, "done").await;
        assert_eq!(status(&client.read().await), "200");
    }
}

/// However many requests come at once on one connection, those of others are answered; who sends them and goes has
/// none of them sent to a worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_flood_on_one_connection_costs_no_other_request() {
    let mut harness = Harness::start(1).await;
    let flood: String = (1..=200)
        .map(|id| format!("POST /safe/k HTTP/1.1\r\nx-trace-id: {id:016x}\r\ncontent-length: 4\r\n\r\nwork"))
        .collect();
    let mut floods = Vec::new();
    for _ in 0..20 {
        let mut client = dial(harness.daemon.address).await;
        harness.daemon.suspend().await;
        client.send(&flood).await;
        client.socket().shutdown().await.expect("its side is closed");
        wait_until_delivered(&mut client).await;
        harness.daemon.resume();
        floods.push(client);
        // Its first job may have been dialled for, if the end came to light a moment after it; none is written.
        harness.assert_only_next_job_arrives().await;
    }
    for client in &mut floods {
        assert!(client.read().await.is_none(), "its connection is closed without a word");
    }
}
