//! Clients that misbehave: they disconnect before their response, stall in the middle of a request, or open many connections
//! and send nothing. What they observed is recorded for the checks.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};
use vetchbridge_testbed::wire::Wire;

/// The prefix of these clients' request ids; no request of the load has it.
const ID_PREFIX: u64 = 0xdead_0000_0000_0000;
/// How long a stalled client waits for the end of its connection.
const STALL_TIMEOUT: Duration = Duration::from_secs(6);

/// A client that closed its connection before its response.
#[derive(Clone, Copy, Debug)]
pub struct DisconnectedClient {
    /// Its request.
    pub request_id: u64,
    /// When its connection was closed, since the epoch.
    pub closed_at: Duration,
}

/// A client that stalled in the middle of a request and kept its connection open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalledClient {
    /// When it sent its last byte, since the epoch.
    pub stalled_at: Duration,
    /// How long it took until a response came or its connection was closed; `None` if neither came before its timeout.
    pub ended_after: Option<Duration>,
}

/// Sends what such clients send, and records what they observe.
#[derive(Debug, Default)]
pub(super) struct FaultyClients(Mutex<Observations>);

#[derive(Debug, Default)]
struct Observations {
    requests: u64,
    disconnected: Vec<DisconnectedClient>,
    stalled: Vec<StalledClient>,
}

impl FaultyClients {
    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_id(&self) -> u64 {
        let mut observations = self.lock();
        observations.requests += 1;
        ID_PREFIX | observations.requests
    }

    /// The ids of all of their requests.
    pub(super) fn request_ids(&self) -> BTreeSet<u64> {
        (1..=self.lock().requests).map(|number| ID_PREFIX | number).collect()
    }

    pub(super) fn disconnected(&self) -> Vec<DisconnectedClient> {
        self.lock().disconnected.clone()
    }

    pub(super) fn stalled(&self) -> Vec<StalledClient> {
        self.lock().stalled.clone()
    }

    /// Submits a long job and disconnects after this time.
    pub(super) async fn disconnect(&self, address: SocketAddr, after: Duration, epoch: Instant) {
        let Ok(mut wire) = Wire::dial(address).await else { return };
        let id = self.next_id();
        let headers = format!("X-Trace-Id: {id:016x}\r\nX-Qos: position\r\nX-Expires-In: 3000m\r\n");
        if wire.post("/position/leaves", &headers, "work_us=1500000").await.is_err() {
            return;
        }
        sleep(after).await;
        drop(wire);
        self.lock().disconnected.push(DisconnectedClient { request_id: id, closed_at: epoch.elapsed() });
    }

    /// Sends the beginning of a request, up to within its head or its body, and waits.
    pub(super) async fn stall(&self, address: SocketAddr, within_body: bool, epoch: Instant) {
        let Ok(mut wire) = Wire::dial(address).await else { return };
        let id = self.next_id();
        let head = format!(
            "POST /position/stops HTTP/1.1\r\nhost: x\r\nX-Trace-Id: {id:016x}\r\nX-Qos: position\r\n"
        );
        let text = if within_body { format!("{head}content-length: 100\r\n\r\nhalf") } else { head };
        if wire.write(&text).await.is_err() {
            return;
        }
        let stalled = Instant::now();
        let ended = timeout(STALL_TIMEOUT, wire.read()).await;
        let ended_after = ended.is_ok().then(|| stalled.elapsed());
        let stalled_at = stalled.duration_since(epoch);
        self.lock().stalled.push(StalledClient { stalled_at, ended_after });
    }

    /// Opens many connections, sends nothing, and closes them after this time.
    pub(super) async fn flood(&self, address: SocketAddr, count: usize, lasts: Duration) {
        let mut open = Vec::with_capacity(count);
        for _ in 0..count {
            open.extend(Wire::dial(address).await.ok());
        }
        sleep(lasts).await;
    }
}
