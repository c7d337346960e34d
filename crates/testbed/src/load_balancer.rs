//! A stand-in load balancer in front of the schedulers: clients connect to its one address, and it relays
//! their connections to the ready schedulers in turn.
//!
//! One task owns the listener, the relayed connections and the readiness checks. A scheduler receives
//! connections after a positive readiness check and none after a negative one. A scheduler that no longer
//! responds to the checks still receives connections until the detection delay has passed. The load balancer
//! does not interpret the bytes that it relays.

use crate::wire::HttpConnection;
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
/// Time limit for a scheduler's response to a readiness check.
const READINESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for connecting to a scheduler.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The HTTP request of a readiness check.
const READINESS_REQUEST: &str = "GET /health/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";

/// A scheduler behind the load balancer.
struct Backend {
    address: SocketAddr,
    /// Whether the load balancer relays new connections of clients to this scheduler.
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

/// A load balancer on a loopback socket; dropping the value ends the load balancer and its connections.
pub struct LoadBalancer {
    port: Port,
    backends: Arc<Vec<Backend>>,
    detection_delay: Duration,
    _server: AbortOnDrop,
}

impl LoadBalancer {
    /// Starts a load balancer in front of the addresses `schedulers`. A scheduler receives no further
    /// connections once its last positive response to a readiness check is `detection_delay` old.
    pub async fn start(schedulers: &[SocketAddr], detection_delay: Duration) -> io::Result<LoadBalancer> {
        let port = Port::reserve()?;
        let listener = port.listen()?;
        let backends: Arc<Vec<Backend>> = Arc::new(schedulers.iter().copied().map(Backend::new).collect());
        let server = AbortOnDrop::spawn(serve(listener, backends.clone(), detection_delay));
        Ok(LoadBalancer { port, backends, detection_delay, _server: server })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Returns the time since the last positive readiness check for which a scheduler that no longer responds
    /// still receives connections.
    pub fn detection_delay(&self) -> Duration {
        self.detection_delay
    }

    /// Returns the number of schedulers that receive clients' connections at present.
    pub fn ready_schedulers(&self) -> usize {
        self.backends.iter().filter(|backend| backend.is_ready()).count()
    }
}

/// Accepts connections of clients and checks the schedulers' readiness until the future is dropped.
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

/// Returns the scheduler for the next client by round robin over the ready schedulers, or `None` if no
/// scheduler is ready.
fn next_backend(backends: &[Backend], accepted_count: usize) -> Option<SocketAddr> {
    let ready: Vec<&Backend> = backends.iter().filter(|backend| backend.is_ready()).collect();
    let backend = ready.get(accepted_count % ready.len().max(1))?;
    Some(backend.address)
}

/// Relays a client's connection to the scheduler at `address`: copies bytes in both directions until both
/// ends have closed. An error at either end resets the client's connection.
async fn relay(mut client: TcpStream, address: SocketAddr) {
    // Failures to set socket options are ignored: the connection carries the bytes without the options, too.
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

/// Checks a scheduler's readiness at each [`READINESS_INTERVAL`] until the future is dropped.
async fn check_readiness(backends: Arc<Vec<Backend>>, index: usize, detection_delay: Duration) {
    let backend = &backends[index];
    let mut interval = interval(READINESS_INTERVAL);
    let mut last_ready: Option<Instant> = None;
    loop {
        interval.tick().await;
        // If the scheduler does not respond, its last readiness remains until the detection delay has passed.
        if let Ok(Some(ready)) = timeout(READINESS_TIMEOUT, query_readiness(backend.address)).await {
            last_ready = ready.then(Instant::now);
        }
        let ready = last_ready.is_some_and(|last| last.elapsed() < detection_delay);
        backend.ready.store(ready, Ordering::Relaxed);
    }
}

/// Returns whether a scheduler responds to a readiness check that it is ready, or `None` if the scheduler
/// does not respond.
async fn query_readiness(address: SocketAddr) -> Option<bool> {
    let mut connection = HttpConnection::connect(address).await.ok()?;
    connection.write(READINESS_REQUEST).await.ok()?;
    let answer = connection.read().await?;
    Some(answer.status() == "200")
}
