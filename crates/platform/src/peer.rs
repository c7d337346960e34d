//! A peer: takes jobs, runs them as a small model of a worker does, and tells its scheduler by callbacks; or
//! misbehaves, once for each [`Act`] that a test lays in.
//!
//! One task owns the listeners, the connections and the jobs; [`Peer::kill`] ends all of it as the death of a process
//! does, and dropping the peer likewise. A peer listens on one port for each scheduler, since that is how it knows
//! whom to call back. It must never keep an account of its own: what ran stands in [`Runs`].

use crate::queue::{Order, Queue};
use crate::runs::{result, Admission, Run, RunEnd, Runs};
use crate::stats::{Ledger, Load, StatsSpec};
use crate::store::{Kept, Store};
use crate::wire::{Message, Wire};
use crate::{Owned, Port};
use bytes::Bytes;
use futures_util::future::{select_all, BoxFuture};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::json;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

/// How often a callback is told until it is answered.
const TELLINGS: u32 = 10;
/// How long a callback waits for its answer, and then until it is told again.
const TELL_WAIT: Duration = Duration::from_millis(500);
/// A job's progress is reckoned in steps of this, since its peer's speed changes under way.
const STEP: Duration = Duration::from_millis(50);
/// Work, in seconds, that counts as none.
const GRAIN: f64 = 1e-6;

/// What a peer is.
#[derive(Clone, Debug)]
pub struct PeerSpec {
    /// Its name in discovery.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// The size that discovery tells of.
    pub weight: f64,
    /// Jobs that run at once.
    pub slots: usize,
    /// Jobs that may wait beyond those; the next is turned away unseen.
    pub queue: usize,
    /// Work done in a second by one slot, in seconds at speed 1.
    pub speed: f64,
    /// The share of its speed with which a cold peer starts.
    pub cold_share: f64,
    /// How long it takes to warm up.
    pub cold_time: Duration,
    /// It tells when a job starts.
    pub tells_start: bool,
    /// The time between two progress calls; zero for none.
    pub progress: Duration,
    /// Connections that it holds; the next is closed at once.
    pub connections: usize,
    /// An idle connection is closed after this.
    pub idle: Duration,
    /// A job that is called off stops even if it runs.
    pub stops_running: bool,
    /// How long a repeat of a keyed job is dropped.
    pub window: Duration,
    /// The work of a job whose body names none.
    pub work: Duration,
    /// In what order waiting jobs start.
    pub order: Order,
    /// What it tells of its load; nothing if absent.
    pub stats: Option<StatsSpec>,
    /// How it answers probes; it answers none if absent.
    pub probes: Option<ProbeSpec>,
    /// Where it fetches what a job's object needs, and how many objects' it keeps; jobs need nothing if absent.
    pub setup: Option<(Store, usize)>,
}

/// What a probe is to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeSpec {
    /// It waits for a slot as a request does, and is turned away where a request would be.
    pub deep: bool,
    /// Its work.
    pub work: Duration,
}

impl PeerSpec {
    /// A warm peer with room, whose jobs end at once.
    pub fn new(name: &str) -> PeerSpec {
        PeerSpec {
            name: name.to_string(),
            zone: "main".to_string(),
            kind: "any".to_string(),
            cell: 0,
            weight: 1.0,
            slots: 64,
            queue: 1024,
            speed: 1.0,
            cold_share: 0.2,
            cold_time: Duration::from_secs(24),
            tells_start: true,
            progress: Duration::from_secs(1),
            connections: 1024,
            idle: Duration::from_secs(60),
            stops_running: true,
            window: Duration::from_secs(15),
            work: Duration::ZERO,
            order: Order::Fifo,
            stats: None,
            probes: None,
            setup: None,
        }
    }
}

/// What a peer does with one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Run it.
    Serve,
    /// Answer this instead of 202; never ran where the flag says so.
    Answer {
        /// The status.
        status: u16,
        /// With `X-Never-Ran: 1`.
        never_ran: bool,
    },
    /// Read it, and say nothing until the scheduler closes.
    Mute,
    /// Reset the connection after the head, with the body unread.
    CutInBody,
    /// Read it whole, then reset the connection before any answer.
    CutBeforeAnswer,
    /// Answer half of a 202, then close.
    HalfAnswer,
    /// Answer 202, and never say another word.
    Forget,
    /// Answer 202, start it, lose it.
    Lose,
    /// Answer 202, start it, fail.
    Fail,
    /// Answer 202 and hand it back unstarted.
    HandBack,
    /// Tell that it is done before answering 202.
    Overtake,
    /// Tell so often that it is done.
    Repeat(u32),
    /// Answer 202 and call back with what is no JSON, then serve it.
    Garble,
    /// Run it, and write the 202 and every callback a byte at a time.
    Pieces,
}

/// What a peer does with one probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeAct {
    /// Answer it as a peer of its make does.
    Answer,
    /// The same, so much later.
    Late(Duration),
    /// Say nothing until the scheduler closes: the probe is lost.
    Mute,
    /// Answer 503.
    Refuse,
    /// Reset the connection.
    Cut,
}

/// A callback's state and, with `running`, its share.
type Word = (&'static str, f64, String);
type Job = BoxFuture<'static, ()>;

struct State {
    acts: VecDeque<Act>,
    probe_acts: VecDeque<ProbeAct>,
    slow: f64,
    refusing: bool,
    born: Option<(Instant, u64)>,
    waiting: usize,
    running: usize,
    ledger: Ledger,
    open: HashMap<u64, Vec<watch::Sender<bool>>>,
    killed: bool,
}

struct Shared {
    spec: PeerSpec,
    runs: Runs,
    began: Instant,
    state: Mutex<State>,
    slots: Queue,
    kept: Kept,
    draining: watch::Sender<bool>,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// See the head of this file.
pub struct Peer {
    shared: Arc<Shared>,
    ports: Vec<(Port, SocketAddr)>,
    server: Mutex<Option<(Owned, oneshot::Sender<oneshot::Sender<()>>)>>,
}

impl Peer {
    /// Starts a warm peer with a port for each scheduler, given by the address that it calls back.
    pub async fn start(spec: PeerSpec, runs: Runs, schedulers: &[SocketAddr]) -> io::Result<Peer> {
        Peer::start_at(spec, runs, schedulers, Instant::now()).await
    }

    /// The same, with the time at which the account of runs began.
    pub async fn start_at(
        spec: PeerSpec,
        runs: Runs,
        schedulers: &[SocketAddr],
        began: Instant,
    ) -> io::Result<Peer> {
        let mut tcp = HttpConnector::new();
        tcp.set_nodelay(true);
        tcp.set_connect_timeout(Some(TELL_WAIT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_timer(TokioTimer::new())
            .build(tcp);
        let state = State {
            acts: VecDeque::new(),
            probe_acts: VecDeque::new(),
            slow: 1.0,
            refusing: false,
            born: None,
            waiting: 0,
            running: 0,
            ledger: Ledger::new(spec.stats.as_ref(), spec.slots),
            open: HashMap::new(),
            killed: false,
        };
        let (slots, draining) = (Queue::new(spec.slots, spec.order), watch::Sender::new(false));
        let (state, kept) = (Mutex::new(state), Kept::new(spec.setup.clone()));
        let shared = Arc::new(Shared { spec, runs, began, state, slots, kept, draining, client });
        let ports = schedulers.iter().map(|to| Ok((Port::reserve()?, *to))).collect::<io::Result<_>>()?;
        let peer = Peer { shared, ports, server: Mutex::new(None) };
        peer.listen()?;
        Ok(peer)
    }

    fn listen(&self) -> io::Result<()> {
        let listeners = self.ports.iter().map(|(port, to)| Ok((port.listen()?, *to)));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let (stop, stopped) = oneshot::channel();
        let server = Owned::spawn(serve(self.shared.clone(), listeners, stopped));
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = Some((server, stop));
        Ok(())
    }

    /// What it is.
    pub fn spec(&self) -> &PeerSpec {
        &self.shared.spec
    }

    /// Where each scheduler reaches it, in their order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.ports.iter().map(|(port, _)| port.address()).collect()
    }

    /// When its process last started, as Unix time in milliseconds; 0 for long ago.
    pub fn started_at_ms(&self) -> u64 {
        self.shared.state().born.map_or(0, |(_, unix)| unix)
    }

    /// Lays in what it does with the next jobs, one act each; it serves those after them.
    pub fn next(&self, acts: impl IntoIterator<Item = Act>) {
        self.shared.state().acts.extend(acts);
    }

    /// Lays in what it does with the next probes, one act each; it answers those after them.
    pub fn next_probes(&self, acts: impl IntoIterator<Item = ProbeAct>) {
        self.shared.state().probe_acts.extend(acts);
    }

    /// Tells of its load so late from now on.
    pub fn tell_late(&self, late: Duration) {
        self.shared.state().ledger.late(late);
    }

    /// Turns every job away unseen, or stops doing so.
    pub fn refuse(&self, refusing: bool) {
        self.shared.state().refusing = refusing;
    }

    /// Runs so many times slower.
    pub fn slow(&self, times: f64) {
        self.shared.state().slow = times.max(1e-3);
    }

    /// Hands back what waits, and from now on what comes.
    pub fn drain(&self) {
        self.shared.draining.send_replace(true);
    }

    /// Dies: its connections are reset, its jobs are lost and new connections are refused. With `told`, the machine's
    /// agent tells the schedulers which jobs are lost.
    pub async fn kill(&self, told: bool) {
        self.shared.state().killed = true;
        let server = self.server.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some((_server, stop)) = server else { return };
        let open: Vec<u64> = self.shared.state().open.keys().copied().collect();
        let (done, ended) = oneshot::channel();
        if stop.send(done).is_ok() {
            let _ = ended.await;
        }
        for id in open.into_iter().filter(|_| told) {
            for (_, scheduler) in &self.ports {
                let (shared, to) = (self.shared.clone(), *scheduler);
                tokio::spawn(async move { shared.tell(to, id, &("lost", 0.0, String::new()), false).await });
            }
        }
    }

    /// Comes back after its death: cold, empty, at the same ports.
    pub fn restart(&self) -> io::Result<()> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        {
            let mut state = self.shared.state();
            (state.killed, state.waiting, state.slow, state.refusing) = (false, 0, 1.0, false);
            state.running = 0;
            state.open.clear();
            state.born = Some((Instant::now(), unix.as_millis() as u64));
        }
        self.shared.kept.forget();
        self.shared.draining.send_replace(false);
        self.listen()
    }
}

/// The task that owns everything of a running peer.
async fn serve(
    shared: Arc<Shared>,
    listeners: Vec<(TcpListener, SocketAddr)>,
    mut stop: oneshot::Receiver<oneshot::Sender<()>>,
) {
    let (mut connections, mut jobs) = (JoinSet::new(), JoinSet::new());
    let (job, mut started) = unbounded_channel::<Job>();
    let done = loop {
        let accepts = listeners.iter().map(|(listener, _)| Box::pin(listener.accept()));
        tokio::select! {
            done = &mut stop => break done,
            Some(job) = started.recv() => drop(jobs.spawn(job)),
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            Some(_) = jobs.join_next(), if !jobs.is_empty() => {}
            (accepted, at, _) = select_all(accepts), if !listeners.is_empty() => {
                if let Ok((stream, _)) = accepted {
                    if connections.len() < shared.spec.connections {
                        let wire = Wire::new(stream);
                        let mut connection = Connection { shared: shared.clone(), to: listeners[at].1, wire: Some(wire) };
                        let job = job.clone();
                        connections.spawn(async move { connection.run(job).await });
                    }
                }
            }
        }
    };
    drop(listeners);
    connections.shutdown().await;
    jobs.shutdown().await;
    if let Ok(done) = done {
        let _ = done.send(());
    }
}

/// One connection of a scheduler; reset if its peer dies.
struct Connection {
    shared: Arc<Shared>,
    to: SocketAddr,
    wire: Option<Wire>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.shared.state().killed {
            self.reset();
        }
    }
}

impl Connection {
    fn reset(&mut self) {
        if let Some(wire) = self.wire.take() {
            wire.reset();
        }
    }

    async fn run(&mut self, job: UnboundedSender<Job>) {
        while self.message(&job).await.is_some() {}
    }

    /// One message; `None` ends the connection.
    async fn message(&mut self, jobs: &UnboundedSender<Job>) -> Option<()> {
        let (shared, to) = (self.shared.clone(), self.to);
        let wire = self.wire.as_mut()?;
        let (head, length) = timeout(shared.spec.idle, wire.head()).await.ok()??;
        if head.method() == "DELETE" {
            let id = head.target().strip_prefix("/jobs/").and_then(|id| u64::from_str_radix(id, 16).ok());
            id.into_iter().for_each(|id| shared.call_off(id));
            return wire.answer(200, "", "").await.ok();
        }
        if head.method() == "GET" {
            wire.body(length).await?;
            return self.probe(head.target()).await;
        }
        let act = shared.state().acts.pop_front().unwrap_or(Act::Serve);
        if act == Act::CutInBody {
            self.reset();
            return None;
        }
        let message = Message { body: wire.body(length).await?, ..head };
        let id = match message.header("x-trace-id").map(|id| u64::from_str_radix(id, 16)) {
            Some(Ok(id)) => id,
            Some(Err(_)) => return wire.answer(400, "", "").await.ok(),
            None => return wire.answer(404, "", "").await.ok(),
        };
        shared.runs.attempt();
        match act {
            Act::Answer { status, never_ran } => {
                let headers = if never_ran { "x-never-ran: 1\r\n" } else { "" };
                let headers = format!("{headers}{}", shared.load_header());
                return wire.answer(status, &headers, "").await.ok();
            }
            Act::Mute => {
                wire.closed().await;
                return None;
            }
            Act::CutBeforeAnswer => {
                self.reset();
                return None;
            }
            Act::HalfAnswer => {
                wire.write("HTTP/1.1 202 Acc").await.ok()?;
                return None;
            }
            _ => {}
        }
        if !shared.has_room() {
            let headers = format!("x-never-ran: 1\r\n{}", shared.load_header());
            return wire.answer(503, &headers, "").await.ok();
        }
        if act == Act::Overtake {
            let job = shared.clone().job(to, id, &message, Act::Serve);
            job.await;
            return wire.answer(202, "", "").await.ok();
        }
        if act == Act::Pieces {
            wire.write_in_pieces("HTTP/1.1 202 X\r\ncontent-length: 0\r\n\r\n").await.ok()?;
        } else {
            wire.answer(202, "", "").await.ok()?;
        }
        jobs.send(Box::pin(shared.job(to, id, &message, act))).ok()
    }

    /// One probe; `None` ends the connection.
    async fn probe(&mut self, target: &str) -> Option<()> {
        let shared = self.shared.clone();
        let wire = self.wire.as_mut()?;
        let stats = match (target, &shared.spec.probes) {
            ("/stats", Some(_)) => shared.spec.stats.as_ref(),
            ("/health/live", Some(_)) => None,
            _ => return wire.answer(404, "", "").await.ok(),
        };
        shared.runs.probe();
        let act = shared.state().probe_acts.pop_front().unwrap_or(ProbeAct::Answer);
        match act {
            ProbeAct::Answer => {}
            ProbeAct::Late(time) => sleep(time).await,
            ProbeAct::Mute => {
                wire.closed().await;
                return None;
            }
            ProbeAct::Refuse => return wire.answer(503, "", "").await.ok(),
            ProbeAct::Cut => {
                self.reset();
                return None;
            }
        }
        let served = tokio::select! {
            served = shared.serve_probe() => served,
            // A scheduler that gave the probe up takes it out of the queue.
            () = wire.closed() => return None,
        };
        if !served {
            return wire.answer(503, "", "").await.ok();
        }
        let body = stats.map(|stats| stats.json(&shared.told_load()).to_string()).unwrap_or_default();
        wire.answer(200, "", &body).await.ok()
    }
}

/// A job's place among those that wait or run; given back when it ends, however it ends.
struct Place {
    shared: Arc<Shared>,
    id: u64,
    called_off: watch::Receiver<bool>,
    run: Option<usize>,
    waiting: bool,
    running: bool,
}

impl Place {
    /// From the queue to a slot.
    fn begin(&mut self) {
        self.leave();
        self.running = true;
        self.shared.state().running += 1;
        self.shared.note();
    }

    fn leave(&mut self) {
        let (waiting, running) = (std::mem::take(&mut self.waiting), std::mem::take(&mut self.running));
        let mut state = self.shared.state();
        state.waiting = state.waiting.saturating_sub(usize::from(waiting));
        state.running = state.running.saturating_sub(usize::from(running));
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.leave();
        self.shared.note();
        if let Some(run) = self.run {
            // Whoever ended it otherwise has said so before.
            self.shared.runs.end(run, RunEnd::Lost);
        }
        let mut state = self.shared.state();
        if let Some(all) = state.open.get_mut(&self.id) {
            all.retain(|sender| !sender.subscribe().same_channel(&self.called_off));
            if all.is_empty() {
                state.open.remove(&self.id);
            }
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn has_room(&self) -> bool {
        let state = self.state();
        let room = state.waiting < self.spec.queue || self.slots.free() > state.waiting;
        room && !state.refusing && !*self.draining.borrow()
    }

    /// Notes how loaded it is from now on.
    fn note(&self) {
        let free = self.slots.free();
        let state = &mut *self.state();
        let inflight = state.waiting + state.running;
        state.ledger.note(
            self.began.elapsed(),
            Load { inflight, queue: state.waiting, free, slots: self.spec.slots },
        );
    }

    /// What it tells of its load.
    fn told_load(&self) -> Load {
        self.state().ledger.told(self.began.elapsed())
    }

    /// The header line with which an answer that ends an attempt tells of its load.
    fn load_header(&self) -> String {
        let stats = self.spec.stats.as_ref().filter(|stats| stats.in_answers);
        let line =
            |stats: &StatsSpec| format!("endpoint-load-metrics: {}\r\n", stats.text(&self.told_load()));
        stats.map(line).unwrap_or_default()
    }

    /// Does a probe's work; whether it was let in.
    async fn serve_probe(&self) -> bool {
        let Some(probe) = self.spec.probes else { return false };
        if probe.deep && !self.has_room() {
            return false;
        }
        let slot = if probe.deep { self.slots.take(1).await } else { None };
        if slot.is_some() {
            self.note();
        }
        if !probe.work.is_zero() {
            sleep(probe.work.div_f64(self.rate().max(GRAIN)).min(STEP * 20)).await;
        }
        if slot.is_some() {
            drop(slot);
            self.note();
        }
        true
    }

    fn call_off(&self, id: u64) {
        if let Some(all) = self.state().open.get(&id) {
            all.iter().for_each(|sender| _ = sender.send_replace(true));
        }
    }

    /// Work done in a second by one slot, now.
    fn rate(&self) -> f64 {
        let state = self.state();
        let warmth = state.born.map_or(1.0, |(born, _)| {
            let share = born.elapsed().as_secs_f64() / self.spec.cold_time.as_secs_f64().max(1e-9);
            self.spec.cold_share + (1.0 - self.spec.cold_share) * share.min(1.0)
        });
        self.spec.speed * warmth / state.slow
    }

    /// A job that was taken, to its last callback. Its words go out in order, and never hold its slot.
    fn job(self: Arc<Self>, to: SocketAddr, id: u64, message: &Message, act: Act) -> Job {
        let path = message.target().split(['?']).next().unwrap_or_default().trim_start_matches('/');
        let (class, object) = path.split_once('/').unwrap_or((path, ""));
        let run = Run {
            id,
            key: message.header("idempotency-key").map(str::to_string),
            class: class.to_string(),
            object: object.to_string(),
            peer: self.spec.name.clone(),
            started: Duration::ZERO,
            end: RunEnd::Open,
        };
        let text = message.text();
        let named = |name: &str| -> Option<u64> {
            let rest = text.split(name).nth(1)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        };
        let work = named("work_us=").map_or(self.spec.work, Duration::from_micros);
        let need = named("slots=").map_or(1, |need| need as usize);
        let (off, called_off) = watch::channel(false);
        {
            let mut state = self.state();
            state.waiting += 1;
            state.open.entry(id).or_default().push(off);
        }
        self.note();
        let place = Place { shared: self.clone(), id, called_off, run: None, waiting: true, running: false };
        Box::pin(async move {
            let (words, mut told) = unbounded_channel::<Word>();
            let repeats = if let Act::Repeat(times) = act { times } else { 1 };
            let running = async {
                if act == Act::Garble {
                    self.tell_raw(to, "{\"id\":".to_string()).await;
                }
                let last = self.lived(place, run, (work, need), &act, &words).await;
                if let Some(last) = last {
                    (0..repeats).for_each(|_| drop(words.send(last.clone())));
                }
                drop(words);
            };
            let telling = async {
                while let Some(word) = told.recv().await {
                    self.tell(to, id, &word, act == Act::Pieces).await;
                }
            };
            tokio::join!(running, telling);
        })
    }

    /// From the queue to the end of the run; the last word, if there is one.
    async fn lived(
        &self,
        mut place: Place,
        mut run: Run,
        (work, need): (Duration, usize),
        act: &Act,
        words: &UnboundedSender<Word>,
    ) -> Option<Word> {
        let word = |state, share| Some((state, share, String::new()));
        match act {
            Act::Forget => return None,
            Act::HandBack => return word("returned", 0.0),
            _ => {}
        }
        let (mut called_off, mut draining) = (place.called_off.clone(), self.draining.subscribe());
        let slot = tokio::select! {
            biased;
            _ = called_off.wait_for(|off| *off) => return None,
            _ = draining.wait_for(|draining| *draining) => return word("returned", 0.0),
            slot = self.slots.take(need) => slot?,
        };
        place.begin();
        let object = run.object.clone();
        run.started = self.began.elapsed();
        let id = run.id;
        let number = match self.runs.start(run, self.spec.window) {
            Admission::Run(number) => number,
            Admission::Finished(first) => return Some(("done", 1.0, self.result_of(first))),
            Admission::Running(first) => {
                drop(slot);
                self.note();
                return match self.runs.ended(first).await {
                    RunEnd::Finished => Some(("done", 1.0, self.result_of(first))),
                    _ => word("failed", 0.0),
                };
            }
        };
        place.run = Some(number);
        if self.spec.tells_start {
            words.send(("started", 0.0, String::new())).ok()?;
        }
        match act {
            Act::Lose => return word("lost", 0.0),
            Act::Fail => {
                self.runs.end(number, RunEnd::Failed);
                return word("failed", 0.0);
            }
            _ => {}
        }
        tokio::select! {
            () = self.kept.ready(&object) => {}
            _ = called_off.wait_for(|off| *off), if self.spec.stops_running => {
                self.runs.end(number, RunEnd::Stopped);
                return None;
            }
        }
        let (total, mut left) = (work.as_secs_f64(), work.as_secs_f64());
        let mut since_told = Duration::ZERO;
        // A rest below the clock's grain would never be worked off.
        while left > GRAIN {
            let span = STEP.min(Duration::from_secs_f64((left / self.rate()).min(3600.0)));
            tokio::select! {
                () = sleep(span) => {}
                _ = called_off.wait_for(|off| *off), if self.spec.stops_running => {
                    self.runs.end(number, RunEnd::Stopped);
                    return None;
                }
            }
            left -= span.as_secs_f64() * self.rate();
            since_told += span;
            if !self.spec.progress.is_zero() && since_told >= self.spec.progress && left > GRAIN {
                since_told = Duration::ZERO;
                words.send(("running", 1.0 - left / total, String::new())).ok()?;
            }
        }
        self.runs.end(number, RunEnd::Finished);
        Some(("done", 1.0, result(id, number)))
    }

    fn result_of(&self, number: usize) -> String {
        result(self.runs.id_of(number), number)
    }

    /// Tells one word until it is answered; in pieces, once.
    async fn tell(&self, to: SocketAddr, id: u64, (state, share, result): &Word, pieces: bool) {
        let mut body = json!({"id": format!("{id:016x}"), "from": self.spec.name, "state": state});
        match *state {
            "running" => body["share"] = json!(share),
            "done" => body["result"] = json!(result),
            _ => {}
        }
        let stats = self.spec.stats.as_ref().filter(|stats| stats.in_answers);
        if let (Some(stats), "done" | "failed" | "returned") = (stats, *state) {
            body["load"] = stats.json(&self.told_load());
        }
        let body = body.to_string();
        if !pieces {
            return self.tell_raw(to, body).await;
        }
        if let Ok(mut wire) = Wire::dial(to).await {
            let length = body.len();
            let text =
                format!("POST /callback HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
            // Unheard, it is a word that was lost; that is what this peer is for.
            if wire.write_in_pieces(&text).await.is_ok() {
                wire.read().await;
            }
        }
    }

    async fn tell_raw(&self, to: SocketAddr, body: String) {
        for _ in 0..TELLINGS {
            let request = Request::post(format!("http://{to}/callback")).body(Full::from(body.clone()));
            let Ok(request) = request else { return };
            let answered = timeout(TELL_WAIT, async {
                let response = self.client.request(request).await.ok()?;
                let status = response.status();
                let _ = response.into_body().collect().await;
                Some(status)
            });
            match answered.await {
                Ok(Some(status)) if status.is_success() || status == 400 => return,
                _ => sleep(TELL_WAIT / 5).await,
            }
        }
    }
}
