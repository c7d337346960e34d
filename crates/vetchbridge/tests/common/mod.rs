//! The harness for tests that run the daemon as a process, with scripted workers, discovery and clients.
//!
//! The harness owns the processes and the listeners of one test. The harness never waits for a fixed time. It
//! checks a response only where the harness's next step depends on this response. Each test file uses only
//! some of these helpers.
#![allow(dead_code, missing_docs)]

use futures_util::future::select_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use vetchbridge_testbed::wire::{HttpConnection, Message};

/// The time after which a hanging test fails. This timeout does not check how fast the daemon is.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// The number of file descriptors that the daemon may open, unless a test sets another limit.
pub const DESCRIPTOR_LIMIT: u32 = 64;
/// The file name of the scheduler `n0`'s handover socket, at which a successor process takes over from the
/// daemon.
pub const HANDOVER_SOCKET: &str = "vetchbridge-n0.handover";
/// The response with which a worker accepts a job.
pub const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";

/// Locks the start of child processes. Between fork and exec, a child process that another test starts holds
/// a copy of every socket of this process, so a socket that this process closes at that moment stays open.
/// Tests hold this lock while they start a child process, and while they close a socket whose closure the
/// daemon must notice before a later event.
pub fn spawn_lock() -> MutexGuard<'static, ()> {
    static SPAWN_LOCK: Mutex<()> = Mutex::new(());
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads and writes on a connection between the test and the daemon. Each method panics if the operation
/// fails.
pub trait HttpConnectionExt {
    async fn send(&mut self, text: &str);
    async fn post_request(&mut self, target: &str, headers: &str, body: &str);
    /// Reads the daemon's request on this connection and returns the target (path and query) of the request.
    async fn read_target(&mut self) -> String;
    async fn send_endpoints(&mut self, generation: u32, instances: Value);
}

impl HttpConnectionExt for HttpConnection {
    async fn send(&mut self, text: &str) {
        self.write(text).await.expect("the peer reads");
    }

    async fn post_request(&mut self, target: &str, headers: &str, body: &str) {
        self.post(target, headers, body).await.expect("the peer reads");
    }

    async fn read_target(&mut self) -> String {
        self.read().await.expect("a request").target().to_string()
    }

    async fn send_endpoints(&mut self, generation: u32, instances: Value) {
        let body = json!({"generation": generation, "reset": true, "instances": instances}).to_string();
        self.answer(200, "", &body).await.expect("the peer reads");
    }
}

/// A connection's entry in `/proc/net/tcp`; the numbers in the entry are hexadecimal.
pub struct TcpTableEntry {
    pub state: String,
    /// Number of bytes that this end has written and the other end's kernel has not yet acknowledged.
    pub unacknowledged: String,
}

/// Returns the entry in `/proc/net/tcp` of the socket at `local` that is connected to `peer`.
pub fn tcp_table_entry(local: SocketAddr, peer: SocketAddr) -> Option<TcpTableEntry> {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table is readable");
    let ports = [local, peer].map(|address| format!(":{:04X}", address.port()));
    // `/proc/net/tcp` lists the connections of the whole machine; only lines that contain both ports are
    // parsed.
    let mut candidates = table.lines().filter(|line| ports.iter().all(|port| line.contains(port)));
    candidates.find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let is_match = columns.get(1)?.ends_with(&ports[0]) && columns.get(2)?.ends_with(&ports[1]);
        is_match.then(|| TcpTableEntry {
            state: columns[3].to_string(),
            unacknowledged: columns[4].split(':').next().unwrap_or_default().to_string(),
        })
    })
}

/// Returns the local address and the peer address of a connection.
pub fn local_and_peer_addresses(connection: &mut HttpConnection) -> (SocketAddr, SocketAddr) {
    let socket = connection.socket();
    (socket.local_addr().expect("a bound socket"), socket.peer_addr().expect("a connected socket"))
}

/// Waits until the peer's kernel has acknowledged all bytes written to the connection. The peer's process
/// need not have read these bytes.
pub async fn wait_until_delivered(connection: &mut HttpConnection) {
    let (local, peer) = local_and_peer_addresses(connection);
    let is_pending = |entry: TcpTableEntry| !entry.unacknowledged.trim_matches('0').is_empty();
    while tcp_table_entry(local, peer).is_some_and(is_pending) {
        tokio::task::yield_now().await;
    }
}

pub async fn dial(address: SocketAddr) -> HttpConnection {
    HttpConnection::connect(address).await.expect("the daemon listens")
}

pub fn status(answer: Option<&Message>) -> &str {
    answer.expect("an answer").status()
}

/// Returns the entry of worker `number` in an endpoint list of the discovery service.
pub fn instance(number: usize, address: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": format!("s-{number}"), "hostPort": address.to_string(), "zone": "a", "machineType": "m",
           "cell": 0, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// Responds to the first discovery request of a daemon that has just started with no changes to the saved
/// endpoint list. Closes the connection, so that the daemon sends its next discovery request on a new
/// connection.
pub async fn confirm_endpoint_list(discovery: &TcpListener) {
    let mut connection = HttpConnection::new(discovery.accept().await.expect("the first call").0);
    assert_eq!(connection.read_target().await, "/registry/instances?index=1&wait=0");
    let unchanged = r#"{"generation":1,"reset":false,"instances":[]}"#;
    connection.answer(200, "connection: close\r\n", unchanged).await.expect("the peer reads");
}

/// Returns a configuration of the daemon that allows up to two attempts per request and has one class of each
/// idempotency.
pub fn daemon_config(discovery: SocketAddr, instances: Value) -> Value {
    let class = |name: &str, repeat: &str| {
        json!({"name": name, "repeat": repeat, "group": "all", "window": 5_000_000, "aim": 500_000,
               "deadline": 60_000_000, "importance": 1.0, "late_share": 0.5})
    };
    json!({"name": "n0", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"sockets": DESCRIPTOR_LIMIT}, "known": {"generation": 1, "reset": true, "instances": instances},
        "settings": {"me": 0, "balancers": 1, "areas": ["a"], "kinds": ["m"], "zone": 0, "tick": 4000,
            "discovery": "ask", "services": [class("safe", "safe"), class("unsafe", "unsafe"), class("keyed", "keyed")],
            "limits": {"max_attempts": 2, "may_cancel": true, "dial_timeout": 2_000_000, "retry_after": true,
                       "max_retry_after": 2_000_000},
            "rules": {"stop_sending_within": 500_000, "start_capacity": 0.2, "cold": 24_000_000,
                      "tip_multiple": 2.5, "fall": 2_000_000}}})
}

/// Returns a command that starts the daemon, and the path of its configuration file.
pub fn daemon_command(config: &str) -> (Command, PathBuf) {
    daemon_command_with_faults(config, "")
}

/// Returns a command that starts the daemon, and the path of its configuration file. `faults` selects system
/// calls of the daemon that fail, in the format of the variable `SYSCALL_FAULTS`; an empty text selects none.
pub fn daemon_command_with_faults(config: &str, faults: &str) -> (Command, PathBuf) {
    static NEXT_FILE_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("{}-{number}.json", std::process::id());
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("the write succeeds");
    let parsed: Value = serde_json::from_str(config).unwrap_or_default();
    let sockets = parsed["limits"]["sockets"].as_u64().unwrap_or(DESCRIPTOR_LIMIT.into());
    let mut command = Command::new("sh");
    let preload = if faults.is_empty() { String::new() } else { preload_prefix(faults) };
    command
        .args(["-c", &format!("ulimit -n {sockets}; exec {preload} {}", env!("CARGO_BIN_EXE_vetchbridge"))]);
    command.env_clear().env("BALANCER_CONFIG", &path).stderr(Stdio::piped());
    (command, path)
}

/// Returns the start of a shell command that runs the command after it with injected system call faults, by
/// preloading the fault injection library.
fn preload_prefix(faults: &str) -> String {
    let library = std::env::current_exe().expect("a path").with_file_name("libsyscall_faults.so");
    assert!(library.is_file(), "{}: missing; it is built with the tests of the workspace", library.display());
    format!("env LD_PRELOAD={} SYSCALL_FAULTS={faults}", library.display())
}

/// A process of the daemon, which is killed when this value is dropped.
pub struct Process {
    pub child: Child,
    pub config_path: PathBuf,
    /// The address on which the daemon accepts clients and the callbacks of workers.
    pub address: SocketAddr,
    /// The address of the daemon's admin interface.
    pub admin: SocketAddr,
    /// The lines that the daemon logs after it has begun to listen.
    pub log: UnboundedReceiver<String>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Starts the daemon and waits until it listens. If `folder` holds the handover socket of a predecessor
    /// process, the daemon takes over from that process.
    pub fn start(config: &Value, folder: &Path) -> Process {
        Process::start_with_faults(config, folder, "")
    }

    /// Starts the daemon as [`Process::start`] does; `faults` selects system calls of the daemon that fail,
    /// as for [`daemon_command_with_faults`].
    pub fn start_with_faults(config: &Value, folder: &Path, faults: &str) -> Process {
        let (mut command, path) = daemon_command_with_faults(&config.to_string(), faults);
        // As on the platform, `BALANCER_DISCOVERY` is set when the process starts and never changes. A reload
        // must ignore the variable.
        let discovery = config["discovery"].as_str().expect("an address");
        command.env("BALANCER_DISCOVERY", discovery).env("TMPDIR", folder);
        let started = {
            let _lock = spawn_lock();
            command.spawn()
        };
        let mut child = started.expect("the daemon starts");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let mut lines_read = Vec::new();
        let mut address_in = |event: &str| -> SocketAddr {
            let line = lines.by_ref().map_while(Result::ok).inspect(|line| lines_read.push(line.clone()));
            let line = { line }.find(|line| line.contains(event)).unwrap_or_else(|| panic!("{lines_read:?}"));
            line.rsplit("address=").next().expect("an address").parse().expect("an address")
        };
        let (admin, address) = (address_in("admin.listening"), address_in("daemon.listening"));
        let (sender, log) = unbounded_channel();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(sender.send(line))));
        Process { child, config_path: path, address, admin, log }
    }

    /// Starts the daemon with a new scripted discovery service and waits until the daemon serves. The
    /// discovery service confirms the saved endpoint list and then sends nothing more.
    pub async fn start_serving(config: &mut Value, folder: &Path) -> (Process, TcpListener) {
        let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        config["discovery"] = discovery.local_addr().expect("a bound socket").to_string().into();
        let mut process = Process::start(config, folder);
        confirm_endpoint_list(&discovery).await;
        process.wait_for_log("serving").await;
        (process, discovery)
    }

    /// Sends a command to the daemon's admin interface and returns the daemon's response.
    pub async fn admin_command(&self, command: &str) -> String {
        let mut stream = TcpStream::connect(self.admin).await.expect("the admin interface listens");
        stream.write_all(format!("{command}\n").as_bytes()).await.expect("the write succeeds");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("an answer");
        answer
    }

    /// Waits for the daemon's next log line that contains `event` and returns the line.
    pub async fn wait_for_log(&mut self, event: &str) -> String {
        loop {
            let line = self.log.recv().await.expect("the daemon runs");
            if line.contains(event) {
                return line;
            }
        }
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let started = {
            let _lock = spawn_lock();
            Command::new("kill").args([signal, &pid]).spawn()
        };
        assert!(started.and_then(|mut kill| kill.wait()).expect("kill runs").success());
    }

    /// Suspends the daemon's process until [`Process::resume`]. Events that occur meanwhile are all pending
    /// when the process resumes, in their order of arrival.
    pub async fn suspend(&self) {
        self.signal("-STOP");
        let threads = || {
            let tasks =
                std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("the process runs");
            tasks.map(|task| task.expect("a thread").path().join("stat"))
        };
        // A thread of the daemon that has not stopped yet could still read some of the events that the test
        // causes next.
        while !threads().all(|stat| std::fs::read_to_string(stat).is_ok_and(|stat| stat.contains(") T "))) {
            tokio::task::yield_now().await;
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }
}

/// A running daemon with scripted workers and a scripted discovery service.
pub struct Harness {
    pub daemon: Process,
    /// The folder of the daemon's handover socket.
    pub folder: tempfile::TempDir,
    /// The entries of the endpoint list that is saved in the daemon's configuration.
    pub instances: Vec<Value>,
    pub discovery: TcpListener,
    /// The listeners of the scripted workers. The index of a listener is the worker's number.
    pub workers: Vec<TcpListener>,
    pub last_request_id: u64,
}

impl Harness {
    /// Starts a daemon with `workers` scripted workers, and waits until the daemon serves.
    pub async fn start(workers: usize) -> Harness {
        Harness::start_with_other_workers(workers, &[]).await
    }

    /// Starts a daemon as [`Harness::start`] does. The endpoint list also contains workers at the addresses
    /// `others`, after the scripted workers.
    pub async fn start_with_other_workers(workers: usize, others: &[SocketAddr]) -> Harness {
        Harness::start_with_descriptor_limit(workers, others, DESCRIPTOR_LIMIT).await
    }

    /// Starts a daemon as [`Harness::start_with_other_workers`] does, with `sockets` as the daemon's limit on
    /// file descriptors.
    pub async fn start_with_descriptor_limit(workers: usize, others: &[SocketAddr], sockets: u32) -> Harness {
        Harness::start_configured(workers, others, json!({"sockets": sockets}), "").await
    }

    /// Starts a daemon as [`Harness::start`] does; `faults` selects system calls of the daemon that fail, as
    /// for [`daemon_command_with_faults`].
    pub async fn start_with_faults(workers: usize, faults: &str) -> Harness {
        Harness::start_configured(workers, &[], json!({"sockets": DESCRIPTOR_LIMIT}), faults).await
    }

    /// Starts a daemon as [`Harness::start`] does, with `limits` as the section `limits` of its configuration.
    pub async fn start_with_limits(workers: usize, limits: Value) -> Harness {
        Harness::start_configured(workers, &[], limits, "").await
    }

    async fn start_configured(workers: usize, others: &[SocketAddr], limits: Value, faults: &str) -> Harness {
        let listener = || async { TcpListener::bind("127.0.0.1:0").await.expect("a free port") };
        let discovery = listener().await;
        let mut listeners = Vec::new();
        for _ in 0..workers {
            listeners.push(listener().await);
        }
        let scripted = listeners.iter().map(|listener| listener.local_addr().expect("a bound socket"));
        let addresses = scripted.chain(others.iter().copied()).enumerate();
        let instances: Vec<Value> = addresses.map(|(n, address)| instance(n, address, "up")).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let mut config = daemon_config(discovery.local_addr().unwrap(), instances.clone().into());
        config["limits"] = limits;
        let mut daemon = Process::start_with_faults(&config, folder.path(), faults);
        confirm_endpoint_list(&discovery).await;
        daemon.wait_for_log("serving").await;
        Harness { daemon, folder, instances, discovery, workers: listeners, last_request_id: 0xab00 }
    }

    /// Starts a successor process, which takes over from the daemon. The successor's saved endpoint list is
    /// empty.
    pub fn start_successor(&self) -> Process {
        let mut config = daemon_config(self.discovery.local_addr().unwrap(), json!([]));
        config["listen"] = self.daemon.address.to_string().into();
        Process::start(&config, self.folder.path())
    }

    /// Requests the daemon's `/health/ready` on a new connection and returns the response.
    pub async fn get_readiness(&self) -> Message {
        let mut load_balancer = dial(self.daemon.address).await;
        load_balancer.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
        load_balancer.read().await.expect("an answer")
    }

    /// Accepts the daemon's next connection to any scripted worker. Returns the worker's number and the
    /// connection.
    pub async fn accept_worker_connection(&self) -> (usize, HttpConnection) {
        let accepts = self.workers.iter().map(|worker| Box::pin(worker.accept()));
        let (accepted, number, _) = select_all(accepts).await;
        (number, HttpConnection::new(accepted.expect("a connection").0))
    }

    /// Sends a request of this class to the daemon on a new connection. Returns the client connection and the
    /// request's id.
    pub async fn submit_job(&mut self, class: &str, key: &str) -> (HttpConnection, String) {
        self.last_request_id += 1;
        let id = format!("{:016x}", self.last_request_id);
        let mut client = dial(self.daemon.address).await;
        client
            .post_request(
                &format!("/{class}/{key}"),
                &format!("X-Trace-Id: {id}\r\nX-Qos: {class}\r\n"),
                "work",
            )
            .await;
        (client, id)
    }

    /// Sends a worker's callback for a job to the daemon and checks that the daemon acknowledges the
    /// callback, which the daemon must do for any value of the callback's `state` field.
    pub async fn send_callback(&self, id: &str, worker: usize, state: &str) {
        let mut connection = dial(self.daemon.address).await;
        let body =
            json!({"id": id, "from": format!("s-{worker}"), "state": state, "result": "made"}).to_string();
        connection.post_request("/callback", "", &body).await;
        assert_eq!(status(connection.read().await.as_ref()), "200");
    }

    /// Sends requests of a class with several keys, and checks that worker 0 receives all of them. Worker 0
    /// serves them.
    pub async fn serve_jobs_at_worker_0(&mut self, class: &str) {
        for key in 0..8 {
            let (mut client, id) = self.submit_job(class, &key.to_string()).await;
            let mut worker =
                HttpConnection::new(self.workers[0].accept().await.expect("a connection to worker 0").0);
            worker.read().await.expect("the job");
            // The worker closes its connection after each job, so that the next job needs a new connection.
            worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
            self.send_callback(&id, 0, "done").await;
            assert_eq!(status(client.read().await.as_ref()), "200");
        }
    }

    /// Sends one more request, and checks that no other job reaches a worker before the job of this request.
    /// All earlier connections from the daemon to workers must have ended, so that each job needs a new
    /// connection. Returns the number of connections to workers that ended without a request.
    pub async fn assert_only_next_job_arrives(&mut self) -> usize {
        let mut empty_connections = 0;
        let (mut client, next_id) = self.submit_job("safe", "k").await;
        let mut reads = FuturesUnordered::new();
        loop {
            let read_request =
                async |(number, mut worker): (usize, HttpConnection)| (number, worker.read().await, worker);
            let (number, request, mut worker) = tokio::select! {
                dialled = self.accept_worker_connection() => {
                    reads.push(read_request(dialled));
                    continue;
                }
                Some(received) = reads.next() => received,
            };
            let Some(request) = request else {
                empty_connections += 1;
                continue;
            };
            assert_eq!(request.header("x-trace-id"), Some(next_id.as_str()), "{request:?}");
            worker.send("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n").await;
            self.send_callback(&next_id, number, "done").await;
            assert_eq!(status(client.read().await.as_ref()), "200");
            return empty_connections;
        }
    }

    /// Accepts the daemon's next connection to a worker, receives a job on it, and completes the job with
    /// this id.
    pub async fn serve_next_attempt(&self, id: &str) {
        let (number, mut worker) = self.accept_worker_connection().await;
        worker.read().await.expect("the job");
        worker.send(ACCEPTED).await;
        self.send_callback(id, number, "done").await;
    }
}
