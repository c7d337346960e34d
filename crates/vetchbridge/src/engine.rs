//! The engine, which is the only owner of the decision module's [`Scheduler`], of its clock and of its
//! timers.
//!
//! Every event for the scheduler enters through [`Engine::handle`] or [`Engine::open_request`]. Every action
//! that the scheduler returns is executed at once: the engine passes the action to the request, the upstream
//! group, the endpoint watcher or the peer socket. Executing an action never waits, so that the engine's lock
//! is held only while one event is handled. The engine must never reject, drop or reorder an action.

mod clock;
mod timers;

pub use clock::Clock;

use crate::discovery::request::DiscoveryRequest;
use crate::logs::HexRequestId;
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

/// A command of the scheduler for one request.
#[derive(Debug)]
pub enum RequestCommand {
    /// Sends the request to a worker as a new attempt.
    Send {
        /// The worker that the attempt is sent to.
        worker: WorkerId,
        /// How long to wait for the attempt to end, in microseconds; `None` to wait until the request's
        /// deadline.
        timeout: Option<Micros>,
    },
    /// Cancels the attempt of the request that has this number.
    Cancel(AttemptNo),
    /// Sends the client the final answer that the request is rejected.
    Reject {
        /// How long the client should wait before a retry, in microseconds; 0 for no advice.
        retry_after: Micros,
    },
    /// Sends the client the final answer that the request has failed.
    Fail,
}

/// The part of the engine's state that the engine's lock protects, so that only one event at a time uses it.
struct EngineState {
    scheduler: Scheduler,
    timers: TimerQueue,
    /// For each open request, the sender of the scheduler's commands to the request's task. A request is open
    /// until its task ends.
    command_senders: HashMap<RequestId, UnboundedSender<RequestCommand>>,
    /// The actions that the scheduler returned for the current event; the list is kept between events to
    /// reuse its allocation.
    actions: Vec<Action>,
}

/// Runs the scheduler: passes events to the scheduler and executes the actions that the scheduler returns.
pub struct Engine {
    /// The scheduler's clock.
    pub clock: Clock,
    state: Mutex<EngineState>,
    /// Notified when a timer is set that fires before all other pending timers.
    earlier_timer: Notify,
    upstream: Arc<UpstreamGroup>,
    discovery_requests: UnboundedSender<DiscoveryRequest>,
    peer_messages: UnboundedSender<OutgoingMessage>,
    /// A reference to this engine for the tasks that probe workers, which report the probes' outcomes to the
    /// engine.
    weak_self: Weak<Engine>,
}

impl Engine {
    /// Creates an engine for a scheduler that has not handled any event yet.
    pub fn new(
        scheduler: Scheduler,
        upstream: Arc<UpstreamGroup>,
        discovery_requests: UnboundedSender<DiscoveryRequest>,
        peer_messages: UnboundedSender<OutgoingMessage>,
    ) -> Arc<Engine> {
        let state = EngineState {
            scheduler,
            timers: TimerQueue::default(),
            command_senders: HashMap::new(),
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

    /// Passes one event to the scheduler and executes the actions that the scheduler returns.
    pub fn handle(&self, event: Event) {
        self.handle_locked(&mut self.lock_state(), event);
    }

    /// Passes a new request to the scheduler and returns the receiver of the scheduler's commands for the
    /// request. Returns `None` if another request with the same id is still open, which means that its task
    /// has not ended.
    pub fn open_request(&self, request: Request) -> Option<UnboundedReceiver<RequestCommand>> {
        let state = &mut *self.lock_state();
        if state.command_senders.contains_key(&request.id) {
            return None;
        }
        let (sender, receiver) = unbounded_channel();
        state.command_senders.insert(request.id, sender);
        self.handle_locked(state, Event::Request(request));
        Some(receiver)
    }

    /// Removes the sender of the scheduler's commands for a request. The request's task calls this function
    /// when the task ends.
    pub fn close_request(&self, id: RequestId) {
        self.lock_state().command_senders.remove(&id);
    }

    /// Returns the ids of the open requests. A request is open until it is answered (or its client has
    /// disconnected) and all of its attempts have ended.
    pub fn open_request_ids(&self) -> Vec<RequestId> {
        self.lock_state().command_senders.keys().copied().collect()
    }

    /// Returns the number of open requests. A request is open until it is answered (or its client has
    /// disconnected) and all of its attempts have ended.
    pub fn open_request_count(&self) -> usize {
        self.lock_state().command_senders.len()
    }

    /// Passes one event to the scheduler and executes the resulting actions; the caller holds the lock on the
    /// engine's state.
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
            Action::Subscribe(true) => self.send_discovery_request(DiscoveryRequest::Subscribe),
            Action::Subscribe(false) => self.send_discovery_request(DiscoveryRequest::Unsubscribe),
            Action::FetchEndpoints => self.send_discovery_request(DiscoveryRequest::Fetch),
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

    fn send_discovery_request(&self, request: DiscoveryRequest) {
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

    /// Probes a worker once and returns the event that reports the probe's outcome.
    async fn probe(&self, worker: WorkerId) -> Event {
        let sent_at = self.clock.now();
        let (outcome, load) = self.upstream.probe(worker).await;
        let latency = self.clock.now().saturating_sub(sent_at);
        let name = self.upstream.worker_name(worker);
        debug!(worker = name, ?outcome, latency_us = latency, ?load, "probe.finished");
        Event::Probed { worker, outcome, latency, load }
    }

    /// Waits for the time of each pending timer and then passes the timer to the scheduler. Runs until the
    /// process ends.
    pub async fn run_timers(self: Arc<Self>) {
        loop {
            let next_at = self.lock_state().timers.next_at();
            match next_at {
                Some(at) if at <= self.clock.now() => self.fire_next_timer(),
                Some(at) => tokio::select! {
                    () = sleep_until(self.clock.instant_at(at)) => {}
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
        if self.command_senders.get(&request).is_none_or(|sender| sender.send(command).is_err()) {
            debug!(request = %HexRequestId(request), "request.command_discarded");
        }
    }
}

#[cfg(test)]
mod tests;
