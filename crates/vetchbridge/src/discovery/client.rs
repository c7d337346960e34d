//! HTTP calls to the discovery service.
//!
//! This module forms the discovery service's URIs and reads the service's responses. The
//! [watcher](super::watcher) decides when to make a call to the service and what the response means.

use crate::discovery::document::EndpointDocument;
use crate::discovery::partial::PartialDocument;
use crate::net::{Connector, ResponseLimit, MAX_RESPONSE_HEAD_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::{http, Request, Response, StatusCode};
use hyper_util::client::legacy::{self, Client};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error as ThisError;
use tokio::time::{timeout, timeout_at, Instant};

/// Maximum time to establish a connection to the discovery service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to receive the body of the discovery service's response after the response's head. The
/// discovery service treats this scheduler as notified of an entry as soon as the service has written the
/// entry, so a stalled body must not delay the use of the entries that have arrived.
const BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an idle connection to the discovery service is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum length in bytes of an endpoint document.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;
/// Maximum length in bytes of an endpoint document on the wire, with the framing of its chunks.
const MAX_FRAMED_DOCUMENT_BYTES: usize = 2 * MAX_DOCUMENT_BYTES;

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
#[derive(Debug, ThisError)]
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
    /// The body of the service's response was truncated, stalled or malformed.
    #[error("{cause}")]
    Body {
        /// Why the body of the response could not be read or decoded.
        cause: BodyError,
        /// The parts of the endpoint document that arrived whole before the failure.
        partial: PartialDocument,
    },
}

/// Why the body of the discovery service's response could not be read.
#[derive(Debug, ThisError)]
pub(super) enum BodyError {
    /// The connection to the discovery service failed, or the body is longer than [`MAX_DOCUMENT_BYTES`].
    #[error("{0}")]
    Interrupted(Box<dyn Error + Send + Sync>),
    /// The body of the response did not arrive whole within [`BODY_TIMEOUT`].
    #[error("the response body was not complete within {BODY_TIMEOUT:?}")]
    Stalled,
    /// The body of the response is not a valid endpoint document.
    #[error("invalid endpoint document: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl CallError {
    /// Whether the call to the discovery service timed out before any response. An overloaded service, in
    /// contrast, still responds, with a refusal that comes late.
    pub(super) fn timed_out_without_response(&self) -> bool {
        matches!(self, CallError::ConnectTimeout | CallError::ResponseTimeout(_))
    }

    /// Whether the call to the discovery service failed, but at least one entry of the endpoint document
    /// arrived whole.
    pub(super) fn has_instances(&self) -> bool {
        matches!(self, CallError::Body { partial, .. } if !partial.instances.is_empty())
    }

    /// Returns the parts of the endpoint document that arrived whole; empty if no body was received.
    pub(super) fn into_partial(self) -> PartialDocument {
        match self {
            CallError::Body { partial, .. } => partial,
            _ => PartialDocument::default(),
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
    ) -> impl Future<Output = Result<EndpointDocument, CallError>> + Send + 'static {
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
                StatusCode::OK => read_document(response).await,
                status => Err(CallError::Status(status)),
            }
        }
    }
}

/// Reads the endpoint document in a response of the discovery service. The error carries the parts of the
/// document that arrived whole.
async fn read_document(response: Response<Incoming>) -> Result<EndpointDocument, CallError> {
    if let Some(limit) = response.extensions().get::<ResponseLimit>() {
        limit.allow_body(MAX_FRAMED_DOCUMENT_BYTES);
    }
    let mut text = Vec::new();
    let read = read_body(response.into_body(), &mut text).await;
    let document = read.and_then(|()| Ok(serde_json::from_slice(&text)?));
    document.map_err(|cause| CallError::Body { cause, partial: PartialDocument::parse(&text) })
}

/// Appends the body of a response of the discovery service to `text`. After a failure, `text` holds the part
/// of the body that arrived before the failure.
async fn read_body(body: Incoming, text: &mut Vec<u8>) -> Result<(), BodyError> {
    let mut body = Limited::new(body, MAX_DOCUMENT_BYTES);
    let deadline = Instant::now() + BODY_TIMEOUT;
    loop {
        match timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => text.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Ok(None) => return Ok(()),
            Ok(Some(Err(error))) => return Err(BodyError::Interrupted(error)),
            Err(_) => return Err(BodyError::Stalled),
        }
    }
}
