//! HTTP calls to the discovery service.
//!
//! This module forms the discovery service's URIs, and `answer` reads the service's responses. The
//! [watcher](super::watcher) decides when to make a call to the service and what the response means.

use crate::discovery::answer::{read_answer, Answer, IncompleteAnswer, SlowAnswer};
use crate::discovery::partial::PartialDocument;
use crate::net::{Connector, MAX_RESPONSE_HEAD_BYTES};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::{http, Request, StatusCode};
use hyper_util::client::legacy::{self, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{timeout, Instant};

/// Maximum time to establish a connection to the discovery service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle connection to the discovery service is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The part of the endpoint list that a call to the discovery service requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Query {
    /// The complete endpoint list, not only its changes.
    Complete,
    /// The changes of the endpoint list since a generation.
    ChangesSince {
        /// The generation of the endpoint list that this scheduler has.
        generation: u64,
        /// How long the discovery service may hold the call until the endpoint list changes; zero requests an
        /// immediate response.
        wait: Duration,
    },
}

impl Query {
    fn uri(self, address: SocketAddr) -> String {
        match self {
            Query::Complete => format!("http://{address}/registry/instances"),
            Query::ChangesSince { generation, wait } => {
                let wait_ms = wait.as_millis();
                format!("http://{address}/registry/instances?index={generation}&wait={wait_ms}")
            }
        }
    }
}

/// Why a call to the discovery service returned no complete endpoint document.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The HTTP request could not be built.
    #[error(transparent)]
    InvalidRequest(#[from] http::Error),
    /// No connection to the discovery service was established within [`CONNECT_TIMEOUT`].
    #[error("no connection established within {CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    /// The discovery service's response did not begin within this time.
    #[error("no response received within {0:?}")]
    ResponseTimeout(Duration),
    /// The connection to the discovery service failed before the response began.
    #[error(transparent)]
    Transport(legacy::Error),
    /// The discovery service responded with an HTTP status other than 200.
    #[error("the service responded with status {0}")]
    Status(StatusCode),
    /// The discovery service began a response whose document has not arrived whole.
    #[error(transparent)]
    Incomplete(#[from] IncompleteAnswer),
}

impl CallError {
    /// Whether the call to the discovery service timed out before any response. An overloaded service, in
    /// contrast, still responds, with a refusal that comes late.
    pub(super) fn timed_out_without_response(&self) -> bool {
        matches!(self, CallError::ConnectTimeout | CallError::ResponseTimeout(_))
    }

    /// Whether the call to the discovery service failed, but entries of the endpoint document arrived whole or
    /// may still arrive.
    pub(super) fn may_bring_entries(&self) -> bool {
        match self {
            CallError::Incomplete(IncompleteAnswer::Failed { partial, .. }) => !partial.instances.is_empty(),
            CallError::Incomplete(IncompleteAnswer::Slow { .. }) => true,
            _ => false,
        }
    }

    /// Returns the parts of the endpoint document that arrived whole, and the answer if the rest may follow;
    /// empty if no body was received.
    pub(super) fn into_parts(self) -> (PartialDocument, Option<SlowAnswer>) {
        match self {
            CallError::Incomplete(incomplete) => incomplete.into_parts(),
            _ => (PartialDocument::default(), None),
        }
    }
}

/// A client of the discovery service.
pub(super) struct DiscoveryClient {
    http: Client<Connector, Empty<Bytes>>,
}

impl DiscoveryClient {
    /// Creates a client of the discovery service that has no connections yet.
    pub(super) fn new() -> DiscoveryClient {
        let http = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(Connector::new(Some(CONNECT_TIMEOUT)));
        DiscoveryClient { http }
    }

    /// Makes one call to the discovery service at `address`. The call fails unless the response begins within
    /// `response_timeout`.
    pub(super) fn call(
        &self,
        address: SocketAddr,
        query: Query,
        response_timeout: Duration,
    ) -> impl Future<Output = Result<Answer, CallError>> + Send + 'static {
        let (http, uri) = (self.http.clone(), query.uri(address));
        let connect_deadline = Instant::now() + CONNECT_TIMEOUT;
        async move {
            let request = Request::get(uri).body(Empty::new())?;
            let response = match timeout(response_timeout, http.request(request)).await {
                Ok(Ok(response)) => response,
                Ok(Err(error)) if error.is_connect() && Instant::now() >= connect_deadline => {
                    return Err(CallError::ConnectTimeout);
                }
                Ok(Err(error)) => return Err(CallError::Transport(error)),
                Err(_) => return Err(CallError::ResponseTimeout(response_timeout)),
            };
            match response.status() {
                StatusCode::OK => Ok(read_answer(response).await?),
                status => Err(CallError::Status(status)),
            }
        }
    }
}
