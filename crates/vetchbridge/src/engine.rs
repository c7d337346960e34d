//! Sole owner of the decision module, its clock and its timers.
//!
//! Every event enters through [`Engine::handle`]; every action that comes back is carried at once to the
//! request context, the upstream group, discovery or the peers it belongs to. Carrying never waits, so
//! the lock is held for one event at a time. The engine must never judge, drop or reorder an action.

use crate::discovery::request::DiscoveryRequest;
use crate::logs::Id;
use crate::workers::UpstreamGroup;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::{debug, error, info};
use vetchbridge_scheduling::interface::*;
use vetchbridge_scheduling::scheduler::Scheduler;

/// The module's clock: Unix time at the start, monotonic from there on, so that the start times in
/// discovery's lists need no translation.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    origin: Micros,
}

impl Clock {
    /// A clock that reads Unix time now.
    pub fn start() -> Clock {
        let origin = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        Clock { started: Instant::now(), origin }
    }

    /// The clock's reading.
    pub fn now(&self) -> Micros {
        self.origin + self.started.elapsed().as_micros() as Micros
    }

    /// The runtime's instant at which the clock reads `at`.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at.saturating_sub(self.origin))
    }
}

/// What the module wants done for one request.
#[derive(Debug)]
pub enum RequestCommand {
    /// Send an attempt to a worker.
    Send {
        /// The worker.
        worker: WorkerId,
        /// Stop waiting after this; `None`: when the client does.
        timeout: Option<Micros>,
    },
    /// Call an attempt off.
    Cancel(AttemptNo),
    /// Final answer: refused.
    Reject {
        /// When the client may come back, from now; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed.
    Fail,
}

struct Core {
    scheduler: Scheduler,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    requests: HashMap<RequestId, UnboundedSender<RequestCommand>>,
    actions: Vec<Action>,
}

/// The module at work; see the head of this file.
pub struct Engine {
    /// The module's clock.
    pub clock: Clock,
    core: Mutex<Core>,
    earlier_timer: Notify,
    upstream: Arc<UpstreamGroup>,
    asks: UnboundedSender<DiscoveryRequest>,
    messages: UnboundedSender<(Recipient, Vec<u8>)>,
    /// For the tasks that bring a probe's result back.
    me: Weak<Engine>,
}

impl Engine {
    /// An engine around a module that has seen no event yet.
    pub fn new(
        scheduler: Scheduler,
        upstream: Arc<UpstreamGroup>,
        asks: UnboundedSender<DiscoveryRequest>,
        messages: UnboundedSender<(Recipient, Vec<u8>)>,
    ) -> Arc<Engine> {
        let core =
            Core { scheduler, timers: BinaryHeap::new(), requests: HashMap::new(), actions: Vec::new() };
        let (clock, earlier_timer) = (Clock::start(), Notify::new());
        Arc::new_cyclic(|me| {
            let (core, me) = (Mutex::new(core), me.clone());
            Engine { clock, core, earlier_timer, upstream, asks, messages, me }
        })
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives the module one event and carries out what it answers.
    pub fn handle(&self, event: Event) {
        let core = &mut *self.core();
        self.step(core, event);
    }

    /// Hands a request to the module; its steps arrive on the receiver. `None` while its id is in use.
    pub fn open(&self, request: Request) -> Option<UnboundedReceiver<RequestCommand>> {
        let core = &mut *self.core();
        if core.requests.contains_key(&request.id) {
            return None;
        }
        let (steps, receiver) = unbounded_channel();
        core.requests.insert(request.id, steps);
        self.step(core, Event::Request(request));
        Some(receiver)
    }

    /// Forgets where a request's steps go; its context has ended.
    pub fn close(&self, id: RequestId) {
        self.core().requests.remove(&id);
    }

    /// The ids of the requests that are open.
    pub fn open_requests(&self) -> Vec<RequestId> {
        self.core().requests.keys().copied().collect()
    }

    /// How many request contexts there are.
    pub fn requests(&self) -> usize {
        self.core().requests.len()
    }

    fn step(&self, core: &mut Core, event: Event) {
        let mut actions = std::mem::take(&mut core.actions);
        core.scheduler.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.carry(core, action);
        }
        core.actions = actions;
    }

    fn carry(&self, core: &mut Core, action: Action) {
        let (request, step) = match action {
            Action::Send { request, worker, timeout } => (request, RequestCommand::Send { worker, timeout }),
            Action::Cancel { request, attempt } => (request, RequestCommand::Cancel(attempt)),
            Action::Reject { request, retry_after } => (request, RequestCommand::Reject { retry_after }),
            Action::Fail { request } => (request, RequestCommand::Fail),
            Action::SetTimer { at, token } => {
                if core.timers.peek().is_none_or(|Reverse((first, _))| at < *first) {
                    self.earlier_timer.notify_one();
                }
                return core.timers.push(Reverse((at, token.0)));
            }
            Action::Subscribe(on) => return self.ask(DiscoveryRequest::Subscribe(on)),
            Action::FetchEndpoints => return self.ask(DiscoveryRequest::Fetch),
            Action::SendPeerMessage { to, data } => {
                if self.messages.send((to, data)).is_err() {
                    debug!("peer_socket.absent");
                }
                return;
            }
            Action::CloseIdle(worker) => return self.upstream.close_idle_connections(worker),
            Action::Probe(worker) => {
                if let Some(engine) = self.me.upgrade() {
                    drop(tokio::spawn(async move { engine.handle(engine.probed(worker).await) }));
                }
                return;
            }
            Action::Log(text) => return info!(text, "module.says"),
        };
        if core.requests.get(&request).is_none_or(|steps| steps.send(step).is_err()) {
            debug!(request = %Id(request), "step.late");
        }
    }

    /// One probe, and what came of it.
    async fn probed(&self, worker: WorkerId) -> Event {
        let sent = self.clock.now();
        let (status, load) = self.upstream.probe(worker).await;
        let latency = self.clock.now().saturating_sub(sent);
        debug!(worker = self.upstream.worker_name(worker), outcome = ?status, latency_us = latency, ?load, "probe.finished");
        Event::Probed { worker, outcome: status, latency, load }
    }

    fn ask(&self, ask: DiscoveryRequest) {
        if self.asks.send(ask).is_err() {
            error!("discovery.absent");
        }
    }

    /// Wakes the module whenever one of its timers falls due.
    pub async fn run_timers(self: Arc<Self>) {
        loop {
            let next = self.core().timers.peek().map(|Reverse((at, _))| *at);
            match next {
                Some(at) if at <= self.clock.now() => {
                    let core = &mut *self.core();
                    if let Some(Reverse((_, token))) = core.timers.pop() {
                        self.step(core, Event::Timer(TimerToken(token)));
                    }
                }
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    () = self.earlier_timer.notified() => {}
                },
                None => self.earlier_timer.notified().await,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::{file, read_text};
    use crate::workers::{worker_id, WorkerEndpoint};
    use tokio::net::TcpListener;
    use vetchbridge_testbed::wire::Wire;

    /// The module's probe reaches the worker, and what the module hears names the worker and how it ended.
    #[tokio::test]
    async fn a_probe_is_carried_to_its_worker_and_its_end_back() {
        let text = toml::to_string(&file::example()).expect("TOML");
        let settings = read_text("test", &text).expect("it reads").config.snapshot.settings;
        let scheduler = Scheduler::new(settings, 1).expect("sound settings");
        let (listener, minute) =
            (TcpListener::bind("127.0.0.1:0").await.expect("a port"), Duration::from_secs(60));
        let upstream = Arc::new(UpstreamGroup::new(minute, minute, 1));
        let (worker_id, address) = (worker_id("s-0"), listener.local_addr().expect("bound").to_string());
        let (name, state) = ("s-0", EndpointState::Ready);
        let entry = WorkerEndpoint { worker_id, name, address: &address, state, started_at: 0 };
        upstream.apply_endpoints(EndpointUpdate::Changes, [entry].into_iter());
        let engine = Engine::new(scheduler, upstream, unbounded_channel().0, unbounded_channel().0);
        engine.carry(&mut engine.core(), Action::Probe(worker_id));
        let mut worker = Wire::new(listener.accept().await.expect("a connection").0);
        assert_eq!(worker.read().await.expect("a probe").line, "GET /stats HTTP/1.1");
        // The only place is taken until that one has ended.
        let event = engine.probed(worker_id).await;
        assert!(
            matches!(event, Event::Probed { worker: of, outcome: Outcome::NotSent, load: None, .. } if of == worker_id)
        );
    }
}
