//! The predecessor's side of an upgrade: the process that serves hands over to its successor process.
//!
//! This module owns the handover listener. If a successor fails, this process continues to serve as before.

use super::message::{batch_endpoints, HandoverMessage, Offer, MAX_CONFIGURATION_BYTES, VERSION};
use super::process_links::{Link, ProcessLinks};
use super::reader::{MessageReader, ReceiveError};
use super::socket::{HandoverListener, HandoverSocket};
use super::OFFER_TIMEOUT;
use crate::clients::server::ClientServer;
use crate::discovery::endpoint_list::EndpointList;
use crate::engine::Engine;
use crate::lifecycle::clock::Lifecycle;
use crate::lifecycle::state::LifecycleState;
use crate::snapshot::CurrentSettings;
use crate::workers::UpstreamGroup;
use serde_json::Value;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::AsFd;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

/// Time limit for the first message of a process that has connected as a successor, and for sending a
/// rejection to that process.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next accept after an accept on the handover listener has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a process that has connected to the hand-over listener is rejected as a successor. The text is sent to
/// that process.
#[derive(Debug, thiserror::Error)]
enum Rejection {
    #[error("the process has already handed over to another successor")]
    AlreadyHandedOver,
    #[error("the process serves as scheduler {name} at {listen}")]
    OtherScheduler { name: String, listen: SocketAddr },
    #[error("unsupported hand-over message version {0}; the supported version is {VERSION}")]
    UnsupportedVersion(u32),
    #[error("unexpected message {0:?}")]
    UnexpectedMessage(Box<HandoverMessage>),
    #[error("no message received within the time limit")]
    NoHello,
    #[error(transparent)]
    Receive(#[from] ReceiveError),
}

/// What a process that may become the successor has announced of itself.
struct Successor {
    /// Whether the process replies to [`HandoverMessage::Sync`].
    replies_to_sync: bool,
}

/// Hands over to successor processes. Holds the sockets, the state and the connections that a successor takes
/// over.
pub struct HandoverServer {
    /// The scheduler's name.
    pub name: String,
    /// The address at which clients connect to the scheduler.
    pub listen: SocketAddr,
    /// The listener for clients.
    pub listener: TcpListener,
    /// The socket for messages between schedulers, if there is one.
    pub peer_socket: Option<UdpSocket>,
    /// The endpoint list as last published.
    pub endpoint_list: Arc<Mutex<EndpointList>>,
    /// The settings in force, with the document that they come from.
    pub current_settings: Arc<CurrentSettings>,
    /// The lifecycle of this process.
    pub lifecycle: Arc<Lifecycle>,
    /// The engine, which runs the decision module.
    pub engine: Arc<Engine>,
    /// The workers in the endpoint list, and the connections to them.
    pub upstream: Arc<UpstreamGroup>,
    /// The server of client connections.
    pub client_server: Arc<ClientServer>,
    /// The links to other processes of this scheduler.
    pub process_links: Arc<ProcessLinks>,
}

impl HandoverServer {
    /// Hands over to each successor process that connects to the handover listener, which is published at
    /// `path`. Runs until this process ends.
    pub async fn run(self: Arc<Self>, path: PathBuf, mut listener: HandoverListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok(socket) => drop(tokio::spawn(self.clone().hand_over(socket))),
                    Err(error) => {
                        warn!(%error, "upgrade.successor_rejected");
                        sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                // A successor process that has ended may have published its own listener at the path, so this
                // process publishes a new listener there.
                () = self.process_links.wait_for_removed_link() => if !self.process_links.has_successor() {
                    match publish_listener(&path) {
                        Ok(published) => listener = published,
                        Err(error) => warn!(path = %path.display(), %error, "upgrade.unavailable"),
                    }
                },
            }
        }
    }

    /// Offers this process's sockets (the listener for clients and the socket for messages between
    /// schedulers) and its endpoint list to the process that has connected to the hand-over listener, if this
    /// process accepts that process as its successor. Then registers a [`Link`], by which the two processes
    /// exchange messages over the same socket, and keeps the link until either process ends.
    async fn hand_over(self: Arc<Self>, socket: HandoverSocket) {
        let replies_to_sync = match self.receive_hello(&socket).await {
            Ok(Some(Successor { replies_to_sync })) => replies_to_sync,
            Ok(None) => return,
            Err(rejection) => {
                let reason = rejection.to_string();
                warn!(reason, "upgrade.successor_rejected");
                let rejected = HandoverMessage::Rejected(reason).encode();
                let _ = timeout(HELLO_TIMEOUT, socket.send(&rejected, &[])).await;
                return;
            }
        };
        let (link, outgoing) = Link::new(replies_to_sync);
        if !matches!(timeout(OFFER_TIMEOUT, self.send_offer(&socket)).await, Ok(Ok(()))) {
            return warn!("upgrade.offer_failed");
        }
        info!("upgrade.offer_sent");
        self.register(&link);
        self.run_link(socket, link, outgoing).await;
    }

    /// Receives the first message of the process that has connected to the hand-over listener. Returns that
    /// process if it may become the successor, `None` if it has closed the connection.
    async fn receive_hello(&self, socket: &HandoverSocket) -> Result<Option<Successor>, Rejection> {
        let received = timeout(HELLO_TIMEOUT, MessageReader::new(socket).next()).await;
        let Some(envelope) = received.map_err(|_| Rejection::NoHello)?? else { return Ok(None) };
        match envelope.message {
            HandoverMessage::Hello { version: VERSION, name, listen, replies_to_sync } => {
                if self.process_links.has_successor() {
                    return Err(Rejection::AlreadyHandedOver);
                }
                if name != self.name || listen != self.listen {
                    return Err(Rejection::OtherScheduler { name: self.name.clone(), listen: self.listen });
                }
                Ok(Some(Successor { replies_to_sync }))
            }
            HandoverMessage::Hello { version, .. } => Err(Rejection::UnsupportedVersion(version)),
            other => Err(Rejection::UnexpectedMessage(Box::new(other))),
        }
    }

    /// Sends the successor the offer with the sockets, then the endpoint list and the empty message that
    /// marks the end of the list.
    async fn send_offer(&self, socket: &HandoverSocket) -> io::Result<()> {
        let ((instances, generation), source) = {
            let endpoint_list = self.endpoint_list.lock().unwrap_or_else(PoisonError::into_inner);
            (endpoint_list.snapshot(), endpoint_list.source())
        };
        let total = instances.len();
        let batches = batch_endpoints(instances);
        // If an entry of the endpoint list is too long to be sent, the offer has no generation, and the
        // successor fetches the complete list from discovery.
        let complete = batches.iter().map(Vec::len).sum::<usize>() == total;
        let offer = HandoverMessage::Offer(Offer {
            quiesced: self.lifecycle.is_quiesced(),
            source,
            generation: generation.filter(|_| complete),
            confirmed: self.lifecycle.state() != LifecycleState::Starting,
            connections: self.client_server.connection_count(),
            replies_to_sync: true,
            configuration: self.configuration_in_force(),
        });
        let mut descriptors = vec![self.listener.as_fd()];
        descriptors.extend(self.peer_socket.as_ref().map(AsFd::as_fd));
        socket.send(&offer.encode(), &descriptors).await?;
        for batch in batches.into_iter().chain([Vec::new()]) {
            socket.send(&HandoverMessage::Endpoints(batch).encode(), &[]).await?;
        }
        Ok(())
    }
}

impl HandoverServer {
    /// Returns the platform's document in force, if there is one that fits into the offer.
    fn configuration_in_force(&self) -> Option<Value> {
        let document = self.current_settings.get().platform_document.clone()?;
        let length = document.to_string().len();
        if length > MAX_CONFIGURATION_BYTES {
            warn!(length, "upgrade.configuration_too_long");
            return None;
        }
        Some(document)
    }
}

fn publish_listener(path: &Path) -> io::Result<HandoverListener> {
    let mut listener = HandoverListener::open(path)?;
    listener.publish(path)?;
    Ok(listener)
}
