//! Sends and receives the datagrams between the schedulers of one deployment (a tier).
//!
//! This module owns the UDP socket for messages to other schedulers (peers) while the daemon runs. The
//! content of messages passes through unchanged. A datagram that is too long or comes from an unknown address
//! is logged and dropped. The module itself never replies to a message and never resends one.

use crate::config::Peers;
use crate::engine::Engine;
use crate::upgrade::process_links::ProcessLinks;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::{debug, warn};
use vetchbridge_scheduling::{Event, Recipient};

/// Maximum length in bytes of a datagram between schedulers.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Size in bytes of the receive buffer for peers' datagrams. One byte more than the maximum length makes a
/// datagram that is too long detectable.
const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// A message that this scheduler sends to one or all of its peers.
#[derive(Debug)]
pub struct OutgoingMessage {
    /// The peer or peers that receive the message.
    pub to: Recipient,
    /// The message in its encoded form, as sent in the datagram.
    pub data: Vec<u8>,
}

/// Prepares the UDP socket and returns the task that sends and receives the peers' messages until the engine
/// closes `outgoing`. While this process has a successor process, the successor alone receives messages.
pub fn run(
    peers: Peers,
    socket: std::net::UdpSocket,
    engine: Arc<Engine>,
    process_links: Arc<ProcessLinks>,
    outgoing: UnboundedReceiver<OutgoingMessage>,
) -> io::Result<impl Future<Output = ()>> {
    socket.set_nonblocking(true)?;
    let socket = UdpSocket::from_std(socket)?;
    Ok(PeerSocket { peers, socket, engine }.exchange_messages(process_links, outgoing))
}

struct PeerSocket {
    peers: Peers,
    socket: UdpSocket,
    engine: Arc<Engine>,
}

impl PeerSocket {
    async fn exchange_messages(
        self,
        process_links: Arc<ProcessLinks>,
        mut outgoing: UnboundedReceiver<OutgoingMessage>,
    ) {
        let mut successor = process_links.successor();
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        loop {
            let receives = successor.borrow_and_update().is_none();
            tokio::select! {
                message = outgoing.recv() => match message {
                    Some(message) => self.send(message).await,
                    None => return,
                },
                _ = successor.changed() => {}
                received = self.socket.recv_from(&mut buffer), if receives => match received {
                    Ok((length, sender)) => self.handle_datagram(&buffer[..length], sender),
                    Err(error) => debug!(%error, "peer_datagram.receive_failed"),
                },
            }
        }
    }

    async fn send(&self, OutgoingMessage { to, data }: OutgoingMessage) {
        let Some(address) = self.address_of(to).filter(|_| data.len() <= MAX_DATAGRAM_BYTES) else {
            warn!(bytes = data.len(), ?to, "peer_message.dropped");
            return;
        };
        if let Err(error) = self.socket.send_to(&data, address).await {
            debug!(to = %address, %error, "peer_message.send_failed");
        }
    }

    fn address_of(&self, recipient: Recipient) -> Option<SocketAddr> {
        match recipient {
            Recipient::One(index) => self.peers.addresses.get(index as usize).copied(),
            Recipient::All => self.peers.broadcast_address,
        }
    }

    fn handle_datagram(&self, datagram: &[u8], sender: SocketAddr) {
        let peer = self.peers.addresses.iter().position(|address| *address == sender);
        if let Some(index) = peer.filter(|_| datagram.len() <= MAX_DATAGRAM_BYTES) {
            let data = datagram.to_vec();
            self.engine.handle(Event::PeerMessage { from: index as u32, data });
        } else {
            warn!(bytes = datagram.len(), from = %sender, "peer_datagram.dropped");
        }
    }
}
