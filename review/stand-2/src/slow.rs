//! Case 10: discovery takes 0.6 s to write each answer, in pieces, while workers begin to drain.

use crate::config::Config;
use crate::http;
use crate::world::*;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RUNNING_TIME: Duration = Duration::from_millis(150);
/// A change counts as told 6 s after it at the latest; then the 0.5 s of `stop_sending_within`, the 50 ms of the rules
/// on sockets and 0.15 s for which a scheduler may be held up.
const GRACE: Duration = Duration::from_millis(6700);

pub fn run(root: &Path, case: &str, trouble: bool) -> i32 {
    let platform = Platform::new(root, case);
    let record = platform.record.clone();
    let listen = free_address();
    let attempts: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let on_job: Arc<OnJob> = {
        let attempts = attempts.clone();
        Arc::new(move |worker, job, stream| {
            let is_job = job.method() == "POST";
            if is_job {
                attempts.lock().unwrap().push((Instant::now(), worker.name.clone()));
                worker.record.line(format!("{}: {}", worker.name, job.start));
            }
            http::respond(stream, if is_job { "202 Accepted" } else { "204 No Content" }, "", b"")?;
            if is_job {
                let (worker, id) = (worker.clone(), job.header("x-trace-id").unwrap_or("").to_string());
                thread::spawn(move || {
                    worker.tell(&id, "started", "");
                    thread::sleep(RUNNING_TIME);
                    worker.tell(&id, "done", &format!(r#","result":"r-{id}""#));
                });
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
    let answered = Arc::new(Mutex::new((0, 0)));
    let clients = {
        let (answered, record) = (answered.clone(), record.clone());
        thread::spawn(move || {
            let clients: Vec<_> = (0..800)
                .map(|number| {
                    let (answered, record) = (answered.clone(), record.clone());
                    thread::sleep(Duration::from_millis(25));
                    thread::spawn(move || {
                        let id = new_id();
                        let request = job(
                            &id,
                            "position",
                            &format!("k{number}"),
                            5000,
                            "X-Size-Hint: 150000\r\n",
                            b"x",
                        );
                        let status =
                            http::call(listen, &request, Duration::from_secs(6)).map_or(0, |a| a.status());
                        record.line(format!("client: {id} answered {status}"));
                        let mut answered = answered.lock().unwrap();
                        answered.0 += 1;
                        answered.1 += i32::from(status == 200);
                    })
                })
                .collect();
            clients.into_iter().for_each(|client| client.join().unwrap());
        })
    };
    thread::sleep(Duration::from_secs(2));
    if trouble {
        discovery.pace_ms.store(600, Ordering::Relaxed);
        record.line("discovery: from now on each answer takes 0.6 s to write");
    }
    thread::sleep(Duration::from_secs(4));
    discovery.change(|list| list.iter_mut().skip(6).for_each(|worker| worker.state = "draining".to_string()));
    let changed = Instant::now();
    record.line("discovery: s-7, s-8 and s-9 drain");
    clients.join().unwrap();
    let attempts = attempts.lock().unwrap();
    let draining = ["s-7", "s-8", "s-9"];
    let late: Vec<Duration> = attempts
        .iter()
        .filter(|(at, worker)| draining.contains(&worker.as_str()) && *at > changed + GRACE)
        .map(|(at, _)| *at - changed)
        .collect();
    let answered = answered.lock().unwrap();
    record.say(format!(
        "{} requests, {} served, {} attempts; scheduler runs: {}",
        answered.0,
        answered.1,
        attempts.len(),
        scheduler.runs()
    ));
    record.say(format!(
        "attempts at draining workers more than {GRACE:?} after the change: {}, last {:?}",
        late.len(),
        late.last()
    ));
    record.say(if late.is_empty() { "held" } else { "BROKEN: workers that drain got new work" });
    i32::from(!late.is_empty())
}
