//! The daemon loses no response when its system calls fail in ways that Linux documents. The fault injection
//! library makes the calls fail; a seed selects which calls.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;
use vetchbridge_testbed::wire::HttpConnection;

/// The time after which a test counts as stuck. This limit is far longer than a job takes, and shorter than a
/// job's deadline.
const STUCK_AFTER: Duration = Duration::from_secs(20);

/// Number of jobs sent on one reused client connection. After each of these jobs, one more job is sent on a
/// new connection.
const JOBS: usize = 40;

/// The faults of reads and writes that the tests inject, separately and combined.
const TRANSFER_FAULTS: [&str; 5] = [
    "recv.interrupted=0.2",
    "send.interrupted=0.2",
    "recv.short=0.5",
    "send.short=0.5",
    "recv.interrupted=0.1,send.interrupted=0.1,recv.short=0.3,send.short=0.3,wait.interrupted=0.1",
];

/// A system call that is interrupted, or that transfers fewer bytes than requested, neither ends nor delays
/// the transfer of a job or response.
#[tokio::test]
async fn no_job_is_lost_to_calls_that_are_interrupted_or_cut_short() {
    for faults in TRANSFER_FAULTS {
        timeout(STUCK_AFTER, assert_jobs_are_served(faults))
            .await
            .unwrap_or_else(|_| panic!("stuck: {faults}"));
    }
}

async fn assert_jobs_are_served(faults: &str) {
    let mut harness = Harness::start_with_faults(1, &format!("seed=11,{faults}")).await;
    let mut reused = dial(harness.daemon.address).await;
    for number in 0..JOBS {
        let id = format!("{:016x}", 0xfa00 + number);
        let headers = format!("X-Trace-Id: {id}\r\nX-Qos: safe\r\n");
        reused.post_request("/safe/k", &headers, &"work ".repeat(300)).await;
        let job = async {
            let mut worker = HttpConnection::new(harness.workers[0].accept().await.expect("a connection").0);
            let request = worker.read().await.expect("the job");
            worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
            request
        };
        let request = job.await;
        assert_eq!((request.header("x-trace-id"), request.body.len()), (Some(id.as_str()), 1500), "{faults}");
        harness.send_callback(&id, 0, "done").await;
        assert_eq!(
            status(reused.read().await.as_ref()),
            "200",
            "{faults}: job {number} on a reused connection"
        );
        let (mut client, id) = harness.submit_job("safe", "k").await;
        harness.serve_next_attempt(&id).await;
        assert_eq!(
            status(client.read().await.as_ref()),
            "200",
            "{faults}: job {number} on a connection of its own"
        );
    }
    assert_eq!(harness.daemon.admin_command("health").await, "ok serving\n");
}

/// Signals to the daemon take effect even if reads are interrupted. Tokio reads signal notifications from a
/// socket, and this read may be interrupted like any other.
#[rstest]
#[timeout(STUCK_AFTER)]
#[tokio::test]
async fn signals_take_effect_although_reads_are_interrupted() {
    let mut harness = Harness::start_with_faults(1, "seed=3,recv.interrupted=0.5").await;
    for _ in 0..20 {
        harness.daemon.signal("-HUP");
        harness.daemon.wait_for_log("configuration.applied").await;
    }
    harness.daemon.signal("-TERM");
    harness.daemon.wait_for_log("daemon.stopped").await;
    assert!(harness.daemon.child.wait().expect("the daemon ends").success());
}

/// The daemon retries to create sockets while it starts, because resources that are unavailable at one moment
/// may be available at the next.
#[tokio::test]
async fn the_daemon_retries_to_create_sockets_while_it_starts() {
    for seed in 1..=8 {
        timeout(STUCK_AFTER, assert_daemon_starts(seed))
            .await
            .unwrap_or_else(|_| panic!("stuck: seed {seed}"));
    }
}

async fn assert_daemon_starts(seed: u32) {
    let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peer_address =
        std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port").local_addr().expect("a bound socket");
    let mut config = daemon_config(discovery.local_addr().expect("a bound socket"), json!([]));
    config["peer_listen"] = peer_address.to_string().into();
    config["peers"] = json!([peer_address.to_string()]);
    let folder = tempfile::tempdir().expect("a folder");
    let faults = format!("seed={seed},socket.failed=0.5,connect.failed=0.3");
    let mut process = Process::start_with_faults(&config, folder.path(), &faults);
    confirm_endpoint_list(&discovery).await;
    process.wait_for_log("serving").await;
    assert_eq!(process.admin_command("health").await, "ok serving\n");
}
