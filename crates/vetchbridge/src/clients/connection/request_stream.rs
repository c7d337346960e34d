//! The socket of a client connection, from which hyper reads one request at a time.
//!
//! Until the response to the current request is sent, hyper gets no further input from this stream, only the
//! end of the input. If hyper had a byte of the next request in its buffer, it would not notice that the
//! client has disconnected.
//!
//! hyper gets the head of a request only when it is complete. An incomplete head is held once, in a buffer of
//! about its length. While no memory is free for unfinished input, a request stays in the socket's receive buffer
//! until all of it has arrived there.

use super::super::framing::MAX_HEAD_BYTES;
use super::ClientConnection;
use crate::net::RetryingStream;
use bytes::{Buf, Bytes};
use std::future::{poll_fn, Future};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, Sleep};

/// How long a connection waits at first before it looks again at input for which no memory is free.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);
/// How long a connection waits at most before it looks again at input for which no memory is free.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(160);
/// Number of bytes of input that are looked at in the socket's receive buffer.
const PEEK_BYTES: usize = 64 * 1024;
/// Number of bytes of input that are read in any case, since the socket's receive buffer may be full.
const MAX_WAITING_BYTES: usize = 48 * 1024;
/// Maximum number of bytes of pipelined input (input after the current request) that are read at once.
const PIPELINED_READ_BYTES: usize = 512;

/// A client's socket. The state of the connection records the input that is read from the socket.
pub(crate) struct RequestStream {
    pub(super) socket: RetryingStream,
    pub(super) connection: Arc<ClientConnection>,
    /// When the connection looks again at input for which no memory is free.
    retry: Option<Pin<Box<Sleep>>>,
    retry_delay: Duration,
    /// Input of the current request that has been received and that hyper has not read.
    pub(super) unread: Bytes,
}

impl RequestStream {
    /// Creates the stream of a client connection from its socket and its state.
    pub(crate) fn new(socket: RetryingStream, connection: Arc<ClientConnection>) -> RequestStream {
        RequestStream { socket, connection, retry: None, retry_delay: MIN_RETRY_DELAY, unread: Bytes::new() }
    }

    /// Resolves when the head of the first request has arrived, or the end of the input. Until then, the
    /// connection needs no HTTP server.
    pub(crate) async fn wait_for_head(&mut self) -> io::Result<()> {
        poll_fn(|cx| {
            let mut bytes = [MaybeUninit::uninit(); MAX_HEAD_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            ready!(self.poll_receive(cx, &mut buffer))?;
            if !buffer.filled().is_empty() {
                self.unread = Bytes::copy_from_slice(buffer.filled());
            }
            Poll::Ready(Ok(()))
        })
        .await
    }

    /// Receives input of the current request from the socket into `buffer`, which must be empty and have room
    /// for a head, or into `unread`. Resolves when either has input, or at the end of the input.
    fn poll_receive(&mut self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        loop {
            if !self.connection.has_room_for_input() {
                ready!(self.poll_input_in_socket(cx))?;
            }
            ready!(Pin::new(&mut self.socket).poll_read(cx, buffer))?;
            let received = &buffer.filled()[filled_before..];
            if received.is_empty() {
                return Poll::Ready(Ok(()));
            }
            let length = self.connection.record_received(received);
            self.connection.store_pipelined_input(&received[length..]);
            self.connection.count_input();
            buffer.set_filled(filled_before + length);
            if !self.connection.is_in_head() {
                self.prepend_withheld(buffer, filled_before);
                return Poll::Ready(Ok(()));
            }
            buffer.set_filled(filled_before);
        }
    }

    /// Receives input of the current request from the stored pipelined input, as [`Self::poll_receive`] does
    /// from the socket. Returns `false` if the stored input contains no complete head.
    fn receive_pipelined(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let filled_before = buffer.filled().len();
        while self.connection.read_pipelined_input(buffer) {
            self.connection.count_input();
            if !self.connection.is_in_head() {
                self.prepend_withheld(buffer, filled_before);
                return true;
            }
        }
        false
    }

    /// Moves the input in `buffer` behind the withheld start of its head, which becomes the unread input.
    fn prepend_withheld(&mut self, buffer: &mut ReadBuf<'_>, filled_before: usize) {
        let mut head = self.connection.take_withheld();
        if !head.is_empty() {
            head.extend_from_slice(&buffer.filled()[filled_before..]);
            buffer.set_filled(filled_before);
            self.unread = head.into();
        }
    }

    /// Resolves when the input in the socket's receive buffer may be read although no memory is free for
    /// unfinished input, or at the end of the input.
    fn poll_input_in_socket(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            if let Some(retry) = &mut self.retry {
                ready!(retry.as_mut().poll(cx));
                self.retry = None;
            }
            let mut bytes = Vec::with_capacity(PEEK_BYTES);
            let mut buffer = ReadBuf::uninit(bytes.spare_capacity_mut());
            ready!(self.socket.poll_peek(cx, &mut buffer))?;
            let input = buffer.filled();
            let must_read = input.is_empty() || input.len() >= MAX_WAITING_BYTES;
            if must_read || self.connection.may_read(input) || self.connection.has_room_for_input() {
                self.retry_delay = MIN_RETRY_DELAY;
                return Poll::Ready(Ok(()));
            }
            self.connection.record_waiting_input();
            // The socket stays readable, so a timer has to wake this task.
            self.retry = Some(Box::pin(sleep(self.retry_delay)));
            self.retry_delay = MAX_RETRY_DELAY.min(2 * self.retry_delay);
        }
    }

    /// Moves unread input into `buffer`.
    fn read_unread(&mut self, buffer: &mut ReadBuf<'_>) {
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        if self.unread.is_empty() {
            self.unread = Bytes::new();
        }
    }

    /// Returns the socket, so that it can be passed to the process that takes the connection over.
    pub(crate) fn into_socket(self) -> RetryingStream {
        self.socket
    }

    /// Resolves when the client has disconnected, however much of its input is unread. Until then, stores the
    /// pipelined input that the client sends.
    fn poll_disconnected(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.socket.is_closed_by_peer(cx) {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [0; PIPELINED_READ_BYTES];
        while self.connection.accepts_pipelined_input() {
            let mut piece = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.socket).poll_read(cx, &mut piece))?;
            if piece.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.connection.store_pipelined_input(piece.filled());
            self.connection.count_input();
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
        if !self.unread.is_empty() {
            self.read_unread(buffer);
            return Poll::Ready(Ok(()));
        }
        if self.connection.has_too_much_framing() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "too much framing")));
        }
        if self.connection.is_request_complete() {
            return self.poll_disconnected(cx);
        }
        if !self.receive_pipelined(buffer) {
            ready!(self.poll_receive(cx, buffer))?;
        }
        self.read_unread(buffer);
        Poll::Ready(Ok(()))
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
