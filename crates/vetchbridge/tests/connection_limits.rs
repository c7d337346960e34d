//! The limit on the number of connections that an upstream group keeps open to its workers.
#![allow(missing_docs)]

mod common;
mod fleet;

use common::*;
use fleet::worker_name;
use rstest::rstest;
use std::collections::BTreeSet;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::oneshot;
use vetchbridge::workers::{
    parse_request_id, worker_id, AttemptResult, Payload, SendConditions, UpstreamGroup, WorkerEndpoint,
};
use vetchbridge_scheduling::{EndpointState, EndpointUpdate, Outcome};
use vetchbridge_testbed::wire::HttpConnection;

/// Runs a worker that rejects every job and keeps its connections open. Sends the worker's number to `closed`
/// for each connection that the upstream group closes.
async fn reject_jobs(number: usize, listener: TcpListener, closed: UnboundedSender<usize>) {
    loop {
        let (mut connection, closed) =
            (HttpConnection::new(listener.accept().await.expect("a connection").0), closed.clone());
        tokio::spawn(async move {
            while connection.read().await.is_some() {
                connection.send("HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\ncontent-length: 0\r\n\r\n").await;
            }
            closed.send(number).expect("the test receives");
        });
    }
}

/// If the group would exceed its limit on connections, it closes idle connections to the least recently used
/// workers. Connections to other workers stay open.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn idle_connections_of_the_least_recently_used_workers_are_evicted() {
    const MAX_CONNECTIONS: usize = 8;
    const OTHER_WORKERS: usize = 12;
    // The idle timeout of connections is longer than the test, so that no connection expires.
    let group = UpstreamGroup::new(TEST_TIMEOUT, 10 * TEST_TIMEOUT, 1);
    group.set_max_connections(MAX_CONNECTIONS);
    let (closed_sender, mut closed_connections) = unbounded_channel();
    for number in 0..=OTHER_WORKERS {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let (name, address) =
            (worker_name(number, 0), listener.local_addr().expect("a bound socket").to_string());
        let (worker, state) = (worker_id(&name), EndpointState::Ready);
        let endpoint =
            WorkerEndpoint { worker_id: worker, name: &name, address: &address, state, started_at: 0 };
        group.apply_endpoints(EndpointUpdate::Changes, std::iter::once(endpoint));
        tokio::spawn(reject_jobs(number, listener, closed_sender.clone()));
    }
    // Workers 1 to `OTHER_WORKERS` get one job each. Worker 0 gets a job after each of these jobs, so that it
    // is always among the most recently used workers.
    for number in (1..=OTHER_WORKERS).flat_map(|number| [number, 0]) {
        let (id, target) = ("00000000000000ab".to_string(), "/safe/k".parse().expect("a path"));
        let (request, worker) = (parse_request_id(&id).expect("an id"), worker_id(&worker_name(number, 0)));
        let payload = Payload { id, target, idempotency_key: None, body: "work".into() };
        let (_cancel, cancelled) = oneshot::channel();
        let (result, _) = group
            .attempt(request, worker, &payload, SendConditions::with_timeout(TEST_TIMEOUT), cancelled, |_| {})
            .await;
        assert_eq!(result, AttemptResult::NotServed(Outcome::Rejected));
    }
    let mut closed = BTreeSet::new();
    for _ in 0..OTHER_WORKERS + 1 - MAX_CONNECTIONS {
        closed.insert(closed_connections.recv().await.expect("the workers run"));
    }
    assert_eq!(closed, (1..=OTHER_WORKERS + 1 - MAX_CONNECTIONS).collect());
}
