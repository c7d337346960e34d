//! Opens the daemon's connections to workers and to the discovery service.

use super::RetryingStream;
use hyper::Uri;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioIo;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tower_service::Service;

/// Opens connections as [`RetryingStream`]s, with a time limit if one is set.
#[derive(Clone)]
pub(crate) struct Connector(HttpConnector);

impl Connector {
    /// Creates a connector with this time limit for opening a connection. With `None`, the kernel's time
    /// limit applies.
    pub(crate) fn new(dial_timeout: Option<Duration>) -> Connector {
        let mut tcp = HttpConnector::new();
        tcp.set_nodelay(true);
        tcp.set_connect_timeout(dial_timeout);
        Connector(tcp)
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<RetryingStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let dial = self.0.call(uri);
        Box::pin(async move { Ok(TokioIo::new(RetryingStream::for_requests(dial.await?.into_inner()))) })
    }
}
