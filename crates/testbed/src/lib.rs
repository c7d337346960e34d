//! Stand-ins on loopback sockets for everything that stands around a scheduler, written from the daemon's protocol:
//! a [`discovery::Discovery`] with watches, [`worker::Worker`]s that run jobs or misbehave as they are told, a
//! [`load_balancer::LoadBalancer`] before the schedulers, and [`client`]s with a seeded load.
//!
//! Each part is a value that owns its sockets and tasks; dropping it ends them. A test scripts a part by calling it;
//! [`wire::Wire`] speaks either end by hand where a script must break off inside a message. Nothing here knows the
//! daemon's code: what both sides hold true about the protocol is written down twice, so that a slip shows.
//!
//! ```no_run
//! # async fn story() -> std::io::Result<()> {
//! use vetchbridge_testbed::{discovery::Discovery, worker::{Act, Worker, WorkerSpec}, runs::Runs};
//! let scheduler = "127.0.0.1:8080".parse().expect("an address");
//! let (discovery, runs) = (Discovery::start(1).await?, Runs::default());
//! let worker = Worker::start(WorkerSpec::new("s-0"), runs.clone(), &[scheduler]).await?;
//! discovery.up(&worker);
//! worker.next([Act::Mute, Act::Lose]); // the next job hears nothing, the one after is lost
//! # Ok(()) }
//! ```

pub mod arrivals;
pub mod audit;
pub mod client;
pub mod discovery;
pub mod load_balancer;
pub mod queue;
pub mod runs;
pub mod stats;
pub mod store;
pub mod wire;
pub mod worker;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;

/// A port that stays ours while nobody listens on it: connections are refused for certain, and no other process is
/// given it meanwhile.
pub struct Port {
    address: SocketAddr,
    _reserved: TcpSocket,
}

impl Port {
    /// Any free port on loopback.
    pub fn reserve() -> io::Result<Port> {
        let reserved = TcpSocket::new_v4()?;
        reserved.set_reuseaddr(true)?;
        reserved.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        Ok(Port { address: reserved.local_addr()?, _reserved: reserved })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on it until the listener is dropped.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        socket.listen(1024)
    }
}

/// A task that ends with its owner, and everything that it owns with it.
pub struct Owned(JoinHandle<()>);

impl Owned {
    /// Starts the task.
    pub fn spawn(task: impl std::future::Future<Output = ()> + Send + 'static) -> Owned {
        Owned(tokio::spawn(task))
    }
}

impl Drop for Owned {
    fn drop(&mut self) {
        self.0.abort();
    }
}
