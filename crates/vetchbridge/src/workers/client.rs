//! The HTTP client of one worker: the connections that it keeps for the next request, how many there are, and when they were
//! last used.
//!
//! Owns how a worker's connections are made and kept. It must never choose whose connections are closed: the upstream group
//! does.

use super::connection_count::ConnectionCount;
use super::dial::Dialer;
use super::Times;
use crate::net::Connector;
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;

/// Idle connections kept for one worker; a job holds one only until its 202.
const IDLE_PER_WORKER: usize = 8;

/// A client that counts its connections.
pub(super) type HttpClient = Client<Dialer, Full<Bytes>>;

/// See the head of this file. Dropping it closes the idle connections.
pub(super) struct WorkerClient {
    http: HttpClient,
    connections: ConnectionCount,
    last_used: Instant,
}

impl WorkerClient {
    /// A client without connections; each that it makes is counted among `all` too.
    pub(super) fn new(times: Times, all: ConnectionCount) -> WorkerClient {
        let tcp = Connector::new(Some(times.dial).filter(|t| !t.is_zero()));
        let connections = ConnectionCount::default();
        let http = Client::builder(TokioExecutor::new())
            // A resend that the module does not know of would be a second attempt.
            .retry_canceled_requests(false)
            .pool_idle_timeout(times.idle)
            .pool_max_idle_per_host(IDLE_PER_WORKER)
            .pool_timer(TokioTimer::new())
            .build(Dialer::new(tcp, [all, connections.clone()]));
        WorkerClient { http, connections, last_used: Instant::now() }
    }

    /// The client, for one request now.
    pub(super) fn for_request(&mut self) -> HttpClient {
        self.last_used = Instant::now();
        self.http.clone()
    }

    /// How many connections it has, dials and those in use included.
    pub(super) fn connections(&self) -> usize {
        self.connections.get()
    }

    /// When it was last used for a request, or made.
    pub(super) fn last_used(&self) -> Instant {
        self.last_used
    }
}
