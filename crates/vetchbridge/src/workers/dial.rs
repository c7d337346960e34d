//! Connections to workers: their dial, the count of them, and a meter on each.
//!
//! Owns what is known of bytes written, by which an exchange that broke is told from one that may have run, and the check
//! before an exchange's first byte. It must never choose where to dial, nor end a connection that is in use and sound.

use super::connection_count::{ConnectionCount, ConnectionGuard};
use super::expiry::Expiry;
use super::lock;
use super::permission::SendPermission;
use crate::net::{Connector, RetryingStream};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::Uri;
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
use tower_service::Service;
use tracing::debug;

/// How long a connection rests after an answer. A worker that answers twice is found out by then; the second answer would
/// else be taken for that of the next request.
pub(super) const REST: Duration = Duration::from_millis(20);

/// Counts what is written to a connection, to tell requests that were written whole from those that were not, and holds
/// back a request that no longer may be written.
#[derive(Clone, Default)]
pub(super) struct Meter(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    written: u64,
    /// So many of them belong to exchanges that are over.
    before: u64,
    /// There while the exchange in hand has no byte written.
    permission: Option<SendPermission>,
    /// What the request in hand tells of its time.
    expiry: Option<Expiry>,
    /// Not a byte more goes out.
    closed: bool,
    last_read: Option<Instant>,
}

impl Meter {
    /// The next exchange's request has been handed to this connection, and is not written yet. Both happen on the one
    /// thread, the writing in a task of the connection's own.
    pub(super) fn begin(&self, permission: SendPermission, expiry: Option<Expiry>) {
        let state = &mut *lock(&self.0);
        (state.before, state.permission, state.expiry) = (state.written, Some(permission), expiry);
    }

    /// Bytes written for the exchange in hand.
    pub(super) fn open(&self) -> u64 {
        let state = lock(&self.0);
        state.written - state.before
    }

    /// Nothing more is written to this connection, which ends it.
    pub(super) fn close(&self) {
        lock(&self.0).closed = true;
    }

    /// These bytes of the request in hand with the time that is left, where they hold it.
    fn stamp<'a>(&self, pieces: impl Iterator<Item = &'a [u8]>) -> Option<Vec<u8>> {
        let state = &mut *lock(&self.0);
        let position = state.written - state.before;
        state.expiry.as_mut()?.stamp(position as usize, pieces)
    }

    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            let state = &mut *lock(&self.0);
            state.written += *bytes as u64;
            state.permission = state.permission.take().filter(|_| *bytes == 0);
        }
        written
    }
}

/// Dials workers; its connections carry a [`Meter`] and are counted from the dial on, among all and among those of one worker.
#[derive(Clone)]
pub(super) struct Dialer(Connector, [ConnectionCount; 2]);

impl Dialer {
    /// One whose connections are counted there.
    pub(super) fn new(tcp: Connector, counts: [ConnectionCount; 2]) -> Dialer {
        Dialer(tcp, counts)
    }
}

/// A connection to a worker, metered and counted.
pub(super) struct Metered {
    io: TokioIo<RetryingStream>,
    meter: Meter,
    rest: Option<Pin<Box<Sleep>>>,
    _counted: [ConnectionGuard; 2],
}

impl Metered {
    /// Before a request's first byte: the connection must have rested and have nothing to say, not even that it has ended,
    /// and the request must still be wanted. An error here is one before any byte.
    fn poll_may_write(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let rested = {
            let state = lock(&self.meter.0);
            match (state.closed, &state.permission) {
                (true, _) => return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
                (false, None) => return Poll::Ready(Ok(())),
                (false, Some(_)) => state.last_read.map(|read| read + REST),
            }
        };
        if let Some(rested) = rested.filter(|rested| self.rest.is_none() && Instant::now() < *rested) {
            self.rest = Some(Box::pin(sleep_until(rested)));
        }
        if let Some(rest) = &mut self.rest {
            ready!(rest.as_mut().poll(cx));
            self.rest = None;
        }
        // Asked of the kernel: what the runtime knows of a socket is as old as its last look at all of them.
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let says = retry_on_intr(|| recv(self.io.inner(), &mut [0; 1], flags));
        let silent = says == Err(Errno::AGAIN);
        let withheld = lock(&self.meter.0).permission.as_ref().and_then(SendPermission::withheld);
        if silent && withheld.is_none() {
            return Poll::Ready(Ok(()));
        }
        debug!(?withheld, silent, "attempt.withheld");
        self.meter.close();
        Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()))
    }
}

impl Service<Uri> for Dialer {
    type Response = Metered;
    type Error = <Connector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Metered, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (dial, counted) = (self.0.call(uri), self.1.each_ref().map(ConnectionCount::register));
        Box::pin(async move {
            Ok(Metered { io: dial.await?, meter: Meter::default(), rest: None, _counted: counted })
        })
    }
}

impl Connection for Metered {
    fn connected(&self) -> Connected {
        self.io.connected().extra(self.meter.clone())
    }
}

impl Read for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.io).poll_read(cx, buffer);
        if read.is_ready() {
            let state = &mut *lock(&self.meter.0);
            if state.permission.is_some() {
                // Bytes or an end, and no request to answer: what follows must not be read together with them.
                state.closed = true;
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            state.last_read = Some(Instant::now());
        }
        read
    }
}

impl Write for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        ready!(self.poll_may_write(cx))?;
        let stamped = self.meter.stamp(std::iter::once(data));
        let written = Pin::new(&mut self.io).poll_write(cx, stamped.as_deref().unwrap_or(data));
        self.meter.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        ready!(self.poll_may_write(cx))?;
        let written = match self.meter.stamp(data.iter().map(|piece| &**piece)) {
            Some(stamped) => Pin::new(&mut self.io).poll_write(cx, &stamped),
            None => Pin::new(&mut self.io).poll_write_vectored(cx, data),
        };
        self.meter.count(written)
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
