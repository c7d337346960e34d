//! Probes (health checks) of workers and the load reports of workers: one test for each way in which a probe
//! can end, and for each way in which a load report can arrive. The workers are scripted and listen on
//! loopback sockets.
#![allow(missing_docs)]

use bytes::Bytes;
use hyper::http::uri::PathAndQuery;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use vetchbridge::workers::load_report::{FreeSlotsField, LoadReportSettings};
use vetchbridge::workers::{
    worker_id, AttemptResult, Callback, Payload, SendConditions, UpstreamGroup, WorkerEndpoint,
};
use vetchbridge_scheduling::{
    EndpointState, EndpointUpdate, LoadReport, LoadReportSource, Outcome, RequestId, WorkerId,
};
use vetchbridge_testbed::{wire::HttpConnection, Port};

/// The time after which a hanging test fails. No test in this file measures time.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const MINUTE: Duration = Duration::from_secs(60);
const REQUEST_ID: &str = "00000000000000ab";

/// An upstream group (the connections to workers) with one worker, `s-0`.
struct Fixture {
    group: UpstreamGroup,
    listener: TcpListener,
    worker_id: WorkerId,
}

fn update_endpoint(group: &UpstreamGroup, address: SocketAddr, state: EndpointState) {
    let (worker_id, name, address) = (worker_id("s-0"), "s-0", &*address.to_string());
    let endpoint = WorkerEndpoint { worker_id, name, address, state, started_at: 0 };
    group.apply_endpoints(EndpointUpdate::Changes, [endpoint].into_iter());
}

impl Fixture {
    async fn new(source: LoadReportSource, max_probes: usize) -> Fixture {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let group = UpstreamGroup::new(MINUTE, MINUTE, max_probes);
        group.set_load_report_settings(LoadReportSettings { source, free_slots: FreeSlotsField::X0 });
        update_endpoint(&group, listener.local_addr().expect("a bound socket"), EndpointState::Ready);
        Fixture { group, listener, worker_id: worker_id("s-0") }
    }

    async fn accept(&self) -> HttpConnection {
        HttpConnection::new(self.listener.accept().await.expect("a connection").0)
    }

    /// Sends a probe to the worker. The worker responds with this status, these header lines and this body.
    async fn probe(&self, status: u16, headers: &str, body: &str) -> (Outcome, Option<LoadReport>) {
        let responding = async {
            let mut connection = self.accept().await;
            connection.read().await.expect("a probe");
            connection.answer(status, headers, body).await.expect("the group reads the response");
            connection
        };
        tokio::join!(self.group.probe(self.worker_id), responding).0
    }

    /// Makes an attempt at the worker. The worker responds with this status and these header lines, and then
    /// sends the callback if one is given.
    async fn attempt(
        &self,
        response: (u16, &str),
        callback: Option<&str>,
    ) -> (AttemptResult, Option<LoadReport>) {
        let target = PathAndQuery::from_static("/safe/k");
        let payload =
            Payload { id: REQUEST_ID.to_string(), target, idempotency_key: None, body: Bytes::new() };
        let (_cancel, cancelled) = oneshot::channel();
        let attempt = self.group.attempt(
            RequestId(0xab),
            self.worker_id,
            &payload,
            SendConditions::with_timeout(MINUTE),
            cancelled,
            |_| {},
        );
        let responding = async {
            let mut connection = self.accept().await;
            connection.read().await.expect("the job");
            connection.answer(response.0, response.1, "").await.expect("the group reads the response");
            if let Some(callback) = callback {
                let callback: Callback = serde_json::from_str(callback).expect("a callback");
                assert!(self.group.dispatch_callback(&callback));
            }
            connection
        };
        tokio::join!(attempt, responding).0
    }
}

/// Returns a load report that contains only the number of queued jobs.
fn queued(jobs: f64) -> LoadReport {
    LoadReport { queued: Some(jobs), ..LoadReport::default() }
}

/// Probes carry no request id and use connections from the connection pool, since a new connection would cost
/// the worker additional work.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn probes_request_stats_over_one_pooled_connection() {
    let fixture = Fixture::new(LoadReportSource::Probes, 4).await;
    let probing = async {
        [fixture.group.probe(fixture.worker_id).await, fixture.group.probe(fixture.worker_id).await]
    };
    let responding = async {
        let mut connection = fixture.accept().await;
        for body in ["{\"queue\":2}", "TEXT queue=3, x0=1"] {
            let probe = connection.read().await.expect("a probe");
            assert_eq!(probe.start_line, "GET /stats HTTP/1.1");
            assert_eq!((probe.header("x-trace-id"), probe.body.len()), (None, 0));
            connection.answer(200, "", body).await.expect("the group reads the response");
        }
        connection
    };
    let (outcomes, _wire) = tokio::join!(probing, responding);
    let second_report = LoadReport { queued: Some(3.0), free_slots: Some(1.0), ..LoadReport::default() };
    assert_eq!(outcomes, [(Outcome::Ok, Some(queued(2.0))), (Outcome::Ok, Some(second_report))]);
}

#[rstest]
#[case::by_header(200, "Endpoint-Load-Metrics: TEXT queue=2\r\n", "", Outcome::Ok, Some(queued(2.0)))]
#[case::no_report(200, "", "", Outcome::Ok, None)]
#[case::malformed_report(200, "", "<html>\u{0}{\"queue\":", Outcome::Ok, None)]
#[case::unhealthy(503, "", "{\"queue\":9}", Outcome::Rejected, Some(queued(9.0)))]
#[case::too_many_requests(429, "", "", Outcome::Rejected, None)]
#[case::not_found(404, "", "queue=9", Outcome::Error, None)]
#[case::internal_error(500, "", "", Outcome::Error, None)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn the_status_of_a_response_decides_the_outcome_of_a_probe(
    #[case] status: u16,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] expected: Outcome,
    #[case] load: Option<LoadReport>,
) {
    let fixture = Fixture::new(LoadReportSource::Probes, 1).await;
    assert_eq!(fixture.probe(status, headers, body).await, (expected, load));
}

/// The body of a response to a probe is read only up to a maximum length. A longer body is not used as a load
/// report.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_oversized_report_is_ignored() {
    let fixture = Fixture::new(LoadReportSource::Probes, 1).await;
    let responding = async {
        let mut connection = fixture.accept().await;
        connection.read().await.expect("a probe");
        // The upstream group may close the connection before the worker has written the whole response.
        let _ = connection.answer(200, "", &format!("queue=1,{}", " ".repeat(1 << 20))).await;
    };
    let (result, ()) = tokio::join!(fixture.group.probe(fixture.worker_id), responding);
    assert_eq!(result, (Outcome::Ok, None));
}

#[rstest]
#[case::before_the_response("")]
#[case::in_the_head("HTTP/1.1 200 O")]
#[case::in_the_body("HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"queue\":2}")]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_probe_whose_connection_breaks_ends_with_the_outcome_reset(#[case] written: &str) {
    let fixture = Fixture::new(LoadReportSource::Probes, 1).await;
    let responding = async {
        let mut connection = fixture.accept().await;
        connection.read().await.expect("a probe");
        connection.write(written).await.expect("the group reads the response");
    };
    let (result, ()) = tokio::join!(fixture.group.probe(fixture.worker_id), responding);
    assert_eq!(result, (Outcome::Reset, None));
}

/// A probe that gets no response ends when its timeout expires, closes its connection and releases its
/// permit, so that the next probe can be sent.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_probe_without_a_response_times_out_and_releases_its_permit() {
    let fixture = Fixture::new(LoadReportSource::Probes, 1).await;
    let unresponsive = async {
        let mut connection = fixture.accept().await;
        connection.read().await.expect("a probe");
        // Only the probe's timeout is pending from here on, so the runtime's paused clock advances directly
        // to this timeout.
        tokio::time::pause();
        connection.wait_for_close().await;
        tokio::time::resume();
    };
    let (result, ()) = tokio::join!(fixture.group.probe(fixture.worker_id), unresponsive);
    assert_eq!(result, (Outcome::Timeout, None));
    assert_eq!(fixture.probe(200, "", "queue=2").await, (Outcome::Ok, Some(queued(2.0))));
}

#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_probe_of_an_unreachable_or_unknown_worker_fails_to_connect() {
    let fixture = Fixture::new(LoadReportSource::Probes, 1).await;
    let closed_port = Port::reserve().expect("a free port");
    update_endpoint(&fixture.group, closed_port.address(), EndpointState::Ready);
    assert_eq!(fixture.group.probe(fixture.worker_id).await, (Outcome::ConnectFailed, None));
    assert_eq!(fixture.group.probe(WorkerId(7)).await, (Outcome::ConnectFailed, None));
}

/// No byte of a probe is written to a worker that starts to drain before the probe or while the probe dials
/// the worker.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_draining_worker_is_not_probed() {
    let fixture = Fixture::new(LoadReportSource::Probes, 1).await;
    let address = fixture.listener.local_addr().expect("a bound socket");
    let probe = fixture.group.probe(fixture.worker_id);
    tokio::pin!(probe);
    // The first poll of the probe starts the dial, which cannot end before the runtime polls its sockets.
    assert!(futures_util::poll!(probe.as_mut()).is_pending());
    update_endpoint(&fixture.group, address, EndpointState::Draining);
    let written = async {
        let (stream, _) = fixture.listener.accept().await.expect("a connection");
        stream.readable().await.expect("the connection is readable");
        stream.try_read(&mut [0; 1]).unwrap_or(0)
    };
    tokio::select! {
        biased;
        result = probe => assert_eq!(result, (Outcome::ConnectFailed, None)),
        bytes = written => panic!("{bytes} bytes were written to a draining worker"),
    }
    assert_eq!(fixture.group.probe(fixture.worker_id).await, (Outcome::ConnectFailed, None));
}

/// The number of probes in flight is limited, since each probe may use a file descriptor. A probe beyond the
/// limit is not sent and ends at once.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn probes_beyond_the_limit_are_not_sent() {
    let fixture = Fixture::new(LoadReportSource::Probes, 2).await;
    let (first, second) = (fixture.group.probe(fixture.worker_id), fixture.group.probe(fixture.worker_id));
    tokio::pin!(first, second);
    assert!(
        futures_util::poll!(first.as_mut()).is_pending() && futures_util::poll!(second.as_mut()).is_pending()
    );
    assert_eq!(fixture.group.probe(fixture.worker_id).await, (Outcome::NotSent, None));
}

/// The load report is taken from the worker's response or callback that ended the attempt. If a callback
/// ended the attempt, a load report on the worker's 202 response is ignored, since that report predates the
/// job.
#[rstest]
#[case::rejected((503, "X-Never-Ran: 1\r\nEndpoint-Load-Metrics: TEXT queue=2\r\n"), None, AttemptResult::NotServed(Outcome::Rejected), Some(queued(2.0)))]
#[case::failed((500, "Endpoint-Load-Metrics: queue=2\r\n"), None, AttemptResult::NotServed(Outcome::Error), Some(queued(2.0)))]
#[case::malformed((500, "Endpoint-Load-Metrics: BIN CAES\r\n"), None, AttemptResult::NotServed(Outcome::Error), None)]
#[case::done((202, "Endpoint-Load-Metrics: queue=9\r\n"), Some(r#""state":"done","result":"made","load":{"queue":2}"#), AttemptResult::Served(Bytes::from_static(b"made")), Some(queued(2.0)))]
#[case::no_report((202, "Endpoint-Load-Metrics: queue=9\r\n"), Some(r#""state":"lost""#), AttemptResult::NotServed(Outcome::Reset), None)]
#[case::out_of_range((202, ""), Some(r#""state":"failed","load":{"util":1e999,"queue":2}"#), AttemptResult::NotServed(Outcome::Error), Some(queued(2.0)))]
#[case::not_an_object((202, ""), Some(r#""state":"done","result":"made","load":[{"queue":2}]"#), AttemptResult::Served(Bytes::from_static(b"made")), None)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_attempt_returns_the_load_report_of_the_message_that_ended_it(
    #[case] response: (u16, &str),
    #[case] callback: Option<&str>,
    #[case] expected: AttemptResult,
    #[case] load: Option<LoadReport>,
) {
    let fixture = Fixture::new(LoadReportSource::Responses, 1).await;
    let callback = callback.map(|rest| format!("{{\"id\":\"{REQUEST_ID}\",\"from\":\"s-0\",{rest}}}"));
    assert_eq!(fixture.attempt(response, callback.as_deref()).await, (expected, load));
}

/// A load report on the response to a job is ignored if the settings take load reports from probes only.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_report_from_a_source_that_is_not_configured_is_ignored() {
    let fixture = Fixture::new(LoadReportSource::Probes, 1).await;
    let response = (503, "X-Never-Ran: 1\r\nEndpoint-Load-Metrics: queue=2\r\n");
    assert_eq!(fixture.attempt(response, None).await, (AttemptResult::NotServed(Outcome::Rejected), None));
}
