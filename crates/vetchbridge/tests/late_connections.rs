//! Connections to workers that are established long after the decision to send: one test for each condition
//! of an attempt that may no longer hold when its first byte can be written. The delay comes from the
//! worker's full accept queue: the kernel drops the SYN of the dial, and retransmits the SYN after a second.
//! The tests wait for the connection, not for a fixed time.
#![allow(missing_docs)]

mod common;

use bytes::Bytes;
use common::TEST_TIMEOUT;
use hyper::http::uri::PathAndQuery;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use vetchbridge::config::{read_text, Config};
use vetchbridge::engine::Engine;
use vetchbridge::request::{submit, Answer, SubmittedRequest};
use vetchbridge::upgrade::process_links::ProcessLinks;
use vetchbridge::workers::{
    worker_id, AttemptResult, Callback, Payload, SendConditions, UpstreamGroup, WorkerEndpoint,
};
use vetchbridge_scheduling::Scheduler;
use vetchbridge_scheduling::*;
use vetchbridge_testbed::wire::HttpConnection;

const MINUTE: Duration = Duration::from_secs(60);
const REQUEST_ID: &str = "00000000000000ab";
/// The time at which the worker's process started, in microseconds, before any change by a test.
const STARTED_AT: Micros = 7;

/// A listener whose accept queue holds one connection.
struct FullQueueListener {
    listener: TcpListener,
    address: SocketAddr,
}

impl FullQueueListener {
    fn open() -> FullQueueListener {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let listener = socket.listen(0).expect("a listener");
        let address = listener.local_addr().expect("a bound socket");
        FullQueueListener { listener, address }
    }

    /// Fills the accept queue with a connection. No other connection to the listener is established until
    /// this connection is accepted.
    async fn fill(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("the queue is empty")
    }

    async fn accept(&self) -> HttpConnection {
        HttpConnection::new(self.listener.accept().await.expect("a connection").0)
    }
}

fn update_endpoint(
    group: &UpstreamGroup,
    listener: &FullQueueListener,
    state: EndpointState,
    started_at: Micros,
) {
    let (worker, name, address) = (worker_id("s-0"), "s-0", &*listener.address.to_string());
    group.apply_endpoints(
        EndpointUpdate::Changes,
        [WorkerEndpoint { worker_id: worker, name, address, state, started_at }].into_iter(),
    );
}

fn payload(id: &str) -> Payload {
    let target = PathAndQuery::from_static("/safe/k");
    Payload { id: id.to_string(), target, idempotency_key: None, body: Bytes::from_static(b"work") }
}

fn callback(id: &str, state: &str) -> Callback {
    let body = json!({"id": id, "from": "s-0", "state": state, "result": "made"});
    serde_json::from_value(body).expect("a callback")
}

/// The change that happens while an attempt waits for the connection to its worker.
#[derive(Clone, Copy, PartialEq)]
enum Change {
    Unchanged,
    RequestConcluded,
    DeadlinePassed,
    WorkerDraining,
    WorkerRestarted,
    WorkerRestartedWithItsClockSteppedBack,
    EarlierAttemptReturned,
    EarlierAttemptDone,
}

impl Change {
    /// Makes this change, except that [`Change::DeadlinePassed`] happens by itself when the attempt's timeout
    /// passes.
    fn apply(self, group: &UpstreamGroup, listener: &FullQueueListener, concluded: &AtomicBool) {
        match self {
            Change::Unchanged | Change::DeadlinePassed => {}
            Change::RequestConcluded => concluded.store(true, Ordering::Relaxed),
            Change::WorkerDraining => update_endpoint(group, listener, EndpointState::Draining, STARTED_AT),
            Change::WorkerRestarted => update_endpoint(group, listener, EndpointState::Ready, STARTED_AT + 1),
            Change::WorkerRestartedWithItsClockSteppedBack => {
                update_endpoint(group, listener, EndpointState::Ready, STARTED_AT - 1);
            }
            Change::EarlierAttemptReturned => {
                assert!(group.dispatch_callback(&callback(REQUEST_ID, "returned")));
            }
            Change::EarlierAttemptDone => assert!(group.dispatch_callback(&callback(REQUEST_ID, "done"))),
        }
    }
}

/// The connection of an attempt is established long after its dial began. If the conditions of the attempt no
/// longer hold when the first byte can be written, no byte is written, and the attempt never ran. A callback
/// that arrives before the connection is established belongs to an earlier attempt.
#[rstest]
#[case::nothing_changes(Change::Unchanged, AttemptResult::Served("made".into()))]
#[case::the_request_is_concluded(Change::RequestConcluded, AttemptResult::NotServed(Outcome::NotSent))]
#[case::the_deadline_passes(Change::DeadlinePassed, AttemptResult::NotServed(Outcome::NotSent))]
#[case::the_worker_drains(Change::WorkerDraining, AttemptResult::NotServed(Outcome::ConnectFailed))]
#[case::the_worker_restarts(Change::WorkerRestarted, AttemptResult::NotServed(Outcome::NotSent))]
#[case::the_worker_restarts_with_its_clock_stepped_back(
    Change::WorkerRestartedWithItsClockSteppedBack,
    AttemptResult::NotServed(Outcome::NotSent)
)]
#[case::an_earlier_attempt_is_returned(Change::EarlierAttemptReturned, AttemptResult::Served("made".into()))]
#[case::an_earlier_attempt_is_done(Change::EarlierAttemptDone, AttemptResult::Served("made".into()))]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_late_connection_carries_a_request_only_while_its_conditions_hold(
    #[case] change: Change,
    #[case] expected: AttemptResult,
) {
    let (listener, group) = (FullQueueListener::open(), UpstreamGroup::new(MINUTE, MINUTE, 1));
    update_endpoint(&group, &listener, EndpointState::Ready, STARTED_AT);
    let _filler = listener.fill().await;
    let mut conditions = SendConditions::with_timeout(MINUTE);
    if change == Change::DeadlinePassed {
        // This timeout of the attempt expires before the kernel retransmits the SYN.
        conditions.first_byte_timeout = Duration::from_micros(1);
    }
    let (concluded, payload, (_cancel, cancelled)) =
        (conditions.concluded.clone(), payload(REQUEST_ID), oneshot::channel());
    let attempt = group.attempt(RequestId(0xab), worker_id("s-0"), &payload, conditions, cancelled, |_| {});
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending(), "the attempt dials");
    change.apply(&group, &listener, &concluded);
    let worker = async {
        drop(listener.accept().await);
        let mut worker = listener.accept().await;
        if let Some(job) = worker.read().await {
            assert_eq!(job.header("x-trace-id"), Some(REQUEST_ID));
            worker.answer(202, "", "").await.expect("the group reads the response");
            assert!(group.dispatch_callback(&callback(REQUEST_ID, "done")));
            return true;
        }
        false
    };
    tokio::pin!(worker);
    match change {
        // In these cases the attempt ends at once and its dial is dropped, so that no connection is
        // established.
        Change::WorkerDraining
        | Change::WorkerRestarted
        | Change::WorkerRestartedWithItsClockSteppedBack
        | Change::EarlierAttemptDone => {
            tokio::select! {
                biased;
                (result, _) = attempt => assert_eq!(result, expected),
                written = &mut worker => panic!("a connection was established; request written: {written}"),
            }
        }
        _ => {
            let ((result, _), written) = tokio::join!(attempt, worker);
            let is_written = matches!(change, Change::Unchanged | Change::EarlierAttemptReturned);
            assert_eq!((result, written), (expected, is_written));
        }
    }
}

/// The `x-expires-in` header tells a worker how long the scheduler waits for the response. If the connection
/// is established late, the time in the header is shorter, since the client does not wait longer.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_late_connection_carries_the_time_that_remains_at_its_first_byte() {
    const TIMEOUT: Duration = Duration::from_secs(5);
    /// The maximum time that reading the first byte takes in this test. The limit is shorter than the second
    /// before the kernel retransmits the SYN.
    const MAX_READ_DELAY: Duration = Duration::from_millis(500);
    let (listener, group) = (FullQueueListener::open(), UpstreamGroup::new(MINUTE, MINUTE, 1));
    update_endpoint(&group, &listener, EndpointState::Ready, 0);
    let _filler = listener.fill().await;
    let (payload, (_cancel, cancelled)) = (payload(REQUEST_ID), oneshot::channel());
    let decided_at = std::time::Instant::now();
    let worker = worker_id("s-0");
    let attempt = group.attempt(
        RequestId(0xab),
        worker,
        &payload,
        SendConditions::with_timeout(TIMEOUT),
        cancelled,
        |_| {},
    );
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending(), "the attempt dials");
    let worker = async {
        drop(listener.accept().await);
        let mut worker = listener.accept().await;
        let job = worker.read().await.expect("the job");
        let elapsed = decided_at.elapsed();
        worker.answer(202, "", "").await.expect("the group reads the response");
        assert!(group.dispatch_callback(&callback(REQUEST_ID, "done")));
        let value = job.header("x-expires-in").expect("the header");
        let micros = value.strip_suffix('u').and_then(|digits| digits.parse().ok()).expect("microseconds");
        (Duration::from_micros(micros), elapsed)
    };
    let ((result, _), (remaining, elapsed)) = tokio::join!(attempt, worker);
    assert_eq!(result, AttemptResult::Served("made".into()));
    assert!(
        remaining + elapsed <= TIMEOUT + MAX_READ_DELAY,
        "{remaining:?} left after {elapsed:?} of {TIMEOUT:?}"
    );
    assert!(remaining + elapsed >= TIMEOUT, "{remaining:?} left after {elapsed:?} of {TIMEOUT:?}");
}

/// Two requests wait for connections to one worker, and the first request is cancelled. Connections that are
/// established afterwards carry only the second request.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_late_connection_does_not_carry_a_cancelled_request() {
    let (listener, group) = (FullQueueListener::open(), UpstreamGroup::new(MINUTE, MINUTE, 1));
    update_endpoint(&group, &listener, EndpointState::Ready, 0);
    let _filler = listener.fill().await;
    let (first, second) = (payload(REQUEST_ID), payload("00000000000000cd"));
    let ((cancel, cancelled), (_cancel, not_cancelled)) = (oneshot::channel(), oneshot::channel());
    let worker = worker_id("s-0");
    let first_attempt = group.attempt(
        RequestId(0xab),
        worker,
        &first,
        SendConditions::with_timeout(MINUTE),
        cancelled,
        |_| {},
    );
    let second_attempt = group.attempt(
        RequestId(0xcd),
        worker,
        &second,
        SendConditions::with_timeout(MINUTE),
        not_cancelled,
        |_| {},
    );
    tokio::pin!(first_attempt, second_attempt);
    assert!(
        futures_util::poll!(first_attempt.as_mut()).is_pending()
            && futures_util::poll!(second_attempt.as_mut()).is_pending()
    );
    cancel.send(()).expect("the attempt is in flight");
    assert_eq!(first_attempt.await.0, AttemptResult::NotServed(Outcome::NotSent), "the attempt never ran");
    let worker = async {
        drop(listener.accept().await);
        let mut worker = listener.accept().await;
        let job = worker.read().await.expect("the second job");
        assert_eq!(job.header("x-trace-id"), Some("00000000000000cd"));
        worker.answer(202, "", "").await.expect("the group reads the response");
        assert!(group.dispatch_callback(&callback("00000000000000cd", "done")));
    };
    let ((result, _), ()) = tokio::join!(second_attempt, worker);
    assert_eq!(result, AttemptResult::Served("made".into()));
}

/// Returns a configuration with one class of keyed jobs, whose deduplication window is shorter than the
/// kernel's delay before it retransmits a SYN.
fn keyed_config() -> Config {
    let class = json!({"name": "pay", "repeat": "keyed", "group": "all", "window": 500_000, "aim": 500_000,
                       "deadline": 60_000_000, "late_share": 0.5});
    let document = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "5eed", "discovery": "127.0.0.1:1",
        "settings": {"me": 0, "balancers": 1, "areas": ["a"], "kinds": ["m"], "zone": 0, "tick": 4000,
            "discovery": "ask", "services": [class], "limits": {"max_attempts": 4, "may_cancel": true},
            "rules": {"stop_sending_within": 500_000, "start_capacity": 0.2, "cold": 24_000_000,
                      "tip_multiple": 2.5, "fall": 2_000_000}}});
    read_text("late", &document.to_string()).expect("a configuration").config
}

fn keyed_request(deadline: Micros) -> Request {
    Request {
        id: RequestId(0xab),
        class: ClassId(0),
        tenant: TenantId(0),
        key: Some("k".to_string()),
        deadline,
        expected_work: None,
        slots: 1.0,
        retry: false,
    }
}

/// Adds two workers, which listen at these listeners, to the upstream group and to the engine's decision
/// module.
fn add_workers(upstream: &UpstreamGroup, engine: &Engine, workers: &[FullQueueListener; 2]) {
    let (names, ready) = (["s-0", "s-1"], EndpointState::Ready);
    let addresses = workers.each_ref().map(|worker| worker.address.to_string());
    let endpoints = names.iter().zip(&addresses).map(|(name, address)| {
        let worker = worker_id(name);
        WorkerEndpoint { worker_id: worker, name, address, state: ready, started_at: 0 }
    });
    upstream.apply_endpoints(EndpointUpdate::Snapshot, endpoints);
    let endpoint = |name| Endpoint {
        worker: worker_id(name),
        zone: ZoneId(0),
        machine_type: MachineTypeId(0),
        cell: CellId(0),
        state: ready,
        weight: 1.0,
        started_at: 0,
    };
    engine.handle(Event::Endpoints {
        update: EndpointUpdate::Snapshot,
        endpoints: names.map(endpoint).to_vec(),
    });
}

/// A keyed job may have run at its first worker. The connection to the second worker is established after the
/// deduplication window has passed. The retry is then not written, and the client gets its final answer at
/// once.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_keyed_job_is_not_retried_on_a_connection_established_after_its_deduplication_window() {
    let config = keyed_config();
    let scheduler =
        Scheduler::new(config.settings_snapshot.settings.clone(), config.seed).expect("valid settings");
    let upstream = Arc::new(UpstreamGroup::new(MINUTE, MINUTE, 1));
    let engine = Engine::new(scheduler, upstream.clone(), unbounded_channel().0, unbounded_channel().0);
    tokio::spawn(engine.clone().run_timers());
    let workers = [FullQueueListener::open(), FullQueueListener::open()];
    add_workers(&upstream, &engine, &workers);
    let request = keyed_request(engine.clock.now() + 60_000_000);
    let submitted = SubmittedRequest {
        request,
        payload: payload(REQUEST_ID),
        settings: Arc::new(config.settings_snapshot),
        memory: None,
    };
    let answer = submit(engine.clone(), upstream.clone(), Arc::new(ProcessLinks::default()), submitted);
    let (mut first, second) = tokio::select! {
        worker = workers[0].accept() => (worker, &workers[1]),
        worker = workers[1].accept() => (worker, &workers[0]),
    };
    first.read().await.expect("the job");
    let _filler = second.fill().await;
    first.answer(500, "", "").await.expect("the group reads the response");
    let late_request = async {
        while upstream.connection_count().get() < 2 {
            tokio::task::yield_now().await;
        }
        // Accepting the connection that fills the queue makes room for the retransmitted SYN, which arrives a
        // second after the first SYN.
        drop(second.accept().await);
        second.accept().await.read().await
    };
    let (late_request, answer) = tokio::join!(late_request, answer);
    assert_eq!(late_request, None, "the deduplication window has passed");
    // The answer must not be a rejection. A rejection would promise that a retry is harmless, but workers no
    // longer deduplicate a retry of this job.
    assert_eq!(answer.expect("an answer"), Answer::Failed);
}
