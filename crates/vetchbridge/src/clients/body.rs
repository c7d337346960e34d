//! Reads the bodies of jobs and callbacks, within a maximum length, a time limit and a memory limit.
//!
//! Memory for a body is reserved before the body is read. If not enough memory is free, the request is
//! rejected at once.

use super::connection::ClientConnection;
use super::connections::ClientConnections;
use crate::memory::{MemoryOwner, MemoryReservation};
use crate::net::collect;
use axum::body::{Body, HttpBody};
use axum::http::header::CONNECTION;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use std::fmt;
use std::time::Duration;

/// Maximum length in bytes of the body of a job or callback.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// How long before the time limit for a request's arrival, after which its connection is closed, a body that
/// is still incomplete is rejected. The client thus gets a response before the close.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(200);
/// Why the body of a request was not read. The connection closes after the error response, since the rest of
/// the body may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    /// The body of the request is longer than [`MAX_BODY_BYTES`].
    TooLong,
    /// Not enough memory is free for the bodies of this kind of request (jobs or callbacks).
    NoMemory,
    /// The body of the request did not arrive in time.
    Timeout,
}

impl BodyError {
    /// Returns the status code of the response that reports this error to the client.
    fn status(self) -> StatusCode {
        match self {
            BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Timeout => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns the body of the response that reports this error to the client.
    fn text(self) -> &'static str {
        match self {
            BodyError::TooLong => "a body holds no more than 64 KiB\n",
            BodyError::NoMemory => "no memory for the body\n",
            BodyError::Timeout => "the body did not arrive\n",
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.text().trim_end())
    }
}

impl IntoResponse for BodyError {
    fn into_response(self) -> Response {
        (self.status(), [(CONNECTION, "close")], self.text()).into_response()
    }
}

/// Reads the whole body of a request, and marks the client connection as awaiting the response. Returns the
/// body, and the reservation of the memory for the request of this owner.
pub(super) async fn read(
    body: Body,
    connection: &ClientConnection,
    connections: &ClientConnections,
    owner: MemoryOwner,
) -> Result<(Bytes, MemoryReservation), BodyError> {
    let size_hint = body.size_hint();
    if size_hint.lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLong);
    }
    let bytes = size_hint.exact().map_or(MAX_BODY_BYTES, |bytes| bytes as usize);
    connections.reserve_body(connection, owner, bytes).map_err(|_| BodyError::NoMemory)?;
    let deadline = connection.request_arrival_deadline() - TIMEOUT_MARGIN;
    match tokio::time::timeout_at(deadline, collect(body, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => {
            connection.mark_awaiting_response();
            Ok((body, connection.take_body_memory()))
        }
        Ok(Err(_)) => Err(BodyError::TooLong),
        Err(_) => Err(BodyError::Timeout),
    }
}
