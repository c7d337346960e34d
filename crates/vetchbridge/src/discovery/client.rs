//! HTTP calls to the discovery service.
//!
//! Knows the service's paths and reads its responses. When to call, and what an answer means, is the
//! [watcher](super::watcher)'s.

use crate::discovery::document::EndpointDocument;
use crate::discovery::partial::PartialDocument;
use crate::net::Connector;
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

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the body may take once the head of a response has arrived. What the service has written counts as notified,
/// so that a body that stalls must not delay the entries that have arrived.
const BODY_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections are closed after this time.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest document that is read.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// What a call requests of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Query {
    /// The complete list.
    Complete,
    /// The changes since this generation.
    ChangesSince {
        /// The generation that is known.
        generation: u64,
        /// How long the service may wait for a change; zero for an answer at once.
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

/// Why a call to the discovery service brought no document.
#[derive(Debug, ThisError)]
pub(super) enum CallError {
    /// The request could not be formed.
    #[error(transparent)]
    InvalidRequest(#[from] http::Error),
    /// No connection came up in time.
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    /// No response came in time.
    #[error("no response within {0:?}")]
    ResponseTimeout(Duration),
    /// The connection failed before the response began.
    #[error(transparent)]
    Transport(legacy::Error),
    /// The service refused the call.
    #[error("{0}")]
    Status(StatusCode),
    /// The response broke off, stalled or is no document.
    #[error("{cause}")]
    Body {
        /// What was wrong with it.
        cause: BodyError,
        /// What can be read of it.
        partial: PartialDocument,
    },
}

/// What was wrong with the body of a response.
#[derive(Debug, ThisError)]
pub(super) enum BodyError {
    /// The connection broke, or the document is too long.
    #[error("{0}")]
    Interrupted(Box<dyn Error + Send + Sync>),
    /// The rest did not come in time.
    #[error("the response stalled within its body")]
    Stalled,
    /// The text is no document.
    #[error("unreadable document: {0}")]
    Malformed(#[from] serde_json::Error),
}

impl CallError {
    /// Whether nothing at all came back. A service that has too many callers answers, late, that it has.
    pub(super) fn is_unanswered(&self) -> bool {
        matches!(self, CallError::ConnectTimeout | CallError::ResponseTimeout(_))
    }

    /// Whether any entry of the document can be read.
    pub(super) fn has_instances(&self) -> bool {
        matches!(self, CallError::Body { partial, .. } if !partial.instances.is_empty())
    }

    /// What can be read of the document; empty if there is none.
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
    /// A client without connections.
    pub(super) fn new() -> DiscoveryClient {
        let http = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(Connector::new(Some(CONNECT_TIMEOUT)));
        DiscoveryClient { http }
    }

    /// Makes one call; the response must begin within `response_timeout`.
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

/// Reads the document in a response, or what there is of it.
async fn read_document(response: Response<Incoming>) -> Result<EndpointDocument, CallError> {
    let mut text = Vec::new();
    let read = read_body(response.into_body(), &mut text).await;
    let document = read.and_then(|()| Ok(serde_json::from_slice(&text)?));
    document.map_err(|cause| CallError::Body { cause, partial: PartialDocument::parse(&text) })
}

/// Appends the body to `text`. What arrived before a failure is there as well.
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
