//! Case 8: an upgrade of a scheduler whose list has 3,200 workers.

use crate::config::Config;
use crate::http;
use crate::world::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const WORKERS: usize = 3200;
const MEMORY_MB: u64 = 32;
const RUNNING_TIME: Duration = Duration::from_millis(150);

#[repr(C)]
#[derive(Clone, Copy)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

extern "C" {
    fn poll(fds: *mut PollFd, count: std::ffi::c_ulong, timeout: i32) -> i32;
}

pub fn run(root: &Path, case: &str, trouble: bool) -> i32 {
    let platform = Platform::new(root, case);
    let record = platform.record.clone();
    let (listen, admin) = (free_address(), [free_address(), free_address()]);
    let Some(workers) = start_workers(listen, &record) else {
        record.say(format!("the machine has too few descriptors for {WORKERS} listeners"));
        return 2;
    };
    let discovery = Discovery::start(workers.iter().map(|w| Instance::new(&w.name, w.address)).collect());
    let mut config = Config::new("n0", listen, discovery.address);
    (config.memory_mb, config.admin) = (MEMORY_MB, Some(admin[0]));
    let path = platform.folder.join("config.json");
    std::fs::write(&path, config.json()).unwrap();
    let mut old = platform.start("n0", &path, "old.log", &[]);
    if !wait_ready(listen, Duration::from_secs(15)) {
        record.say("the scheduler did not become ready");
        return 2;
    }

    // The platform: kills the scheduler, both of its processes, once their own memory is over `memory_mb`.
    let pids = Arc::new(Mutex::new(vec![old.pid]));
    let (peak, killed, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let guard = {
        let (pids, peak, killed, stop, record) = (pids.clone(), peak.clone(), killed.clone(), stop.clone(), record.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) && !killed.load(Ordering::Relaxed) {
                let pids = pids.lock().unwrap().clone();
                let each: Vec<u64> = pids.iter().map(|pid| memory_kib(*pid, "RssAnon")).collect();
                let used = each.iter().sum();
                peak.fetch_max(used, Ordering::Relaxed);
                if used > MEMORY_MB * 1024 {
                    pids.iter().for_each(|pid| signal(*pid, SIGKILL));
                    killed.store(true, Ordering::Relaxed);
                    record.say(format!("platform: killed, RssAnon {each:?} KiB together is over memory_mb {MEMORY_MB}"));
                }
                thread::sleep(Duration::from_millis(2));
            }
        })
    };

    // Usual clients: 20 jobs a second.
    let answers: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let load = {
        let (answers, stop, record) = (answers.clone(), stop.clone(), record.clone());
        thread::spawn(move || {
            let mut clients = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let (answers, record) = (answers.clone(), record.clone());
                clients.push(thread::spawn(move || {
                    let status = send_job(listen, number, &record);
                    *answers.lock().unwrap().entry(status).or_default() += 1;
                }));
                thread::sleep(Duration::from_millis(50));
            }
            clients.into_iter().for_each(|client| client.join().unwrap());
        })
    };
    thread::sleep(Duration::from_secs(20));
    record.say(format!("before the upgrade: RssAnon {} KiB", memory_kib(old.pid, "RssAnon")));
    if trouble {
        config.admin = Some(admin[1]);
        std::fs::write(&path, config.json()).unwrap();
        let mut new = platform.start("n0", &path, "new.log", &[]);
        pids.lock().unwrap().push(new.pid);
        let ok = (0..300).any(|_| {
            thread::sleep(Duration::from_millis(20));
            killed.load(Ordering::Relaxed) || health(admin[1])
        });
        record.line(format!("platform: the new process says yes: {ok}"));
        signal(old.pid, SIGTERM);
        thread::sleep(Duration::from_millis(3700));
        signal(old.pid, SIGKILL);
        pids.lock().unwrap().retain(|pid| *pid != old.pid);
        record.line(format!("platform: the old process has ended: {}", old.wait(&platform)));
        thread::sleep(Duration::from_secs(2));
        record.line(format!("platform: the new process runs: {}", new.runs()));
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    stop.store(true, Ordering::Relaxed);
    load.join().unwrap();
    guard.join().unwrap();
    record.say(format!("answers by status (0: none): {:?}", answers.lock().unwrap()));
    record.say(format!("peak of both processes: RssAnon {} KiB of {} KiB", peak.load(Ordering::Relaxed), MEMORY_MB * 1024));
    let broken = killed.load(Ordering::Relaxed);
    record.say(if broken { "BROKEN: the scheduler went over memory_mb and was killed" } else { "held" });
    i32::from(broken)
}

/// Starts the workers, each with an address of its own; one thread accepts for all. `None` without descriptors.
fn start_workers(scheduler: SocketAddr, record: &Record) -> Option<Vec<Worker>> {
    let on_job: Arc<OnJob> = Arc::new(|worker, job, stream| {
        let is_job = job.method() == "POST";
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
    });
    let (mut listeners, mut workers) = (Vec::new(), Vec::new());
    for number in 0..WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").ok()?;
        let name = format!("s-{:08x}", (number as u32).wrapping_mul(0x9e37_79b9));
        workers.push(Worker::at(&name, listener.local_addr().ok()?, scheduler, record, on_job.clone()));
        listeners.push(listener);
    }
    let all = workers.clone();
    thread::spawn(move || {
        let mut fds: Vec<PollFd> =
            listeners.iter().map(|listener| PollFd { fd: listener.as_raw_fd(), events: 1, revents: 0 }).collect();
        loop {
            // SAFETY: the pointer and the count describe `fds`, whose descriptors `listeners` keeps open.
            unsafe { poll(fds.as_mut_ptr(), fds.len() as std::ffi::c_ulong, 1000) };
            for (index, _) in fds.iter().enumerate().filter(|(_, fd)| fd.revents != 0) {
                if let Ok((stream, _)) = listeners[index].accept() {
                    let worker = all[index].clone();
                    thread::spawn(move || worker.serve(stream));
                }
            }
        }
    });
    Some(workers)
}

/// Whether the operators' door answers `health` with `ok`.
fn health(admin: SocketAddr) -> bool {
    let Ok(mut stream) = http::connect(admin, Duration::from_secs(1)) else { return false };
    let mut line = String::new();
    stream.write_all(b"health\n").is_ok() && BufReader::new(stream).read_line(&mut line).is_ok() && line.starts_with("ok")
}

fn send_job(listen: SocketAddr, number: usize, record: &Record) -> u16 {
    let id = new_id();
    let request = job(&id, "position", &format!("k{number}"), 5000, "X-Size-Hint: 150000\r\n", b"x");
    let status = http::call(listen, &request, Duration::from_secs(6)).map_or(0, |answer| answer.status());
    record.line(format!("client: {id} answered {status}"));
    status
}
