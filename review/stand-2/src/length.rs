//! Case 6: twenty bad clients whose chunk length never ends.

use crate::config::Config;
use crate::http;
use crate::world::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BAD_CLIENTS: usize = 20;
/// The pages name bodies of 60 MB.
const BAD_BODY: usize = 60_000_000;
const RUNNING_TIME: Duration = Duration::from_millis(150);
const DEADLINE: Duration = Duration::from_secs(5);
/// A final answer later than this is none: the client's time, half a second, and the 50 ms of the rules on sockets.
const LATEST: Duration = Duration::from_millis(5550);

pub fn run(root: &Path, case: &str, trouble: bool) -> i32 {
    let platform = Platform::new(root, case);
    let record = platform.record.clone();
    let listen = free_address();
    let on_job: Arc<OnJob> = Arc::new(|worker, job, stream| {
        let is_job = job.method() == "POST";
        http::respond(stream, if is_job { "202 Accepted" } else { "204 No Content" }, "", b"")?;
        if is_job {
            run_job(worker.clone(), job.header("x-trace-id").unwrap_or("").to_string());
        }
        Ok(true)
    });
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
    let stop = Arc::new(AtomicBool::new(false));
    for number in 0..if trouble { BAD_CLIENTS } else { 0 } {
        let (stop, record) = (stop.clone(), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let started = Instant::now();
                let end = bad_request(listen);
                record.line(format!("bad client {number}: {end} after {:?}", started.elapsed()));
                thread::sleep(Duration::from_millis(10));
            }
        });
    }
    // Usual clients: 20 jobs a second for 10 s, each on a new connection.
    let results: Arc<Mutex<Vec<(Duration, u16)>>> = Arc::default();
    let clients: Vec<_> = (0..200)
        .map(|number| {
            thread::sleep(Duration::from_millis(50));
            let (results, record) = (results.clone(), record.clone());
            thread::spawn(move || {
                let result = send_job(listen, number, &record);
                results.lock().unwrap().push(result);
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    stop.store(true, Ordering::Relaxed);
    let results = results.lock().unwrap();
    let late = results.iter().filter(|(taken, status)| *status == 0 || *taken > LATEST).count();
    let served = results.iter().filter(|(_, status)| *status == 200).count();
    let slowest = results.iter().map(|(taken, _)| *taken).max().unwrap_or_default();
    record.say(format!(
        "{} requests, {served} served, {late} without an answer {LATEST:?} after they were sent; slowest {slowest:?}; scheduler runs: {}",
        results.len(),
        scheduler.runs()
    ));
    record.say(if late > 0 {
        "BROKEN: requests that the scheduler had taken got no final answer in time"
    } else {
        "held"
    });
    i32::from(late > 0)
}

/// Sends a job with a chunked body at full speed, reads the answer and closes. The length of the first chunk has
/// 60 million digits, all of them zeros so far.
fn bad_request(listen: SocketAddr) -> String {
    let Ok(mut stream) = http::connect(listen, Duration::from_secs(10)) else {
        return "no connection".to_string();
    };
    let id = new_id();
    let head = format!(
        "POST /position/k HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Qos: position\r\nX-Expires-In: 5000m\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let digits = vec![b'0'; 60_000];
    let (mut sent, mut ok) = (0, stream.write_all(head.as_bytes()).is_ok());
    while ok && sent < BAD_BODY {
        ok = stream.write_all(&digits).is_ok();
        sent += digits.len();
    }
    let mut answer = [0; 64];
    let read = stream.read(&mut answer).unwrap_or(0);
    format!("{sent} bytes sent, answer {:?}", String::from_utf8_lossy(&answer[..read.min(12)]))
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
