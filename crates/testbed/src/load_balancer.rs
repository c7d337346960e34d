//! A load balancer in front of the schedulers: one address for clients, whose connections go to the ready
//! schedulers in turn.
//!
//! One task owns the listener, the relayed connections and the readiness checks. A scheduler gets connections
//! from its first positive readiness check on, and none after a negative one; that it no longer answers is
//! detected after a delay. Relayed bytes are not interpreted.

use crate::wire::Wire;
use crate::{AbortOnDrop, Port};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{interval, timeout, Instant};

/// Interval between readiness checks of a scheduler.
const READINESS_INTERVAL: Duration = Duration::from_millis(100);
/// How long a scheduler may take to answer a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a scheduler may take to accept a relayed connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const READINESS_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

/// A scheduler behind the load balancer.
struct Backend {
    address: SocketAddr,
    ready: AtomicBool,
}

impl Backend {
    fn new(address: SocketAddr) -> Backend {
        Backend { address, ready: AtomicBool::new(false) }
    }

    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

/// A load balancer on a loopback socket; dropping it ends it and its connections.
pub struct LoadBalancer {
    port: Port,
    backends: Arc<Vec<Backend>>,
    detection_delay: Duration,
    _server: AbortOnDrop,
}

impl LoadBalancer {
    /// Starts one before these schedulers, which stops using one that has not answered for `detection_delay`.
    pub async fn start(schedulers: &[SocketAddr], detection_delay: Duration) -> io::Result<LoadBalancer> {
        let port = Port::reserve()?;
        let listener = port.listen()?;
        let backends: Arc<Vec<Backend>> = Arc::new(schedulers.iter().copied().map(Backend::new).collect());
        let server = AbortOnDrop::spawn(serve(listener, backends.clone(), detection_delay));
        Ok(LoadBalancer { port, backends, detection_delay, _server: server })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// How long a scheduler that no longer answers still gets connections.
    pub fn detection_delay(&self) -> Duration {
        self.detection_delay
    }

    /// Number of schedulers that get connections now.
    pub fn ready_schedulers(&self) -> usize {
        self.backends.iter().filter(|backend| backend.is_ready()).count()
    }
}

/// Accepts clients and checks the schedulers, until it is dropped.
async fn serve(listener: TcpListener, backends: Arc<Vec<Backend>>, detection_delay: Duration) {
    let mut tasks = JoinSet::new();
    for index in 0..backends.len() {
        tasks.spawn(check_readiness(backends.clone(), index, detection_delay));
    }
    let mut accepted_count = 0;
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((client, _)) = accepted {
                if let Some(address) = next_backend(&backends, accepted_count) {
                    tasks.spawn(relay(client, address));
                }
                accepted_count += 1;
            },
            Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

/// The scheduler for a client by round robin over those that are ready.
fn next_backend(backends: &[Backend], accepted_count: usize) -> Option<SocketAddr> {
    let ready: Vec<&Backend> = backends.iter().filter(|backend| backend.is_ready()).collect();
    let backend = ready.get(accepted_count % ready.len().max(1))?;
    Some(backend.address)
}

/// Copies bytes both ways until both ends have closed; a fault at one end resets the client's connection.
async fn relay(mut client: TcpStream, address: SocketAddr) {
    // Socket options are best effort: a connection without them still carries the bytes.
    let _ = client.set_nodelay(true);
    let Ok(Ok(mut scheduler)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = scheduler.set_nodelay(true);
    if copy_bidirectional(&mut client, &mut scheduler).await.is_err() {
        let _ = client.set_zero_linger();
    }
}

/// Keeps a scheduler's readiness up to date, until it is dropped.
async fn check_readiness(backends: Arc<Vec<Backend>>, index: usize, detection_delay: Duration) {
    let backend = &backends[index];
    let mut interval = interval(READINESS_INTERVAL);
    let mut last_ready: Option<Instant> = None;
    loop {
        interval.tick().await;
        // Without an answer the last state stands until the detection delay is over.
        if let Ok(Some(ready)) = timeout(READINESS_TIMEOUT, query_readiness(backend.address)).await {
            last_ready = ready.then(Instant::now);
        }
        let ready = last_ready.is_some_and(|last| last.elapsed() < detection_delay);
        backend.ready.store(ready, Ordering::Relaxed);
    }
}

/// A scheduler's answer to one readiness check; `None` without one.
async fn query_readiness(address: SocketAddr) -> Option<bool> {
    let mut wire = Wire::dial(address).await.ok()?;
    wire.write(READINESS_REQUEST).await.ok()?;
    let answer = wire.read().await?;
    Some(answer.status() == "200")
}
