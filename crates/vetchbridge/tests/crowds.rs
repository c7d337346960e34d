//! Stories of crowds: clients that only stay take no descriptor from a callback, a probe of readiness or a job.
#![allow(missing_docs)]

mod common;

use common::*;
use platform::wire::Wire;
use rstest::rstest;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const READY: &str = "GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n";

/// Clients and callbacks that have been answered and stay fill all there is, discovery is down and no connection to a peer
/// is left: a job still gets its dial, its callback and its answer, and readiness is told.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn idle_connections_keep_out_no_job_while_discovery_is_down() {
    let mut stage = Stage::set(1).await;
    drop(std::mem::replace(&mut stage.discovery, TcpListener::bind("127.0.0.1:0").await.expect("a port")));
    let (mut first, id) = stage.job("safe", "k").await;
    stage.serve_next(&id).await;
    assert_eq!(status(&first.read().await), "200");
    let mut crowd = vec![first];
    for number in 0..4 * SOCKETS {
        let mut stays = dial(stage.daemon.address).await;
        if number % 2 == 0 {
            stays.send(READY).await;
        } else {
            let body = json!({"id": id, "from": "s-0", "state": "done", "result": "made"}).to_string();
            stays.hand_in("/callback", "", &body).await;
        }
        assert_eq!(status(&stays.read().await), "200");
        crowd.push(stays);
    }
    for _ in 0..SOCKETS {
        assert_eq!(stage.only_one_more_arrives().await, 0);
        assert_eq!(stage.readiness().await.status(), "200");
    }
}

/// Where the machine gives fewer descriptors than were told, accepting pauses and goes on once there are some again.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn accepting_goes_on_after_the_last_descriptor() {
    const FAILURES: u32 = 10;
    let mut stage = Stage::limited(0, &[], 1024).await;
    let pid = Pid::from_raw(stage.daemon.child.id() as i32).expect("a process");
    let limit = |current| Rlimit { current: Some(current), maximum: Some(1024) };
    prlimit(Some(pid), Resource::Nofile, limit(40)).expect("its limit is ours to set");
    let began = Instant::now();
    let mut crowd: Vec<Wire> = Vec::new();
    for _ in 0..100 {
        crowd.push(dial(stage.daemon.address).await);
    }
    for _ in 0..FAILURES {
        stage.daemon.logs("accept.failed").await;
    }
    assert!(began.elapsed() >= (FAILURES - 1) * Duration::from_millis(20), "it pauses after each");
    drop(crowd);
    assert_eq!(stage.readiness().await.status(), "200");
}

/// However many requests come at once on one connection, those of others are answered; who sends them and goes has
/// none of them sent to a peer.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_flood_on_one_connection_costs_no_other_request() {
    let mut stage = Stage::set(1).await;
    let flood: String = (1..=200)
        .map(|id| format!("POST /safe/k HTTP/1.1\r\nx-trace-id: {id:016x}\r\ncontent-length: 4\r\n\r\nwork"))
        .collect();
    let mut floods = Vec::new();
    for _ in 0..20 {
        let mut client = dial(stage.daemon.address).await;
        stage.daemon.freeze().await;
        client.send(&flood).await;
        client.socket().shutdown().await.expect("its side is closed");
        delivered(&mut client).await;
        stage.daemon.thaw();
        floods.push(client);
        // Its first job may have been dialled for, if the end came to light a moment after it; none is written.
        stage.only_one_more_arrives().await;
    }
    for client in &mut floods {
        assert!(client.read().await.is_none(), "its connection is closed without a word");
    }
}
