//! Opens the daemon's listening sockets and its socket for messages to other schedulers (peers), or uses the
//! sockets that a predecessor process handed over.

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

/// Number of new connections that the kernel queues until the daemon accepts them; a smaller
/// `net.core.somaxconn` takes precedence. The queue overflows only if more workers than this number send
/// callbacks on new connections at the same time.
const BACKLOG: u32 = 4096;

/// The sockets that a predecessor process handed over.
#[derive(Default)]
pub(super) struct InheritedSockets {
    pub client_listener: Option<std::net::TcpListener>,
    pub peer_socket: Option<UdpSocket>,
}

/// The daemon's listening sockets and its socket for messages to other schedulers (peers).
pub(super) struct Sockets {
    pub client_listener: TcpListener,
    /// A duplicate of the client listener, to be handed over to a successor process.
    pub listener_duplicate: std::net::TcpListener,
    /// The listener that successor processes connect to; `None` if no path is configured or the socket can't
    /// be opened.
    pub handover_listener: Option<HandoverListener>,
    /// The socket for messages between schedulers; `None` if the configuration has no peers. If the socket
    /// can't be opened, the daemon still serves.
    pub peer_socket: Option<Result<UdpSocket, ServeError>>,
}

impl Sockets {
    /// Opens the sockets that were not inherited from a predecessor process. The handover listener is
    /// published last, so that a successor process connects only after this process has the client listener.
    pub async fn open(config: &Config, inherited: InheritedSockets) -> Result<Sockets, ServeError> {
        let mut handover_listener = match config.handover_path.as_deref() {
            Some(path) => open_handover_listener(path).await,
            None => None,
        };
        let client_listener = if let Some(listener) = inherited.client_listener {
            into_tokio_listener(listener).map_err(ServeError::ClientListener)?
        } else {
            // A successor process can't inherit the client listener if the handover socket is unavailable.
            // SO_REUSEPORT then lets the next process of this scheduler listen at the same address.
            let reuse_port = config.handover_path.is_some() && handover_listener.is_none();
            bind_with_retry(config.listen, || listen(config.listen, reuse_port)).await?
        };
        let duplicate = retry("listener", || client_listener.as_fd().try_clone_to_owned()).await;
        let listener_duplicate = duplicate.map_err(ServeError::ClientListener)?.into();
        let peer_socket = match &config.peers {
            Some(peers) => Some(open_peer_socket(peers.listen, inherited.peer_socket).await),
            None => None,
        };
        if let (Some(listener), Some(path)) = (&mut handover_listener, &config.handover_path) {
            let publish_result = listener.publish(path);
            publish_result.map_err(|source| ServeError::PublishHandover { path: path.clone(), source })?;
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

fn into_tokio_listener(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Binds a socket to an address by calling `bind`. Retries for a limited time if another process uses the
/// address or the system lacks resources.
pub(super) async fn bind_with_retry<T>(
    address: SocketAddr,
    bind: impl Fn() -> io::Result<T>,
) -> Result<T, ServeError> {
    let bind_result = retry(&address.to_string(), bind).await;
    bind_result.map_err(|source| ServeError::Bind { address, source })
}

/// Listens for TCP connections at an address. `reuse_port` lets another process of this scheduler listen at
/// the same address.
pub(super) fn listen(address: SocketAddr, reuse_port: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(reuse_port)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
