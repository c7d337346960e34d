//! The successor's side of an upgrade: a process that starts takes over from the process that serves as the
//! same scheduler.
//!
//! This module owns the connection to the predecessor process until everything has been inherited. If the
//! takeover fails, the new process starts without a predecessor.

use super::message::{Envelope, HandoverMessage, Offer, VERSION};
use super::reader::{MessageReader, ReceiveError};
use super::socket::HandoverSocket;
use super::OFFER_TIMEOUT;
use crate::discovery::document::EndpointDocument;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use tokio::time::timeout;
use tracing::{info, warn};

/// The sockets and the state that a successor inherits from its predecessor.
pub struct InheritedState {
    /// The listener for clients.
    pub listener: TcpListener,
    /// The socket for messages between schedulers, if the predecessor has one.
    pub peer_socket: Option<UdpSocket>,
    /// The state of the predecessor.
    pub offer: Offer,
    /// The endpoint list that the predecessor received last.
    pub endpoints: EndpointDocument,
    /// The connection to the predecessor, over which both processes exchange further messages.
    pub socket: HandoverSocket,
}

/// The result of an attempt to take over from a predecessor process.
pub enum TakeoverOutcome {
    /// A process of the same scheduler has handed over its sockets and state.
    Inherited(Box<InheritedState>),
    /// No process listens at the handover path, or the process there failed or did not respond in time.
    NoPredecessor,
    /// The process that listens at the handover path is running and has rejected this process as its
    /// successor.
    Rejected,
}

/// Why nothing could be inherited from the process that listens at the handover path.
#[derive(Debug, thiserror::Error)]
enum TakeoverError {
    #[error("{0}")]
    Rejected(String),
    #[error("the predecessor closed the connection")]
    Closed,
    #[error("unexpected message {0:?}")]
    UnexpectedMessage(Box<HandoverMessage>),
    #[error("the offer carries no descriptor of the listener for clients")]
    MissingListener,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Receive(#[from] ReceiveError),
}

/// Takes over from the process that listens at `path`, if that process serves as the scheduler `name` at the
/// address `listen`.
pub async fn take_over(path: &Path, name: &str, listen: SocketAddr) -> TakeoverOutcome {
    let socket = match HandoverSocket::connect(path) {
        Ok(socket) => socket,
        Err(error) => {
            // A missing socket file is the usual case and is not logged. Any other error is logged: for
            // example, a crashed process may have left its socket file behind.
            if error.kind() != io::ErrorKind::NotFound {
                info!(path = %path.display(), %error, "upgrade.no_predecessor");
            }
            return TakeoverOutcome::NoPredecessor;
        }
    };
    match timeout(OFFER_TIMEOUT, inherit(socket, name, listen)).await {
        Ok(Ok(inherited)) => TakeoverOutcome::Inherited(Box::new(inherited)),
        Ok(Err(TakeoverError::Rejected(reason))) => {
            warn!(path = %path.display(), reason, "upgrade.takeover_rejected");
            TakeoverOutcome::Rejected
        }
        // The other process may have ended after the connection was made. This process can then use the
        // handover path for its own socket.
        Ok(Err(error)) => {
            warn!(path = %path.display(), reason = %error, "upgrade.takeover_failed");
            TakeoverOutcome::NoPredecessor
        }
        Err(_) => {
            warn!(path = %path.display(), "upgrade.takeover_timed_out");
            TakeoverOutcome::NoPredecessor
        }
    }
}

/// Sends the predecessor process the hello message and receives everything that the predecessor hands over.
async fn inherit(
    socket: HandoverSocket,
    name: &str,
    listen: SocketAddr,
) -> Result<InheritedState, TakeoverError> {
    let name = name.to_string();
    let hello = HandoverMessage::Hello { version: VERSION, name, listen, replies_to_sync: true };
    socket.send(&hello.encode(), &[]).await?;
    let mut reader = MessageReader::new(&socket);
    let Envelope { message, descriptors } = next_message(&mut reader).await?;
    let offer = match message {
        HandoverMessage::Offer(offer) => offer,
        HandoverMessage::Rejected(reason) => return Err(TakeoverError::Rejected(reason)),
        other => return Err(TakeoverError::UnexpectedMessage(Box::new(other))),
    };
    let mut descriptors = descriptors.into_iter();
    let listener = TcpListener::from(descriptors.next().ok_or(TakeoverError::MissingListener)?);
    let peer_socket = descriptors.next().map(UdpSocket::from);
    let endpoints = receive_endpoints(&mut reader, offer.generation.unwrap_or(0)).await?;
    Ok(InheritedState { listener, peer_socket, offer, endpoints, socket })
}

/// Receives the predecessor process's endpoint list, up to the message without entries that marks the end of
/// the list.
async fn receive_endpoints(
    reader: &mut MessageReader<'_>,
    generation: u64,
) -> Result<EndpointDocument, TakeoverError> {
    let mut document = EndpointDocument { generation, reset: true, instances: Vec::new() };
    loop {
        match next_message(reader).await?.message {
            HandoverMessage::Endpoints(entries) if entries.is_empty() => return Ok(document),
            HandoverMessage::Endpoints(entries) => document.instances.extend(entries),
            other => return Err(TakeoverError::UnexpectedMessage(Box::new(other))),
        }
    }
}

async fn next_message(reader: &mut MessageReader<'_>) -> Result<Envelope, TakeoverError> {
    reader.next().await?.ok_or(TakeoverError::Closed)
}
