//! Loopback ports that a process keeps reserved while nothing listens on them.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, TcpSocket};

/// Maximum number of connections to a port that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A reserved port on the loopback address. While nothing listens on the port, connections to the port are
/// refused, and no other process can bind the port.
pub struct Port {
    address: SocketAddr,
    _reserved: TcpSocket,
}

impl Port {
    /// Reserves a free port, which the operating system selects.
    pub fn reserve() -> io::Result<Port> {
        let reserved = TcpSocket::new_v4()?;
        reserved.set_reuseaddr(true)?;
        reserved.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        Ok(Port { address: reserved.local_addr()?, _reserved: reserved })
    }

    /// Returns the address of the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the port until the returned listener is dropped.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(BACKLOG)
    }
}
