use super::*;
use crate::workers::{worker_id, WorkerEndpoint};
use hyper::http::uri::PathAndQuery;
use tokio::net::TcpListener;
use vetchbridge_scheduling::{EndpointState, EndpointUpdate};

const MINUTE: Duration = Duration::from_secs(60);

/// A worker may start to drain while an attempt is still connecting to the worker. The job must not be
/// written to the worker then.
#[tokio::test]
async fn an_attempt_that_is_dialling_when_its_worker_drains_is_never_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let group = UpstreamGroup::new(MINUTE, MINUTE, 1);
    let worker_id = worker_id("s-1");
    let update = |state| {
        let endpoint = WorkerEndpoint { worker_id, name: "s-1", address: &address, state, started_at: 0 };
        group.apply_endpoints(EndpointUpdate::Changes, [endpoint].into_iter());
    };
    update(EndpointState::Ready);
    let (id, target) = ("00000000000000ab".to_string(), PathAndQuery::from_static("/safe/k"));
    let payload = Payload { id, target, idempotency_key: None, body: Bytes::from_static(b"work") };
    let (_cancel, cancelled) = oneshot::channel();
    let conditions = SendConditions::with_timeout(MINUTE);
    let attempt = group.attempt(RequestId(0xab), worker_id, &payload, conditions, cancelled, |_| {});
    tokio::pin!(attempt);
    // The first poll of the attempt starts to open the connection, which cannot complete before the runtime
    // polls its sockets.
    assert!(futures_util::poll!(attempt.as_mut()).is_pending());
    update(EndpointState::Draining);
    let written = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        stream.readable().await.expect("readable");
        stream.try_read(&mut [0; 1]).unwrap_or(0)
    };
    tokio::select! {
        biased;
        end = attempt => assert_eq!(end, (AttemptResult::NotServed(Outcome::ConnectFailed), None)),
        bytes = written => panic!("{bytes} bytes were written to a draining worker"),
    }
}
