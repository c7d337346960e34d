//! The engine: sole owner of the scheduler, its clock and its timers.
//!
//! Every event enters through [`Engine::handle`] or [`Engine::open_request`]; every action that the scheduler answers
//! with is executed at once: it is passed to the request, the upstream group, the endpoint watcher or the peers that it
//! concerns. Executing never waits, so that the lock is held for one event at a time. The engine must never judge, drop
//! or reorder an action.

mod clock;
mod timers;

pub use clock::Clock;

use crate::discovery::request::DiscoveryRequest;
use crate::logs::Id;
use crate::peers::OutgoingMessage;
use crate::workers::UpstreamGroup;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use timers::TimerQueue;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::time::sleep_until;
use tracing::{debug, error, info};
use vetchbridge_scheduling::Scheduler;
use vetchbridge_scheduling::{Action, AttemptNo, Event, Micros, Request, RequestId, TimerToken, WorkerId};

/// What the scheduler wants done for one request.
#[derive(Debug)]
pub enum RequestCommand {
    /// Send an attempt to a worker.
    Send {
        /// The worker.
        worker: WorkerId,
        /// How long to wait for its end; `None` for as long as the client waits.
        timeout: Option<Micros>,
    },
    /// Cancel an attempt.
    Cancel(AttemptNo),
    /// Conclude the request: it is rejected.
    Reject {
        /// After how long the client may retry; 0 for no advice.
        retry_after: Micros,
    },
    /// Conclude the request: it has failed.
    Fail,
}

/// What one event at a time has to itself.
struct EngineState {
    scheduler: Scheduler,
    timers: TimerQueue,
    requests: HashMap<RequestId, UnboundedSender<RequestCommand>>,
    /// The actions of the current event; reused for its allocation.
    actions: Vec<Action>,
}

/// The scheduler at work; see the head of this file.
pub struct Engine {
    /// The scheduler's clock.
    pub clock: Clock,
    state: Mutex<EngineState>,
    earlier_timer: Notify,
    upstream: Arc<UpstreamGroup>,
    discovery_requests: UnboundedSender<DiscoveryRequest>,
    peer_messages: UnboundedSender<OutgoingMessage>,
    /// For the tasks that bring a probe's outcome back.
    weak_self: Weak<Engine>,
}

impl Engine {
    /// An engine around a scheduler that has seen no event yet.
    pub fn new(
        scheduler: Scheduler,
        upstream: Arc<UpstreamGroup>,
        discovery_requests: UnboundedSender<DiscoveryRequest>,
        peer_messages: UnboundedSender<OutgoingMessage>,
    ) -> Arc<Engine> {
        let state = EngineState {
            scheduler,
            timers: TimerQueue::default(),
            requests: HashMap::new(),
            actions: Vec::new(),
        };
        Arc::new_cyclic(|weak_self| Engine {
            clock: Clock::start(),
            state: Mutex::new(state),
            earlier_timer: Notify::new(),
            upstream,
            discovery_requests,
            peer_messages,
            weak_self: weak_self.clone(),
        })
    }

    fn lock_state(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives the scheduler one event and executes the actions that it answers with.
    pub fn handle(&self, event: Event) {
        self.handle_locked(&mut self.lock_state(), event);
    }

    /// Hands a request to the scheduler; its commands arrive on the receiver. `None` while its id is in use.
    pub fn open_request(&self, request: Request) -> Option<UnboundedReceiver<RequestCommand>> {
        let state = &mut *self.lock_state();
        if state.requests.contains_key(&request.id) {
            return None;
        }
        let (commands, receiver) = unbounded_channel();
        state.requests.insert(request.id, commands);
        self.handle_locked(state, Event::Request(request));
        Some(receiver)
    }

    /// Forgets where a request's commands go: its context has ended.
    pub fn close_request(&self, id: RequestId) {
        self.lock_state().requests.remove(&id);
    }

    /// The ids of the requests that are open.
    pub fn open_request_ids(&self) -> Vec<RequestId> {
        self.lock_state().requests.keys().copied().collect()
    }

    /// How many requests are open.
    pub fn open_request_count(&self) -> usize {
        self.lock_state().requests.len()
    }

    fn handle_locked(&self, state: &mut EngineState, event: Event) {
        let mut actions = std::mem::take(&mut state.actions);
        state.scheduler.handle(self.clock.now(), event, &mut actions);
        for action in actions.drain(..) {
            self.execute(state, action);
        }
        state.actions = actions;
    }

    fn execute(&self, state: &mut EngineState, action: Action) {
        match action {
            Action::Send { request, worker, timeout } => {
                state.send_command(request, RequestCommand::Send { worker, timeout });
            }
            Action::Cancel { request, attempt } => {
                state.send_command(request, RequestCommand::Cancel(attempt));
            }
            Action::Reject { request, retry_after } => {
                state.send_command(request, RequestCommand::Reject { retry_after });
            }
            Action::Fail { request } => state.send_command(request, RequestCommand::Fail),
            Action::SetTimer { at, token } => self.set_timer(&mut state.timers, at, token),
            Action::Subscribe(true) => self.request_endpoints(DiscoveryRequest::Subscribe),
            Action::Subscribe(false) => self.request_endpoints(DiscoveryRequest::Unsubscribe),
            Action::FetchEndpoints => self.request_endpoints(DiscoveryRequest::Fetch),
            Action::SendPeerMessage { to, data } => self.send_peer_message(OutgoingMessage { to, data }),
            Action::CloseIdle(worker) => self.upstream.close_idle_connections(worker),
            Action::Probe(worker) => self.spawn_probe(worker),
            Action::Log(text) => info!(text, "scheduler.logged"),
        }
    }

    fn set_timer(&self, timers: &mut TimerQueue, at: Micros, token: TimerToken) {
        if timers.add(at, token) {
            self.earlier_timer.notify_one();
        }
    }

    fn request_endpoints(&self, request: DiscoveryRequest) {
        if self.discovery_requests.send(request).is_err() {
            error!("discovery.stopped");
        }
    }

    fn send_peer_message(&self, message: OutgoingMessage) {
        if self.peer_messages.send(message).is_err() {
            debug!("peer_socket.unavailable");
        }
    }

    fn spawn_probe(&self, worker: WorkerId) {
        if let Some(engine) = self.weak_self.upgrade() {
            drop(tokio::spawn(async move { engine.handle(engine.probe(worker).await) }));
        }
    }

    /// Makes one probe; the event that it results in.
    async fn probe(&self, worker: WorkerId) -> Event {
        let sent_at = self.clock.now();
        let (outcome, load) = self.upstream.probe(worker).await;
        let latency = self.clock.now().saturating_sub(sent_at);
        let name = self.upstream.worker_name(worker);
        debug!(worker = name, ?outcome, latency_us = latency, ?load, "probe.finished");
        Event::Probed { worker, outcome, latency, load }
    }

    /// Gives the scheduler each timer at its time, for as long as the process lives.
    pub async fn run_timers(self: Arc<Self>) {
        loop {
            let next_at = self.lock_state().timers.next_at();
            match next_at {
                Some(at) if at <= self.clock.now() => self.fire_next_timer(),
                Some(at) => tokio::select! {
                    () = sleep_until(self.clock.instant(at)) => {}
                    () = self.earlier_timer.notified() => {}
                },
                None => self.earlier_timer.notified().await,
            }
        }
    }

    fn fire_next_timer(&self) {
        let state = &mut *self.lock_state();
        if let Some(token) = state.timers.pop() {
            self.handle_locked(state, Event::Timer(token));
        }
    }
}

impl EngineState {
    fn send_command(&self, request: RequestId, command: RequestCommand) {
        if self.requests.get(&request).is_none_or(|commands| commands.send(command).is_err()) {
            debug!(request = %Id(request), "request.command_discarded");
        }
    }
}

#[cfg(test)]
mod tests;
