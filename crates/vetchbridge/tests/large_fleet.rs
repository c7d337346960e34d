//! A scheduler of a large deployment: 1,200 workers in its list and 1,200 schedulers beside it. It starts, serves, is
//! handed over and restarts with all of them, also with fewer descriptors than workers.
//!
//! Each worker has a loopback address of its own (from 127.1.0.0) behind one listener, which distinguishes the workers by the
//! address that was dialled.
#![allow(missing_docs)]

mod common;

use common::*;
use futures_util::future::join_all;
use rstest::rstest;
use rustix::time::{clock_gettime, ClockId};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::sleep;
use vetchbridge::config::read_text;
use vetchbridge::discovery::document::Instance;
use vetchbridge::upgrade::message::{in_messages, HandoverMessage, LONGEST};
use vetchbridge::workers::{
    parse_request_id, worker_id, AttemptResult, Payload, SendConditions, UpstreamGroup, WorkerEndpoint,
};
use vetchbridge_scheduling::interface::{EndpointState, EndpointUpdate, Outcome};
use vetchbridge_scheduling::peer_message::PeerMessage;
use vetchbridge_testbed::wire::Wire;

const WORKERS: usize = 1200;
const SCHEDULERS: usize = 1200;
/// The number of sockets that the peers share.
const PEER_SOCKETS: usize = 12;
/// The version of the endpoint list.
const GENERATION: u32 = 70;
/// The length of names of which a hundred entries are longer than one handover message, in bytes.
const LONG_NAME_BYTES: usize = 2000;
/// The length of one piece of an endpoint list that is written in pieces, in bytes.
const PIECE_BYTES: usize = 1024;

/// Where the scheduler under test listens; a restart changes it.
type SchedulerAddress = Arc<Mutex<Option<SocketAddr>>>;

fn current_address(scheduler: &SchedulerAddress) -> SocketAddr {
    scheduler.lock().unwrap_or_else(PoisonError::into_inner).expect("a scheduler runs")
}

/// A worker's name; the numbers of two workers sort as their names do.
fn worker_name(number: usize, length: usize) -> String {
    format!("w-{number:04}-{}", "x".repeat(length))
}

fn worker_address(number: usize, port: u16) -> SocketAddr {
    let address = Ipv4Addr::from_bits(Ipv4Addr::new(127, 1, 0, 0).to_bits() + number as u32);
    SocketAddr::new(IpAddr::V4(address), port)
}

fn worker_number(address: SocketAddr) -> usize {
    let IpAddr::V4(address) = address.ip() else { panic!("{address} is not a worker's") };
    (address.to_bits() - Ipv4Addr::new(127, 1, 0, 0).to_bits()) as usize
}

/// All workers: each accepts every job at once and keeps the connection open. The result of a job is its worker's number.
async fn run_workers(listener: TcpListener, name_length: usize, scheduler: SchedulerAddress) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        tokio::spawn(run_worker(stream, name_length, scheduler.clone()));
    }
}

async fn run_worker(stream: TcpStream, name_length: usize, scheduler: SchedulerAddress) {
    let number = worker_number(stream.local_addr().expect("connected"));
    let mut wire = Wire::new(stream);
    while let Some(job) = wire.read().await {
        let id = job.header("x-trace-id").expect("a job has an id").to_string();
        wire.send(ACCEPTED).await;
        let callback = json!({"id": id, "from": worker_name(number, name_length), "state": "done",
                              "result": number.to_string()});
        let mut connection = dial(current_address(&scheduler)).await;
        connection.hand_in("/callback", "", &callback.to_string()).await;
        assert_eq!(status(&connection.read().await), "200");
    }
}

/// How discovery writes the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListFormat {
    Compact,
    IndentedInPieces,
}

/// Discovery: answers a request for the complete list with `list`, and a watch, after its wait, with no changes. The target of
/// each request is sent to `calls`.
async fn run_discovery(
    listener: TcpListener,
    list: Value,
    format: ListFormat,
    calls: UnboundedSender<String>,
) {
    let list = Arc::new(list);
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        tokio::spawn(answer_calls(Wire::new(stream), list.clone(), format, calls.clone()));
    }
}

async fn answer_calls(mut wire: Wire, list: Arc<Value>, format: ListFormat, calls: UnboundedSender<String>) {
    while let Some(call) = wire.read().await {
        let target = call.target().to_string();
        let wait = target.split("wait=").nth(1).map_or(0, |wait| wait.parse().expect("milliseconds"));
        let is_watch = target.contains(&format!("index={GENERATION}&"));
        // The receiver is closed once the test has what it needs.
        let _ = calls.send(target);
        if is_watch {
            sleep(Duration::from_millis(wait)).await;
        }
        let no_changes = json!({"generation": GENERATION, "reset": false, "instances": []});
        let answer = if is_watch { &no_changes } else { &*list };
        let written = match format {
            ListFormat::Compact => wire.answer(200, "", &answer.to_string()).await,
            ListFormat::IndentedInPieces => write_in_pieces(&mut wire, &format!("{answer:#}")).await,
        };
        if written.is_err() {
            return;
        }
    }
}

async fn write_in_pieces(wire: &mut Wire, body: &str) -> std::io::Result<()> {
    wire.write(&format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len())).await?;
    for piece in body.as_bytes().chunks(PIECE_BYTES) {
        wire.write(std::str::from_utf8(piece).expect("ASCII")).await?;
        // The daemon gets the chance to read this piece alone.
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// The peers behind one socket: each answers an occupancy query with no occupancy. The socket's number is sent to `datagrams`
/// for each datagram.
async fn run_peers(number: usize, socket: UdpSocket, datagrams: UnboundedSender<usize>) {
    let mut buffer = [0; 256];
    loop {
        let (length, sender) = socket.recv_from(&mut buffer).await.expect("a datagram");
        // The receiver is closed once the test has what it needs.
        let _ = datagrams.send(number);
        if let Some((PeerMessage::OccupancyQuery(_), worker)) = PeerMessage::read(&buffer[..length]) {
            let reply = PeerMessage::OccupancyReply(Some((0.0, 0))).write(worker);
            socket.send_to(&reply, sender).await.expect("sent");
        }
    }
}

/// The workers, the peers and discovery around one scheduler.
struct Fleet {
    folder: tempfile::TempDir,
    /// The scheduler's configuration, without an endpoint list.
    config: Value,
    /// The complete endpoint list.
    list: Value,
    scheduler: SchedulerAddress,
    /// The targets of the requests that discovery received.
    calls: UnboundedReceiver<String>,
    /// The numbers of the sockets at which peers received datagrams.
    datagrams: UnboundedReceiver<usize>,
    jobs: u64,
}

impl Fleet {
    /// A fleet whose workers' names are longer than `name_length`, and whose discovery writes its list in this format.
    async fn new(name_length: usize, format: ListFormat) -> Fleet {
        let workers = TcpListener::bind("0.0.0.0:0").await.expect("a port");
        let port = workers.local_addr().expect("bound").port();
        let instances: Vec<Value> = (0..WORKERS)
            .map(|number| {
                let mut entry = instance(number, worker_address(number, port), "up");
                entry["instanceId"] = worker_name(number, name_length).into();
                entry
            })
            .collect();
        let list = json!({"generation": GENERATION, "reset": true, "instances": instances});
        let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (datagram_sender, datagrams) = unbounded_channel();
        let mut peers = Vec::new();
        for number in 0..PEER_SOCKETS {
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
            peers.push(socket.local_addr().expect("bound"));
            tokio::spawn(run_peers(number, socket, datagram_sender.clone()));
        }
        let config = large_config(discovery.local_addr().expect("bound"), &peers);
        let (scheduler, (call_sender, calls)) = (SchedulerAddress::default(), unbounded_channel());
        tokio::spawn(run_workers(workers, name_length, scheduler.clone()));
        tokio::spawn(run_discovery(discovery, list.clone(), format, call_sender));
        let folder = tempfile::tempdir().expect("a directory");
        Fleet { folder, config, list, scheduler, calls, datagrams, jobs: 0 }
    }

    /// Starts the scheduler with this endpoint list cached from an earlier run.
    fn start(&mut self, known: &Value) -> Process {
        let mut config = self.config.clone();
        config["known"] = known.clone();
        let process = Process::start(&config, self.folder.path());
        self.config["listen"] = process.address.to_string().into();
        *self.scheduler.lock().unwrap_or_else(PoisonError::into_inner) = Some(process.address);
        process
    }

    /// Starts it with the complete list.
    fn start_with_list(&mut self) -> Process {
        self.start(&self.list.clone())
    }

    /// Starts it with an empty list.
    fn start_without_list(&mut self) -> Process {
        self.start(&json!({"generation": 1, "reset": true, "instances": []}))
    }

    /// Submits jobs of different keys, one after the other on one connection; the workers that served them.
    async fn serve(&mut self, jobs: u64) -> BTreeSet<usize> {
        let first = self.jobs + 1;
        self.jobs += jobs;
        serve_jobs(current_address(&self.scheduler), first..=self.jobs).await
    }

    /// Submits jobs, and checks that the scheduler uses the list from its start to its end.
    async fn serve_from_the_complete_list(&mut self) {
        let workers = self.serve(100).await;
        assert!(workers.len() > 80, "100 keys are spread over the list: {workers:?}");
        assert!(workers.first() < Some(&(WORKERS / 12)), "its start is reached: {workers:?}");
        assert!(workers.last() >= Some(&(WORKERS - WORKERS / 12)), "its end is reached: {workers:?}");
    }

    /// The target of the next request that discovery receives.
    async fn next_call(&mut self) -> String {
        self.calls.recv().await.expect("discovery runs")
    }
}

/// Submits the jobs of these numbers to a scheduler, one after the other on one connection; the workers that served them.
async fn serve_jobs(scheduler: SocketAddr, jobs: RangeInclusive<u64>) -> BTreeSet<usize> {
    let mut client = dial(scheduler).await;
    let mut workers = BTreeSet::new();
    for job in jobs {
        let headers = format!("X-Trace-Id: {job:016x}\r\nX-Qos: safe\r\n");
        client.hand_in(&format!("/safe/key-{job}"), &headers, "work").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!(answer.status(), "200", "job {job} after {} workers", workers.len());
        workers.insert(answer.text().parse().expect("a worker's number"));
    }
    workers
}

/// The configuration of the last of 1,200 schedulers that exchange datagrams; `peers` are the others' sockets.
fn large_config(discovery: SocketAddr, peers: &[SocketAddr]) -> Value {
    let reserved = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
    let own = reserved.local_addr().expect("bound");
    let per_socket = SCHEDULERS / peers.len();
    let mut each: Vec<String> = (0..SCHEDULERS).map(|n| peers[n / per_socket].to_string()).collect();
    each[SCHEDULERS - 1] = own.to_string();
    let mut config = config(discovery, json!([]));
    config["limits"]["sockets"] = 1024.into();
    config["peer_listen"] = own.to_string().into();
    config["peers"] = json!(each);
    config["settings"]["me"] = (SCHEDULERS - 1).into();
    config["settings"]["balancers"] = SCHEDULERS.into();
    config["settings"]["limits"]["peers"] = true.into();
    config
}

/// Waits until the scheduler is ready.
async fn until_ready(process: &Process) {
    loop {
        let mut front = dial(process.address).await;
        front.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
        if status(&front.read().await) == "200" {
            return;
        }
    }
}

/// It starts with a cached list, serves, hands the complete list over to a successor, which resumes from its version, and
/// restarts.
#[rstest]
#[case::names_of_usual_length(8)]
#[case::long_names(LONG_NAME_BYTES)]
#[timeout(HANG)]
#[tokio::test]
async fn a_scheduler_starts_serves_is_handed_over_and_restarts(#[case] name_length: usize) {
    let mut fleet = Fleet::new(name_length, ListFormat::Compact).await;
    let mut first = fleet.start_with_list();
    until_ready(&first).await;
    fleet.serve_from_the_complete_list().await;
    // The list's version is handed over once discovery itself has confirmed it.
    while !fleet.next_call().await.contains(&format!("index={GENERATION}&")) {}

    let mut successor = fleet.start_without_list();
    assert_eq!(successor.operate("health").await, "ok serving\n");
    first.signal("-TERM");
    assert!(first.child.wait().expect("it ends").success());
    until_ready(&successor).await;
    fleet.serve_from_the_complete_list().await;
    fleet.calls.close();
    while let Some(call) = fleet.calls.recv().await {
        assert!(
            call.contains(&format!("index={GENERATION}&")),
            "the complete list is not requested again: {call}"
        );
    }

    successor.signal("-TERM");
    assert!(successor.child.wait().expect("it ends").success());
    let restarted = fleet.start_with_list();
    until_ready(&restarted).await;
    fleet.serve_from_the_complete_list().await;
    fleet.datagrams.close();
    let mut queried = BTreeSet::new();
    while let Some(socket) = fleet.datagrams.recv().await {
        queried.insert(socket);
    }
    assert_eq!(queried.len(), PEER_SOCKETS, "schedulers of all numbers coordinate some worker: {queried:?}");
}

/// A list of 1,200 workers is read from discovery, however it is written.
#[rstest]
#[case::indented_in_pieces(8, ListFormat::IndentedInPieces)]
#[case::long_names(LONG_NAME_BYTES, ListFormat::Compact)]
#[timeout(HANG)]
#[tokio::test]
async fn a_large_list_is_read_from_discovery(#[case] name_length: usize, #[case] format: ListFormat) {
    let mut fleet = Fleet::new(name_length, format).await;
    // A single scheduler polls at once; each of many waits for its turn.
    fleet.config["settings"]["me"] = 0.into();
    fleet.config["settings"]["balancers"] = 1.into();
    let process = fleet.start_without_list();
    until_ready(&process).await;
    fleet.serve_from_the_complete_list().await;
}

/// Connections to workers are pooled, but fewer than there are descriptors: neither a dial to another worker nor a callback nor
/// a client fails for want of one.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn fewer_descriptors_than_workers_suffice_to_use_all_workers() {
    const CLIENTS: u64 = 60;
    const JOBS_EACH: u64 = 8;
    let mut fleet = Fleet::new(8, ListFormat::Compact).await;
    fleet.config["limits"]["sockets"] = 256.into();
    // A failed dial is concealed neither by a retry nor by waiting until idle connections have expired.
    fleet.config["settings"]["services"][0]["deadline"] = 5_000_000.into();
    fleet.config["settings"]["limits"]["max_attempts"] = 1.into();
    let process = fleet.start_with_list();
    until_ready(&process).await;
    let workers = fleet.serve(400).await;
    assert!(workers.len() > 300, "only {} workers were tried", workers.len());
    // Also with many clients at once, each of which waits for its answer.
    let clients = (0..CLIENTS).map(|client| {
        let first = fleet.jobs + 1 + client * JOBS_EACH;
        serve_jobs(process.address, first..=first + JOBS_EACH - 1)
    });
    assert_eq!(join_all(clients).await.len() as u64, CLIENTS);
}

/// A worker that rejects every job and keeps the connection open; sends its number to `closed` for each connection that the
/// other side closes.
async fn reject_jobs(number: usize, listener: TcpListener, closed: UnboundedSender<usize>) {
    loop {
        let (mut wire, closed) =
            (Wire::new(listener.accept().await.expect("a connection").0), closed.clone());
        tokio::spawn(async move {
            while wire.read().await.is_some() {
                wire.send("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\ncontent-length: 0\r\n\r\n").await;
            }
            closed.send(number).expect("the test runs");
        });
    }
}

/// Beyond the limit, idle connections to the least recently used workers are closed, and those of the others are kept.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn idle_connections_of_the_least_recently_used_workers_are_evicted() {
    const MAX_CONNECTIONS: usize = 8;
    const OTHER_WORKERS: usize = 12;
    // No connection expires within the test.
    let group = UpstreamGroup::new(HANG, 10 * HANG, 1);
    group.set_max_connections(MAX_CONNECTIONS);
    let (closed_sender, mut closed_connections) = unbounded_channel();
    for number in 0..=OTHER_WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (name, address) = (worker_name(number, 0), listener.local_addr().expect("bound").to_string());
        let (worker, state) = (worker_id(&name), EndpointState::Ready);
        let endpoint =
            WorkerEndpoint { worker_id: worker, name: &name, address: &address, state, started_at: 0 };
        group.apply_endpoints(EndpointUpdate::Changes, std::iter::once(endpoint));
        tokio::spawn(reject_jobs(number, listener, closed_sender.clone()));
    }
    // Worker 0 is used again after each of the others, which are used once.
    for number in (1..=OTHER_WORKERS).flat_map(|number| [number, 0]) {
        let (id, target) = ("00000000000000ab".to_string(), "/safe/k".parse().expect("a path"));
        let (request, worker) = (parse_request_id(&id).expect("an id"), worker_id(&worker_name(number, 0)));
        let payload = Payload { id, target, idempotency_key: None, body: "work".into() };
        let (_cancel, cancelled) = oneshot::channel();
        let (result, _) = group
            .attempt(request, worker, &payload, SendConditions::with_timeout(HANG), cancelled, |_| {})
            .await;
        assert_eq!(result, AttemptResult::NotServed(Outcome::Rejected));
    }
    let mut closed = BTreeSet::new();
    for _ in 0..OTHER_WORKERS + 1 - MAX_CONNECTIONS {
        closed.insert(closed_connections.recv().await.expect("the workers run"));
    }
    assert_eq!(closed, (1..=OTHER_WORKERS + 1 - MAX_CONNECTIONS).collect());
}

/// Many schedulers may share a directory. Each is found by its own successor only, even where long names begin alike.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn schedulers_whose_long_names_begin_alike_are_each_handed_over_to_their_own_successor() {
    let mut fleet = Fleet::new(8, ListFormat::Compact).await;
    let mut started = Vec::new();
    for number in [SCHEDULERS - 2, SCHEDULERS - 1] {
        fleet.config["name"] = format!("scheduler-of-the-first-deployment-zone-a-{number}").into();
        fleet.config["listen"] = "127.0.0.1:0".into();
        let reserved = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
        fleet.config["peer_listen"] = reserved.local_addr().expect("bound").to_string().into();
        drop(reserved);
        let process = fleet.start_without_list();
        until_ready(&process).await;
        started.push((process, fleet.config.clone()));
    }
    for (process, config) in started {
        fleet.config = config;
        let successor = fleet.start_without_list();
        assert_eq!(successor.address, process.address);
        assert_eq!(successor.operate("health").await, "ok serving\n");
        assert_eq!(process.operate("quiesce").await, "fail handed over; ask the successor\n");
    }
}

/// An entry that is too long for a handover message costs the successor no worker: it requests the complete list.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_list_that_can_not_be_handed_over_is_requested_from_discovery() {
    let mut fleet = Fleet::new(8, ListFormat::Compact).await;
    let mut known = fleet.list.clone();
    known["instances"][0]["zone"] = "z".repeat(LONGEST).into();
    let first = fleet.start(&known);
    until_ready(&first).await;
    while !fleet.next_call().await.contains(&format!("index={GENERATION}&")) {}
    let successor = fleet.start_without_list();
    assert_eq!(successor.operate("health").await, "ok serving\n");
    while fleet.next_call().await != "/registry/instances" {}
    fleet.serve_from_the_complete_list().await;
}

/// Entries of all lengths are divided into handover messages; no message is longer than allowed, and no entry is lost.
#[rstest]
#[timeout(HANG)]
#[test]
fn every_entry_that_fits_a_message_is_in_one() {
    let entry = |length: usize| -> Instance {
        let mut entry = instance(0, worker_address(0, 1), "up");
        entry["instanceId"] = "\"".repeat(length).into();
        serde_json::from_value(entry).expect("an entry")
    };
    // Quotes are written as two characters each.
    let lengths =
        (0..WORKERS).map(|number| if number % 100 == 0 { LONGEST / 2 - 200 } else { number % 97 * 11 });
    let entries: Vec<Instance> = lengths.map(entry).collect();
    let names =
        |entries: &[Instance]| entries.iter().map(|entry| entry.instance_id.clone()).collect::<Vec<_>>();
    let messages = in_messages(entries.clone());
    assert_eq!(names(&messages.concat()), names(&entries));
    for message in messages {
        assert!(!message.is_empty(), "an empty message would end the list");
        let length = HandoverMessage::Entries(message).write().len();
        assert!(length <= LONGEST, "{length}");
    }
    assert_eq!(
        names(&in_messages(vec![entry(1), entry(LONGEST / 2), entry(2)]).concat()),
        names(&[entry(1), entry(2)])
    );
}

fn run_check(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_vetchbridge"));
    command.arg("check").arg(&path).env_clear().stdout(Stdio::piped()).stderr(Stdio::piped());
    let started = {
        let _alone = alone();
        command.spawn()
    };
    let checked = started.and_then(Child::wait_with_output).expect("it runs");
    assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
    let output = String::from_utf8(checked.stdout).expect("text");
    assert!(output.contains(&worker_name(WORKERS - 1, 8)), "the last worker is named");
}

/// `vetchbridge check` accepts both formats of a configuration of this size.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn its_configuration_is_valid() {
    let fleet = Fleet::new(8, ListFormat::Compact).await;
    let mut document = fleet.config.clone();
    document["known"] = fleet.list.clone();
    run_check("large.json", &document.to_string());

    run_check("large.toml", &configuration_file(WORKERS));
}

/// A TOML configuration with this many workers and schedulers.
fn configuration_file(size: usize) -> String {
    let each: Vec<String> = (0..size).map(|n| worker_address(n, 7000).to_string()).collect();
    let mut file = format!(
        "name = \"n0\"\nlisten = \"127.0.0.1:0\"\nseed = \"1\"\n\
         [attempts]\nmessages = true\n[tier]\nme = {}\nschedulers = {size}\nmessages = \"127.0.0.1:7000\"\neach = {each:?}\n\
         [[class]]\nname = \"safe\"\nrepeat = \"safe\"\naim = \"1s\"\ndeadline = \"2s\"\n",
        size - 1
    );
    for number in 0..size {
        let (name, address) = (worker_name(number, 8), worker_address(number, 8000));
        file.push_str(&format!("[[peer]]\nname = \"{name}\"\naddress = \"{address}\"\n"));
    }
    file
}

/// The processor time of reading a configuration of this size; the least of three measurements.
fn read_time(size: usize) -> Duration {
    let now = || Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).expect("it counts from 0");
    let file = configuration_file(size);
    let reading = || {
        let started_at = now();
        let read = read_text("large.toml", &file).expect("it is accepted");
        assert_eq!(read.config.peers.map(|peers| peers.each.len()), Some(size));
        now() - started_at
    };
    (0..3).map(|_| reading()).min().expect("three")
}

/// The time to read a configuration grows with its length, not its square: four times as many workers and schedulers do not take
/// sixteen times as long.
#[test]
fn the_time_to_read_a_configuration_does_not_grow_with_its_square() {
    let (quarter, whole) = (read_time(WORKERS / 4), read_time(WORKERS));
    assert!(whole < 8 * quarter, "{quarter:?} for a quarter, {whole:?} for the whole");
}
