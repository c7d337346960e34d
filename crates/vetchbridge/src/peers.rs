//! Datagrams between the schedulers of one tier. Owns the UDP socket at work; carries the module's messages as they
//! are, drops what is too long or comes from a stranger, and must never answer or repeat anything itself.

use crate::config::Peers;
use crate::engine::Engine;
use crate::upgrade::process_links::ProcessLinks;
use std::future::Future;
use std::io;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;
use tracing::{debug, warn};
use vetchbridge_scheduling::interface::{Event, Recipient};

/// The longest datagram allowed; a longer one voids the run.
const LONGEST: usize = 256;

/// Carries messages both ways for as long as the engine lives; a successor hears in this process's place.
pub fn run(
    config: Peers,
    socket: std::net::UdpSocket,
    engine: Arc<Engine>,
    process_links: Arc<ProcessLinks>,
    outgoing: UnboundedReceiver<(Recipient, Vec<u8>)>,
) -> io::Result<impl Future<Output = ()>> {
    socket.set_nonblocking(true)?;
    Ok(carry(config, UdpSocket::from_std(socket)?, engine, process_links, outgoing))
}

async fn carry(
    config: Peers,
    socket: UdpSocket,
    engine: Arc<Engine>,
    process_links: Arc<ProcessLinks>,
    mut outgoing: UnboundedReceiver<(Recipient, Vec<u8>)>,
) {
    let mut successor = process_links.successor();
    let mut buffer = [0; LONGEST + 1];
    loop {
        let alone = successor.borrow_and_update().is_none();
        tokio::select! {
            message = outgoing.recv() => {
                let Some((to, data)) = message else { return };
                let address = match to {
                    Recipient::One(number) => config.each.get(number as usize),
                    Recipient::All => config.all.as_ref(),
                };
                match address {
                    Some(address) if data.len() <= LONGEST => {
                        if let Err(error) = socket.send_to(&data, address).await {
                            debug!(to = %address, %error, "message.unsent");
                        }
                    }
                    _ => warn!(bytes = data.len(), ?to, "message.dropped"),
                }
            }
            _ = successor.changed() => {}
            received = socket.recv_from(&mut buffer), if alone => match received {
                Ok((length, sender)) => match config.each.iter().position(|known| *known == sender) {
                    Some(from) if length <= LONGEST => {
                        let data = buffer[..length].to_vec();
                        engine.handle(Event::PeerMessage { from: from as u32, data });
                    }
                    _ => warn!(bytes = length, from = %sender, "datagram.dropped"),
                },
                Err(error) => debug!(%error, "datagram.lost"),
            },
        }
    }
}
