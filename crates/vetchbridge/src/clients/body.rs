//! Reads the bodies of jobs and callbacks: their maximum length, their time limit and the memory that they take.
//!
//! Memory is reserved before a body is read, never waited for.

use super::connection::ClientConnection;
use axum::body::{to_bytes, Body, HttpBody};
use axum::http::header::CONNECTION;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum length of a body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// A late body is rejected this long before its connection would be closed without a response.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(200);
/// Granularity of memory reservations in bytes.
const BLOCK_BYTES: usize = 1024;
/// Share of the process's memory that the bodies of one kind may take, as a divisor.
const MEMORY_DIVISOR: usize = 8;

/// Memory for the bodies of one kind.
pub(super) struct BodyMemory {
    blocks: Arc<Semaphore>,
}

impl BodyMemory {
    /// The memory for bodies in a process that may take `process_bytes` in all; at least one body fits.
    pub(super) fn new(process_bytes: usize) -> BodyMemory {
        let bytes = (process_bytes / MEMORY_DIVISOR).clamp(MAX_BODY_BYTES, usize::MAX >> 4);
        BodyMemory { blocks: Arc::new(Semaphore::new(bytes / BLOCK_BYTES)) }
    }

    /// Reserves memory for a body; it is released when the permit is dropped.
    fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, BodyError> {
        let blocks = bytes.div_ceil(BLOCK_BYTES) as u32;
        self.blocks.clone().try_acquire_many_owned(blocks).map_err(|_| BodyError::NoMemory)
    }
}

/// Why a body was not read. The connection closes after the response, since the rest of the body may still arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BodyError {
    /// It exceeds [`MAX_BODY_BYTES`].
    TooLong,
    /// The memory for bodies is used up.
    NoMemory,
    /// It did not arrive in time.
    Timeout,
}

impl BodyError {
    fn status(self) -> StatusCode {
        match self {
            BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Timeout => StatusCode::REQUEST_TIMEOUT,
        }
    }

    /// The text of the response.
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

/// Reads a whole body, with the memory reserved for it. From then on the connection awaits a response.
pub(super) async fn read(
    body: Body,
    connection: &ClientConnection,
    memory: &BodyMemory,
) -> Result<(Bytes, OwnedSemaphorePermit), BodyError> {
    let expected = body.size_hint();
    if expected.lower() > MAX_BODY_BYTES as u64 {
        return Err(BodyError::TooLong);
    }
    let permit = memory.reserve(expected.exact().map_or(MAX_BODY_BYTES, |bytes| bytes as usize))?;
    let deadline = connection.request_arrival_deadline() - TIMEOUT_MARGIN;
    match tokio::time::timeout_at(deadline, to_bytes(body, MAX_BODY_BYTES)).await {
        Ok(Ok(body)) => {
            connection.mark_awaiting_response();
            Ok((body, permit))
        }
        Ok(Err(_)) => Err(BodyError::TooLong),
        Err(_) => Err(BodyError::Timeout),
    }
}
