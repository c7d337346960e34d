//! Faulty clients of a soak test: they disconnect before the response, stall in the middle of a request, or
//! open many connections and send nothing. What they observe is recorded for the checks of invariants.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};
use vetchbridge_testbed::wire::HttpConnection;

/// The leading bits of the faulty clients' request ids; no request id of the load has these bits.
const ID_PREFIX: u64 = 0xdead_0000_0000_0000;
/// How long a client that has stalled in the middle of a request waits until the scheduler responds or closes
/// the connection.
const STALL_TIMEOUT: Duration = Duration::from_secs(6);

/// A faulty client that closed its connection before the response to its request.
#[derive(Clone, Copy, Debug)]
pub struct DisconnectedClient {
    /// The id of the client's request.
    pub request_id: u64,
    /// When the client closed its connection, counted from the deployment's epoch.
    pub closed_at: Duration,
}

/// A faulty client that stopped sending in the middle of a request and kept its connection open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalledClient {
    /// When the client sent its last byte, counted from the deployment's epoch.
    pub stalled_at: Duration,
    /// How long after the client's last byte a response came or the scheduler closed the connection; `None`
    /// if neither happened before `STALL_TIMEOUT`.
    pub ended_after: Option<Duration>,
}

/// Sends the requests of faulty clients to schedulers and records what the clients observe.
#[derive(Debug, Default)]
pub(super) struct FaultyClients(Mutex<Observations>);

#[derive(Debug, Default)]
struct Observations {
    requests: u64,
    disconnected: Vec<DisconnectedClient>,
    stalled: Vec<StalledClient>,
}

impl FaultyClients {
    fn observations(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_id(&self) -> u64 {
        let mut observations = self.observations();
        observations.requests += 1;
        ID_PREFIX | observations.requests
    }

    /// Returns the ids of all requests that the faulty clients have sent so far.
    pub(super) fn request_ids(&self) -> BTreeSet<u64> {
        (1..=self.observations().requests).map(|number| ID_PREFIX | number).collect()
    }

    pub(super) fn disconnected(&self) -> Vec<DisconnectedClient> {
        self.observations().disconnected.clone()
    }

    pub(super) fn stalled(&self) -> Vec<StalledClient> {
        self.observations().stalled.clone()
    }

    /// Sends a long job to the scheduler at `address` and closes the connection when `after` has passed since
    /// the request was sent.
    pub(super) async fn disconnect(&self, address: SocketAddr, after: Duration, epoch: Instant) {
        let Ok(mut connection) = HttpConnection::connect(address).await else { return };
        let id = self.next_id();
        let headers = format!("X-Trace-Id: {id:016x}\r\nX-Qos: position\r\nX-Expires-In: 3000m\r\n");
        if connection.post("/position/leaves", &headers, "work_us=1500000").await.is_err() {
            return;
        }
        sleep(after).await;
        drop(connection);
        self.observations()
            .disconnected
            .push(DisconnectedClient { request_id: id, closed_at: epoch.elapsed() });
    }

    /// Sends the beginning of a request to the scheduler at `address`, up to the middle of the body or of the
    /// headers, and waits for a response or the end of the connection.
    pub(super) async fn stall(&self, address: SocketAddr, within_body: bool, epoch: Instant) {
        let Ok(mut connection) = HttpConnection::connect(address).await else { return };
        let id = self.next_id();
        let head = format!(
            "POST /position/stops HTTP/1.1\r\nhost: x\r\nX-Trace-Id: {id:016x}\r\nX-Qos: position\r\n"
        );
        let text = if within_body { format!("{head}content-length: 100\r\n\r\nhalf") } else { head };
        if connection.write(&text).await.is_err() {
            return;
        }
        let stalled = Instant::now();
        let response = timeout(STALL_TIMEOUT, connection.read()).await;
        let ended_after = response.is_ok().then(|| stalled.elapsed());
        let stalled_at = stalled.duration_since(epoch);
        self.observations().stalled.push(StalledClient { stalled_at, ended_after });
    }

    /// Opens `count` connections to the scheduler at `address`, sends nothing, and closes them after
    /// `duration`.
    pub(super) async fn flood(&self, address: SocketAddr, count: usize, duration: Duration) {
        let mut open = Vec::with_capacity(count);
        for _ in 0..count {
            open.extend(HttpConnection::connect(address).await.ok());
        }
        sleep(duration).await;
    }
}
