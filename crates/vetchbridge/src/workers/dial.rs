//! Opens connections to workers (dials them). Each connection is counted as open from the start of its dial.

use super::connection::WorkerConnection;
use super::connection_count::ConnectionCount;
use crate::memory::MemoryBudget;
use crate::net::Connector;
use hyper::Uri;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use tower_service::Service;

/// Opens the connections of one worker's HTTP client.
#[derive(Clone)]
pub(super) struct Dialer {
    connector: Connector,
    /// The count of the connections to all workers, and the count of the connections to this worker.
    counts: [ConnectionCount; 2],
    /// The budget in which the memory of each connection is counted.
    memory: MemoryBudget,
}

impl Dialer {
    /// Creates a dialer that registers each connection with both counts and with the memory budget.
    pub(super) fn new(connector: Connector, counts: [ConnectionCount; 2], memory: MemoryBudget) -> Dialer {
        Dialer { connector, counts, memory }
    }
}

impl Service<Uri> for Dialer {
    type Response = WorkerConnection;
    type Error = <Connector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<WorkerConnection, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let dial = self.connector.call(uri);
        let guards = self.counts.each_ref().map(ConnectionCount::register);
        let memory = self.memory.hold_worker_connection();
        Box::pin(async move { Ok(WorkerConnection::new(dial.await?, guards, memory)) })
    }
}
