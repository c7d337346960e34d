//! Case 8: workers whose answers never end, while a client sends hundreds of requests at once.

use crate::config::Config;
use crate::http;
use crate::world::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const MEMORY_MB: u64 = 32;
const BURST: usize = 300;
/// One of so many answers to jobs is spoilt, at every worker.
const SPOILT_ONE_OF: u64 = 3;
const RUNNING_TIME: Duration = Duration::from_millis(150);

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
                return never_end(stream);
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
    let config = Config { memory_mb: MEMORY_MB, ..Config::new("n0", listen, discovery.address) };
    let path = platform.folder.join("config.json");
    std::fs::write(&path, config.json()).unwrap();
    let mut scheduler = platform.start("n0", &path, "n0.log", &[]);
    if !wait_ready(listen, Duration::from_secs(10)) {
        record.say("the scheduler did not become ready");
        return 2;
    }

    let limit = MemoryLimit::watch(scheduler.pid, MEMORY_MB, &record);
    record.line(format!("idle: RssAnon {} KiB", memory_kib(scheduler.pid, "RssAnon")));
    let answers: Arc<Mutex<BTreeMap<(&'static str, u16), usize>>> = Arc::default();
    let mut clients = Vec::new();
    let send = |kind: &'static str, number: usize| {
        let (answers, record) = (answers.clone(), record.clone());
        thread::spawn(move || {
            let status = send_job(listen, number, &record);
            *answers.lock().unwrap().entry((kind, status)).or_default() += 1;
        })
    };
    // Usual clients: 20 jobs a second for 8 s. At 3 s another client sends 300 requests at once.
    for number in 0..160 {
        clients.push(send("usual", number));
        if number == 60 {
            record.line(format!("client: {BURST} requests at once"));
            clients.extend((0..BURST).map(|number| send("burst", 1000 + number)));
        }
        thread::sleep(Duration::from_millis(50));
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    for ((kind, status), count) in answers.lock().unwrap().iter() {
        record.say(format!("{kind} clients: answer {status} (0: none): {count}"));
    }
    record.say(format!(
        "spoilt answers: {}; scheduler runs: {}",
        spoilt.load(Ordering::Relaxed),
        scheduler.runs()
    ));
    limit.verdict(&record)
}

/// An answer whose head never ends: 360 KB of header lines, then one line each 5 ms, until the other side closes.
fn never_end(stream: &mut TcpStream) -> std::io::Result<bool> {
    let line = format!("X-Filler: {}\r\n", "a".repeat(4000));
    stream.write_all(b"HTTP/1.1 202 Accepted\r\n")?;
    stream.write_all(line.repeat(90).as_bytes())?;
    for _ in 0..2000 {
        stream.write_all(b"X-Filler: a\r\n")?;
        thread::sleep(Duration::from_millis(5));
    }
    Ok(false)
}

fn run_job(worker: Worker, id: String) {
    thread::spawn(move || {
        worker.tell(&id, "started", "");
        thread::sleep(RUNNING_TIME);
        worker.tell(&id, "done", &format!(r#","result":"r-{id}""#));
    });
}

/// Sends one job; returns the answer's status, 0 for none.
fn send_job(listen: SocketAddr, number: usize, record: &Record) -> u16 {
    let id = new_id();
    let request = job(&id, "position", &format!("k{number}"), 5000, "X-Size-Hint: 150000\r\n", b"x");
    let status = http::call(listen, &request, Duration::from_secs(7)).map_or(0, |answer| answer.status());
    record.line(format!("client: {id} answered {status}"));
    status
}
