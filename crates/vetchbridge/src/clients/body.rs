//! Reads the bodies of jobs and callbacks, within a maximum length, a time limit and a memory limit.
//!
//! Memory for a body is reserved as its bytes arrive, whatever length the client has announced. If not enough
//! memory is free, the request is rejected at once.

use super::connection::ClientConnection;
use super::connections::ClientConnections;
use crate::memory::{MemoryExhausted, MemoryOwner, MemoryReservation};
use crate::net::{collect, BodyReadError};
use axum::body::{Body, HttpBody};
use axum::http::header::CONNECTION;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use std::fmt;
use std::time::Duration;
use tokio::time::timeout_at;

/// Maximum length in bytes of the body of a job or callback.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Memory for a job beside its body, in bytes: its task, its attempts and its entries in the engine.
const JOB_BYTES: usize = 8 * 1024;
/// How long before the time limit for a request's arrival, after which its connection is closed, a body that
/// is still incomplete is rejected. The client thus gets a response before the close.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(200);

/// Why the body of a request was not read. The connection closes after the error response, since the rest of
/// the body may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    /// The body of the request is longer than [`MAX_BODY_BYTES`].
    TooLong,
    /// The chunked body of the request has more framing than its data allows.
    TooMuchFraming,
    /// Not enough memory is free for the bodies of this kind of request (jobs or callbacks).
    NoMemory,
    /// The body of the request did not arrive in time.
    Timeout,
}

impl BodyError {
    /// Returns the status code of the response that reports this error to the client.
    fn status(self) -> StatusCode {
        match self {
            BodyError::TooLong | BodyError::TooMuchFraming => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Timeout => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// Returns the body of the response that reports this error to the client.
    fn text(self) -> &'static str {
        match self {
            BodyError::TooLong => "a body holds no more than 64 KiB\n",
            BodyError::TooMuchFraming => "the framing of the body is too long; send larger chunks\n",
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
/// body, and the reservation of the memory for the request of this owner. Until the body has arrived, memory is
/// also held for the request's head, which takes `head_bytes` bytes.
pub(super) async fn read(
    body: Body,
    head_bytes: usize,
    connection: &ClientConnection,
    connections: &ClientConnections,
    owner: MemoryOwner,
) -> Result<(Bytes, MemoryReservation), BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLong);
    }
    let deadline = connection.request_arrival_deadline() - TIMEOUT_MARGIN;
    let reserve = |bytes| connections.reserve_body(connection, owner, bytes);
    let reserve_with_head = |bytes| reserve(bytes + head_bytes);
    reserve_with_head(0).map_err(|MemoryExhausted| BodyError::NoMemory)?;
    let collected = timeout_at(deadline, collect(body, MAX_BODY_BYTES, reserve_with_head)).await;
    let body = collected.map_err(|_| BodyError::Timeout)?.map_err(|error| match error {
        BodyReadError::NoMemory => BodyError::NoMemory,
        BodyReadError::Failed if connection.has_too_much_framing() => BodyError::TooMuchFraming,
        BodyReadError::Failed | BodyReadError::TooLong => BodyError::TooLong,
    })?;
    let request_bytes = if owner == MemoryOwner::Jobs { JOB_BYTES } else { 0 };
    reserve(body.len() + request_bytes).map_err(|MemoryExhausted| BodyError::NoMemory)?;
    connection.mark_awaiting_response();
    Ok((body, connection.take_body_memory()))
}
