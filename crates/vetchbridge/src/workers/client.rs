//! The HTTP client of one worker, with its pool of connections.
//!
//! The upstream group decides for which workers idle connections are closed.

use super::connection_count::ConnectionCount;
use super::dial::Dialer;
use super::group::Timeouts;
use crate::memory::MemoryBudget;
use crate::net::{Connector, MAX_RESPONSE_HEAD_BYTES};
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;

/// The maximum number of idle connections that the pool keeps for one worker. A few suffice, since a job
/// occupies a connection only until the worker responds with 202.
const MAX_IDLE_PER_WORKER: usize = 8;

/// An HTTP client whose connections are registered with a [`ConnectionCount`].
pub(super) type HttpClient = Client<Dialer, Full<Bytes>>;

/// The HTTP client of one worker. Dropping the client closes the idle connections of its pool.
pub(super) struct WorkerClient {
    http: HttpClient,
    connection_count: ConnectionCount,
    last_used: Instant,
}

impl WorkerClient {
    /// Creates a worker's client without connections. `total_count` counts the connections to all workers, and
    /// `memory` their memory.
    pub(super) fn new(
        timeouts: Timeouts,
        total_count: ConnectionCount,
        memory: MemoryBudget,
    ) -> WorkerClient {
        let connector = Connector::new(Some(timeouts.dial).filter(|timeout| !timeout.is_zero()));
        let connection_count = ConnectionCount::default();
        let http = Client::builder(TokioExecutor::new())
            // The HTTP client must not retry by itself: only the decision module retries, and it must know of
            // every attempt.
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .pool_idle_timeout(timeouts.idle)
            .pool_max_idle_per_host(MAX_IDLE_PER_WORKER)
            .pool_timer(TokioTimer::new())
            .build(Dialer::new(connector, [total_count, connection_count.clone()], memory));
        WorkerClient { http, connection_count, last_used: Instant::now() }
    }

    /// Returns the HTTP client for one request, and records the current time as its last use.
    pub(super) fn for_request(&mut self) -> HttpClient {
        self.last_used = Instant::now();
        self.http.clone()
    }

    /// Returns the number of connections of this client, including connections that are still being opened
    /// and connections in use.
    pub(super) fn connection_count(&self) -> usize {
        self.connection_count.get()
    }

    /// Returns when this client was last used for a request; if it was never used, when the client was
    /// created.
    pub(super) fn last_used(&self) -> Instant {
        self.last_used
    }
}
