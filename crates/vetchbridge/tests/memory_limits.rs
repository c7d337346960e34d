//! The daemon's process stays within its memory limit, and serves its usual clients, beside clients that make
//! the daemon hold memory for them.
#![allow(missing_docs)]

mod common;

use common::*;
use rstest::rstest;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use serde_json::json;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Barrier;
use tokio::task::JoinSet;
use vetchbridge_testbed::wire::HttpConnection;

const MEMORY_MIB: usize = 32;
const SOCKETS: usize = 1024;
const USUAL_CLIENTS: usize = 200;
const BODY_BYTES: usize = 20_000;
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
        MemoryTest::start_with_worker(run_worker).await
    }

    /// Starts the daemon with workers that run the future that `worker` returns for each of them.
    async fn start_with_worker<F: Future<Output = ()> + Send + 'static>(
        worker: impl Fn(TcpListener, usize, SocketAddr) -> F,
    ) -> MemoryTest {
        allow_all_descriptors();
        let limits = json!({"memory_mb": MEMORY_MIB, "sockets": SOCKETS});
        let mut harness = Harness::start_with_limits(4, limits).await;
        let mut background = JoinSet::new();
        for (number, listener) in harness.workers.drain(..).enumerate() {
            background.spawn(worker(listener, number, harness.daemon.address));
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

/// Raises this process's limit on file descriptors as far as the operating system permits: each test opens a
/// connection for each of several hundred clients.
fn allow_all_descriptors() {
    let limit = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum })
        .expect("the limit is set");
}

/// Guards against memory that counts against no limit (only bodies did, not what connections hold beside them),
/// and against memory that clients take by announcing a body, or keep by sending the start of one. Usual clients,
/// who send all their jobs at once, are served as if the others were not there.
#[rstest]
#[case::unfinished_heads(600, unfinished_head())]
#[case::unfinished_bodies(600, unfinished_request("/safe/k", 34_000))]
#[case::announced_bodies(600, unfinished_request("/safe/k", 0))]
#[case::unfinished_callbacks(600, unfinished_request("/callback", 34_000))]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn clients_that_hold_memory_take_neither_the_limit_nor_the_service(
    #[case] count: usize,
    #[case] input: String,
) {
    let mut test = MemoryTest::start().await;
    let (round, finished) = (Arc::new(Barrier::new(USUAL_CLIENTS)), Arc::new(AtomicBool::new(false)));
    let mut usual = JoinSet::new();
    for number in 0..USUAL_CLIENTS {
        usual.spawn(submit_jobs(test.harness.daemon.address, number, round.clone(), finished.clone()));
    }
    test.hold_memory(count, input).await;
    finished.store(true, Ordering::Relaxed);
    let (mut served, mut rejected) = (0, 0);
    for (client_served, client_rejected) in usual.join_all().await {
        served += client_served;
        rejected += client_rejected;
    }
    let (peak_kib, limit_kib) = (test.peak_kib(), MEMORY_MIB * 1024);
    println!("{served} jobs served, {rejected} rejected, peak {peak_kib} KiB");
    assert!(peak_kib > 0 && peak_kib <= limit_kib, "{peak_kib} KiB of {limit_kib} KiB");
    assert!(served >= USUAL_CLIENTS && rejected * 100 <= served, "{served} served, {rejected} rejected");
}

/// The head of a job that fills almost all of the length that a head may have, without its last line.
fn unfinished_head() -> String {
    format!("POST /safe/k HTTP/1.1\r\nHost: x\r\nX-A: {}", "a".repeat(8100))
}

/// A request that announces a body of 64,000 bytes, with the first `bytes` of them.
fn unfinished_request(target: &str, bytes: usize) -> String {
    let head = format!("POST {target} HTTP/1.1\r\nHost: x\r\nContent-Length: 64000\r\n\r\n");
    format!("{head}{}", "b".repeat(bytes))
}

/// Guards against a request that waits in the kernel's buffer without a time limit: while memory is short, the
/// daemon reads a request only when all of it has arrived, and an idle connection has no time limit. A request in
/// pieces is served meanwhile.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_on_a_kept_alive_connection_is_served_or_ended_while_memory_is_short() {
    // With this limit, these idle connections alone fill the budget beyond the part for unfinished input.
    const IDLE_CLIENTS: usize = 20;
    let mut harness = Harness::start_with_limits(1, json!({"memory_mb": 1, "sockets": SOCKETS})).await;
    let mut clients = Vec::new();
    for _ in 0..IDLE_CLIENTS {
        let mut client = dial(harness.daemon.address).await;
        client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
        assert_eq!(status(client.read().await.as_ref()), "200");
        clients.push(client);
    }
    let worker = harness.workers.pop().expect("a worker");
    let address = harness.daemon.address;
    let worker = tokio::spawn(async move { run_worker(worker, 0, address).await });
    let mut in_pieces = clients.pop().expect("a client");
    for piece in
        ["POST /safe/k HTTP/1.1\r\nX-Trace-Id: 00000000000000ab\r\nContent-Length: 4\r\n", "\r\nwo", "rk"]
    {
        in_pieces.send(piece).await;
        wait_until_delivered(&mut in_pieces).await;
    }
    assert_eq!(status(in_pieces.read().await.as_ref()), "200");
    for client in &mut clients {
        client.send(&unfinished_request("/safe/k", 4)).await;
    }
    let sent_at = Instant::now();
    for client in &mut clients {
        while client.read().await.is_some() {}
    }
    assert!(sent_at.elapsed() < Duration::from_secs(3), "clients that stop are ended within 3 s");
    worker.abort();
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

/// Guards against a buffer without a limit: of a worker's response whose head never ends, up to 400 KB were held
/// for each connection, which counted as 20 KiB. Each of many jobs at once gets its answer.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn responses_of_workers_whose_heads_never_end_stay_within_the_limit() {
    const JOBS: usize = 300;
    let test = MemoryTest::start_with_worker(run_worker_with_endless_heads).await;
    let mut clients = JoinSet::new();
    for number in 0..JOBS {
        let address = test.harness.daemon.address;
        clients.spawn(async move {
            let mut connection = dial(address).await;
            let headers = format!("X-Trace-Id: {number:016x}\r\nX-Expires-In: 10000m\r\n");
            connection.post(&format!("/safe/k{number}"), &headers, "x").await.expect("the daemon reads");
            connection.read().await.is_some()
        });
    }
    let answered = clients.join_all().await.into_iter().filter(|is_answered| *is_answered).count();
    let (peak_kib, limit_kib) = (test.peak_kib(), MEMORY_MIB * 1024);
    println!("{answered} of {JOBS} jobs answered, peak {peak_kib} KiB");
    assert_eq!(answered, JOBS);
    assert!(peak_kib > 0 && peak_kib <= limit_kib, "{peak_kib} KiB of {limit_kib} KiB");
}

/// Guards against heads of very many short fields: each took some 25 KB until the end of its job, and counted as
/// nothing. Each client gets an answer.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn jobs_with_heads_of_many_short_fields_stay_within_the_limit() {
    const CLIENTS: usize = 850;
    let test = MemoryTest::start_with_worker(run_slow_worker).await;
    let fields: String = (0..94).map(|number| format!("a{number}:b\r\n")).collect();
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let (address, fields) = (test.harness.daemon.address, fields.clone());
        clients.spawn(async move {
            let mut connection = dial(address).await;
            let headers = format!("X-Trace-Id: {number:016x}\r\nX-Expires-In: 5000m\r\n{fields}");
            let sent = connection.post(&format!("/safe/k{number}"), &headers, "abc").await.is_ok();
            sent && connection.read().await.is_some()
        });
    }
    let answered = clients.join_all().await.into_iter().filter(|is_answered| *is_answered).count();
    let (peak_kib, limit_kib) = (test.peak_kib(), MEMORY_MIB * 1024);
    println!("{answered} of {CLIENTS} jobs answered, peak {peak_kib} KiB");
    assert!(peak_kib > 0 && peak_kib <= limit_kib, "{peak_kib} KiB of {limit_kib} KiB");
    assert!(answered >= CLIENTS / 2, "{answered} of {CLIENTS} jobs answered");
}

/// Sends jobs one after the other on one connection, all clients at the same time, until `finished` is set.
/// Returns how many jobs were served and how many were rejected; a rejected client connects again.
async fn submit_jobs(
    address: SocketAddr,
    number: usize,
    round: Arc<Barrier>,
    finished: Arc<AtomicBool>,
) -> (usize, usize) {
    let (mut connection, mut served, mut rejected) = (dial(address).await, 0, 0);
    let body = "x".repeat(BODY_BYTES);
    let mut turn = 0;
    loop {
        // Read between two rounds, so that all clients end after the same round.
        round.wait().await;
        let is_finished = finished.load(Ordering::Relaxed);
        round.wait().await;
        if is_finished && turn > 0 {
            break;
        }
        let id = format!("X-Trace-Id: {number:08x}{turn:08x}\r\n");
        let target = format!("/safe/k{number}");
        turn += 1;
        let answer = loop {
            let sent = connection.post(&target, &id, &body).await.is_ok();
            match if sent { connection.read().await } else { None } {
                Some(answer) => break answer,
                // The daemon may close an idle connection; the job is then sent again.
                None => connection = dial(address).await,
            }
        };
        if answer.status() == "200" {
            served += 1;
        } else {
            rejected += 1;
        }
        if answer.header("connection") == Some("close") {
            connection = dial(address).await;
        }
    }
    (served, rejected)
}

/// Accepts every job at once, and sends a long result in its callback.
async fn run_worker(listener: TcpListener, number: usize, daemon: SocketAddr) {
    let mut connections = JoinSet::new();
    loop {
        let mut jobs = HttpConnection::new(listener.accept().await.expect("a connection").0);
        connections.spawn(async move {
            while let Some(job) = jobs.read().await {
                let id = job.header("x-trace-id").expect("a job has an id").to_string();
                accept_and_complete(&mut jobs, id, number, daemon).await;
            }
        });
    }
}

/// Accepts every job at once, and never completes it.
async fn run_slow_worker(listener: TcpListener, _number: usize, _daemon: SocketAddr) {
    let mut connections = JoinSet::new();
    loop {
        let mut jobs = HttpConnection::new(listener.accept().await.expect("a connection").0);
        connections.spawn(async move {
            while jobs.read().await.is_some() {
                // The daemon may have closed the connection.
                let _ = jobs.write(ACCEPTED).await;
            }
        });
    }
}

/// Works as [`run_worker`] does, but answers one job in three with a head of which 360 KB come at once and one
/// more line each 5 ms, until the daemon closes the connection.
async fn run_worker_with_endless_heads(listener: TcpListener, number: usize, daemon: SocketAddr) {
    let mut connections = JoinSet::new();
    loop {
        let mut jobs = HttpConnection::new(listener.accept().await.expect("a connection").0);
        connections.spawn(async move {
            while let Some(job) = jobs.read().await {
                let id = job.header("x-trace-id").expect("a job has an id").to_string();
                if u64::from_str_radix(&id, 16).expect("an id") % 3 == 0 {
                    return write_endless_head(jobs).await;
                }
                accept_and_complete(&mut jobs, id, number, daemon).await;
            }
        });
    }
}

async fn write_endless_head(mut connection: HttpConnection) {
    let line = format!("X-Filler: {}\r\n", "a".repeat(4000));
    let mut written = connection.write(&format!("HTTP/1.1 202 Accepted\r\n{}", line.repeat(90))).await;
    while written.is_ok() {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        written = connection.write("X-Filler: a\r\n").await;
    }
}

/// Accepts a job, and sends a long result in its callback.
async fn accept_and_complete(jobs: &mut HttpConnection, id: String, number: usize, daemon: SocketAddr) {
    // The daemon may have closed the connection.
    let _ = jobs.write(ACCEPTED).await;
    let callback = json!({"id": id, "from": format!("s-{number}"), "state": "done",
                          "result": "r".repeat(RESULT_BYTES)});
    tokio::spawn(send_until_acknowledged(daemon, callback.to_string()));
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
