//! A TCP connection that handles short and interrupted system calls correctly. A short system call transfers
//! fewer bytes than requested.
//!
//! After a short read or write, the TCP stream of the async runtime assumes that the socket's buffer is empty
//! or full, and waits for the next readiness edge (a notification that the socket has become ready). A call
//! may be short for other reasons, and then no edge follows. The runtime's stream also returns EINTR, which
//! callers treat as a failed connection. [`RetryingStream`] clears the readiness only after EAGAIN, and
//! retries a call that fails with EINTR.
//!
//! A stream reads a limited number of bytes in one turn of the runtime (see [`super::turn`]).

use super::response_limit::ResponseLimit;
use super::turn::Turn;
use bytes::BufMut;
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection that retries interrupted system calls, and that does not wait for readiness after a read
/// or write that transferred fewer bytes than requested.
#[derive(Debug)]
pub(crate) struct RetryingStream {
    socket: TcpStream,
    turn: Turn,
    /// The limit of the responses that are read; `None` if the other side sends requests.
    response_limit: Option<ResponseLimit>,
}

impl RetryingStream {
    /// Wraps a connection that another process has opened.
    pub(crate) fn new(socket: TcpStream) -> RetryingStream {
        RetryingStream { socket, turn: Turn::new(), response_limit: None }
    }

    /// Wraps a connection that this process has opened to send requests on it.
    pub(super) fn for_requests(socket: TcpStream) -> RetryingStream {
        RetryingStream { response_limit: Some(ResponseLimit::new()), ..RetryingStream::new(socket) }
    }

    /// Resolves to the number of bytes that may be read now.
    fn poll_max_read(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let turn = ready!(self.turn.poll_remaining(cx));
        let response = self.response_limit.as_ref().map_or(Ok(turn), ResponseLimit::remaining);
        Poll::Ready(response.map(|response| response.min(turn)))
    }

    fn record_read(&mut self, bytes: usize) {
        self.turn.spend(bytes);
        if let Some(limit) = &self.response_limit {
            limit.record_read(bytes);
        }
    }

    /// Returns the result of a write, whose bytes belong to the next request.
    fn record_write(&self, written: io::Result<usize>) -> io::Result<usize> {
        if let (Ok(1..), Some(limit)) = (&written, &self.response_limit) {
            limit.start_response();
        }
        written
    }

    /// Reads input into `buffer` and leaves it in the socket's receive buffer.
    pub(crate) fn poll_peek(
        &self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let peeked = ready!(self.socket.poll_peek(cx, buffer));
            if !is_retried(&peeked) {
                return Poll::Ready(peeked);
            }
        }
    }

    /// Whether the other side has closed the connection for writing or reset it, by the runtime's latest look at
    /// the socket. Input that has not been read does not hide the close.
    pub(crate) fn is_closed_by_peer(&self, cx: &mut Context<'_>) -> bool {
        let readiness = pin!(self.socket.ready(Interest::READABLE)).poll(cx);
        matches!(readiness, Poll::Ready(Ok(readiness)) if readiness.is_read_closed())
    }

    /// Deregisters the connection from the async runtime and returns it as the standard library's stream.
    pub(crate) fn into_std(self) -> io::Result<std::net::TcpStream> {
        self.socket.into_std()
    }
}

impl AsFd for RetryingStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}

/// Whether a read from a socket or a write to it that had this result is to be retried. After EAGAIN the
/// async runtime has cleared the readiness of the socket, so the retry waits for the next readiness edge.
fn is_retried<T>(result: &io::Result<T>) -> bool {
    let kind = result.as_ref().err().map(io::Error::kind);
    matches!(kind, Some(ErrorKind::WouldBlock | ErrorKind::Interrupted))
}

impl AsyncRead for RetryingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let max_bytes = ready!(self.poll_max_read(cx))?;
        loop {
            let Poll::Ready(readiness) = self.socket.poll_read_ready(cx) else {
                self.turn.end();
                return Poll::Pending;
            };
            readiness?;
            let read = self.socket.try_read_buf(&mut buffer.limit(max_bytes));
            if !is_retried(&read) {
                return Poll::Ready(read.map(|bytes| self.record_read(bytes)));
            }
        }
    }
}

impl AsyncWrite for RetryingStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            let written = self.socket.try_write(data);
            if !is_retried(&written) {
                return Poll::Ready(self.record_write(written));
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            let written = self.socket.try_write_vectored(data);
            if !is_retried(&written) {
                return Poll::Ready(self.record_write(written));
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

impl Connection for RetryingStream {
    fn connected(&self) -> Connected {
        match &self.response_limit {
            Some(limit) => Connected::new().extra(limit.clone()),
            None => Connected::new(),
        }
    }
}

#[cfg(test)]
mod tests;
