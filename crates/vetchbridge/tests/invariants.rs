//! Violations of the daemon's invariants are counted. The file has a single test, since the process has a
//! single counter.
#![allow(missing_docs)]

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use vetchbridge::config::read_text;
use vetchbridge::engine::Engine;
use vetchbridge::invariants::violation_count;
use vetchbridge::request::{submit, Answer, SubmittedRequest};
use vetchbridge::upgrade::process_links::ProcessLinks;
use vetchbridge::workers::{worker_id, Payload, SendConditions, UpstreamGroup, WorkerEndpoint};
use vetchbridge_scheduling::Scheduler;
use vetchbridge_scheduling::{ClassId, EndpointState, EndpointUpdate, Request, RequestId, TenantId};

const MINUTE: Duration = Duration::from_secs(60);

fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().expect("a runtime")
}

fn payload() -> Payload {
    let (id, target) = ("00000000000000ab".to_string(), PathAndQuery::from_static("/safe/k"));
    Payload { id, target, idempotency_key: None, body: Bytes::from_static(b"work") }
}

#[test]
fn violations_of_invariants_are_counted() {
    runtime().block_on(start_a_second_attempt_at_the_same_worker());
    let answer = abort_an_open_request(true);
    assert_eq!(violation_count(), 2, "the client of the aborted request waits");
    drop(answer);
    abort_an_open_request(false);
    assert_eq!(violation_count(), 2, "the client of the aborted request has disconnected");
}

async fn start_a_second_attempt_at_the_same_worker() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener").to_string();
    let group = UpstreamGroup::new(MINUTE, MINUTE, 1);
    let (worker, name, state) = (worker_id("s-0"), "s-0", EndpointState::Ready);
    let endpoint = WorkerEndpoint { worker_id: worker, name, address: &address, state, started_at: 0 };
    group.apply_endpoints(EndpointUpdate::Changes, [endpoint].into_iter());
    let payload = payload();
    let attempt = |number: u64, cancelled| {
        Box::pin(group.attempt(
            RequestId(number),
            worker,
            &payload,
            SendConditions::with_timeout(MINUTE),
            cancelled,
            |_| {},
        ))
    };
    let cancels: [_; 3] = std::array::from_fn(|_| oneshot::channel::<()>());
    let [(_a, first), (_b, other_attempt), (_c, second)] = cancels;
    let (mut first, mut other_attempt) = (attempt(0xab, first), attempt(0xcd, other_attempt));
    assert!(
        futures_util::poll!(&mut first).is_pending() && futures_util::poll!(&mut other_attempt).is_pending()
    );
    assert_eq!(violation_count(), 0, "each request has one attempt at the worker");
    let mut second = attempt(0xab, second);
    assert!(futures_util::poll!(&mut second).is_pending());
    assert_eq!(violation_count(), 1);
}

/// Submits a request while no worker is known, and then drops the runtime that runs the request. If
/// `client_waits` is true, returns the receiver on which the client waits for the answer.
fn abort_an_open_request(client_waits: bool) -> Option<oneshot::Receiver<Answer>> {
    let class = json!({"name": "safe", "repeat": "safe", "aim": 500_000, "deadline": 60_000_000});
    let document = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "5eed", "discovery": "127.0.0.1:1",
        "settings": {"me": 0, "balancers": 1, "areas": ["a"], "kinds": ["m"], "zone": 0, "tick": 4000,
            "discovery": "ask", "services": [class], "limits": {"max_attempts": 2},
            "rules": {"stop_sending_within": 500_000, "start_capacity": 0.2, "cold": 24_000_000,
                      "tip_multiple": 2.5, "fall": 2_000_000}}});
    let config = read_text("invariants", &document.to_string()).expect("a valid configuration").config;
    let scheduler =
        Scheduler::new(config.settings_snapshot.settings.clone(), config.seed).expect("valid settings");
    let runtime = runtime();
    let answer = runtime.block_on(async {
        let upstream = Arc::new(UpstreamGroup::new(MINUTE, MINUTE, 1));
        let engine = Engine::new(scheduler, upstream.clone(), unbounded_channel().0, unbounded_channel().0);
        let (id, class, tenant) = (RequestId(0xab), ClassId(0), TenantId(0));
        let deadline = engine.clock.now() + 60_000_000;
        let request =
            Request { id, class, tenant, key: None, deadline, expected_work: None, slots: 1.0, retry: false };
        let submitted = SubmittedRequest {
            request,
            payload: payload(),
            settings: Arc::new(config.settings_snapshot),
            memory: None,
        };
        let answer = submit(engine, upstream, Arc::new(ProcessLinks::default()), submitted);
        tokio::task::yield_now().await;
        Some(answer)
    });
    let answer = answer.filter(|_| client_waits);
    drop(runtime);
    answer
}
