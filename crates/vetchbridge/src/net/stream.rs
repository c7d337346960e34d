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

use super::turn::Turn;
use bytes::BufMut;
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::io::{self, ErrorKind, IoSlice};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection that retries interrupted system calls, and that does not wait for readiness after a read
/// or write that transferred fewer bytes than requested.
#[derive(Debug)]
pub(crate) struct RetryingStream {
    socket: TcpStream,
    turn: Turn,
}

impl RetryingStream {
    /// Wraps a TCP stream of the async runtime.
    pub(crate) fn new(socket: TcpStream) -> RetryingStream {
        RetryingStream { socket, turn: Turn::new() }
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
        let max_bytes = ready!(self.turn.poll_remaining(cx));
        loop {
            let Poll::Ready(readiness) = self.socket.poll_read_ready(cx) else {
                self.turn.end();
                return Poll::Pending;
            };
            readiness?;
            let read = self.socket.try_read_buf(&mut buffer.limit(max_bytes));
            if !is_retried(&read) {
                self.turn.spend(read.as_ref().map_or(0, |length| *length));
                return Poll::Ready(read.map(drop));
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
                return Poll::Ready(written);
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
                return Poll::Ready(written);
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
        Connected::new()
    }
}
