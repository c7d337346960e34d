//! Accepts client connections, from the listener and from the predecessor, and owns what they share.

use super::body::BodyMemory;
use super::budget::{DescriptorBudget, OtherProcesses};
use super::connections::ClientConnections;
use super::handler;
use super::session::IncomingConnection;
use crate::admin;
use crate::engine::Engine;
use crate::lifecycle::clock::Lifecycle;
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

/// Pause after a failed accept; descriptors are released as responses are sent.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often the limits of all connections are enforced.
const ENFORCEMENT_INTERVAL: Duration = Duration::from_millis(100);

/// A client connection that another process has served so far.
struct HandedOverConnection {
    descriptor: OwnedFd,
    /// It has had a response.
    is_kept_alive: bool,
}

impl HandedOverConnection {
    fn into_incoming(self) -> io::Result<IncomingConnection> {
        let stream = TcpStream::from_std(self.descriptor.into())?;
        Ok(IncomingConnection { stream, is_kept_alive: self.is_kept_alive })
    }
}

/// The queue of handed-over connections that have not been taken over yet.
struct HandoverQueue {
    sender: UnboundedSender<HandedOverConnection>,
    /// Taken by the accept loop.
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
    /// Memory for the bodies of jobs, from their arrival to their end.
    pub(super) job_memory: BodyMemory,
    /// Memory for the bodies of callbacks, which jobs must not use up.
    pub(super) callback_memory: BodyMemory,
    handover_queue: HandoverQueue,
}

impl ClientServer {
    /// A server in a process that may have `max_descriptors` open and take `memory_bytes`.
    pub fn new(
        engine: Arc<Engine>,
        upstream: Arc<UpstreamGroup>,
        settings: Arc<CurrentSettings>,
        max_descriptors: usize,
        memory_bytes: usize,
        lifecycle: Arc<Lifecycle>,
        process_links: Arc<ProcessLinks>,
    ) -> Arc<ClientServer> {
        let reserved = admin::max_connections(max_descriptors);
        let budget = DescriptorBudget::new(max_descriptors, reserved, upstream.connections());
        Arc::new(ClientServer {
            engine,
            upstream,
            settings,
            lifecycle,
            process_links,
            connections: ClientConnections::new(budget),
            job_memory: BodyMemory::new(memory_bytes),
            callback_memory: BodyMemory::new(memory_bytes),
            handover_queue: HandoverQueue::new(),
        })
    }

    /// Whether any complete request awaits its response.
    pub fn has_pending_responses(&self) -> bool {
        self.connections.has_pending_response() || self.engine.open_request_count() > 0
    }

    /// Whether a response has been sent whose client may not have read it.
    pub fn has_lingering_connections(&self) -> bool {
        self.connections.has_lingering()
    }

    /// The longest deadline of all classes in the current settings.
    pub fn longest_deadline(&self) -> Duration {
        self.settings.get().longest_deadline()
    }

    /// Number of client connections.
    pub fn connection_count(&self) -> usize {
        self.connections.count()
    }

    /// Takes over a client connection that another process has served so far; `is_kept_alive` if it has had a response.
    pub fn take_over_connection(&self, descriptor: OwnedFd, is_kept_alive: bool) {
        // The receiver is gone only once the process ends.
        let _ = self.handover_queue.sender.send(HandedOverConnection { descriptor, is_kept_alive });
    }

    pub(super) fn other_processes(&self) -> OtherProcesses {
        OtherProcesses {
            count: self.process_links.process_count(),
            connections: self.process_links.connection_count(),
        }
    }

    /// Accepts connections until the process ends, except while a successor accepts them.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let Some(mut handed_over) = super::lock(&self.handover_queue.receiver).take() else { return };
        let router = handler::router(self.clone());
        let mut enforcement = tokio::time::interval(ENFORCEMENT_INTERVAL);
        let mut successor = self.process_links.successor();
        loop {
            let has_successor = successor.borrow_and_update().is_some();
            // Until then new connections wait in the listener's queue: earlier ones had no time to send a request.
            let eviction_at = self.connections.next_eviction_at(self.other_processes());
            let incoming = tokio::select! {
                () = sleep_until(eviction_at.unwrap_or_else(Instant::now)), if eviction_at.is_some() => continue,
                accepted = listener.accept(), if !has_successor && eviction_at.is_none() => {
                    accepted.map(|(stream, _)| IncomingConnection { stream, is_kept_alive: false })
                }
                Some(connection) = handed_over.recv() => connection.into_incoming(),
                _ = enforcement.tick() => {
                    self.enforce_limits();
                    continue;
                }
                _ = successor.changed() => continue,
            };
            match incoming {
                Ok(incoming) => {
                    tokio::spawn(self.clone().serve_connection(incoming, router.clone()));
                    // In a burst, each connection is read from before the next one may evict it.
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
        self.connections.enforce_limits(others);
        self.upstream.set_max_connections(self.connections.max_worker_connections(others));
    }
}
