//! A connection to a worker, and the meter that counts the bytes written to the connection.
//!
//! A worker may have run a request only if the request was written completely, which the meter shows. The
//! connection checks the send permission before the first byte of each request, and delays that byte until
//! [`REUSE_DELAY`] has passed since the connection last received bytes.

use super::connection_count::ConnectionGuard;
use super::expiry::ExpiryHeader;
use super::lock_ignoring_poison;
use super::permission::SendPermission;
use crate::memory::MemoryReservation;
use crate::net::RetryingStream;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};
use hyper_util::rt::TokioIo;
use rustix::io::{retry_on_intr, Errno};
use rustix::net::{recv, RecvFlags};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant, Sleep};
use tracing::debug;

/// How long a connection waits after a worker's response before the next request is written. The delay
/// detects a worker that responds twice, whose second response would otherwise be taken for the response to
/// the next request.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(20);

/// Counts the bytes written to a connection, and stores the send permission and the expiry header of the
/// current exchange.
#[derive(Clone, Default)]
pub(super) struct WriteMeter(Arc<Mutex<MeterState>>);

#[derive(Default)]
struct MeterState {
    bytes_written: u64,
    /// The number of bytes in `bytes_written` that belong to earlier exchanges.
    bytes_before_exchange: u64,
    /// The permission to write the current exchange's request; present until the request's first byte is
    /// written.
    permission: Option<SendPermission>,
    expiry: Option<ExpiryHeader>,
    /// Whether the connection to the worker is closed for writing, so that any further write fails.
    closed: bool,
    /// When bytes were last read from the connection to the worker.
    last_read: Option<Instant>,
}

impl WriteMeter {
    /// Starts an exchange whose request has been handed to this connection and is not written yet.
    ///
    /// No byte of the request is written between its handover to the connection and this call: the runtime
    /// has one thread, and the connection's own task does the writing.
    pub(super) fn begin_exchange(&self, permission: SendPermission, expiry: Option<ExpiryHeader>) {
        let state = &mut *lock_ignoring_poison(&self.0);
        state.bytes_before_exchange = state.bytes_written;
        state.permission = Some(permission);
        state.expiry = expiry;
    }

    /// Returns the number of bytes written to the connection for the current exchange with the worker.
    pub(super) fn exchange_bytes(&self) -> u64 {
        lock_ignoring_poison(&self.0).exchange_bytes()
    }

    /// Makes any further write to the connection fail, which ends the connection.
    pub(super) fn close(&self) {
        lock_ignoring_poison(&self.0).closed = true;
    }

    /// Returns a copy of the next bytes of the current request with an updated expiry header, or `None` if
    /// the bytes do not include the header's value.
    fn replace_expiry<'a>(&self, pieces: impl Iterator<Item = &'a [u8]>) -> Option<Vec<u8>> {
        let state = &mut *lock_ignoring_poison(&self.0);
        let position = state.exchange_bytes();
        state.expiry.as_mut()?.replace_value(position as usize, pieces)
    }

    /// Counts the bytes of a write to the connection. The write of an exchange's first byte removes the
    /// exchange's send permission.
    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            let state = &mut *lock_ignoring_poison(&self.0);
            state.bytes_written += *bytes as u64;
            state.permission = state.permission.take().filter(|_| *bytes == 0);
        }
        result
    }
}

impl MeterState {
    /// Returns the number of bytes written to the connection for the current exchange with the worker.
    fn exchange_bytes(&self) -> u64 {
        self.bytes_written - self.bytes_before_exchange
    }
}

/// A connection to a worker that carries a [`WriteMeter`].
pub(super) struct WorkerConnection {
    io: TokioIo<RetryingStream>,
    meter: WriteMeter,
    reuse_delay: Option<Pin<Box<Sleep>>>,
    _guards: [ConnectionGuard; 2],
    _memory: MemoryReservation,
}

impl WorkerConnection {
    /// Creates a connection that stays counted in the connection counts and in the memory budget for as long
    /// as it holds these guards and this reservation.
    pub(super) fn new(
        io: TokioIo<RetryingStream>,
        guards: [ConnectionGuard; 2],
        memory: MemoryReservation,
    ) -> WorkerConnection {
        let meter = WriteMeter::default();
        WorkerConnection { io, meter, reuse_delay: None, _guards: guards, _memory: memory }
    }

    /// Resolves when bytes may be written to the connection. An error before a request's first byte means
    /// that no byte of the request was written.
    fn poll_write_permission(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let reusable_at = {
            let state = lock_ignoring_poison(&self.meter.0);
            match (state.closed, &state.permission) {
                (true, _) => return Poll::Ready(Err(connection_aborted())),
                (false, None) => return Poll::Ready(Ok(())),
                (false, Some(_)) => state.last_read.map(|last_read| last_read + REUSE_DELAY),
            }
        };
        ready!(self.poll_reuse_delay(reusable_at, cx));
        Poll::Ready(self.check_first_byte())
    }

    /// Resolves when the connection may be reused for another request, which is not before `reusable_at`.
    fn poll_reuse_delay(&mut self, reusable_at: Option<Instant>, cx: &mut Context<'_>) -> Poll<()> {
        let must_wait = |at: &Instant| self.reuse_delay.is_none() && Instant::now() < *at;
        if let Some(reusable_at) = reusable_at.filter(must_wait) {
            self.reuse_delay = Some(Box::pin(sleep_until(reusable_at)));
        }
        if let Some(delay) = &mut self.reuse_delay {
            ready!(delay.as_mut().poll(cx));
            self.reuse_delay = None;
        }
        Poll::Ready(())
    }

    /// Checks directly before a request's first byte that the worker has sent no unread bytes and has not
    /// closed the connection, and that the request may still be sent.
    fn check_first_byte(&self) -> io::Result<()> {
        // Asks the kernel about unread bytes, since the runtime knows only the socket's state at its last
        // poll of all sockets.
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let received = retry_on_intr(|| recv(self.io.inner(), &mut [0; 1], flags));
        let is_quiet = received == Err(Errno::AGAIN);
        let denied = lock_ignoring_poison(&self.meter.0)
            .permission
            .as_ref()
            .and_then(|permission| permission.check().err());
        if is_quiet && denied.is_none() {
            return Ok(());
        }
        debug!(?denied, is_quiet, "exchange.send_denied");
        self.meter.close();
        Err(connection_aborted())
    }
}

fn connection_aborted() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

impl Connection for WorkerConnection {
    fn connected(&self) -> Connected {
        self.io.connected().extra(self.meter.clone())
    }
}

impl Read for WorkerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(cx, buffer);
        if read.is_ready() {
            let state = &mut *lock_ignoring_poison(&self.meter.0);
            if state.permission.is_some() {
                // Bytes that arrive before the request is written must not be taken for the response to the
                // request, and neither must the end of the connection.
                state.closed = true;
                return Poll::Ready(Err(connection_aborted()));
            }
            state.last_read = Some(Instant::now());
        }
        read
    }
}

impl Write for WorkerConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_permission(cx))?;
        let replaced = self.meter.replace_expiry(std::iter::once(data));
        let result = Pin::new(&mut self.io).poll_write(cx, replaced.as_deref().unwrap_or(data));
        self.meter.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_write_permission(cx))?;
        let result = match self.meter.replace_expiry(data.iter().map(|piece| &**piece)) {
            Some(replaced) => Pin::new(&mut self.io).poll_write(cx, &replaced),
            None => Pin::new(&mut self.io).poll_write_vectored(cx, data),
        };
        self.meter.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
