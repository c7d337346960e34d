//! Probes of workers and their load reports, against scripted workers on loopback sockets: one story for each way that a
//! probe can end, and for each way that a report can come.
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
use vetchbridge_scheduling::interface::{
    EndpointState, EndpointUpdate, LoadReport, LoadReportSource, Outcome, RequestId, WorkerId,
};
use vetchbridge_testbed::{wire::Wire, Port};

/// A story that stands still fails; none of them measures time.
const HANG: Duration = Duration::from_secs(60);
const MINUTE: Duration = Duration::from_secs(60);
const ID: &str = "00000000000000ab";

/// A group that knows one worker, `s-0`.
struct Stage {
    group: UpstreamGroup,
    worker: TcpListener,
    worker_id: WorkerId,
}

fn tell(group: &UpstreamGroup, address: SocketAddr, state: EndpointState) {
    let (worker_id, name, address) = (worker_id("s-0"), "s-0", &*address.to_string());
    let entry = WorkerEndpoint { worker_id, name, address, state, started_at: 0 };
    group.apply_endpoints(EndpointUpdate::Changes, [entry].into_iter());
}

impl Stage {
    async fn set(source: LoadReportSource, probes: usize) -> Stage {
        let worker = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let group = UpstreamGroup::new(MINUTE, MINUTE, probes);
        group.set_load_reports(LoadReportSettings { source, free_slots: FreeSlotsField::X0 });
        tell(&group, worker.local_addr().expect("bound"), EndpointState::Ready);
        Stage { group, worker, worker_id: worker_id("s-0") }
    }

    async fn accept(&self) -> Wire {
        Wire::new(self.worker.accept().await.expect("a connection").0)
    }

    /// A probe whose answer is this status, with these header lines and this body.
    async fn probe(&self, status: u16, headers: &str, body: &str) -> (Outcome, Option<LoadReport>) {
        let answering = async {
            let mut wire = self.accept().await;
            wire.read().await.expect("a probe");
            wire.answer(status, headers, body).await.expect("it is read");
            wire
        };
        tokio::join!(self.group.probe(self.worker_id), answering).0
    }

    /// An attempt whose answer this worker writes, and whose callback follows where there is one.
    async fn attempt(
        &self,
        answer: (u16, &str),
        callback: Option<&str>,
    ) -> (AttemptResult, Option<LoadReport>) {
        let target = PathAndQuery::from_static("/safe/k");
        let payload = Payload { id: ID.to_string(), target, idempotency_key: None, body: Bytes::new() };
        let (_cancel, cancelled) = oneshot::channel();
        let attempt = self.group.attempt(
            RequestId(0xab),
            self.worker_id,
            &payload,
            SendConditions::with_timeout(MINUTE),
            cancelled,
            |_| {},
        );
        let answering = async {
            let mut wire = self.accept().await;
            wire.read().await.expect("the job");
            wire.answer(answer.0, answer.1, "").await.expect("it is read");
            if let Some(callback) = callback {
                let callback: Callback = serde_json::from_str(callback).expect("a callback");
                assert!(self.group.dispatch_callback(&callback));
            }
            wire
        };
        tokio::join!(attempt, answering).0
    }
}

fn queued(jobs: f64) -> Option<LoadReport> {
    Some(LoadReport { queued: Some(jobs), ..LoadReport::default() })
}

/// Probes name no request and share the connections that are kept: a new one would cost the worker work.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn probes_ask_for_stats_over_one_kept_connection() {
    let stage = Stage::set(LoadReportSource::Probes, 4).await;
    let probing =
        async { [stage.group.probe(stage.worker_id).await, stage.group.probe(stage.worker_id).await] };
    let answering = async {
        let mut wire = stage.accept().await;
        for body in ["{\"queue\":2}", "TEXT queue=3, x0=1"] {
            let probe = wire.read().await.expect("a probe");
            assert_eq!(probe.line, "GET /stats HTTP/1.1");
            assert_eq!((probe.header("x-trace-id"), probe.body.len()), (None, 0));
            wire.answer(200, "", body).await.expect("it is read");
        }
        wire
    };
    let (ended, _wire) = tokio::join!(probing, answering);
    let second = LoadReport { queued: Some(3.0), free_slots: Some(1.0), ..LoadReport::default() };
    assert_eq!(ended, [(Outcome::Ok, queued(2.0)), (Outcome::Ok, Some(second))]);
}

#[rstest]
#[case::by_header(200, "Endpoint-Load-Metrics: TEXT queue=2\r\n", "", Outcome::Ok, queued(2.0))]
#[case::no_report(200, "", "", Outcome::Ok, None)]
#[case::garbage(200, "", "<html>\u{0}{\"queue\":", Outcome::Ok, None)]
#[case::not_well(503, "", "{\"queue\":9}", Outcome::Rejected, queued(9.0))]
#[case::too_many(429, "", "", Outcome::Rejected, None)]
#[case::unknown_there(404, "", "queue=9", Outcome::Error, None)]
#[case::broken_there(500, "", "", Outcome::Error, None)]
#[timeout(HANG)]
#[tokio::test]
async fn an_answer_tells_how_the_worker_is(
    #[case] status: u16,
    #[case] headers: &str,
    #[case] body: &str,
    #[case] expected: Outcome,
    #[case] load: Option<LoadReport>,
) {
    let stage = Stage::set(LoadReportSource::Probes, 1).await;
    assert_eq!(stage.probe(status, headers, body).await, (expected, load));
}

/// A body beyond all measure is read no further, and is no report.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn an_endless_report_is_none() {
    let stage = Stage::set(LoadReportSource::Probes, 1).await;
    let answering = async {
        let mut wire = stage.accept().await;
        wire.read().await.expect("a probe");
        // The other side may hang up in the middle of it.
        let _ = wire.answer(200, "", &format!("queue=1,{}", " ".repeat(1 << 20))).await;
    };
    let (ended, ()) = tokio::join!(stage.group.probe(stage.worker_id), answering);
    assert_eq!(ended, (Outcome::Ok, None));
}

#[rstest]
#[case::before_the_answer("")]
#[case::in_the_head("HTTP/1.1 200 O")]
#[case::in_the_body("HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"queue\":2}")]
#[timeout(HANG)]
#[tokio::test]
async fn a_probe_that_breaks_off_is_a_reset(#[case] before: &str) {
    let stage = Stage::set(LoadReportSource::Probes, 1).await;
    let answering = async {
        let mut wire = stage.accept().await;
        wire.read().await.expect("a probe");
        wire.write(before).await.expect("it is read");
    };
    let (ended, ()) = tokio::join!(stage.group.probe(stage.worker_id), answering);
    assert_eq!(ended, (Outcome::Reset, None));
}

/// Silence ends at the bound, and hanging up tells the worker that nobody waits any more. The place is given back.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn an_answer_that_is_late_is_not_waited_for() {
    let stage = Stage::set(LoadReportSource::Probes, 1).await;
    let silent = async {
        let mut wire = stage.accept().await;
        wire.read().await.expect("a probe");
        // From here on, only the bound is left to wait for.
        tokio::time::pause();
        wire.closed().await;
        tokio::time::resume();
    };
    let (ended, ()) = tokio::join!(stage.group.probe(stage.worker_id), silent);
    assert_eq!(ended, (Outcome::Timeout, None));
    assert_eq!(stage.probe(200, "", "queue=2").await, (Outcome::Ok, queued(2.0)));
}

#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_worker_that_refuses_or_is_unknown_can_t_be_connected_to() {
    let stage = Stage::set(LoadReportSource::Probes, 1).await;
    let nobody = Port::reserve().expect("a port");
    tell(&stage.group, nobody.address(), EndpointState::Ready);
    assert_eq!(stage.group.probe(stage.worker_id).await, (Outcome::ConnectFailed, None));
    assert_eq!(stage.group.probe(WorkerId(7)).await, (Outcome::ConnectFailed, None));
}

/// Not one byte goes to a worker that is leaving, be it told before the probe or while it dials.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_worker_that_drains_is_not_probed() {
    let stage = Stage::set(LoadReportSource::Probes, 1).await;
    let address = stage.worker.local_addr().expect("bound");
    let probe = stage.group.probe(stage.worker_id);
    tokio::pin!(probe);
    // The first poll starts the dial; no dial ends before the runtime has looked at its sockets.
    assert!(futures_util::poll!(probe.as_mut()).is_pending());
    tell(&stage.group, address, EndpointState::Draining);
    let written = async {
        let (stream, _) = stage.worker.accept().await.expect("a connection");
        stream.readable().await.expect("readable");
        stream.try_read(&mut [0; 1]).unwrap_or(0)
    };
    tokio::select! {
        biased;
        ended = probe => assert_eq!(ended, (Outcome::ConnectFailed, None)),
        bytes = written => panic!("{bytes} bytes were written to a draining worker"),
    }
    assert_eq!(stage.group.probe(stage.worker_id).await, (Outcome::ConnectFailed, None));
}

/// Each probe may hold a descriptor: beyond the bound one is never sent, and ends at once.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn more_probes_than_there_is_room_for_are_not_sent() {
    let stage = Stage::set(LoadReportSource::Probes, 2).await;
    let (a, b) = (stage.group.probe(stage.worker_id), stage.group.probe(stage.worker_id));
    tokio::pin!(a, b);
    assert!(futures_util::poll!(a.as_mut()).is_pending() && futures_util::poll!(b.as_mut()).is_pending());
    assert_eq!(stage.group.probe(stage.worker_id).await, (Outcome::NotSent, None));
}

/// What ended the attempt brings the report; what came before is older than the job.
#[rstest]
#[case::turned_away((503, "X-Never-Ran: 1\r\nEndpoint-Load-Metrics: TEXT queue=2\r\n"), None, AttemptResult::NotServed(Outcome::Rejected), queued(2.0))]
#[case::failed((500, "Endpoint-Load-Metrics: queue=2\r\n"), None, AttemptResult::NotServed(Outcome::Error), queued(2.0))]
#[case::garbage((500, "Endpoint-Load-Metrics: BIN CAES\r\n"), None, AttemptResult::NotServed(Outcome::Error), None)]
#[case::done((202, "Endpoint-Load-Metrics: queue=9\r\n"), Some(r#""state":"done","result":"made","load":{"queue":2}"#), AttemptResult::Served(Bytes::from_static(b"made")), queued(2.0))]
#[case::silent((202, "Endpoint-Load-Metrics: queue=9\r\n"), Some(r#""state":"lost""#), AttemptResult::NotServed(Outcome::Reset), None)]
#[case::out_of_range((202, ""), Some(r#""state":"failed","load":{"util":1e999,"queue":2}"#), AttemptResult::NotServed(Outcome::Error), queued(2.0))]
#[case::no_object((202, ""), Some(r#""state":"done","result":"made","load":[{"queue":2}]"#), AttemptResult::Served(Bytes::from_static(b"made")), None)]
#[timeout(HANG)]
#[tokio::test]
async fn an_attempt_ends_with_the_report_that_came_with_its_end(
    #[case] answer: (u16, &str),
    #[case] callback: Option<&str>,
    #[case] expected: AttemptResult,
    #[case] load: Option<LoadReport>,
) {
    let stage = Stage::set(LoadReportSource::Responses, 1).await;
    let callback = callback.map(|rest| format!("{{\"id\":\"{ID}\",\"from\":\"s-0\",{rest}}}"));
    assert_eq!(stage.attempt(answer, callback.as_deref()).await, (expected, load));
}

/// Where the settings name no reports on answers, such a report is a header like any other.
#[rstest]
#[timeout(HANG)]
#[tokio::test]
async fn a_report_that_the_settings_do_not_name_is_not_read() {
    let stage = Stage::set(LoadReportSource::Probes, 1).await;
    let answer = (503, "X-Never-Ran: 1\r\nEndpoint-Load-Metrics: queue=2\r\n");
    assert_eq!(stage.attempt(answer, None).await, (AttemptResult::NotServed(Outcome::Rejected), None));
}
