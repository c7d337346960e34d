//! A simulated large deployment of 1,200 workers and 1,200 schedulers. One scheduler is under test; its
//! workers, its peers (the other schedulers) and its discovery service are simulated.
//!
//! Each worker has its own loopback address (from 127.1.0.0). One listener accepts the connections to all
//! workers and distinguishes the workers by the local address of the connection.
#![allow(dead_code, missing_docs)]

use crate::common::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::sleep;
use vetchbridge_scheduling::{Occupancy, PeerMessage};
use vetchbridge_testbed::wire::HttpConnection;

pub const WORKERS: usize = 1200;
pub const SCHEDULERS: usize = 1200;
/// The number of UDP sockets that the simulated peers share.
pub const PEER_SOCKETS: usize = 12;
/// The generation of the discovery service's endpoint list.
pub const GENERATION: u32 = 70;
/// Length of a long worker name, in bytes: a hundred endpoint list entries with such names do not fit into
/// one handover message.
pub const LONG_NAME_BYTES: usize = 2000;
/// Length of each piece of an endpoint list that the discovery service writes in pieces, in bytes.
pub const PIECE_BYTES: usize = 1024;

/// The current listen address of the scheduler under test, shared with the workers and updated at each start;
/// `None` before the first start.
pub type SchedulerAddress = Arc<Mutex<Option<SocketAddr>>>;

pub fn scheduler_address(scheduler: &SchedulerAddress) -> SocketAddr {
    scheduler.lock().unwrap_or_else(PoisonError::into_inner).expect("a scheduler runs")
}

/// Returns the name of worker `number`, which ends with `length` letters. The names sort in the order of the
/// workers' numbers.
pub fn worker_name(number: usize, length: usize) -> String {
    format!("w-{number:04}-{}", "x".repeat(length))
}

pub fn worker_address(number: usize, port: u16) -> SocketAddr {
    let address = Ipv4Addr::from_bits(Ipv4Addr::new(127, 1, 0, 0).to_bits() + number as u32);
    SocketAddr::new(IpAddr::V4(address), port)
}

pub fn worker_number(address: SocketAddr) -> usize {
    let IpAddr::V4(address) = address.ip() else { panic!("{address} is not a worker's") };
    (address.to_bits() - Ipv4Addr::new(127, 1, 0, 0).to_bits()) as usize
}

/// Runs all simulated workers. Each worker accepts every job at once, sends the callback at once and keeps
/// the connection open. The result of a job is the number of its worker.
pub async fn run_workers(listener: TcpListener, name_length: usize, scheduler: SchedulerAddress) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        tokio::spawn(run_worker(stream, name_length, scheduler.clone()));
    }
}

/// Serves the jobs on one connection from the scheduler to a worker; see [`run_workers`].
pub async fn run_worker(stream: TcpStream, name_length: usize, scheduler: SchedulerAddress) {
    let number = worker_number(stream.local_addr().expect("a connected socket"));
    let mut connection = HttpConnection::new(stream);
    while let Some(job) = connection.read().await {
        let id = job.header("x-trace-id").expect("a job has an id").to_string();
        connection.send(ACCEPTED).await;
        let callback = json!({"id": id, "from": worker_name(number, name_length), "state": "done",
                              "result": number.to_string()});
        let mut connection = dial(scheduler_address(&scheduler)).await;
        connection.post_request("/callback", "", &callback.to_string()).await;
        assert_eq!(status(connection.read().await.as_ref()), "200");
    }
}

/// The way in which the discovery service writes the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFormat {
    Compact,
    IndentedInPieces,
}

/// Runs the simulated discovery service. Answers a request for the complete endpoint list with `list`, and a
/// watch with no changes once the watch's wait time has passed. Sends the target of each request to `calls`.
pub async fn run_discovery(
    listener: TcpListener,
    list: Value,
    format: ListFormat,
    calls: UnboundedSender<String>,
) {
    let list = Arc::new(list);
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        tokio::spawn(answer_calls(HttpConnection::new(stream), list.clone(), format, calls.clone()));
    }
}

/// Answers the requests on one connection from the scheduler to the discovery service; see [`run_discovery`].
pub async fn answer_calls(
    mut connection: HttpConnection,
    list: Arc<Value>,
    format: ListFormat,
    calls: UnboundedSender<String>,
) {
    while let Some(call) = connection.read().await {
        let target = call.target().to_string();
        let wait = target.split("wait=").nth(1).map_or(0, |wait| wait.parse().expect("milliseconds"));
        let is_watch = target.contains(&format!("index={GENERATION}&"));
        // Sending to `calls` fails once the test has closed the receiver, which is no error.
        let _ = calls.send(target);
        if is_watch {
            sleep(Duration::from_millis(wait)).await;
        }
        let no_changes = json!({"generation": GENERATION, "reset": false, "instances": []});
        let answer = if is_watch { &no_changes } else { &*list };
        let written = match format {
            ListFormat::Compact => connection.answer(200, "", &answer.to_string()).await,
            ListFormat::IndentedInPieces => write_in_pieces(&mut connection, &format!("{answer:#}")).await,
        };
        if written.is_err() {
            return;
        }
    }
}

/// Writes a response with this body, in pieces of [`PIECE_BYTES`] bytes.
pub async fn write_in_pieces(connection: &mut HttpConnection, body: &str) -> std::io::Result<()> {
    connection.write(&format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len())).await?;
    for piece in body.as_bytes().chunks(PIECE_BYTES) {
        connection.write(std::str::from_utf8(piece).expect("ASCII")).await?;
        // Yields so that the daemon can read this piece before the next one is written.
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Runs the simulated peers that share one UDP socket. Answers each occupancy query with an occupancy of
/// zero, and sends the socket's number to `datagrams` for each datagram received.
pub async fn run_peers(number: usize, socket: UdpSocket, datagrams: UnboundedSender<usize>) {
    let mut buffer = [0; 256];
    loop {
        let (length, sender) = socket.recv_from(&mut buffer).await.expect("a datagram");
        // Sending to `datagrams` fails once the test has closed the receiver, which is no error.
        let _ = datagrams.send(number);
        if let Some((PeerMessage::OccupancyQuery { .. }, worker)) = PeerMessage::decode(&buffer[..length]) {
            let reply =
                PeerMessage::OccupancyReply(Some(Occupancy { slots: 0.0, ejected_for: 0 })).encode(worker);
            socket.send_to(&reply, sender).await.expect("the send succeeds");
        }
    }
}

/// A large deployment: the scheduler under test with its workers, peers and discovery service.
pub struct Fleet {
    pub folder: tempfile::TempDir,
    /// The configuration of the scheduler under test, without an endpoint list.
    pub config: Value,
    /// The complete endpoint list.
    pub endpoint_list: Value,
    pub scheduler: SchedulerAddress,
    /// The targets of the requests that the discovery service received.
    pub discovery_calls: UnboundedReceiver<String>,
    /// For each datagram that a peer received, the number of the socket at which it arrived.
    pub datagram_sockets: UnboundedReceiver<usize>,
    pub last_job: u64,
}

impl Fleet {
    /// Creates a deployment whose workers have names slightly longer than `name_length` bytes, and whose
    /// discovery service writes its endpoint list in `format`.
    pub async fn new(name_length: usize, format: ListFormat) -> Fleet {
        let workers = TcpListener::bind("0.0.0.0:0").await.expect("a free port");
        let port = workers.local_addr().expect("a bound socket").port();
        let instances: Vec<Value> = (0..WORKERS)
            .map(|number| {
                let mut entry = instance(number, worker_address(number, port), "up");
                entry["instanceId"] = worker_name(number, name_length).into();
                entry
            })
            .collect();
        let endpoint_list = json!({"generation": GENERATION, "reset": true, "instances": instances});
        let discovery = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let (datagram_sender, datagram_sockets) = unbounded_channel();
        let mut peers = Vec::new();
        for number in 0..PEER_SOCKETS {
            let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
            peers.push(socket.local_addr().expect("a bound socket"));
            tokio::spawn(run_peers(number, socket, datagram_sender.clone()));
        }
        let config = large_deployment_config(discovery.local_addr().expect("a bound socket"), &peers);
        let (scheduler, (call_sender, discovery_calls)) = (SchedulerAddress::default(), unbounded_channel());
        tokio::spawn(run_workers(workers, name_length, scheduler.clone()));
        tokio::spawn(run_discovery(discovery, endpoint_list.clone(), format, call_sender));
        let folder = tempfile::tempdir().expect("a directory");
        Fleet { folder, config, endpoint_list, scheduler, discovery_calls, datagram_sockets, last_job: 0 }
    }

    /// Starts the scheduler under test with `known` as the endpoint list saved by an earlier run.
    pub fn start(&mut self, known: &Value) -> Process {
        let mut config = self.config.clone();
        config["known"] = known.clone();
        let process = Process::start(&config, self.folder.path());
        self.config["listen"] = process.address.to_string().into();
        *self.scheduler.lock().unwrap_or_else(PoisonError::into_inner) = Some(process.address);
        process
    }

    /// Starts the scheduler under test with the complete endpoint list as its saved list.
    pub fn start_with_list(&mut self) -> Process {
        self.start(&self.endpoint_list.clone())
    }

    /// Starts the scheduler under test with an empty saved endpoint list.
    pub fn start_without_list(&mut self) -> Process {
        self.start(&json!({"generation": 1, "reset": true, "instances": []}))
    }

    /// Submits jobs with different keys to the scheduler under test, one after the other on one connection.
    /// Returns the numbers of the workers that served these jobs.
    pub async fn submit_jobs(&mut self, jobs: u64) -> BTreeSet<usize> {
        let first = self.last_job + 1;
        self.last_job += jobs;
        submit_jobs_to(scheduler_address(&self.scheduler), first..=self.last_job).await
    }

    /// Submits jobs, and checks that the workers that serve them are spread over the whole endpoint list.
    pub async fn assert_complete_list_is_used(&mut self) {
        let workers = self.submit_jobs(100).await;
        assert!(workers.len() > 80, "100 keys are spread over the list: {workers:?}");
        assert!(workers.first() < Some(&(WORKERS / 12)), "the start of the list is used: {workers:?}");
        assert!(
            workers.last() >= Some(&(WORKERS - WORKERS / 12)),
            "the end of the list is used: {workers:?}"
        );
    }

    /// Waits for the scheduler's next request to the discovery service and returns the target of the request.
    pub async fn next_discovery_call(&mut self) -> String {
        self.discovery_calls.recv().await.expect("discovery runs")
    }
}

/// Submits the jobs with these numbers to a scheduler, one after the other on one connection. Returns the
/// numbers of the workers that served these jobs.
pub async fn submit_jobs_to(scheduler: SocketAddr, jobs: RangeInclusive<u64>) -> BTreeSet<usize> {
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

/// Returns the configuration of the last of 1,200 schedulers that exchange datagrams. The other schedulers
/// share the UDP sockets at `peers`.
pub fn large_deployment_config(discovery: SocketAddr, peers: &[SocketAddr]) -> Value {
    let reserved = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let own_address = reserved.local_addr().expect("a bound socket");
    let schedulers_per_socket = SCHEDULERS / peers.len();
    let mut addresses: Vec<String> =
        (0..SCHEDULERS).map(|n| peers[n / schedulers_per_socket].to_string()).collect();
    addresses[SCHEDULERS - 1] = own_address.to_string();
    let mut config = daemon_config(discovery, json!([]));
    config["limits"]["sockets"] = 1024.into();
    config["peer_listen"] = own_address.to_string().into();
    config["peers"] = json!(addresses);
    config["settings"]["me"] = (SCHEDULERS - 1).into();
    config["settings"]["balancers"] = SCHEDULERS.into();
    config["settings"]["limits"]["peers"] = true.into();
    config
}

/// Waits until the scheduler answers a readiness check with status 200.
pub async fn wait_until_ready(process: &Process) {
    loop {
        let mut client = dial(process.address).await;
        client.send("GET /health/ready HTTP/1.1\r\nhost: x\r\n\r\n").await;
        if status(client.read().await.as_ref()) == "200" {
            return;
        }
    }
}
