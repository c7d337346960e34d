//! The workers' side: the upstream group, which is the workers that discovery has named, and the attempts and probes out at
//! them.
//!
//! Each [`Worker`] owns its pool of connections; what an attempt or a probe has come to is told from its exchange
//! (`exchange`) and from the callbacks that name it (`callbacks`). This room must never choose a worker or a time to probe
//! one, repeat a request by itself, or write to a worker that was told to be leaving while the attempt still waited for a
//! connection.

mod callbacks;
mod client;
mod connection_count;
mod dial;
mod exchange;
mod expiry;
mod identifiers;
pub mod load_report;
mod permission;

pub use callbacks::{Callback, CallbackState};
pub use connection_count::{ConnectionCount, ConnectionGuard};
pub use exchange::Payload;
pub use identifiers::{name_hash, parse_request_id, worker_id};

use bytes::Bytes;
use callbacks::CallbackRouter;
use client::WorkerClient;
use dial::REST;
use exchange::{Broken, Exchange};
use hyper::http::uri::{Authority, PathAndQuery};
use hyper::{Method, StatusCode};
use load_report::LoadReportSettings;
use permission::SendPermission;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch, Semaphore};
use tokio::time::Instant;
use tracing::{debug, warn};
use vetchbridge_scheduling::interface::{
    EndpointState, EndpointUpdate, JobProgress, LoadReport, Micros, Outcome, RequestId, WorkerId,
};

/// How long a worker may take to answer 202 where the settings put no limit on a dial.
const TAKEN_WITHIN: Duration = Duration::from_secs(1);
/// How long a probe may take, dial included. A worker that has let one wait in its queue for 500 ms turns it away; what it
/// says then is still read, which keeps the connection, and a worker that says nothing by now is not going to.
const PROBE_WAIT: Duration = Duration::from_millis(600);

/// How an attempt ended.
#[derive(Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The worker's result for this request.
    Served(Bytes),
    /// Any other way.
    NotServed(Outcome),
}

/// What an attempt is sent under; it is looked at again when the first byte is about to be written, since a connection may
/// have taken long to come.
#[derive(Clone, Debug)]
pub struct SendConditions {
    /// How long the attempt waits for its end.
    pub wait: Duration,
    /// Its first byte must be written within this time.
    pub begin_within: Duration,
    /// Nobody waits for the request any more.
    pub over: Arc<AtomicBool>,
}

impl SendConditions {
    /// Of a request that somebody waits for, for so long.
    pub fn within(wait: Duration) -> SendConditions {
        SendConditions { wait, begin_within: wait, over: Arc::default() }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One worker and its connections.
struct Worker {
    name: String,
    address: Authority,
    client: Mutex<WorkerClient>,
    /// When its process last started, by another machine's wall clock.
    started: Micros,
    availability: watch::Sender<Availability>,
}

/// Whether a worker may still be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Availability {
    Ready,
    /// It drains or is gone.
    Leaving,
    /// Another process goes by its name: what was decided for this one holds no more.
    Replaced,
}

impl Availability {
    fn of(state: EndpointState) -> Availability {
        if state == EndpointState::Ready {
            Availability::Ready
        } else {
            Availability::Leaving
        }
    }

    /// How an attempt ends of which no byte has been written yet.
    fn ends_unwritten(self) -> Option<Outcome> {
        match self {
            Availability::Ready => None,
            Availability::Leaving => Some(Outcome::ConnectFailed),
            Availability::Replaced => Some(Outcome::NotSent),
        }
    }
}

/// What discovery tells of a worker.
#[derive(Clone, Copy, Debug)]
pub struct ListedWorker<'a> {
    /// Its number with the module.
    pub worker_id: WorkerId,
    /// Its name.
    pub name: &'a str,
    /// Host and port.
    pub address: &'a str,
    /// Its state.
    pub state: EndpointState,
    /// When its process last started; 0 for long past.
    pub started: Micros,
}

/// See the head of this file.
pub struct UpstreamGroup {
    workers: Mutex<HashMap<WorkerId, Arc<Worker>>>,
    callbacks: CallbackRouter,
    times: Mutex<Times>,
    reports: Mutex<LoadReportSettings>,
    /// Probes that may still go out: each may hold a descriptor.
    probes: Semaphore,
    connections: ConnectionCount,
    /// With more connections than this, idle ones are closed.
    most_connections: AtomicUsize,
}

/// How long things may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Times {
    dial: Duration,
    /// A connected worker that has not taken a job within this time is silent.
    taken_within: Duration,
    idle: Duration,
}

impl Times {
    /// `conn_idle` is when workers close an idle connection themselves.
    fn new(dial: Duration, conn_idle: Duration) -> Times {
        // Half of the workers' own time: a connection is never written to when it may just have expired.
        let idle = conn_idle / 2;
        // As long as a dial may take: each is one round trip of a worker that lives.
        let taken_within = if dial.is_zero() { TAKEN_WITHIN } else { dial };
        Times { dial, taken_within, idle }
    }
}

impl UpstreamGroup {
    /// A group without workers. `conn_idle` is when workers close an idle connection themselves; so many probes at most
    /// are out at once.
    pub fn new(dial_timeout: Duration, conn_idle: Duration, probes: usize) -> UpstreamGroup {
        let times = Mutex::new(Times::new(dial_timeout, conn_idle));
        let probes = Semaphore::new(probes);
        UpstreamGroup {
            workers: Mutex::default(),
            callbacks: CallbackRouter::default(),
            times,
            reports: Mutex::default(),
            probes,
            connections: ConnectionCount::default(),
            most_connections: AtomicUsize::new(usize::MAX),
        }
    }

    /// Load reports are read like this from now on; by no report until this is called.
    pub fn read_reports(&self, reports: LoadReportSettings) {
        *lock(&self.reports) = reports;
    }

    /// How many connections to workers there are, dials included.
    pub fn connections(&self) -> ConnectionCount {
        self.connections.clone()
    }

    /// From now on, idle connections make room for others where there are more than this; without limit until this is
    /// called.
    pub fn limit_connections(&self, most: usize) {
        self.most_connections.store(most, Ordering::Relaxed);
    }

    /// Closes idle connections beyond the limit, those of the least recently used workers first. One in use goes on to its end.
    fn make_room(&self) {
        let most = self.most_connections.load(Ordering::Relaxed);
        if self.connections.get() <= most {
            return;
        }
        let workers = lock(&self.workers);
        let mut clients: Vec<_> = workers.values().map(|worker| lock(&worker.client)).collect();
        clients.retain(|client| client.connections() > 0);
        clients.sort_by_key(|client| client.last_used());
        let held: usize = clients.iter().map(|client| client.connections()).sum();
        let mut over = held.saturating_sub(most);
        for client in &mut clients {
            if over == 0 {
                break;
            }
            over = over.saturating_sub(client.connections());
            **client = self.client();
        }
    }

    /// Other times hold from now on, for every worker; attempts that are out keep theirs.
    pub fn retime(&self, dial_timeout: Duration, conn_idle: Duration) {
        let times = Times::new(dial_timeout, conn_idle);
        if std::mem::replace(&mut *lock(&self.times), times) != times {
            self.close_all_idle();
        }
    }

    /// Follows discovery's news.
    pub fn apply<'a>(&self, kind: EndpointUpdate, entries: impl Iterator<Item = ListedWorker<'a>>) {
        let workers = &mut *lock(&self.workers);
        let mut missing: HashSet<WorkerId> =
            if kind.is_complete() { workers.keys().copied().collect() } else { HashSet::new() };
        for ListedWorker { worker_id, name, address, state, started } in entries {
            missing.remove(&worker_id);
            if state == EndpointState::Removed {
                missing.insert(worker_id);
                continue;
            }
            let known = workers.get(&worker_id);
            // Starts are told apart, not ordered: the clock that they were read from may have been stepped. One that takes
            // no jobs may be told by an older list.
            let same = |address: &Authority| {
                known.is_some_and(|worker| {
                    let process = worker.started == started || started == 0 || state != EndpointState::Ready;
                    worker.address == *address && process
                })
            };
            let address = match address.parse::<Authority>() {
                Ok(address) => Some(address).filter(|address| !same(address)),
                Err(error) => {
                    warn!(worker = name, address, %error, "worker.unreachable");
                    None
                }
            };
            if let Some(address) = address {
                let (availability, client) =
                    (watch::Sender::new(Availability::Ready), Mutex::new(self.client()));
                let worker =
                    Arc::new(Worker { name: name.to_string(), address, client, started, availability });
                if let Some(old) = workers.insert(worker_id, worker) {
                    old.availability.send_replace(Availability::Replaced);
                }
            }
            if let Some(worker) = workers.get(&worker_id) {
                worker.availability.send_replace(Availability::of(state));
            }
        }
        for worker_id in missing {
            if let Some(worker) = workers.remove(&worker_id) {
                worker.availability.send_replace(Availability::Leaving);
            }
        }
    }

    /// Closes the idle connections to a worker, by leaving the pool that holds them.
    pub fn close_idle(&self, worker_id: WorkerId) {
        if let Some(worker) = lock(&self.workers).get(&worker_id) {
            *lock(&worker.client) = self.client();
        }
    }

    /// Closes the idle connections to every worker.
    pub fn close_all_idle(&self) {
        for worker in lock(&self.workers).values() {
            *lock(&worker.client) = self.client();
        }
    }

    /// A worker's name, for the log; empty once it has left.
    pub fn name(&self, worker_id: WorkerId) -> String {
        lock(&self.workers).get(&worker_id).map(|worker| worker.name.clone()).unwrap_or_default()
    }

    /// Passes a callback to the attempt that it is about; false if none such is out here.
    pub fn called_back(&self, callback: &Callback) -> bool {
        self.callbacks.dispatch(callback)
    }

    fn client(&self) -> WorkerClient {
        WorkerClient::new(*lock(&self.times), self.connections.clone())
    }

    /// One probe, over the connections that the worker's attempts use; how it ended, and the load report that came along.
    /// Ends within [`PROBE_WAIT`] whatever the worker does. A worker that is leaving is not probed.
    pub async fn probe(&self, worker_id: WorkerId) -> (Outcome, Option<LoadReport>) {
        let Ok(_place) = self.probes.try_acquire() else { return (Outcome::NotSent, None) };
        let Some(worker) = lock(&self.workers).get(&worker_id).cloned() else {
            return (Outcome::ConnectFailed, None);
        };
        let mut availability = worker.availability.subscribe();
        if let Some(status) = availability.borrow_and_update().ends_unwritten() {
            return (status, None);
        }
        let until = tokio::time::sleep(PROBE_WAIT);
        tokio::pin!(until);
        let mut unwritten = true;
        let permission = SendPermission::while_available(availability.clone());
        let Exchange { seen, answer } =
            worker.exchange(Method::GET, &PathAndQuery::from_static("/stats"), None, permission);
        self.make_room();
        let whole = async {
            let mut reply = answer.await?;
            let body = reply.body().await;
            Ok((reply, body))
        };
        tokio::pin!(whole);
        let answered = loop {
            tokio::select! {
                biased;
                status = no_longer_available(&mut availability), if unwritten => {
                    unwritten = false;
                    if !seen.begun() {
                        return (status, None);
                    }
                }
                answered = &mut whole => break answered,
                () = &mut until => {
                    return (if seen.connected() { Outcome::Timeout } else { Outcome::ConnectFailed }, None);
                }
            }
        };
        let (reply, body) = match answered {
            Ok(answered) => answered,
            Err(Broken::NeverRan) => return (Outcome::ConnectFailed, None),
            Err(Broken::MayHaveRun) => return (Outcome::Reset, None),
        };
        let status = match (reply.status, &body) {
            (_, None) => return (Outcome::Reset, None),
            (StatusCode::OK, _) => Outcome::Ok,
            (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => Outcome::Rejected,
            _ => return (Outcome::Error, None),
        };
        let reports = *lock(&self.reports);
        let body = body.as_deref().filter(|body| !body.is_empty());
        (status, reports.from_probe(body.or_else(|| reply.load())))
    }

    /// One attempt, from its dial to its outcome, with the load report that came with what ended it; waits no longer
    /// than the terms say.
    pub async fn attempt(
        &self,
        id: RequestId,
        worker_id: WorkerId,
        payload: &Payload,
        conditions: SendConditions,
        mut cancelled: oneshot::Receiver<()>,
        note: impl Fn(JobProgress),
    ) -> (AttemptResult, Option<LoadReport>) {
        let not = |status| (AttemptResult::NotServed(status), None);
        let Some(worker) = lock(&self.workers).get(&worker_id).cloned() else {
            return not(Outcome::ConnectFailed);
        };
        // Before the first byte: a callback may overtake the 202.
        let mut inbox = self.callbacks.subscribe(id, worker_id);
        let SendConditions { wait, begin_within, over } = conditions;
        let begin_by = Instant::now() + begin_within.min(wait);
        let until = tokio::time::sleep(wait);
        tokio::pin!(until);
        let mut availability = worker.availability.subscribe();
        let permission = SendPermission::while_available(availability.clone()).until(begin_by, over);
        let Exchange { seen, mut answer } =
            worker.exchange(Method::POST, &payload.target, Some((payload, wait)), permission.clone());
        self.make_room();
        let (mut unwritten, mut accepted) = (true, false);
        // A worker takes a job at once or not at all: one that stays silent must not hold it to its deadline.
        let mut connection = seen.connection.clone();
        let taken_within = lock(&self.times).taken_within;
        let silence = async {
            drop(connection.wait_for_connection_metadata().await);
            tokio::time::sleep(REST + taken_within).await;
        };
        tokio::pin!(silence);
        loop {
            tokio::select! {
                biased;
                Ok(()) = &mut cancelled => {
                    let begun = accepted || seen.begun();
                    worker.give_up(accepted, &payload.id);
                    return not(if begun { Outcome::Cancelled } else { Outcome::NotSent });
                }
                // Told to leave, or started anew, while the attempt waits for its first byte: not one may go there now.
                status = no_longer_available(&mut availability), if unwritten => {
                    unwritten = false;
                    if !seen.begun() {
                        return not(status);
                    }
                }
                Some(call) = inbox.callbacks.recv() => {
                    // Nothing is said of what has not been written whole, and a repeat is about an earlier attempt here. A
                    // result is one of this request, whichever attempt it is from.
                    let of_earlier = !accepted && (!seen.written() || inbox.ended_earlier_attempt(call.state));
                    if of_earlier && call.state != CallbackState::Done {
                        debug!(request = payload.id, worker = worker.name, state = ?call.state, "callback.of_earlier");
                        continue;
                    }
                    if !accepted && seen.written() {
                        // The 202 is under way; reading it saves the connection.
                        exchange::read_out(std::mem::replace(&mut answer, Box::pin(std::future::pending())));
                        (accepted, unwritten) = (true, false);
                    }
                    let ended = match call.state {
                        CallbackState::Started => {
                            note(JobProgress::Started);
                            continue;
                        }
                        CallbackState::Running => {
                            note(JobProgress::Fraction(call.fraction));
                            continue;
                        }
                        CallbackState::Done => AttemptResult::Served(call.result.into()),
                        CallbackState::Failed => AttemptResult::NotServed(Outcome::Error),
                        CallbackState::Returned => AttemptResult::NotServed(Outcome::Rejected),
                        CallbackState::Lost => AttemptResult::NotServed(Outcome::Reset),
                    };
                    if call.state != CallbackState::Done {
                        inbox.record_end(call.state);
                    }
                    let load = call.load.as_ref().map(|load| load.get().as_bytes());
                    return (ended, lock(&self.reports).from_response(load));
                }
                answered = &mut answer, if !accepted => match answered {
                    // The head says all that there is to know; a worker may never come to the end of the rest.
                    Ok(reply) if reply.status == StatusCode::ACCEPTED => {
                        debug!(request = payload.id, worker = worker.name, "attempt.accepted");
                        (accepted, unwritten) = (true, false);
                        reply.drain();
                    }
                    Ok(reply) => {
                        let status = match reply.status {
                            _ if reply.never_ran() => Outcome::Rejected,
                            status if blames_request(status) => Outcome::Invalid,
                            _ => Outcome::Error,
                        };
                        let load = lock(&self.reports).from_response(reply.load());
                        reply.drain();
                        return (AttemptResult::NotServed(status), load);
                    }
                    Err(Broken::NeverRan) => return not(if permission.wanted() { Outcome::ConnectFailed } else { Outcome::NotSent }),
                    Err(Broken::MayHaveRun) => return not(Outcome::Reset),
                },
                // Dropping the exchange closes its connection, which gives the attempt up.
                () = &mut silence, if !accepted => return not(Outcome::NoResponse),
                () = &mut until => {
                    let status = match (accepted || seen.begun(), seen.connected()) {
                        (true, _) => Outcome::Timeout,
                        (false, true) => Outcome::NotSent,
                        (false, false) => Outcome::ConnectFailed,
                    };
                    worker.give_up(accepted, &payload.id);
                    return not(status);
                }
            }
        }
    }
}

/// Resolves once a worker may not be written to any more; how an attempt ends then of which no byte has been written.
async fn no_longer_available(availability: &mut watch::Receiver<Availability>) -> Outcome {
    // The sender lives as long as the worker, which the caller holds.
    match availability.wait_for(|now| *now != Availability::Ready).await {
        Ok(now) => now.ends_unwritten().unwrap_or(Outcome::ConnectFailed),
        Err(_) => Outcome::ConnectFailed,
    }
}

/// Whether an answer finds fault with the request itself. 408 and 429 tell of the worker's time and load.
fn blames_request(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::TOO_MANY_REQUESTS
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;

    /// A dial can outlast the news that its worker drains; the job must not follow it there.
    #[tokio::test]
    async fn an_attempt_still_dialling_when_its_worker_drains_never_writes() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound").to_string();
        let group = UpstreamGroup::new(Duration::from_secs(60), Duration::from_secs(60), 1);
        let worker_id = worker_id("s-1");
        let tell = |state| {
            let entry = ListedWorker { worker_id, name: "s-1", address: &address, state, started: 0 };
            group.apply(EndpointUpdate::Changes, [entry].into_iter());
        };
        tell(EndpointState::Ready);
        let (id, target) = ("00000000000000ab".to_string(), PathAndQuery::from_static("/safe/k"));
        let payload = Payload { id, target, idempotency_key: None, body: Bytes::from_static(b"work") };
        let (_cancel, cancelled) = oneshot::channel();
        let conditions = SendConditions::within(Duration::from_secs(60));
        let attempt = group.attempt(RequestId(0xab), worker_id, &payload, conditions, cancelled, |_| {});
        tokio::pin!(attempt);
        // The first poll starts the dial; no dial ends before the runtime has looked at its sockets.
        assert!(futures_util::poll!(attempt.as_mut()).is_pending());
        tell(EndpointState::Draining);
        let written = async {
            let (stream, _) = listener.accept().await.expect("a connection");
            stream.readable().await.expect("readable");
            stream.try_read(&mut [0; 1]).unwrap_or(0)
        };
        tokio::select! {
            biased;
            ended = attempt => assert_eq!(ended, (AttemptResult::NotServed(Outcome::ConnectFailed), None)),
            bytes = written => panic!("{bytes} bytes were written to a draining worker"),
        }
    }
}
