//! Clients that misbehave: they leave before their answer, stop in the middle of a request and stay, or come in a crowd and say
//! nothing. What they saw is kept for the checks.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};
use vetchbridge_testbed::wire::Wire;

/// Ids of these clients' requests begin so; no request of the load does.
const IDS: u64 = 0xdead_0000_0000_0000;
/// How long a client that stopped is watched.
const WATCHED: Duration = Duration::from_secs(6);

/// A client that closed its connection before its answer.
#[derive(Clone, Copy, Debug)]
pub struct Departure {
    /// Its request.
    pub id: u64,
    /// When its connection was closed, since the account began.
    pub closed: Duration,
}

/// A client that stopped in the middle of a request and stayed.
#[derive(Clone, Copy, Debug)]
pub struct Stayed {
    /// Since when it said nothing more, since the account began.
    pub since: Duration,
    /// How long it took until it had an answer or its connection was ended; `None`: neither came while it watched.
    pub ended_after: Option<Duration>,
}

/// What these clients did and saw.
#[derive(Debug, Default)]
pub(super) struct Misbehaved(Mutex<Seen>);

#[derive(Debug, Default)]
struct Seen {
    ids: u64,
    departures: Vec<Departure>,
    stayed: Vec<Stayed>,
}

impl Misbehaved {
    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_id(&self) -> u64 {
        let seen = &mut *self.seen();
        seen.ids += 1;
        IDS | seen.ids
    }

    /// The ids of all of their requests.
    pub(super) fn ids(&self) -> BTreeSet<u64> {
        (1..=self.seen().ids).map(|number| IDS | number).collect()
    }

    pub(super) fn departures(&self) -> Vec<Departure> {
        self.seen().departures.clone()
    }

    pub(super) fn stayed(&self) -> Vec<Stayed> {
        self.seen().stayed.clone()
    }

    /// Hands in a job that takes long and leaves after this time.
    pub(super) async fn leave(&self, to: SocketAddr, after: Duration, began: Instant) {
        let Ok(mut wire) = Wire::dial(to).await else { return };
        let id = self.next_id();
        let headers = format!("X-Trace-Id: {id:016x}\r\nX-Qos: position\r\nX-Expires-In: 3000m\r\n");
        if wire.post("/position/leaves", &headers, "work_us=1500000").await.is_err() {
            return;
        }
        sleep(after).await;
        drop(wire);
        self.seen().departures.push(Departure { id, closed: began.elapsed() });
    }

    /// Sends the beginning of a request and stays.
    pub(super) async fn stop(&self, to: SocketAddr, within_body: bool, began: Instant) {
        let Ok(mut wire) = Wire::dial(to).await else { return };
        let id = self.next_id();
        let head = format!(
            "POST /position/stops HTTP/1.1\r\nhost: x\r\nX-Trace-Id: {id:016x}\r\nX-Qos: position\r\n"
        );
        let text = if within_body { format!("{head}content-length: 100\r\n\r\nhalf") } else { head };
        if wire.write(&text).await.is_err() {
            return;
        }
        let stopped = Instant::now();
        let ended = timeout(WATCHED, wire.read()).await;
        let ended_after = ended.is_ok().then(|| stopped.elapsed());
        self.seen().stayed.push(Stayed { since: stopped.duration_since(began), ended_after });
    }

    /// Connects many times, says nothing, and goes after this time.
    pub(super) async fn crowd(&self, to: SocketAddr, connections: usize, lasts: Duration) {
        let mut held = Vec::new();
        for _ in 0..connections {
            held.extend(Wire::dial(to).await.ok());
        }
        sleep(lasts).await;
    }
}
