//! Case 9: an upgrade of a scheduler whose list has 3,200 workers.

use crate::config::Config;
use crate::http;
use crate::world::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
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
    let Some(fleet) = Fleet::start(listen, &record) else {
        record.say(format!("the machine has too few descriptors for {WORKERS} listeners"));
        return 2;
    };
    let discovery = Discovery::start(fleet.instances());
    let mut config = Config::new("n0", listen, discovery.address);
    (config.memory_mb, config.admin) = (MEMORY_MB, Some(admin[0]));
    let path = platform.folder.join("config.json");
    std::fs::write(&path, config.json()).unwrap();
    let mut old = platform.start("n0", &path, "old.log", &[]);
    if !wait_ready(listen, Duration::from_secs(15)) {
        record.say("the scheduler did not become ready");
        return 2;
    }

    let limit = MemoryLimit::watch(old.pid, MEMORY_MB, &record);
    let load = Load::start(listen, 20, &record);
    thread::sleep(Duration::from_secs(20));
    record.say(format!("before the upgrade: RssAnon {} KiB", memory_kib(old.pid, "RssAnon")));
    if trouble {
        config.admin = Some(admin[1]);
        std::fs::write(&path, config.json()).unwrap();
        let mut new = platform.start("n0", &path, "new.log", &[]);
        limit.pids.lock().unwrap().push(new.pid);
        let ok = (0..300).any(|_| {
            thread::sleep(Duration::from_millis(20));
            limit.has_killed() || health(admin[1])
        });
        record.line(format!("platform: the new process says yes: {}", ok && !limit.has_killed()));
        signal(old.pid, SIGTERM);
        thread::sleep(Duration::from_millis(3700));
        signal(old.pid, SIGKILL);
        limit.pids.lock().unwrap().retain(|pid| *pid != old.pid);
        record.line(format!("platform: the old process has ended: {}", old.wait(&platform)));
        thread::sleep(Duration::from_secs(2));
        record.line(format!("platform: the new process runs: {}", new.runs()));
    } else {
        thread::sleep(Duration::from_secs(6));
    }
    load.end(&record);
    limit.verdict(&record)
}

/// Usual clients at a steady rate.
struct Load {
    stop: Arc<AtomicBool>,
    answers: Arc<Mutex<BTreeMap<u16, usize>>>,
    thread: thread::JoinHandle<()>,
}

impl Load {
    fn start(listen: SocketAddr, per_second: u64, record: &Record) -> Load {
        let (stop, answers, record) =
            (Arc::new(AtomicBool::new(false)), Arc::<Mutex<BTreeMap<u16, usize>>>::default(), record.clone());
        let (stopped, counted) = (stop.clone(), answers.clone());
        let thread = thread::spawn(move || {
            let mut clients = Vec::new();
            for number in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let (answers, record) = (counted.clone(), record.clone());
                clients.push(thread::spawn(move || {
                    let status = send_job(listen, number, &record);
                    *answers.lock().unwrap().entry(status).or_default() += 1;
                }));
                thread::sleep(Duration::from_micros(1_000_000 / per_second));
            }
            clients.into_iter().for_each(|client| client.join().unwrap());
        });
        Load { stop, answers, thread }
    }

    fn end(self, record: &Record) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap();
        record.say(format!("answers by status (0: none): {:?}", self.answers.lock().unwrap()));
    }
}

/// The workers, each with an address of its own; one thread accepts for all.
struct Fleet(Arc<Mutex<Vec<Worker>>>);

impl Fleet {
    /// Returns `None` if the machine has too few descriptors.
    fn start(scheduler: SocketAddr, record: &Record) -> Option<Fleet> {
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
        for index in 0..WORKERS {
            let listener = TcpListener::bind("127.0.0.1:0").ok()?;
            let address = listener.local_addr().ok()?;
            workers.push(Worker::at(&name(index), address, scheduler, record, on_job.clone()));
            listeners.push(listener);
        }
        let fleet = Fleet(Arc::new(Mutex::new(workers)));
        let workers = fleet.0.clone();
        thread::spawn(move || {
            let mut fds: Vec<PollFd> = listeners
                .iter()
                .map(|listener| PollFd { fd: listener.as_raw_fd(), events: 1, revents: 0 })
                .collect();
            loop {
                // SAFETY: the pointer and the count describe `fds`, whose descriptors `listeners` keeps open.
                unsafe { poll(fds.as_mut_ptr(), fds.len() as std::ffi::c_ulong, 1000) };
                for (index, _) in fds.iter().enumerate().filter(|(_, fd)| fd.revents != 0) {
                    if let Ok((stream, _)) = listeners[index].accept() {
                        let worker = workers.lock().unwrap()[index].clone();
                        thread::spawn(move || worker.serve(stream));
                    }
                }
            }
        });
        Some(fleet)
    }

    fn instance(&self, index: usize) -> Instance {
        let workers = self.0.lock().unwrap();
        Instance::new(&workers[index].name, workers[index].address)
    }

    fn instances(&self) -> Vec<Instance> {
        (0..WORKERS).map(|index| self.instance(index)).collect()
    }
}

fn name(index: usize) -> String {
    format!("s-{:08x}", (index as u32).wrapping_mul(0x9e37_79b9))
}

/// Whether the operators' door answers `health` with `ok`.
fn health(admin: SocketAddr) -> bool {
    let Ok(mut stream) = http::connect(admin, Duration::from_secs(1)) else { return false };
    let mut line = String::new();
    stream.write_all(b"health\n").is_ok()
        && BufReader::new(stream).read_line(&mut line).is_ok()
        && line.starts_with("ok")
}

fn send_job(listen: SocketAddr, number: usize, record: &Record) -> u16 {
    let id = new_id();
    let request = job(&id, "position", &format!("k{number}"), 5000, "X-Size-Hint: 150000\r\n", b"x");
    let status = http::call(listen, &request, Duration::from_secs(6)).map_or(0, |answer| answer.status());
    record.line(format!("client: {id} answered {status}"));
    status
}
