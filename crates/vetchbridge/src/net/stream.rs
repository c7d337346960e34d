//! A TCP connection whose reads and writes depend on nothing but what the kernel says of each call.
//!
//! The runtime's own stream takes a read or write that moved fewer bytes than asked for as a sign that the socket is
//! drained or full, and waits for the next edge; a call may be short for other reasons, and then no edge comes. It also
//! passes EINTR on, which is an end to whoever reads. Here only EAGAIN clears the readiness, and EINTR is tried again.

use hyper_util::client::legacy::connect::{Connected, Connection};
use std::io::{self, ErrorKind, IoSlice};
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// See the head of this file.
#[derive(Debug)]
pub(crate) struct RetryingStream(TcpStream);

impl RetryingStream {
    /// Goes on with a connection of the runtime's.
    pub(crate) fn new(stream: TcpStream) -> RetryingStream {
        RetryingStream(stream)
    }

    /// The connection as the standard library has it, taken from the runtime.
    pub(crate) fn into_std(self) -> io::Result<std::net::TcpStream> {
        self.0.into_std()
    }
}

impl AsFd for RetryingStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.as_fd()
    }
}

/// Whether a call is to be made again: the runtime has noted an EAGAIN, and its next look waits for the edge.
fn again<T>(result: &io::Result<T>) -> bool {
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
            if !again(&read) {
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
            if !again(&written) {
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
            if !again(&written) {
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
