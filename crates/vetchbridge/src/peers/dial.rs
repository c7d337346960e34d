//! Connections to peers: their dial, the count of them, and a meter on each.
//!
//! Owns what is known of bytes written, by which an exchange that broke is told from one that may have run. It must
//! never choose where to dial, nor end a connection.

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tower_service::Service;

/// How many of a kind there are.
#[derive(Clone, Default)]
pub struct Count(Arc<AtomicUsize>);

/// One of those that a [`Count`] counts, until it is dropped.
pub struct Counted(Arc<AtomicUsize>);

impl Count {
    /// One more.
    pub fn one(&self) -> Counted {
        self.0.fetch_add(1, Ordering::Relaxed);
        Counted(self.0.clone())
    }

    /// How many there are.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts what is written to a connection, to tell requests that were written whole from those that were not.
#[derive(Clone, Default)]
pub(super) struct Meter(Arc<(AtomicU64, AtomicU64)>);

impl Meter {
    /// All that was written belongs to exchanges that are over.
    pub(super) fn settle(&self) {
        self.0 .1.store(self.0 .0.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Bytes written for the exchange in hand.
    pub(super) fn open(&self) -> u64 {
        self.0 .0.load(Ordering::Relaxed) - self.0 .1.load(Ordering::Relaxed)
    }

    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.0 .0.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        written
    }
}

/// Dials peers; its connections carry a [`Meter`] and are counted from the dial on.
#[derive(Clone)]
pub(super) struct Dialer(HttpConnector, Count);

impl Dialer {
    /// One whose connections are counted there.
    pub(super) fn new(tcp: HttpConnector, count: Count) -> Dialer {
        Dialer(tcp, count)
    }
}

/// A connection to a peer, metered and counted.
pub(super) struct Metered {
    io: TokioIo<TcpStream>,
    meter: Meter,
    _counted: Counted,
}

impl Service<Uri> for Dialer {
    type Response = Metered;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Metered, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let (dial, counted) = (self.0.call(uri), self.1.one());
        Box::pin(async move { Ok(Metered { io: dial.await?, meter: Meter::default(), _counted: counted }) })
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
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl Write for Metered {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, data);
        self.meter.count(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, data);
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
