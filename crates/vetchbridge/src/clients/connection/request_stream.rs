//! The socket of a client connection, from which hyper reads one request at a time.
//!
//! Until the response to the current request is sent, hyper gets no further input from this stream, only the
//! end of the input. If hyper had a byte of the next request in its buffer, it would not notice that the
//! client has disconnected.

use super::ClientConnection;
use crate::net::RetryingStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes of pipelined input (input after the current request) that are read at once.
const PIPELINED_READ_BYTES: usize = 512;

/// A client's socket. The state of the connection records the input that is read from the socket.
pub(crate) struct RequestStream {
    pub(super) socket: RetryingStream,
    pub(super) connection: Arc<ClientConnection>,
}

impl RequestStream {
    /// Creates the stream of a client connection from its socket and its state.
    pub(crate) fn new(socket: RetryingStream, connection: Arc<ClientConnection>) -> RequestStream {
        RequestStream { socket, connection }
    }

    /// Returns the socket, so that it can be passed to the process that takes the connection over.
    pub(crate) fn into_socket(self) -> RetryingStream {
        self.socket
    }

    /// Resolves when the client has disconnected. Until then, stores the pipelined input that the client
    /// sends.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; PIPELINED_READ_BYTES];
        while self.connection.accepts_pipelined_input() {
            let mut piece = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.socket).poll_read(cx, &mut piece))?;
            if piece.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.connection.store_pipelined_input(piece.filled());
        }
        // The stored pipelined input has reached its maximum length, so reading from the client is paused
        // until the response is sent. The flush of the response wakes this task.
        Poll::Pending
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_request_complete() {
            return self.poll_disconnected(cx);
        }
        if self.connection.read_pipelined_input(buffer) {
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(cx, buffer);
        if buffer.filled().len() > filled_before {
            let received = &buffer.filled()[filled_before..];
            let length = self.connection.record_received(received);
            self.connection.store_pipelined_input(&received[length..]);
            buffer.set_filled(filled_before + length);
        }
        result
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.socket).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) && self.connection.record_flush() {
            // Wakes this task to read the stored pipelined input, since the socket may not become readable
            // again.
            cx.waker().wake_by_ref();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
