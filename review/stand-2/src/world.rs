//! The stand-ins that all cases share: the record, the platform, discovery, workers and clients.

use crate::http::{self, Message};
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, one line each with its time in seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {}", text.as_ref());
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Everything that a case has started; ended when it is dropped.
pub struct Platform {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub children: Arc<Mutex<Vec<i32>>>,
    run: String,
}

/// A free address for a scheduler, outside the range from which the kernel takes ports by itself.
pub fn free_address() -> SocketAddr {
    static TRIED: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = u64::from(std::process::id()) * 97 + TRIED.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], 10_000 + (number % 20_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn signal(pid: i32, number: i32) {
    // SAFETY: kill has no memory effects; the pid is that of a child that this program has started and not reaped.
    unsafe { kill(pid, number) };
}

impl Platform {
    pub fn new(root: &Path, case: &str) -> Platform {
        let record = Record::create(&root.join("review").join(case).join("record.txt"));
        let folder = std::env::temp_dir().join(format!("stand-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let deploy =
            std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("the key run");
        let run = run.split('"').next().unwrap().to_string();
        let children: Arc<Mutex<Vec<i32>>> = Arc::default();
        let (watched, folder_copy) = (children.clone(), folder.clone());
        // No case takes longer than this, whatever happens.
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(112));
            println!("the case took too long");
            watched.lock().unwrap().iter().for_each(|pid| signal(*pid, SIGKILL));
            let _ = std::fs::remove_dir_all(folder_copy);
            std::process::exit(2);
        });
        Platform { root: root.to_path_buf(), folder, record, children, run }
    }

    /// Starts one scheduler by the deploy file's `run`.
    pub fn start(&self, name: &str, config: &Path, log: &str, env: &[(&str, String)]) -> Scheduler {
        let tmp = self.folder.join(format!("tmp-{name}"));
        std::fs::create_dir_all(&tmp).unwrap();
        let log = File::create(self.folder.join(log)).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.run).current_dir(&self.root).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        command.env("BALANCER_CONFIG", config).env("TMPDIR", &tmp).env("BALANCER_NAME", name);
        if let Ok(filter) = std::env::var("STAND_LOG") {
            command.env("RUST_LOG", filter);
        }
        for (key, value) in env {
            command.env(key, value);
        }
        command.process_group(0);
        let child = command.spawn().expect("the scheduler starts");
        let pid = child.id() as i32;
        self.children.lock().unwrap().push(pid);
        self.record.line(format!("platform: {name} started"));
        Scheduler { pid, child }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for pid in self.children.lock().unwrap().iter() {
            signal(*pid, SIGKILL);
        }
        if std::env::var("STAND_KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

pub struct Scheduler {
    pub pid: i32,
    child: Child,
}

impl Scheduler {
    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, platform: &Platform) -> String {
        let status = self.child.wait().map(|status| status.to_string()).unwrap_or_default();
        platform.children.lock().unwrap().retain(|pid| *pid != self.pid);
        status
    }
}

/// A value of /proc/PID/status in KiB, such as `RssAnon`.
pub fn memory_kib(pid: i32, key: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(key));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|kib| kib.parse().ok()).unwrap_or(0)
}

/// The platform's limit on memory: kills a scheduler, all of its processes, once their own memory without files is over
/// `memory_mb` together.
pub struct MemoryLimit {
    pub pids: Arc<Mutex<Vec<i32>>>,
    pub peak_kib: Arc<AtomicU64>,
    pub killed: Arc<AtomicBool>,
    memory_mb: u64,
}

impl MemoryLimit {
    pub fn watch(pid: i32, memory_mb: u64, record: &Record) -> MemoryLimit {
        let limit = MemoryLimit {
            pids: Arc::new(Mutex::new(vec![pid])),
            peak_kib: Arc::default(),
            killed: Arc::default(),
            memory_mb,
        };
        let (pids, peak, killed, record) =
            (limit.pids.clone(), limit.peak_kib.clone(), limit.killed.clone(), record.clone());
        thread::spawn(move || loop {
            let pids = pids.lock().unwrap().clone();
            let each: Vec<u64> = pids.iter().map(|pid| memory_kib(*pid, "RssAnon")).collect();
            let used = each.iter().sum();
            peak.fetch_max(used, Ordering::Relaxed);
            if used > memory_mb * 1024 {
                pids.iter().for_each(|pid| signal(*pid, SIGKILL));
                record.say(format!("platform: killed, RssAnon {each:?} KiB is over memory_mb {memory_mb}"));
                return killed.store(true, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_millis(2));
        });
        limit
    }

    pub fn has_killed(&self) -> bool {
        self.killed.load(Ordering::Relaxed)
    }

    /// Says the result; returns the case's exit code.
    pub fn verdict(&self, record: &Record) -> i32 {
        let (peak, broken) = (self.peak_kib.load(Ordering::Relaxed), self.has_killed());
        record.say(format!("peak RssAnon {peak} KiB of {} KiB", self.memory_mb * 1024));
        record.say(if broken { "BROKEN: the scheduler went over memory_mb and was killed" } else { "held" });
        i32::from(broken)
    }
}

pub fn wait_ready(address: SocketAddr, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if ready(address) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

pub fn ready(address: SocketAddr) -> bool {
    let request = b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n";
    http::call(address, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
}

/// One entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Instance {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub state: String,
    pub started_ms: u64,
}

impl Instance {
    pub fn new(name: &str, address: SocketAddr) -> Instance {
        let text = |text: &str| text.to_string();
        Instance {
            name: text(name),
            address,
            zone: text("callao"),
            kind: text("fast"),
            cell: 0,
            state: text("up"),
            started_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"{}","cell":{},"lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#,
            self.name, self.address, self.zone, self.kind, self.cell, self.state, self.started_ms
        )
    }
}

/// Discovery: answers with the whole list, and a watch once the list has changed.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// The time in milliseconds over which an answer is written, in pieces; 0: at once.
    pub pace_ms: Arc<AtomicU64>,
    list: Arc<(Mutex<(u64, Vec<Instance>)>, Condvar)>,
}

impl Discovery {
    pub fn start(instances: Vec<Instance>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = Discovery {
            address,
            pace_ms: Arc::default(),
            list: Arc::new((Mutex::new((41, instances)), Condvar::new())),
        };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        discovery
    }

    pub fn change(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut list = self.list.0.lock().unwrap();
        list.0 += 1;
        change(&mut list.1);
        self.list.1.notify_all();
    }

    fn json(list: &(u64, Vec<Instance>), whole: bool) -> String {
        let entries: Vec<String> =
            if whole { list.1.iter().map(Instance::json).collect() } else { Vec::new() };
        format!(r#"{{"generation":{},"reset":{whole},"instances":[{}]}}"#, list.0, entries.join(","))
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = http::read(&mut reader)? {
            let parameter = |name: &str| -> Option<u64> {
                let (_, query) = request.word().split_once('?')?;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let mut list = self.list.0.lock().unwrap();
            let mut whole = true;
            if let Some(index) = parameter("index") {
                let wait = Duration::from_millis(parameter("wait").unwrap_or(0).min(60_000));
                list = self.list.1.wait_timeout_while(list, wait, |list| list.0 == index).unwrap().0;
                whole = list.0 != index;
            }
            let body = Self::json(&list, whole);
            drop(list);
            let pace = self.pace_ms.load(Ordering::Relaxed);
            if pace == 0 {
                http::respond(&mut stream, "200 OK", "Content-Type: application/json\r\n", body.as_bytes())?;
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes())?;
            let pieces = body.as_bytes().chunks(body.len().div_ceil(12));
            for piece in pieces {
                thread::sleep(Duration::from_millis(pace / 12));
                stream.write_all(piece)?;
            }
        }
        Ok(())
    }
}

/// What a worker does with a job: called with the request's last byte. Returns whether the connection stays.
pub type OnJob = dyn Fn(&Worker, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A worker's listener; the case says what it does with a job.
#[derive(Clone)]
pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    pub scheduler: SocketAddr,
    pub record: Record,
    on_job: Arc<OnJob>,
}

impl Worker {
    pub fn start(name: &str, scheduler: SocketAddr, record: &Record, on_job: Arc<OnJob>) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Worker::at(name, listener.local_addr().unwrap(), scheduler, record, on_job);
        let server = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        worker
    }

    /// A worker whose listener the case has.
    pub fn at(
        name: &str,
        address: SocketAddr,
        scheduler: SocketAddr,
        record: &Record,
        on_job: Arc<OnJob>,
    ) -> Worker {
        Worker { name: name.to_string(), address, scheduler, record: record.clone(), on_job }
    }

    /// Serves one connection until it ends.
    pub fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = http::read(&mut reader)? {
            if !(self.on_job)(self, &request, &mut stream)? {
                break;
            }
        }
        Ok(())
    }

    /// Tells the scheduler what became of a job: repeats the call until it is answered, ten times at most.
    pub fn tell(&self, id: &str, state: &str, more: &str) -> bool {
        let body = format!(r#"{{"id":"{id}","from":"{}","state":"{state}"{more}}}"#, self.name);
        let request = format!(
            "POST /callback HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        for _ in 0..10 {
            if let Ok(answer) = http::call(self.scheduler, request.as_bytes(), Duration::from_secs(3)) {
                if matches!(answer.status(), 200 | 204) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id: 16 hex digits that no request had before.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// The bytes of a client's request.
pub fn job(id: &str, class: &str, key: &str, expires_ms: u64, more: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "POST /{class}/{key} HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Expires-In: {expires_ms}m\r\n{more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
