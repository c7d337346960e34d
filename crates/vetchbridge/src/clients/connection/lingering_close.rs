//! Closes a client connection without losing the last response on the connection.

use super::super::framing::MAX_HEAD_BYTES;
use super::time_limits::LINGER_TIMEOUT;
use super::RequestStream;
use crate::net::RetryingStream;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Maximum number of bytes that are read from the client and dropped before a connection is closed
/// completely.
const MAX_DROPPED_BYTES: usize = 1 << 20;

/// Closes the daemon's side of a client connection, then reads and drops further input until the client
/// closes its side too, the time limit or the limit on dropped bytes is reached, or another connection needs
/// the file descriptor.
pub(crate) async fn lingering_close(stream: RequestStream) {
    let RequestStream { mut socket, connection } = stream;
    connection.start_lingering();
    tokio::select! {
        // The result of the shutdown is ignored, since nothing more has to be sent on the connection.
        _ = timeout(LINGER_TIMEOUT, shut_down_and_drop_input(&mut socket)) => {}
        () = connection.wait_for_forced_close() => {}
    }
}

async fn shut_down_and_drop_input(socket: &mut RetryingStream) -> io::Result<()> {
    socket.shutdown().await?;
    let (mut buffer, mut remaining) = (vec![0; MAX_HEAD_BYTES], MAX_DROPPED_BYTES);
    while remaining > 0 {
        match socket.read(&mut buffer).await? {
            0 => break,
            length => remaining = remaining.saturating_sub(length),
        }
    }
    Ok(())
}
