//! A TCP connection whose reads and writes depend on the kernel's result of each call alone.
//!
//! The runtime's own stream takes a read or write of fewer bytes than requested as a sign that the socket's buffer is
//! empty or full, and waits for the next edge; a call may be short for other reasons, and then no edge comes. It also
//! returns EINTR, which its callers take for a failed connection. Here only EAGAIN clears the readiness, and a call that
//! fails with EINTR is retried.

use hyper_util::client::legacy::connect::{Connected, Connection};
use std::io::{self, ErrorKind, IoSlice};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection that retries interrupted calls and never waits after a short one.
#[derive(Debug)]
pub(crate) struct RetryingStream(TcpStream);

impl RetryingStream {
    /// Wraps a connection of the runtime.
    pub(crate) fn new(stream: TcpStream) -> RetryingStream {
        RetryingStream(stream)
    }

    /// Deregisters the connection from the runtime and returns it as the standard library's.
    pub(crate) fn into_std(self) -> io::Result<std::net::TcpStream> {
        self.0.into_std()
    }
}

impl AsFd for RetryingStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// Whether a call is to be retried: after EAGAIN the runtime has cleared the readiness, and waits for the next edge.
fn is_retried<T>(result: &io::Result<T>) -> bool {
    let kind = result.as_ref().err().map(io::Error::kind);
    matches!(kind, Some(ErrorKind::WouldBlock | ErrorKind::Interrupted))
}

impl AsyncRead for RetryingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            let read = self.0.try_read_buf(buffer);
            if !is_retried(&read) {
                return Poll::Ready(read.map(drop));
            }
        }
    }
}

impl AsyncWrite for RetryingStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            let written = self.0.try_write(data);
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
            ready!(self.0.poll_write_ready(cx))?;
            let written = self.0.try_write_vectored(data);
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
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl Connection for RetryingStream {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}
