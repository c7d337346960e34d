//! The front: one address for the clients of a zone, which deals their connections out among its schedulers.
//!
//! One task owns the listener, the relayed connections and the watch on who is ready. It takes a scheduler in once it
//! has answered ready, sends nobody new to one that says it is not, and notices late that one has gone. It must never read what it relays.

use crate::wire::Wire;
use crate::{Owned, Port};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{interval, timeout, Instant};

/// How often each scheduler is asked whether it is ready.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// How long it may take to say so, and to accept a connection.
const ASK_WAIT: Duration = Duration::from_millis(500);

struct Backend {
    address: SocketAddr,
    dealt_to: AtomicBool,
}

/// See the head of this file.
pub struct Front {
    port: Port,
    backends: Arc<Vec<Backend>>,
    notice: Duration,
    _server: Owned,
}

impl Front {
    /// Starts a front before these schedulers, which notices after `notice` that one has gone.
    pub async fn start(schedulers: &[SocketAddr], notice: Duration) -> io::Result<Front> {
        let port = Port::reserve()?;
        let listener = port.listen()?;
        let backends =
            schedulers.iter().map(|address| Backend { address: *address, dealt_to: AtomicBool::new(false) });
        let backends = Arc::new(backends.collect::<Vec<_>>());
        let server = Owned::spawn(serve(listener, backends.clone(), notice));
        Ok(Front { port, backends, notice, _server: server })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// How late it notices that a scheduler has gone.
    pub fn notice(&self) -> Duration {
        self.notice
    }

    /// How many schedulers it deals connections to.
    pub fn dealt_to(&self) -> usize {
        self.backends.iter().filter(|backend| backend.dealt_to.load(Ordering::Relaxed)).count()
    }
}

async fn serve(listener: TcpListener, backends: Arc<Vec<Backend>>, notice: Duration) {
    let (mut tasks, next) = (JoinSet::new(), AtomicUsize::new(0));
    for at in 0..backends.len() {
        tasks.spawn(watch(backends.clone(), at, notice));
    }
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                let ready: Vec<&Backend> = backends.iter().filter(|b| b.dealt_to.load(Ordering::Relaxed)).collect();
                if let Some(backend) = ready.get(next.fetch_add(1, Ordering::Relaxed) % ready.len().max(1)) {
                    tasks.spawn(relay(stream, backend.address));
                }
            },
            Some(_) = tasks.join_next(), if !tasks.is_empty() => {}
        }
    }
}

async fn relay(mut client: TcpStream, to: SocketAddr) {
    let _ = client.set_nodelay(true);
    // Where nothing listens the client sees its connection reset, as through a plain front.
    let Ok(Ok(mut scheduler)) = timeout(ASK_WAIT, TcpStream::connect(to)).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = scheduler.set_nodelay(true);
    if copy_bidirectional(&mut client, &mut scheduler).await.is_err() {
        let _ = client.set_zero_linger();
    }
}

async fn watch(backends: Arc<Vec<Backend>>, at: usize, notice: Duration) {
    let (backend, mut every) = (&backends[at], interval(ASK_EVERY));
    let mut last_ready = None;
    loop {
        every.tick().await;
        let asked = timeout(ASK_WAIT, async {
            let mut wire = Wire::dial(backend.address).await.ok()?;
            wire.write("GET /health/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await.ok()?;
            wire.read().await
        });
        // Where nothing was said it may be dead, which is noticed late.
        if let Ok(Some(answer)) = asked.await {
            last_ready = (answer.status() == "200").then(Instant::now);
        }
        let ready = last_ready.is_some_and(|at| at.elapsed() < notice);
        backend.dealt_to.store(ready, Ordering::Relaxed);
    }
}
