//! The HTTP client of one worker, with its pool of connections.
//!
//! Which workers' idle connections are closed is chosen by the upstream group.

use super::connection_count::ConnectionCount;
use super::dial::Dialer;
use super::group::Timeouts;
use crate::net::Connector;
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;

/// The most idle connections kept for one worker; a job occupies one only until its 202.
const MAX_IDLE_PER_WORKER: usize = 8;

/// An HTTP client whose connections are counted.
pub(super) type HttpClient = Client<Dialer, Full<Bytes>>;

/// The HTTP client of one worker. Dropping it closes the pool's idle connections.
pub(super) struct WorkerClient {
    http: HttpClient,
    connections: ConnectionCount,
    last_used: Instant,
}

impl WorkerClient {
    /// A client without connections; those that it opens are registered with `all_connections` too.
    pub(super) fn new(timeouts: Timeouts, all_connections: ConnectionCount) -> WorkerClient {
        let connector = Connector::new(Some(timeouts.dial).filter(|timeout| !timeout.is_zero()));
        let connections = ConnectionCount::default();
        let http = Client::builder(TokioExecutor::new())
            // A request repeated by the client would be an attempt that the decision module does not know of.
            .retry_canceled_requests(false)
            .pool_idle_timeout(timeouts.idle)
            .pool_max_idle_per_host(MAX_IDLE_PER_WORKER)
            .pool_timer(TokioTimer::new())
            .build(Dialer::new(connector, [all_connections, connections.clone()]));
        WorkerClient { http, connections, last_used: Instant::now() }
    }

    /// The client for one request that is sent now.
    pub(super) fn for_request(&mut self) -> HttpClient {
        self.last_used = Instant::now();
        self.http.clone()
    }

    /// The number of its connections, including dials and those in use.
    pub(super) fn connection_count(&self) -> usize {
        self.connections.get()
    }

    /// When it last served a request, or was created.
    pub(super) fn last_used(&self) -> Instant {
        self.last_used
    }
}
