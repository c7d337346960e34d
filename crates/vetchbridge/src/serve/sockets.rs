//! Opens the sockets that the daemon serves on, or uses those that a predecessor has handed over.

use super::ServeError;
use crate::config::Config;
use crate::net::retry;
use crate::upgrade::socket::HandoverListener;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsFd;
use std::path::Path;
use tokio::net::{TcpListener, TcpSocket};
use tracing::warn;

/// Connections that the kernel queues until they are accepted; it takes `net.core.somaxconn` if that is less. To exceed
/// it, more workers than this would have to call back at the same moment.
const BACKLOG: u32 = 4096;

/// Sockets that a predecessor has handed over.
#[derive(Default)]
pub(super) struct InheritedSockets {
    pub client_listener: Option<std::net::TcpListener>,
    pub peer_socket: Option<UdpSocket>,
}

/// The sockets that the daemon serves on.
pub(super) struct Sockets {
    pub client_listener: TcpListener,
    /// A duplicate of the clients' listener, for a successor.
    pub listener_duplicate: std::net::TcpListener,
    /// Where successors connect; absent without a path or where no socket can be had there.
    pub handover_listener: Option<HandoverListener>,
    /// The peers' socket, if the configuration has peers. The daemon serves without it.
    pub peer_socket: Option<Result<UdpSocket, ServeError>>,
}

impl Sockets {
    /// Opens what was not inherited. The hand-over listener is published last, so that no successor connects before
    /// this process has the clients' listener.
    pub async fn open(config: &Config, inherited: InheritedSockets) -> Result<Sockets, ServeError> {
        let mut handover_listener = match config.handover.as_deref() {
            Some(path) => open_handover_listener(path).await,
            None => None,
        };
        let client_listener = if let Some(listener) = inherited.client_listener {
            into_tokio(listener).map_err(ServeError::ClientListener)?
        } else {
            // Without a hand-over the next process of this scheduler can only listen beside this one.
            let shared = config.handover.is_some() && handover_listener.is_none();
            bind_with_retry(config.listen, || listen(config.listen, shared)).await?
        };
        let duplicate = retry("listener", || client_listener.as_fd().try_clone_to_owned()).await;
        let listener_duplicate = duplicate.map_err(ServeError::ClientListener)?.into();
        let peer_socket = match &config.peers {
            Some(peers) => Some(open_peer_socket(peers.listen, inherited.peer_socket).await),
            None => None,
        };
        if let (Some(listener), Some(path)) = (&mut handover_listener, &config.handover) {
            let published = listener.publish(path);
            published.map_err(|source| ServeError::PublishHandover { path: path.clone(), source })?;
        }
        Ok(Sockets { client_listener, listener_duplicate, handover_listener, peer_socket })
    }
}

async fn open_handover_listener(path: &Path) -> Option<HandoverListener> {
    match retry("handover", || HandoverListener::open(path)).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(path = %path.display(), %error, "upgrade.unavailable");
            None
        }
    }
}

async fn open_peer_socket(
    address: SocketAddr,
    inherited: Option<UdpSocket>,
) -> Result<UdpSocket, ServeError> {
    match inherited {
        Some(socket) => Ok(socket),
        None => bind_with_retry(address, || UdpSocket::bind(address)).await,
    }
}

fn into_tokio(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Binds an address. Retries for a while if another process has it, or the system lacks the resources at the moment.
pub(super) async fn bind_with_retry<T>(
    address: SocketAddr,
    bind: impl Fn() -> io::Result<T>,
) -> Result<T, ServeError> {
    let bound = retry(&address.to_string(), bind).await;
    bound.map_err(|source| ServeError::Bind { address, source })
}

/// Listens at an address; `shared`: another process of this scheduler may listen there too.
pub(super) fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
