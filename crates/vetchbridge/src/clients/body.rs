//! Bodies of requests and callbacks: how long they may be, how late, and the memory that they take.
//!
//! Owns those bounds and the words of whoever breaks one. It must never wait for memory, nor look into a body.

use super::connection::ClientConnection;
use axum::body::{to_bytes, Body, HttpBody};
use axum::http::header::{HeaderName, CONNECTION};
use axum::http::StatusCode;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tracing::debug;

/// The longest body of a request or callback.
const BODY_LIMIT: usize = 64 * 1024;
/// A body that is late is rejected this long before its connection would be ended without a word.
const BODY_MARGIN: Duration = Duration::from_millis(200);
/// Memory for bodies is handed out in pieces of this size.
const PIECE: usize = 1024;
/// Memory for bodies of one kind, of a process that may take `memory` bytes in all.
pub(super) fn room(memory: usize) -> Arc<Semaphore> {
    Arc::new(Semaphore::new((memory / 8).clamp(BODY_LIMIT, usize::MAX >> 4) / PIECE))
}

/// What a client hears whose body can't be read.
pub(super) type Refused = (StatusCode, [(HeaderName, &'static str); 1], &'static str);

/// Reads a body whole; from then on its answer is owed. What can't be read ends its connection.
pub(super) async fn read(
    body: Body,
    connection: &ClientConnection,
    room: &Arc<Semaphore>,
) -> Result<(Bytes, OwnedSemaphorePermit), Refused> {
    let refused = |status, reason: &'static str| {
        debug!(reason = reason.trim_end(), "request.refused");
        Err((status, [(CONNECTION, "close")], reason))
    };
    let expected = body.size_hint();
    if expected.lower() > BODY_LIMIT as u64 {
        return refused(StatusCode::PAYLOAD_TOO_LARGE, "a body holds no more than 64 KiB\n");
    }
    let pieces = expected.exact().map_or(BODY_LIMIT, |bytes| bytes as usize).div_ceil(PIECE);
    let Ok(room) = room.clone().try_acquire_many_owned(pieces as u32) else {
        return refused(StatusCode::SERVICE_UNAVAILABLE, "no memory for the body\n");
    };
    match tokio::time::timeout_at(connection.due() - BODY_MARGIN, to_bytes(body, BODY_LIMIT)).await {
        Ok(Ok(body)) => {
            connection.owe();
            Ok((body, room))
        }
        Ok(Err(_)) => refused(StatusCode::PAYLOAD_TOO_LARGE, "a body holds no more than 64 KiB\n"),
        Err(_) => refused(StatusCode::REQUEST_TIMEOUT, "the body did not arrive\n"),
    }
}
