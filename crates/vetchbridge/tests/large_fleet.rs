//! A scheduler of a large deployment: 1,200 workers in its list and 1,200 schedulers beside it. It starts, serves, is
//! handed over and restarts with all of them, also with fewer descriptors than workers.
//!
//! Each worker has a loopback address of its own (127.1.0.0 and on) behind one listener, which tells the workers apart by
//! the address that was dialled.
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
use vetchbridge::upgrade::message::{batch_endpoints, HandoverMessage, MAX_MESSAGE_BYTES};
use vetchbridge::workers::{
    request_id, worker_id, AttemptResult, ListedWorker, Payload, SendConditions, UpstreamGroup,
};
use vetchbridge_scheduling::interface::{EndpointState, EndpointUpdate, Outcome};
use vetchbridge_scheduling::peer_message::PeerMessage;
use vetchbridge_testbed::wire::Wire;

const WORKERS: usize = 1200;
const SCHEDULERS: usize = 1200;
/// The peers share so many sockets.
const PEER_SOCKETS: usize = 12;
/// The version of the list.
const GENERATION: u32 = 70;
/// A name as long as this makes a hundred entries longer than one message of the hand-over.
const LONG_NAME: usize = 2000;
/// So much of a list is written at once where it comes in pieces.
const PIECE: usize = 1024;

/// Where the scheduler under test listens now; a restart changes it.
type Target = Arc<Mutex<Option<SocketAddr>>>;

fn scheduler(target: &Target) -> SocketAddr {
    target.lock().unwrap_or_else(PoisonError::into_inner).expect("a scheduler runs")
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
    let IpAddr::V4(address) = address.ip() else { panic!("{address} is none of the workers'") };
    (address.to_bits() - Ipv4Addr::new(127, 1, 0, 0).to_bits()) as usize
}

/// All workers: each takes every job at once and keeps the connection. The result of a job is its worker's number.
async fn run_workers(listener: TcpListener, name_length: usize, target: Target) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        tokio::spawn(run_worker(stream, name_length, target.clone()));
    }
}

async fn run_worker(stream: TcpStream, name_length: usize, target: Target) {
    let number = worker_number(stream.local_addr().expect("connected"));
    let mut wire = Wire::new(stream);
    while let Some(job) = wire.read().await {
        let id = job.header("x-trace-id").expect("a job has an id").to_string();
        wire.send(ACCEPTED).await;
        let callback = json!({"id": id, "from": worker_name(number, name_length), "state": "done",
                              "result": number.to_string()});
        let mut back = dial(scheduler(&target)).await;
        back.post_request("/callback", "", &callback.to_string()).await;
        assert_eq!(status(&back.read().await), "200");
    }
}

/// How discovery writes its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    Compact,
    IndentedInPieces,
}

/// Discovery: answers a call for the whole list with `list`, and a watch, after its wait, with no changes. Each call's target is
/// passed on.
async fn run_discovery(listener: TcpListener, list: Value, form: Form, calls: UnboundedSender<String>) {
    let list = Arc::new(list);
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        tokio::spawn(answer_calls(Wire::new(stream), list.clone(), form, calls.clone()));
    }
}

async fn answer_calls(mut wire: Wire, list: Arc<Value>, form: Form, calls: UnboundedSender<String>) {
    while let Some(call) = wire.read().await {
        let target = call.target().to_string();
        let wait = target.split("wait=").nth(1).map_or(0, |wait| wait.parse().expect("milliseconds"));
        let watches = target.contains(&format!("index={GENERATION}&"));
        // Nobody listens any more once the story has heard what it needs.
        let _ = calls.send(target);
        if watches {
            sleep(Duration::from_millis(wait)).await;
        }
        let no_changes = json!({"generation": GENERATION, "reset": false, "instances": []});
        let answer = if watches { &no_changes } else { &*list };
        let written = match form {
            Form::Compact => wire.answer(200, "", &answer.to_string()).await,
            Form::IndentedInPieces => write_in_pieces(&mut wire, &format!("{answer:#}")).await,
        };
        if written.is_err() {
            return;
        }
    }
}

async fn write_in_pieces(wire: &mut Wire, body: &str) -> std::io::Result<()> {
    wire.write(&format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len())).await?;
    for piece in body.as_bytes().chunks(PIECE) {
        wire.write(std::str::from_utf8(piece).expect("ASCII")).await?;
        // The daemon is to have the chance to read it alone.
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// The peers behind one socket: whoever is asked for a worker's load says that it has none. Each datagram is told by the
/// number of its socket.
async fn run_peers(number: usize, socket: UdpSocket, heard: UnboundedSender<usize>) {
    let mut buffer = [0; 256];
    loop {
        let (length, sender) = socket.recv_from(&mut buffer).await.expect("a datagram");
        // Nobody listens any more once the story has heard what it needs.
        let _ = heard.send(number);
        if let Some((PeerMessage::OccupancyQuery(_), worker)) = PeerMessage::read(&buffer[..length]) {
            let report = PeerMessage::OccupancyReply(Some((0.0, 0))).write(worker);
            socket.send_to(&report, sender).await.expect("sent");
        }
    }
}

/// The workers, the peers and discovery around one scheduler.
struct Fleet {
    folder: tempfile::TempDir,
    /// The scheduler's configuration, without a list of workers.
    config: Value,
    /// The whole list.
    list: Value,
    target: Target,
    /// The targets of the calls that discovery got.
    calls: UnboundedReceiver<String>,
    /// The numbers of the sockets that peers got datagrams at.
    datagrams: UnboundedReceiver<usize>,
    jobs: u64,
}

impl Fleet {
    /// Names of workers are longer than this; discovery writes its list so.
    async fn set(name_length: usize, form: Form) -> Fleet {
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
        let (heard, datagrams) = unbounded_channel();
        let mut peers = Vec::new();
        for number in 0..PEER_SOCKETS {
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
            peers.push(socket.local_addr().expect("bound"));
            tokio::spawn(run_peers(number, socket, heard.clone()));
        }
        let config = large_config(discovery.local_addr().expect("bound"), &peers);
        let (target, (called, calls)) = (Target::default(), unbounded_channel());
        tokio::spawn(run_workers(workers, name_length, target.clone()));
        tokio::spawn(run_discovery(discovery, list.clone(), form, called));
        let folder = tempfile::tempdir().expect("a folder");
        Fleet { folder, config, list, target, calls, datagrams, jobs: 0 }
    }

    /// Starts the scheduler with this list of workers as last held.
    fn start(&mut self, known: &Value) -> Process {
        let mut config = self.config.clone();
        config["known"] = known.clone();
        let process = Process::start(&config, self.folder.path());
        self.config["listen"] = process.address.to_string().into();
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(process.address);
        process
    }

    /// Starts it with the whole list.
    fn start_with_list(&mut self) -> Process {
        self.start(&self.list.clone())
    }

    /// Starts it without a list.
    fn start_without_list(&mut self) -> Process {
        self.start(&json!({"generation": 1, "reset": true, "instances": []}))
    }

    /// Hands in so many jobs of different keys, one after the other on one connection, and has each of them served; the workers
    /// that did.
    async fn serve(&mut self, jobs: u64) -> BTreeSet<usize> {
        let first = self.jobs + 1;
        self.jobs += jobs;
        serve_jobs(scheduler(&self.target), first..=self.jobs).await
    }

    /// Serves jobs, and shows that the scheduler has the whole list, its end included.
    async fn serve_at_the_whole_list(&mut self) {
        let workers = self.serve(100).await;
        assert!(workers.len() > 80, "100 keys are spread over the list: {workers:?}");
        assert!(workers.first() < Some(&(WORKERS / 12)), "its start is reached: {workers:?}");
        assert!(workers.last() >= Some(&(WORKERS - WORKERS / 12)), "its end is reached: {workers:?}");
    }

    /// The next call that discovery gets.
    async fn next_call(&mut self) -> String {
        self.calls.recv().await.expect("discovery runs")
    }
}

/// Hands in the jobs of these numbers to a scheduler, one after the other on one connection, and has each of them served; the
/// workers that did.
async fn serve_jobs(scheduler: SocketAddr, jobs: RangeInclusive<u64>) -> BTreeSet<usize> {
    let mut client = dial(scheduler).await;
    let mut workers = BTreeSet::new();
    for job in jobs {
        let headers = format!("X-Trace-Id: {job:016x}\r\nX-Qos: safe\r\n");
        client.post_request(&format!("/safe/key-{job}"), &headers, "work").await;
        let answer = client.read().await.expect("an answer");
        assert_eq!(answer.status(), "200", "job {job} after {} workers", workers.len());
        workers.insert(answer.text().parse().expect("a worker's number"));
    }
    workers
}

/// The last of 1,200 schedulers, which may send one another datagrams; `peers` are the others' sockets.
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

/// Waits until clients are sent to the scheduler.
async fn until_ready(process: &Process) {
    loop {
        let mut front = dial(process.address).await;
        front.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
        if status(&front.read().await) == "200" {
            return;
        }
    }
}

/// It starts with the list as last held, serves, hands all of it over to a successor, which goes on with its version, and starts
/// again.
#[rstest]
#[case::names_of_usual_length(8)]
#[case::long_names(LONG_NAME)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn it_starts_serves_is_handed_over_and_restarts(#[case] name_length: usize) {
    let mut fleet = Fleet::set(name_length, Form::Compact).await;
    let mut first = fleet.start_with_list();
    until_ready(&first).await;
    fleet.serve_at_the_whole_list().await;
    // The list's version is handed over once it has been heard from discovery itself.
    while !fleet.next_call().await.contains(&format!("index={GENERATION}&")) {}

    let mut successor = fleet.start_without_list();
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    first.signal("-TERM");
    assert!(first.child.wait().expect("it ends").success());
    until_ready(&successor).await;
    fleet.serve_at_the_whole_list().await;
    fleet.calls.close();
    while let Some(call) = fleet.calls.recv().await {
        assert!(
            call.contains(&format!("index={GENERATION}&")),
            "nobody asks for the whole list again: {call}"
        );
    }

    successor.signal("-TERM");
    assert!(successor.child.wait().expect("it ends").success());
    let restarted = fleet.start_with_list();
    until_ready(&restarted).await;
    fleet.serve_at_the_whole_list().await;
    fleet.datagrams.close();
    let mut asked = BTreeSet::new();
    while let Some(socket) = fleet.datagrams.recv().await {
        asked.insert(socket);
    }
    assert_eq!(asked.len(), PEER_SOCKETS, "schedulers of all numbers keep account of some worker: {asked:?}");
}

/// A list of 1,200 workers is heard from discovery, however it is written.
#[rstest]
#[case::indented_in_pieces(8, Form::IndentedInPieces)]
#[case::long_names(LONG_NAME, Form::Compact)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_large_list_is_heard_from_discovery(#[case] name_length: usize, #[case] form: Form) {
    let mut fleet = Fleet::set(name_length, form).await;
    // Alone it calls at once; of many schedulers each waits for its turn.
    fleet.config["settings"]["me"] = 0.into();
    fleet.config["settings"]["balancers"] = 1.into();
    let process = fleet.start_without_list();
    until_ready(&process).await;
    fleet.serve_at_the_whole_list().await;
}

/// Connections to workers are kept for the next job, but fewer than there are descriptors: a dial to one worker more never fails
/// for want of one, nor does a callback or a client.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn fewer_descriptors_than_workers_serve_them_all() {
    const CLIENTS: u64 = 60;
    const JOBS_EACH: u64 = 8;
    let mut fleet = Fleet::set(8, Form::Compact).await;
    fleet.config["limits"]["sockets"] = 256.into();
    // A job whose dial fails is not mended by another attempt, nor by a wait until kept connections have expired.
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

/// A worker that turns every job away and keeps the connection; tells its number for each connection that the other side ends.
async fn turn_away(number: usize, listener: TcpListener, ended: UnboundedSender<usize>) {
    loop {
        let (mut wire, ended) = (Wire::new(listener.accept().await.expect("a connection").0), ended.clone());
        tokio::spawn(async move {
            while wire.read().await.is_some() {
                wire.send("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\ncontent-length: 0\r\n\r\n").await;
            }
            ended.send(number).expect("the story goes on");
        });
    }
}

/// Beyond the limit, idle connections to the least recently used workers are closed, and those of the others are kept.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn idle_connections_of_the_least_recently_used_workers_make_room() {
    const MOST: usize = 8;
    const BESIDE: usize = 12;
    // None of them expires within the story.
    let group = UpstreamGroup::new(TEST_TIMEOUT, 10 * TEST_TIMEOUT, 1);
    group.limit_connections(MOST);
    let (heard, mut ended) = unbounded_channel();
    for number in 0..=BESIDE {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (name, address) = (worker_name(number, 0), listener.local_addr().expect("bound").to_string());
        let (worker, state) = (worker_id(&name), EndpointState::Ready);
        let listed = ListedWorker { worker_id: worker, name: &name, address: &address, state, started: 0 };
        group.apply(EndpointUpdate::Changes, std::iter::once(listed));
        tokio::spawn(turn_away(number, listener, heard.clone()));
    }
    // Worker 0 is used again after each of the others, which are used once.
    for number in (1..=BESIDE).flat_map(|number| [number, 0]) {
        let (id, target) = ("00000000000000ab".to_string(), "/safe/k".parse().expect("a path"));
        let (request, worker) = (request_id(&id).expect("an id"), worker_id(&worker_name(number, 0)));
        let payload = Payload { id, target, idempotency_key: None, body: "work".into() };
        let (_cancel, cancelled) = oneshot::channel();
        let (end, _) = group
            .attempt(request, worker, &payload, SendConditions::within(TEST_TIMEOUT), cancelled, |_| {})
            .await;
        assert_eq!(end, AttemptResult::NotServed(Outcome::Rejected));
    }
    let mut closed = BTreeSet::new();
    for _ in 0..BESIDE + 1 - MOST {
        closed.insert(ended.recv().await.expect("the workers run"));
    }
    assert_eq!(closed, (1..=BESIDE + 1 - MOST).collect());
}

/// Many schedulers may share a folder. Each is found by its own successor and by nobody else's, also where long names begin alike.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn schedulers_whose_long_names_begin_alike_are_handed_over_each_to_its_own() {
    let mut fleet = Fleet::set(8, Form::Compact).await;
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
        assert_eq!(successor.admin_command("health").await, "ok serving\n");
        assert_eq!(process.admin_command("quiesce").await, "fail handed over; ask the successor\n");
    }
}

/// An entry that no message of the hand-over can hold costs the successor no worker: it asks for the whole list.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_list_that_can_not_be_handed_over_is_asked_for() {
    let mut fleet = Fleet::set(8, Form::Compact).await;
    let mut known = fleet.list.clone();
    known["instances"][0]["zone"] = "z".repeat(MAX_MESSAGE_BYTES).into();
    let first = fleet.start(&known);
    until_ready(&first).await;
    while !fleet.next_call().await.contains(&format!("index={GENERATION}&")) {}
    let successor = fleet.start_without_list();
    assert_eq!(successor.admin_command("health").await, "ok serving\n");
    while fleet.next_call().await != "/registry/instances" {}
    fleet.serve_at_the_whole_list().await;
}

/// Entries of all lengths share messages of the hand-over; none is longer than a message may be, and none is lost.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[test]
fn every_entry_that_fits_a_message_is_in_one() {
    let entry = |length: usize| -> Instance {
        let mut entry = instance(0, worker_address(0, 1), "up");
        entry["instanceId"] = "\"".repeat(length).into();
        serde_json::from_value(entry).expect("an entry")
    };
    // Quotes are written as two characters each.
    let lengths =
        (0..WORKERS)
            .map(|number| if number % 100 == 0 { MAX_MESSAGE_BYTES / 2 - 200 } else { number % 97 * 11 });
    let entries: Vec<Instance> = lengths.map(entry).collect();
    let names =
        |entries: &[Instance]| entries.iter().map(|entry| entry.instance_id.clone()).collect::<Vec<_>>();
    let messages = batch_endpoints(entries.clone());
    assert_eq!(names(&messages.concat()), names(&entries));
    for message in messages {
        assert!(!message.is_empty(), "an empty one ends the list");
        let length = HandoverMessage::Endpoints(message).encode().len();
        assert!(length <= MAX_MESSAGE_BYTES, "{length}");
    }
    assert_eq!(
        names(&batch_endpoints(vec![entry(1), entry(MAX_MESSAGE_BYTES / 2), entry(2)]).concat()),
        names(&[entry(1), entry(2)])
    );
}

fn check(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_vetchbridge"));
    command.arg("check").arg(&path).env_clear().stdout(Stdio::piped()).stderr(Stdio::piped());
    let started = {
        let _lock = spawn_lock();
        command.spawn()
    };
    let checked = started.and_then(Child::wait_with_output).expect("it runs");
    assert!(checked.status.success(), "{}", String::from_utf8_lossy(&checked.stderr));
    let said = String::from_utf8(checked.stdout).expect("text");
    assert!(said.contains(&worker_name(WORKERS - 1, 8)), "the last worker is named");
}

/// `vetchbridge check` accepts both forms of a configuration of this size.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn its_configuration_is_accepted() {
    let fleet = Fleet::set(8, Form::Compact).await;
    let mut document = fleet.config.clone();
    document["known"] = fleet.list.clone();
    check("large.json", &document.to_string());

    check("large.toml", &configuration_file(WORKERS));
}

/// Our own form of a configuration with so many workers and as many schedulers.
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

/// The processor time that reading a configuration of this size takes; the least of three.
fn reading_takes(size: usize) -> Duration {
    let now = || Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).expect("it counts from 0");
    let file = configuration_file(size);
    let reading = || {
        let began = now();
        let read = read_text("large.toml", &file).expect("it is accepted");
        assert_eq!(read.config.peers.map(|peers| peers.each.len()), Some(size));
        now() - began
    };
    (0..3).map(|_| reading()).min().expect("three")
}

/// Reading a configuration takes time by its length: four times as many workers and schedulers take no sixteen times as long.
#[test]
fn reading_a_large_configuration_takes_no_time_by_its_square() {
    let (quarter, whole) = (reading_takes(WORKERS / 4), reading_takes(WORKERS));
    assert!(whole < 8 * quarter, "{quarter:?} for a quarter of it, {whole:?} for all");
}
