//! The upstream group: the peers that discovery has named, their connections, and the attempts and probes out at them.
//!
//! Each [`Peer`] owns its pool of connections; each attempt owns its place in the table of callbacks and
//! gives it back when it is dropped. This file must never choose a peer or a time to probe one, repeat a request by itself,
//! or write to a peer that was told to be leaving while the attempt still waited for a connection.

pub mod load;

use crate::clients::connections::{Count, Counted};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::uri::{Authority, PathAndQuery, Scheme};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use hyper_util::client::legacy::connect::{capture_connection, Connected, Connection, HttpConnector};
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use load::Reports;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use silverproxy::interface::{ListKind, LoadReport, MemberState, Note, RequestId, Status, WorkerId};
use std::collections::HashMap;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch, Semaphore};
use tower_service::Service;
use tracing::{debug, warn};

/// Idle connections kept for one peer; a job holds one only until its 202.
const IDLE_PER_PEER: usize = 8;
/// How long a peer may take to answer 202 where the settings put no limit on a dial.
const TAKEN_WITHIN: Duration = Duration::from_secs(1);
/// How long a peer is given to answer the call that gives an attempt up.
const GIVE_UP_WAIT: Duration = Duration::from_secs(2);
/// How long a probe may take, dial included. A peer that has let one wait in its queue for 500 ms turns it away; what it
/// says then is still read, which keeps the connection, and a peer that says nothing by now is not going to.
const PROBE_WAIT: Duration = Duration::from_millis(600);
/// The longest body of an answer.
const BODY_LIMIT: usize = 64 * 1024;

/// What a peer is given of a request, unchanged.
pub struct Parcel {
    /// The request's id as the client wrote it.
    pub id: String,
    /// Path and query.
    pub target: PathAndQuery,
    /// The key under which peers drop a repeat.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// How an attempt ended.
#[derive(Debug, PartialEq, Eq)]
pub enum Ended {
    /// The peer's result for this request.
    Served(Bytes),
    /// Any other way.
    Not(Status),
}

/// A peer's word on a job, sent to the address that clients use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Callback {
    /// The request's id.
    pub id: String,
    /// The peer, by its name in discovery.
    pub from: String,
    /// What became of the job.
    pub state: CallbackState,
    /// Share done.
    #[serde(default)]
    pub share: f64,
    /// The answer.
    #[serde(default)]
    pub result: String,
    /// The peer's load report, as it was written: one that can't be read must not spoil the word on the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Box<RawValue>>,
}

/// What a callback may tell.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CallbackState {
    /// The job has started.
    Started,
    /// It is running.
    Running,
    /// It is done.
    Done,
    /// It failed; it may have run.
    Failed,
    /// Handed back unstarted.
    Returned,
    /// Killed, or its process died; it may have run.
    Lost,
}

/// The number by which the module knows a peer: a hash of its name alone (FNV-1a), so that all schedulers agree.
pub fn worker_id(name: &str) -> WorkerId {
    let hash = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    WorkerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, hash))
}

/// Reads a request id: exactly 16 hex digits.
pub fn request_id(text: &str) -> Option<RequestId> {
    let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    hex.then(|| u64::from_str_radix(text, 16).ok().map(RequestId)).flatten()
}

type PeerClient = Client<Dialer, Full<Bytes>>;
type Table<T> = Mutex<HashMap<(RequestId, WorkerId), UnboundedSender<T>>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One peer and its connections.
struct Peer {
    name: String,
    address: Authority,
    client: Mutex<PeerClient>,
    /// False once discovery has told that it drains or is gone.
    taking: watch::Sender<bool>,
}

/// See the head of this file.
pub struct UpstreamGroup {
    peers: Mutex<HashMap<WorkerId, Arc<Peer>>>,
    callbacks: Arc<Table<Callback>>,
    times: Mutex<Times>,
    reports: Mutex<Reports>,
    /// Probes that may still go out: each may hold a descriptor.
    probes: Semaphore,
    connections: Count,
}

/// How long things may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Times {
    dial: Duration,
    /// A connected peer that has not taken a job within this time is silent.
    taken_within: Duration,
    idle: Duration,
}

impl Times {
    /// `conn_idle` is when peers close an idle connection themselves.
    fn new(dial: Duration, conn_idle: Duration) -> Times {
        // Half of the peers' own time: a connection is never written to when it may just have expired.
        let idle = conn_idle / 2;
        // As long as a dial may take: each is one round trip of a peer that lives.
        let taken_within = if dial.is_zero() { TAKEN_WITHIN } else { dial };
        Times { dial, taken_within, idle }
    }
}

/// An attempt's place in the table of callbacks.
struct Inbox {
    table: Arc<Table<Callback>>,
    key: (RequestId, WorkerId),
    calls: UnboundedReceiver<Callback>,
}

impl Drop for Inbox {
    fn drop(&mut self) {
        lock(&self.table).remove(&self.key);
    }
}

impl UpstreamGroup {
    /// A group without peers. `conn_idle` is when peers close an idle connection themselves; so many probes at most
    /// are out at once.
    pub fn new(dial_timeout: Duration, conn_idle: Duration, probes: usize) -> UpstreamGroup {
        let times = Mutex::new(Times::new(dial_timeout, conn_idle));
        let probes = Semaphore::new(probes);
        UpstreamGroup {
            peers: Mutex::default(),
            callbacks: Arc::default(),
            times,
            reports: Mutex::default(),
            probes,
            connections: Count::default(),
        }
    }

    /// Load reports are read like this from now on; by no report until this is called.
    pub fn read_reports(&self, reports: Reports) {
        *lock(&self.reports) = reports;
    }

    /// How many connections to peers there are, dials included.
    pub fn connections(&self) -> Count {
        self.connections.clone()
    }

    /// Other times hold from now on, for every peer; attempts that are out keep theirs.
    pub fn retime(&self, dial_timeout: Duration, conn_idle: Duration) {
        let times = Times::new(dial_timeout, conn_idle);
        if std::mem::replace(&mut *lock(&self.times), times) != times {
            self.close_all_idle();
        }
    }

    /// Follows discovery's news: for each peer its name, address and state.
    pub fn apply<'a>(
        &self,
        kind: ListKind,
        entries: impl Iterator<Item = (WorkerId, &'a str, &'a str, MemberState)>,
    ) {
        let peers = &mut *lock(&self.peers);
        let mut missing: Vec<WorkerId> = match kind {
            ListKind::Full | ListKind::Saved => peers.keys().copied().collect(),
            ListKind::Changes | ListKind::Failed => Vec::new(),
        };
        for (worker, name, address, state) in entries {
            missing.retain(|known| *known != worker);
            if state == MemberState::Gone {
                missing.push(worker);
                continue;
            }
            let known = peers.get(&worker);
            let address = match address.parse::<Authority>() {
                Ok(address) => Some(address).filter(|new| known.is_none_or(|peer| peer.address != *new)),
                Err(error) => {
                    warn!(peer = name, address, %error, "peer.unreachable");
                    None
                }
            };
            if let Some(address) = address {
                let (taking, client) = (watch::Sender::new(true), Mutex::new(self.client()));
                let peer = Arc::new(Peer { name: name.to_string(), address, client, taking });
                if let Some(old) = peers.insert(worker, peer) {
                    old.taking.send_replace(false);
                }
            }
            if let Some(peer) = peers.get(&worker) {
                peer.taking.send_replace(state == MemberState::Ready);
            }
        }
        for worker in missing {
            if let Some(peer) = peers.remove(&worker) {
                peer.taking.send_replace(false);
            }
        }
    }

    /// Closes the idle connections to a peer, by leaving the pool that holds them.
    pub fn close_idle(&self, worker: WorkerId) {
        if let Some(peer) = lock(&self.peers).get(&worker) {
            *lock(&peer.client) = self.client();
        }
    }

    /// Closes the idle connections to every peer.
    pub fn close_all_idle(&self) {
        for peer in lock(&self.peers).values() {
            *lock(&peer.client) = self.client();
        }
    }

    /// A peer's name, for the log; empty once it has left.
    pub fn name(&self, worker: WorkerId) -> String {
        lock(&self.peers).get(&worker).map(|peer| peer.name.clone()).unwrap_or_default()
    }

    /// Passes a callback to the attempt that it is about; false if none such is out here.
    pub fn called_back(&self, callback: &Callback) -> bool {
        let Some(id) = request_id(&callback.id) else {
            warn!(peer = callback.from, "callback.unreadable");
            return true;
        };
        let table = lock(&self.callbacks);
        let Some(inbox) = table.get(&(id, worker_id(&callback.from))) else { return false };
        // Failure means that the attempt is ending in this instant.
        drop(inbox.send(callback.clone()));
        true
    }

    fn client(&self) -> PeerClient {
        let mut tcp = HttpConnector::new();
        tcp.set_nodelay(true);
        let times = *lock(&self.times);
        tcp.set_connect_timeout(Some(times.dial).filter(|t| !t.is_zero()));
        Client::builder(TokioExecutor::new())
            // A resend that the module does not know of would be a second attempt.
            .retry_canceled_requests(false)
            .pool_idle_timeout(times.idle)
            .pool_max_idle_per_host(IDLE_PER_PEER)
            .pool_timer(TokioTimer::new())
            .build(Dialer(tcp, self.connections.clone()))
    }

    fn listen(&self, id: RequestId, worker: WorkerId) -> Inbox {
        let (sender, calls) = unbounded_channel();
        lock(&self.callbacks).insert((id, worker), sender);
        Inbox { table: self.callbacks.clone(), key: (id, worker), calls }
    }

    /// One probe, over the connections that the peer's attempts use; how it ended, and the load report that came along.
    /// Ends within [`PROBE_WAIT`] whatever the peer does. A peer that is leaving is not probed.
    pub async fn probe(&self, worker: WorkerId) -> (Status, Option<LoadReport>) {
        let Ok(_place) = self.probes.try_acquire() else { return (Status::Moot, None) };
        let Some(peer) = lock(&self.peers).get(&worker).cloned() else {
            return (Status::ConnectFailed, None);
        };
        let mut taking = peer.taking.subscribe();
        if !*taking.borrow_and_update() {
            return (Status::ConnectFailed, None);
        }
        let until = tokio::time::sleep(PROBE_WAIT);
        tokio::pin!(until);
        let mut waiting_for_connection = true;
        let mut exchange = peer.exchange(Method::GET, &PathAndQuery::from_static("/stats"), None);
        let answered = loop {
            tokio::select! {
                biased;
                _ = taking.wait_for(|taking| !taking), if waiting_for_connection => {
                    waiting_for_connection = false;
                    if !exchange.connected() {
                        return (Status::ConnectFailed, None);
                    }
                }
                answered = &mut exchange.answer => break answered,
                () = &mut until => {
                    let connected = exchange.connected();
                    return (if connected { Status::Timeout } else { Status::ConnectFailed }, None);
                }
            }
        };
        let reply = match answered {
            Ok(reply) => reply,
            Err(Broken::NeverRan) => return (Status::ConnectFailed, None),
            Err(Broken::MayHaveRun) => return (Status::Reset, None),
        };
        let status = match (reply.status, &reply.body) {
            (_, None) => return (Status::Reset, None),
            (StatusCode::OK, _) => Status::Ok,
            (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => Status::Full,
            _ => return (Status::Error, None),
        };
        let reports = *lock(&self.reports);
        let body = reply.body.as_deref().filter(|body| !body.is_empty());
        (status, reports.of_probe(body.or_else(|| reply.load())))
    }

    /// One attempt, from its dial to its outcome, with the load report that came with what ended it; waits no longer
    /// than `wait`.
    pub async fn attempt(
        &self,
        id: RequestId,
        worker: WorkerId,
        parcel: &Parcel,
        wait: Duration,
        mut cancelled: oneshot::Receiver<()>,
        note: impl Fn(Note),
    ) -> (Ended, Option<LoadReport>) {
        let not = |status| (Ended::Not(status), None);
        let Some(peer) = lock(&self.peers).get(&worker).cloned() else {
            return not(Status::ConnectFailed);
        };
        // Before the first byte: a callback may overtake the 202.
        let mut inbox = self.listen(id, worker);
        let until = tokio::time::sleep(wait);
        tokio::pin!(until);
        let mut taking = peer.taking.subscribe();
        let mut waiting_for_connection = true;
        let mut exchange = peer.exchange(Method::POST, &parcel.target, Some((parcel, wait)));
        let mut accepted = false;
        // A peer takes a job at once or not at all: one that stays silent must not hold it to its deadline.
        let mut connection = exchange.connection.clone();
        let taken_within = lock(&self.times).taken_within;
        let silence = async {
            drop(connection.wait_for_connection_metadata().await);
            tokio::time::sleep(taken_within).await;
        };
        tokio::pin!(silence);
        loop {
            tokio::select! {
                biased;
                Ok(()) = &mut cancelled => {
                    peer.give_up(accepted, &parcel.id);
                    return not(Status::Cancelled);
                }
                // Told to leave while the attempt waits for a connection: not one byte may go there now.
                _ = taking.wait_for(|taking| !taking), if waiting_for_connection => {
                    waiting_for_connection = false;
                    if !exchange.connected() {
                        return not(Status::ConnectFailed);
                    }
                }
                Some(call) = inbox.calls.recv() => {
                    if !accepted {
                        // The 202 is under way; reading it saves the connection.
                        let answer = std::mem::replace(&mut exchange.answer, Box::pin(std::future::pending()));
                        tokio::spawn(tokio::time::timeout(GIVE_UP_WAIT, answer));
                        accepted = true;
                        waiting_for_connection = false;
                    }
                    let ended = match call.state {
                        CallbackState::Started => {
                            note(Note::Started);
                            continue;
                        }
                        CallbackState::Running => {
                            note(Note::Progress(call.share));
                            continue;
                        }
                        CallbackState::Done => Ended::Served(call.result.into()),
                        CallbackState::Failed => Ended::Not(Status::Error),
                        CallbackState::Returned => Ended::Not(Status::Full),
                        CallbackState::Lost => Ended::Not(Status::Reset),
                    };
                    let load = call.load.as_ref().map(|load| load.get().as_bytes());
                    return (ended, lock(&self.reports).of_answer(load));
                }
                answer = &mut exchange.answer, if !accepted => match answer {
                    Ok(Reply { status: StatusCode::ACCEPTED, .. }) => {
                        debug!(request = parcel.id, peer = peer.name, "attempt.accepted");
                        accepted = true;
                        waiting_for_connection = false;
                    }
                    Ok(reply) => {
                        let status = match reply.status {
                            _ if reply.never_ran() => Status::Full,
                            status if blames_request(status) => Status::Invalid,
                            _ => Status::Error,
                        };
                        return (Ended::Not(status), lock(&self.reports).of_answer(reply.load()));
                    }
                    Err(Broken::NeverRan) => return not(Status::ConnectFailed),
                    Err(Broken::MayHaveRun) => return not(Status::Reset),
                },
                // Dropping the exchange closes its connection, which gives the attempt up.
                () = &mut silence, if !accepted => return not(Status::Silent),
                () = &mut until => {
                    peer.give_up(accepted, &parcel.id);
                    let connected = accepted || exchange.connected();
                    return not(if connected { Status::Timeout } else { Status::ConnectFailed });
                }
            }
        }
    }
}

/// Whether an answer finds fault with the request itself. 408 and 429 tell of the peer's time and load.
fn blames_request(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::TOO_MANY_REQUESTS
}

/// How an exchange broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    /// Before the request's last byte was written.
    NeverRan,
    /// After it, or we can't tell.
    MayHaveRun,
}

/// A peer's answer.
struct Reply {
    status: StatusCode,
    headers: HeaderMap,
    /// Empty if it was too long; `None` if it broke off.
    body: Option<Bytes>,
}

impl Reply {
    fn never_ran(&self) -> bool {
        self.headers.get("x-never-ran").is_some_and(|value| value == "1")
    }

    /// The load report in its head.
    fn load(&self) -> Option<&[u8]> {
        self.headers.get(load::HEADER).map(|value| value.as_bytes())
    }
}

type Answered = Result<Reply, Broken>;

/// One request to a peer and its answer; dropping it closes the connection it was written to.
struct Exchange {
    connection: hyper_util::client::legacy::connect::CaptureConnection,
    answer: Pin<Box<dyn Future<Output = Answered> + Send>>,
}

impl Exchange {
    fn connected(&self) -> bool {
        self.connection.connection_metadata().is_some()
    }
}

impl Peer {
    fn exchange(&self, method: Method, target: &PathAndQuery, job: Option<(&Parcel, Duration)>) -> Exchange {
        let mut request =
            Request::new(Full::new(job.map(|(parcel, _)| parcel.body.clone()).unwrap_or_default()));
        *request.method_mut() = method;
        let uri = Uri::builder().scheme(Scheme::HTTP).authority(self.address.clone());
        // With all three parts given and checked, building can't fail.
        *request.uri_mut() = uri.path_and_query(target.clone()).build().unwrap_or_default();
        let headers = request.headers_mut();
        let mut header = |name: &'static str, value: &str| {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        };
        header(HOST.as_str(), self.address.as_str());
        if let Some((parcel, wait)) = job {
            header(CONTENT_LENGTH.as_str(), &parcel.body.len().to_string());
            header("x-trace-id", &parcel.id);
            header("x-expires-in", &format!("{}u", wait.as_micros()));
            if let Some(key) = &parcel.idempotency_key {
                header("idempotency-key", key);
            }
        }
        let length = written_length(&request);
        let connection = capture_connection(&mut request);
        let client = lock(&self.client).clone();
        let (seen, name) = (connection.clone(), self.name.clone());
        let answer = async move {
            let response = client.request(request).await;
            let meter = {
                let connected = connection.connection_metadata();
                let mut extras = hyper::http::Extensions::new();
                connected.iter().for_each(|connected| connected.get_extras(&mut extras));
                extras.remove::<Meter>()
            };
            match response {
                Ok(response) => {
                    meter.iter().for_each(Meter::settle);
                    let (head, body) = response.into_parts();
                    // The connection serves again only after the whole answer has been read.
                    let body = match Limited::new(body, BODY_LIMIT).collect().await {
                        Ok(body) => Some(body.to_bytes()),
                        Err(error) => error.is::<LengthLimitError>().then(Bytes::new),
                    };
                    Ok(Reply { status: head.status, headers: head.headers, body })
                }
                Err(error) => {
                    let never_ran = error.is_connect() || meter.is_none_or(|meter| meter.open() < length);
                    debug!(peer = name, ?error, never_ran, "attempt.broke");
                    Err(if never_ran { Broken::NeverRan } else { Broken::MayHaveRun })
                }
            }
        };
        Exchange { connection: seen, answer: Box::pin(answer) }
    }

    /// Gives an attempt up: after the 202 by a call; before it, dropping the exchange closes the connection.
    fn give_up(&self, accepted: bool, id: &str) {
        if accepted {
            // An id is 16 hex digits, so this is a path.
            let Ok(target) = format!("/jobs/{id}").parse() else { return };
            let call = self.exchange(Method::DELETE, &target, None);
            tokio::spawn(tokio::time::timeout(GIVE_UP_WAIT, call.answer));
        }
    }
}

/// Bytes that this request takes on a connection: every header is set by us, hyper adds none.
fn written_length(request: &Request<Full<Bytes>>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers: usize = request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let body = hyper::body::Body::size_hint(request.body()).exact().unwrap_or(0);
    (line + headers + 2) as u64 + body
}

/// Counts what is written to a connection, to tell requests that were written whole from those that were not.
#[derive(Clone, Default)]
struct Meter(Arc<(AtomicU64, AtomicU64)>);

impl Meter {
    /// All that was written belongs to exchanges that are over.
    fn settle(&self) {
        self.0 .1.store(self.0 .0.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Bytes written for the exchange in hand.
    fn open(&self) -> u64 {
        self.0 .0.load(Ordering::Relaxed) - self.0 .1.load(Ordering::Relaxed)
    }

    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.0 .0.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        written
    }
}

/// Dials peers; its connections carry a [`Meter`] and are counted from the dial on.
#[derive(Clone)]
struct Dialer(HttpConnector, Count);

struct Metered {
    io: TokioIo<TcpStream>,
    meter: Meter,
    _counted: Counted,
}

impl Service<Uri> for Dialer {
    type Response = Metered;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Metered, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (dial, counted) = (self.0.call(uri), self.1.one());
        Box::pin(async move { Ok(Metered { io: dial.await?, meter: Meter::default(), _counted: counted }) })
    }
}

impl Connection for Metered {
    fn connected(&self) -> Connected {
        self.io.connected().extra(self.meter.clone())
    }
}

impl Read for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl Write for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, data);
        self.meter.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, data);
        self.meter.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;

    /// A dial can outlast the news that its peer drains; the job must not follow it there.
    #[tokio::test]
    async fn an_attempt_still_dialling_when_its_peer_drains_never_writes() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound").to_string();
        let group = UpstreamGroup::new(Duration::from_secs(60), Duration::from_secs(60), 1);
        let worker = worker_id("s-1");
        let tell = |state| group.apply(ListKind::Changes, [(worker, "s-1", &*address, state)].into_iter());
        tell(MemberState::Ready);
        let (id, target) = ("00000000000000ab".to_string(), PathAndQuery::from_static("/safe/k"));
        let parcel = Parcel { id, target, idempotency_key: None, body: Bytes::from_static(b"work") };
        let (_cancel, cancelled) = oneshot::channel();
        let wait = Duration::from_secs(60);
        let attempt = group.attempt(RequestId(0xab), worker, &parcel, wait, cancelled, |_| {});
        tokio::pin!(attempt);
        // The first poll starts the dial; no dial ends before the runtime has looked at its sockets.
        assert!(futures_util::poll!(attempt.as_mut()).is_pending());
        tell(MemberState::Draining);
        let written = async {
            let (stream, _) = listener.accept().await.expect("a connection");
            stream.readable().await.expect("readable");
            stream.try_read(&mut [0; 1]).unwrap_or(0)
        };
        tokio::select! {
            biased;
            ended = attempt => assert_eq!(ended, (Ended::Not(Status::ConnectFailed), None)),
            bytes = written => panic!("{bytes} bytes were written to a draining peer"),
        }
    }
}
