//! Closes a client connection without losing the last response on the connection.

use super::time_limits::LINGER_TIMEOUT;
use super::RequestStream;
use crate::net::RetryingStream;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{ready, Poll};
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::time::timeout;

/// Maximum number of bytes that are read from the client and dropped before a connection is closed
/// completely.
const MAX_DROPPED_BYTES: usize = 1 << 20;
/// Number of bytes of input that are read and dropped at once.
const READ_BYTES: usize = 8 * 1024;

/// Closes the daemon's side of a client connection, then reads and drops further input until the client
/// closes its side too, the time limit or the limit on dropped bytes is reached, or another connection needs
/// the file descriptor.
pub(crate) async fn lingering_close(stream: RequestStream) {
    let RequestStream { mut socket, connection, unread, .. } = stream;
    drop(unread);
    connection.start_lingering();
    tokio::select! {
        // The result of the shutdown is ignored, since nothing more has to be sent on the connection.
        _ = timeout(LINGER_TIMEOUT, shut_down_and_drop_input(&mut socket)) => {}
        () = connection.wait_for_forced_close() => {}
    }
}

async fn shut_down_and_drop_input(socket: &mut RetryingStream) -> io::Result<()> {
    socket.shutdown().await?;
    let mut remaining = MAX_DROPPED_BYTES;
    while remaining > 0 {
        match drop_input(socket).await? {
            0 => break,
            length => remaining = remaining.saturating_sub(length),
        }
    }
    Ok(())
}

/// Reads input and drops it; returns its length, 0 at the end of the input. No memory is held while the
/// connection waits for input.
async fn drop_input(socket: &mut RetryingStream) -> io::Result<usize> {
    poll_fn(|cx| {
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        ready!(Pin::new(&mut *socket).poll_read(cx, &mut buffer))?;
        Poll::Ready(Ok(buffer.filled().len()))
    })
    .await
}
