//! Handles the HTTP requests of clients and the callbacks of workers: turns an HTTP request into a
//! [`SubmittedRequest`](crate::request::SubmittedRequest), and an [`Answer`] into an HTTP response.
//!
//! A malformed request is rejected before it reaches the decision module.

use super::body::{self, BodyError};
use super::connection::ClientConnection;
use super::job::{self, MalformedRequest};
use super::protocol::{CALLBACK_PATH, READINESS_PATH};
use super::server::ClientServer;
use crate::memory::MemoryOwner;
use crate::request::{submit, Answer};
use crate::upgrade::process_links::ForwardOutcome;
use crate::workers::Callback;
use axum::body::{Body, HttpBody};
use axum::extract::{Extension, Request as HttpRequest, State};
use axum::http::header::{CONNECTION, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::sync::Arc;
use tower_service::Service;
use tracing::{debug, warn};

/// Memory for one place in the table of a head's fields, in bytes.
const HEADER_SLOT_BYTES: usize = 112;
/// Memory for the name of a field in a head, in bytes, with what the allocator adds.
const HEADER_NAME_BYTES: usize = 48;

/// Returns the HTTP routes of the server for clients and callbacks.
pub(super) fn router(server: Arc<ClientServer>) -> Router {
    Router::new()
        .route(READINESS_PATH, get(readiness))
        .route(CALLBACK_PATH, post(callback))
        .fallback(submit_job)
        .with_state(server)
}

impl ClientServer {
    /// Returns the response to an HTTP request. The response has the header `Connection: close` if the daemon
    /// closes the connection after the response.
    pub(super) async fn respond(
        &self,
        mut request: hyper::Request<Incoming>,
        connection: &Arc<ClientConnection>,
        mut router: Router,
    ) -> Result<Response, Infallible> {
        let mut response = if connection.has_ambiguous_framing() {
            (StatusCode::BAD_REQUEST, "content-length beside transfer-encoding\n").into_response()
        } else {
            request.extensions_mut().insert(connection.clone());
            router.call(request.map(Body::new)).await?
        };
        let body_bytes = response.body().size_hint().lower();
        connection.mark_sending_response(usize::try_from(body_bytes).unwrap_or(usize::MAX));
        let keeps_alive =
            self.process_links.has_successor() || !self.lifecycle.state().closes_after_response();
        if !keeps_alive || connection.closes_after_response() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

async fn readiness(State(server): State<Arc<ClientServer>>) -> StatusCode {
    // A successor process continues to serve clients when this process ends, unless operators have quiesced
    // the scheduler.
    let successor_serves = server.process_links.has_successor() && !server.lifecycle.is_quiesced();
    if successor_serves || server.lifecycle.state().is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn callback(
    State(server): State<Arc<ClientServer>>,
    Extension(connection): Extension<Arc<ClientConnection>>,
    request: HttpRequest,
) -> Response {
    let read = body::read(request.into_body(), 0, &connection, &server.connections, MemoryOwner::Callbacks);
    let (body, _memory) = match read.await {
        Ok(read) => read,
        Err(error) => return reject_body(error),
    };
    match serde_json::from_slice::<Callback>(&body) {
        Ok(callback) => deliver_callback(&server, &callback).await,
        Err(error) => {
            warn!(%error, "callback.malformed");
            (StatusCode::BAD_REQUEST, "unreadable callback\n").into_response()
        }
    }
}

/// Passes a worker's callback to the attempt that waits for the callback, in this process or in another
/// process of this scheduler.
async fn deliver_callback(server: &ClientServer, callback: &Callback) -> Response {
    if server.upstream.dispatch_callback(callback) {
        return StatusCode::OK.into_response();
    }
    match server.process_links.forward(callback, None).await {
        ForwardOutcome::Known => StatusCode::OK.into_response(),
        ForwardOutcome::Unknown => {
            debug!(request = callback.id, worker = callback.worker, "callback.unmatched");
            StatusCode::OK.into_response()
        }
        ForwardOutcome::NoReply => {
            warn!(request = callback.id, worker = callback.worker, "callback.forward_failed");
            (StatusCode::SERVICE_UNAVAILABLE, "say it again\n").into_response()
        }
    }
}

async fn submit_job(
    State(server): State<Arc<ClientServer>>,
    Extension(connection): Extension<Arc<ClientConnection>>,
    request: HttpRequest,
) -> Response {
    if request.method() != Method::POST {
        return (StatusCode::METHOD_NOT_ALLOWED, "jobs arrive by POST\n").into_response();
    }
    let (parts, body) = request.into_parts();
    let head_bytes = head_bytes(&parts.headers);
    let read = body::read(body, head_bytes, &connection, &server.connections, MemoryOwner::Jobs);
    let (body, memory) = match read.await {
        Ok(read) => read,
        Err(error) => return reject_body(error),
    };
    if !server.lifecycle.state().accepts_requests() {
        debug!(reason = "ending", "request.rejected");
        return (StatusCode::SERVICE_UNAVAILABLE, "ending\n").into_response();
    }
    let now = server.engine.clock.now();
    let submitted = match job::read(&parts, body, memory, server.settings.get(), now) {
        Ok(submitted) => submitted,
        Err(error) => return reject_malformed(&error),
    };
    // The head may take more memory than the rest of the job.
    drop(parts);
    let answer =
        submit(server.engine.clone(), server.upstream.clone(), server.process_links.clone(), submitted);
    // When the client disconnects, hyper drops this future and thereby the receiver `answer`.
    render(answer.await.unwrap_or(Answer::Failed))
}

/// Returns the memory that the fields of a request's head take beside the buffer that they arrived in, in bytes.
fn head_bytes(headers: &HeaderMap) -> usize {
    headers.capacity() * HEADER_SLOT_BYTES + headers.len() * HEADER_NAME_BYTES
}

/// Returns the error response to a request whose body was not read.
fn reject_body(error: BodyError) -> Response {
    debug!(reason = %error, "request.rejected");
    error.into_response()
}

/// Returns the error response to a malformed request.
fn reject_malformed(error: &MalformedRequest) -> Response {
    debug!(reason = %error, "request.malformed");
    (StatusCode::BAD_REQUEST, format!("{error}\n")).into_response()
}

/// Returns the HTTP response that carries the final answer to a request.
fn render(answer: Answer) -> Response {
    match answer {
        Answer::Served(result) => (StatusCode::OK, result).into_response(),
        Answer::Rejected { retry_after: 0 } => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Answer::Rejected { retry_after } => {
            let seconds = format!("{:.3}", retry_after as f64 / 1e6);
            (StatusCode::SERVICE_UNAVAILABLE, [(RETRY_AFTER, seconds)]).into_response()
        }
        Answer::Failed => StatusCode::BAD_GATEWAY.into_response(),
        Answer::Duplicate => StatusCode::CONFLICT.into_response(),
    }
}
