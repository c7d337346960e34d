//! The daemon's process stays within its memory limit, and serves its usual clients, beside clients that make
//! the daemon hold memory for them.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use vetchbridge_testbed::wire::HttpConnection;

const MEMORY_MIB: usize = 32;
const SOCKETS: usize = 1024;
const RESULT_BYTES: usize = 63_000;
/// Interval between two readings of the daemon's memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// A daemon with a memory limit, beside clients that make it hold memory for them.
struct MemoryTest {
    harness: Harness,
    /// Workers, clients and the reader of the daemon's memory; they end with this value.
    background: JoinSet<()>,
    peak_kib: Arc<AtomicUsize>,
    /// How often the daemon ended a connection of a client that holds memory.
    closes: Arc<AtomicUsize>,
}

impl MemoryTest {
    async fn start() -> MemoryTest {
        let limits = json!({"memory_mb": MEMORY_MIB, "sockets": SOCKETS});
        let mut harness = Harness::start_with_limits(4, limits).await;
        let mut background = JoinSet::new();
        for (number, listener) in harness.workers.drain(..).enumerate() {
            background.spawn(run_worker(listener, number, harness.daemon.address));
        }
        let peak_kib = Arc::new(AtomicUsize::new(0));
        background.spawn(record_peak_memory(harness.daemon.child.id(), peak_kib.clone()));
        MemoryTest { harness, background, peak_kib, closes: Arc::default() }
    }

    /// Starts `count` clients that each send `input` and stay until the daemon ends the connection, and then
    /// connect again. Returns once the daemon has ended two connections for each of them.
    async fn hold_memory(&mut self, count: usize, input: String) {
        let address = self.harness.daemon.address;
        for _ in 0..count {
            self.background.spawn(hold_memory(address, input.clone(), self.closes.clone()));
        }
        while self.closes.load(Ordering::Relaxed) < 2 * count {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            assert!(self.harness.daemon.child.try_wait().expect("a child").is_none(), "the daemon runs");
        }
    }

    /// Returns the largest amount of memory, in KiB, that the daemon has held so far.
    fn peak_kib(&self) -> usize {
        self.peak_kib.load(Ordering::Relaxed)
    }
}

/// Guards against a body that takes many times its length: the buffers of its chunks were kept one by one.
/// What a body takes may depend on its chunks by a quarter.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_body_in_small_chunks_takes_no_more_memory_than_one_chunk() {
    let head = "POST /safe/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut peaks = Vec::new();
    for body in [format!("EA60\r\n{}\r\n", "x".repeat(60_000)), "1\r\nx\r\n".repeat(60_000)] {
        let mut test = MemoryTest::start().await;
        test.hold_memory(60, format!("{head}{body}")).await;
        peaks.push(test.peak_kib());
    }
    assert!(peaks[0] > 0 && peaks[1] * 4 <= peaks[0] * 5, "{peaks:?} KiB with one chunk and with 60,000");
}

/// Accepts every job at once, and sends a long result in its callback.
async fn run_worker(listener: TcpListener, number: usize, daemon: SocketAddr) {
    let mut connections = JoinSet::new();
    loop {
        let mut jobs = HttpConnection::new(listener.accept().await.expect("a connection").0);
        connections.spawn(async move {
            while let Some(job) = jobs.read().await {
                let id = job.header("x-trace-id").expect("a job has an id").to_string();
                jobs.send(ACCEPTED).await;
                let callback = json!({"id": id, "from": format!("s-{number}"), "state": "done",
                                      "result": "r".repeat(RESULT_BYTES)});
                tokio::spawn(send_until_acknowledged(daemon, callback.to_string()));
            }
        });
    }
}

/// Sends a callback again until the daemon acknowledges it, as workers do.
async fn send_until_acknowledged(daemon: SocketAddr, callback: String) {
    loop {
        let mut connection = dial(daemon).await;
        let sent = connection.post("/callback", "", &callback).await.is_ok();
        let answer = if sent { connection.read().await } else { None };
        if answer.is_some_and(|answer| answer.status() == "200") {
            return;
        }
    }
}

async fn hold_memory(daemon: SocketAddr, input: String, closes: Arc<AtomicUsize>) {
    loop {
        let mut connection = dial(daemon).await;
        // The daemon may close the connection before it has read the whole input.
        if connection.write(&input).await.is_ok() {
            while connection.read().await.is_some() {}
        }
        closes.fetch_add(1, Ordering::Relaxed);
    }
}

/// Records the largest amount of memory, in KiB, that the process held and shared with no file.
async fn record_peak_memory(process: u32, peak: Arc<AtomicUsize>) {
    let path = format!("/proc/{process}/status");
    while let Ok(status) = std::fs::read_to_string(&path) {
        let fields =
            status.lines().filter(|line| line.starts_with("RssAnon:") || line.starts_with("RssShmem:"));
        let kib = fields.filter_map(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok()).sum();
        peak.fetch_max(kib, Ordering::Relaxed);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
