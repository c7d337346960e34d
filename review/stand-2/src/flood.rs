//! Case 7: workers whose answers never end: interim responses without a final one.

use crate::config::Config;
use crate::http;
use crate::world::*;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One of so many answers to jobs is spoilt, at every worker.
const SPOILT_ONE_OF: u64 = 3;
const RUNNING_TIME: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_secs(5);
/// A final answer later than this is none: the client's time, half a second, and the 50 ms of the rules on sockets.
const LATEST: Duration = Duration::from_millis(5550);

pub fn run(root: &Path, case: &str, trouble: bool) -> i32 {
    let platform = Platform::new(root, case);
    let record = platform.record.clone();
    let listen = free_address();
    let spoilt = Arc::new(AtomicU64::new(0));
    let on_job: Arc<OnJob> = {
        let (spoilt, jobs) = (spoilt.clone(), AtomicU64::new(0));
        Arc::new(move |worker, job, stream| {
            let is_job = job.method() == "POST";
            let number = if is_job { jobs.fetch_add(1, Ordering::Relaxed) } else { 1 };
            if is_job && trouble && number % SPOILT_ONE_OF == 0 {
                spoilt.fetch_add(1, Ordering::Relaxed);
                worker.record.line(format!("{}: spoilt answer to job {number} begins", worker.name));
                let written = never_end(stream);
                worker.record.line(format!(
                    "{}: spoilt answer to job {number}: cut after {written} bytes",
                    worker.name
                ));
                return Ok(false);
            }
            http::respond(stream, if is_job { "202 Accepted" } else { "204 No Content" }, "", b"")?;
            if is_job {
                run_job(worker.clone(), job.header("x-trace-id").unwrap_or("").to_string());
            }
            Ok(true)
        })
    };
    let workers: Vec<Worker> =
        (1..=9).map(|i| Worker::start(&format!("s-{i}"), listen, &record, on_job.clone())).collect();
    let discovery = Discovery::start(workers.iter().map(|w| Instance::new(&w.name, w.address)).collect());
    let path = platform.folder.join("config.json");
    std::fs::write(&path, Config::new("n0", listen, discovery.address).json()).unwrap();
    let mut scheduler = platform.start("n0", &path, "n0.log", &[]);
    if !wait_ready(listen, Duration::from_secs(10)) {
        record.say("the scheduler did not become ready");
        return 2;
    }
    // Usual clients: 20 jobs a second for 10 s, each on a new connection.
    let results: Arc<Mutex<Vec<(Duration, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..200)
        .map(|number| {
            let (results, record) = (results.clone(), record.clone());
            let client = thread::spawn(move || {
                let result = send_job(listen, number, &record);
                results.lock().unwrap().push(result);
            });
            thread::sleep(Duration::from_millis(50));
            client
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let results = results.lock().unwrap();
    let late = results.iter().filter(|(taken, status)| *status == 0 || *taken > LATEST).count();
    let served = results.iter().filter(|(_, status)| *status == 200).count();
    let slowest = results.iter().map(|(taken, _)| *taken).max().unwrap_or_default();
    record.say(format!(
        "{} requests, {served} served, {late} without an answer {LATEST:?} after they were sent; slowest {slowest:?}; {} spoilt answers; scheduler runs: {}",
        results.len(),
        spoilt.load(Ordering::Relaxed),
        scheduler.runs()
    ));
    record.say(if late > 0 {
        "BROKEN: requests that the scheduler had taken got no final answer in time"
    } else {
        "held"
    });
    i32::from(late > 0)
}

/// An answer that never ends: interim responses, as fast as the other side reads. Returns the bytes written.
fn never_end(stream: &mut std::net::TcpStream) -> usize {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(4000);
    let mut written = 0;
    while stream.write_all(interim.as_bytes()).is_ok() {
        written += interim.len();
    }
    written
}

fn run_job(worker: Worker, id: String) {
    thread::spawn(move || {
        worker.tell(&id, "started", "");
        thread::sleep(RUNNING_TIME);
        worker.tell(&id, "done", &format!(r#","result":"r-{id}""#));
    });
}

/// Sends one job and waits for its answer until it would be too late; returns the time taken and the status, 0 for
/// no answer.
fn send_job(listen: SocketAddr, number: usize, record: &Record) -> (Duration, u16) {
    let id = new_id();
    let millis = DEADLINE.as_millis() as u64;
    let request = job(&id, "position", &format!("k{number}"), millis, "X-Size-Hint: 150000\r\n", b"x");
    let sent = Instant::now();
    let status =
        http::call(listen, &request, LATEST + Duration::from_millis(100)).map_or(0, |answer| answer.status());
    record.line(format!("client: {id} answered {status} after {:?}", sent.elapsed()));
    (sent.elapsed(), status)
}
