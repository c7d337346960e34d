//! The socket of a client connection as hyper sees it: one request at a time.
//!
//! Until the response is out, hyper sees of what follows only the end of the stream. With a byte of another request in
//! its buffer it would not notice that the client has disconnected.

use super::ClientConnection;
use crate::net::RetryingStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Pipelined input is read in pieces of this many bytes.
const PIPELINED_READ_BYTES: usize = 512;

/// A client's socket, whose input is recorded in the connection's state.
pub(crate) struct RequestStream {
    pub(super) socket: RetryingStream,
    pub(super) connection: Arc<ClientConnection>,
}

impl RequestStream {
    /// The stream of a connection.
    pub(crate) fn new(socket: RetryingStream, connection: Arc<ClientConnection>) -> RequestStream {
        RequestStream { socket, connection }
    }

    /// The socket, for a connection that goes on elsewhere.
    pub(crate) fn into_socket(self) -> RetryingStream {
        self.socket
    }

    /// Resolves when the client has disconnected; pipelined input is kept meanwhile.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; PIPELINED_READ_BYTES];
        while self.connection.accepts_pipelined() {
            let mut piece = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.socket).poll_read(cx, &mut piece))?;
            if piece.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.connection.store_pipelined(piece.filled());
        }
        // Woken by the flush of the response.
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
        if self.connection.take_pipelined(buffer) {
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.socket).poll_read(cx, buffer);
        if buffer.filled().len() > filled_before {
            let received = &buffer.filled()[filled_before..];
            let length = self.connection.record_received(received);
            self.connection.store_pipelined(&received[length..]);
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
            // hyper waits for the socket, which may have nothing more to deliver.
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
