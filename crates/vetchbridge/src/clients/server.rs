//! Accepts client connections from the listener and from other processes of this scheduler, and owns the
//! state that the connections share.

use super::budget::{DescriptorBudget, OtherProcesses};
use super::connections::ClientConnections;
use super::handler;
use super::session::IncomingConnection;
use crate::admin;
use crate::engine::Engine;
use crate::lifecycle::clock::Lifecycle;
use crate::memory::{MemoryBudget, OtherMemoryUse};
use crate::snapshot::CurrentSettings;
use crate::upgrade::process_links::ProcessLinks;
use crate::workers::UpstreamGroup;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep_until, Instant};
use tracing::warn;

/// How long to wait after accepting a client connection failed. Responses that are sent meanwhile release
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which the time limits of client connections, the descriptor budget and the memory budget are
/// enforced.
const ENFORCEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// A client connection that another process of this scheduler served before this process.
struct HandedOverConnection {
    descriptor: OwnedFd,
    /// Whether a response has already been sent on the client connection.
    is_kept_alive: bool,
}

impl HandedOverConnection {
    fn into_incoming(self) -> io::Result<IncomingConnection> {
        let stream = TcpStream::from_std(self.descriptor.into())?;
        Ok(IncomingConnection { stream, is_kept_alive: self.is_kept_alive })
    }
}

/// The queue of handed-over connections that this process does not serve yet.
struct HandoverQueue {
    sender: UnboundedSender<HandedOverConnection>,
    /// The receiving end of the queue; `None` after the accept loop has taken the receiving end.
    receiver: Mutex<Option<UnboundedReceiver<HandedOverConnection>>>,
}

impl HandoverQueue {
    fn new() -> HandoverQueue {
        let (sender, receiver) = unbounded_channel();
        HandoverQueue { sender, receiver: Mutex::new(Some(receiver)) }
    }
}

/// The server for clients and for workers' callbacks.
pub struct ClientServer {
    pub(super) engine: Arc<Engine>,
    pub(super) upstream: Arc<UpstreamGroup>,
    pub(super) settings: Arc<CurrentSettings>,
    pub(super) lifecycle: Arc<Lifecycle>,
    pub(super) process_links: Arc<ProcessLinks>,
    pub(super) connections: ClientConnections,
    memory: MemoryBudget,
    /// The connections that other processes of this scheduler have handed over and that this process does not
    /// serve yet.
    handovers: HandoverQueue,
}

impl ClientServer {
    /// Creates the server of a process that may have `max_descriptors` descriptors open and share `memory`
    /// with its other components.
    pub fn new(
        engine: Arc<Engine>,
        upstream: Arc<UpstreamGroup>,
        settings: Arc<CurrentSettings>,
        max_descriptors: usize,
        memory: MemoryBudget,
        lifecycle: Arc<Lifecycle>,
        process_links: Arc<ProcessLinks>,
    ) -> Arc<ClientServer> {
        let reserved_descriptors = admin::max_connections(max_descriptors);
        let budget =
            DescriptorBudget::new(max_descriptors, reserved_descriptors, upstream.connection_count());
        Arc::new(ClientServer {
            engine,
            upstream,
            settings,
            lifecycle,
            process_links,
            connections: ClientConnections::new(budget, memory.clone()),
            memory,
            handovers: HandoverQueue::new(),
        })
    }

    /// Whether any client's request has not ended yet, or any client connection awaits a response or may
    /// still be sending one.
    pub fn has_pending_responses(&self) -> bool {
        self.connections.has_pending_response() || self.engine.open_request_count() > 0
    }

    /// Whether any client connection is lingering: the daemon has closed its side, but the client may not
    /// have read the last response yet.
    pub fn has_lingering_connections(&self) -> bool {
        self.connections.has_lingering()
    }

    /// Returns the longest deadline of all request classes in the current settings.
    pub fn longest_deadline(&self) -> Duration {
        self.settings.get().longest_deadline()
    }

    /// Returns the number of open client connections of this process.
    pub fn connection_count(&self) -> usize {
        self.connections.count()
    }

    /// Takes over a client connection that another process served before. `is_kept_alive`: whether a response
    /// has been sent on the connection.
    pub fn take_over_connection(&self, descriptor: OwnedFd, is_kept_alive: bool) {
        // Sending the connection to the accept loop fails only when the process ends: the accept loop keeps
        // the receiver until then.
        let _ = self.handovers.sender.send(HandedOverConnection { descriptor, is_kept_alive });
    }

    /// Returns how much of the descriptor budget the other processes of this scheduler use.
    pub(super) fn other_processes(&self) -> OtherProcesses {
        OtherProcesses {
            count: self.process_links.process_count(),
            client_connections: self.process_links.connection_count(),
        }
    }

    /// Accepts client connections until the process ends, but not while a successor process accepts them.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let Some(mut receiver) = super::lock_ignoring_poison(&self.handovers.receiver).take() else { return };
        let router = handler::router(self.clone());
        let mut enforcement = tokio::time::interval(ENFORCEMENT_INTERVAL);
        let mut successor = self.process_links.successor();
        loop {
            let has_successor = successor.borrow_and_update().is_some();
            // Until `paused_until`, new connections wait in the listener's queue: the connections that were
            // accepted before them have had no time to send a request.
            let paused_until = self.connections.accept_paused_until(self.other_processes());
            let incoming = tokio::select! {
                () = sleep_until(paused_until.unwrap_or_else(Instant::now)),
                    if paused_until.is_some() => continue,
                accepted = listener.accept(), if !has_successor && paused_until.is_none() => {
                    accepted.map(|(stream, _)| IncomingConnection { stream, is_kept_alive: false })
                }
                Some(connection) = receiver.recv() => connection.into_incoming(),
                _ = enforcement.tick() => {
                    self.enforce_limits();
                    continue;
                }
                _ = successor.changed() => continue,
            };
            match incoming {
                Ok(incoming) => {
                    tokio::spawn(self.clone().serve_connection(incoming, router.clone()));
                    // In a burst of new connections, this yield lets the task of this connection read input
                    // before the next connection may evict this connection.
                    tokio::task::yield_now().await;
                }
                Err(error) => {
                    warn!(%error, "accept.failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn enforce_limits(&self) {
        let others = self.other_processes();
        self.memory.set_other_use(OtherMemoryUse {
            other_processes: others.count,
            workers: self.upstream.worker_count(),
        });
        self.connections.enforce_limits(others);
        let max_connections = self.connections.max_worker_connections(others);
        self.upstream.set_max_connections(max_connections.min(self.memory.max_worker_connections()));
    }
}
