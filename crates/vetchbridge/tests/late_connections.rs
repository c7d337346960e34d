//! Connections to workers that come up late, and what was decided long before: one story for each thing that may no longer hold
//! at the first byte. The kernel drops the first call of a dial while a listener's queue is full, and repeats it after a
//! second; nothing here waits for that time to pass but by waiting for the connection.
#![allow(missing_docs)]

mod common;

use bytes::Bytes;
use common::TEST_TIMEOUT;
use hyper::http::uri::PathAndQuery;
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;
use vetchbridge::config::read_text;
use vetchbridge::engine::Engine;
use vetchbridge::request::{submit, Answer, Job};
use vetchbridge::upgrade::process_links::ProcessLinks;
use vetchbridge::workers::{
    worker_id, AttemptResult, Callback, ListedWorker, Payload, SendConditions, UpstreamGroup,
};
use vetchbridge_scheduling::interface::*;
use vetchbridge_scheduling::scheduler::Scheduler;
use vetchbridge_testbed::wire::Wire;

const MINUTE: Duration = Duration::from_secs(60);

/// A listener whose queue has room for one connection.
struct Narrow {
    listener: TcpListener,
    address: SocketAddr,
}

impl Narrow {
    fn open() -> Narrow {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let listener = socket.listen(0).expect("it listens");
        let address = listener.local_addr().expect("bound");
        Narrow { listener, address }
    }

    /// Takes the room: until this is accepted, no other connection comes up.
    async fn fill(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("there is room for one")
    }

    async fn accept(&self) -> Wire {
        Wire::new(self.listener.accept().await.expect("a connection").0)
    }
}

fn tell(group: &UpstreamGroup, narrow: &Narrow, state: EndpointState, started: Micros) {
    let (worker, name, address) = (worker_id("s-0"), "s-0", &*narrow.address.to_string());
    group.apply(
        EndpointUpdate::Changes,
        [ListedWorker { worker_id: worker, name, address, state, started }].into_iter(),
    );
}

fn payload(id: &str) -> Payload {
    let target = PathAndQuery::from_static("/safe/k");
    Payload { id: id.to_string(), target, idempotency_key: None, body: Bytes::from_static(b"work") }
}

fn callback(id: &str, state: &str) -> Callback {
    let words = json!({"id": id, "from": "s-0", "state": state, "result": "made"});
    serde_json::from_value(words).expect("a callback")
}

#[derive(Clone, Copy, PartialEq)]
enum Change {
    Nothing,
    RequestOver,
    TimeUp,
    Drains,
    StartsAnew,
    StartsAnewAfterItsClockWasSteppedBack,
    ReturnedBefore,
    DoneBefore,
}

/// A connection comes up long after its dial began. What the attempt was sent under must still hold at its first byte; if it
/// does not, no byte is written, and the attempt never ran. A callback that comes meanwhile is about an earlier attempt.
#[rstest]
#[case::all_holds(Change::Nothing, AttemptResult::Served("made".into()))]
#[case::nobody_waits_any_more(Change::RequestOver, AttemptResult::NotServed(Outcome::NotSent))]
#[case::the_time_is_up(Change::TimeUp, AttemptResult::NotServed(Outcome::NotSent))]
#[case::the_worker_drains(Change::Drains, AttemptResult::NotServed(Outcome::ConnectFailed))]
#[case::the_worker_starts_anew(Change::StartsAnew, AttemptResult::NotServed(Outcome::NotSent))]
#[case::the_worker_starts_anew_by_a_clock_that_was_stepped_back(
    Change::StartsAnewAfterItsClockWasSteppedBack,
    AttemptResult::NotServed(Outcome::NotSent)
)]
#[case::an_earlier_attempt_is_handed_back(Change::ReturnedBefore, AttemptResult::Served("made".into()))]
#[case::an_earlier_attempt_is_done(Change::DoneBefore, AttemptResult::Served("made".into()))]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_late_connection_carries_only_what_still_holds(
    #[case] change: Change,
    #[case] expected: AttemptResult,
) {
    const ID: &str = "00000000000000ab";
    const STARTED: Micros = 7;
    let (narrow, group) = (Narrow::open(), UpstreamGroup::new(MINUTE, MINUTE, 1));
    tell(&group, &narrow, EndpointState::Ready, STARTED);
    let _filler = narrow.fill().await;
    let mut conditions = SendConditions::within(MINUTE);
    if change == Change::TimeUp {
        // Over before the kernel calls again.
        conditions.begin_within = Duration::from_micros(1);
    }
    let (over, payload, (_cancel, cancelled)) = (conditions.over.clone(), payload(ID), oneshot::channel());
    let attempt = group.attempt(RequestId(0xab), worker_id("s-0"), &payload, conditions, cancelled, |_| {});
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending(), "it dials");
    match change {
        Change::Nothing | Change::TimeUp => {}
        Change::RequestOver => over.store(true, Ordering::Relaxed),
        Change::Drains => tell(&group, &narrow, EndpointState::Draining, STARTED),
        Change::StartsAnew => tell(&group, &narrow, EndpointState::Ready, STARTED + 1),
        Change::StartsAnewAfterItsClockWasSteppedBack => {
            tell(&group, &narrow, EndpointState::Ready, STARTED - 1);
        }
        Change::ReturnedBefore => assert!(group.called_back(&callback(ID, "returned"))),
        Change::DoneBefore => assert!(group.called_back(&callback(ID, "done"))),
    }
    let worker = async {
        narrow.accept().await.closed_by_the_story();
        let mut worker = narrow.accept().await;
        if let Some(job) = worker.read().await {
            assert_eq!(job.header("x-trace-id"), Some(ID));
            worker.answer(202, "", "").await.expect("it is read");
            assert!(group.called_back(&callback(ID, "done")));
            return true;
        }
        false
    };
    tokio::pin!(worker);
    match change {
        // The dial goes with the attempt: there is no connection to wait for.
        Change::Drains
        | Change::StartsAnew
        | Change::StartsAnewAfterItsClockWasSteppedBack
        | Change::DoneBefore => {
            tokio::select! {
                biased;
                (ended, _) = attempt => assert_eq!(ended, expected),
                written = &mut worker => panic!("a connection came, written to: {written}"),
            }
        }
        _ => {
            let ((ended, _), written) = tokio::join!(attempt, worker);
            let holds = matches!(change, Change::Nothing | Change::ReturnedBefore);
            assert_eq!((ended, written), (expected, holds));
        }
    }
}

/// Says what dropping a connection is for.
trait Closed {
    fn closed_by_the_story(self);
}

impl Closed for Wire {
    fn closed_by_the_story(self) {}
}

/// A worker is told how long its answer is waited for. That counts from the first byte, and not from the decision: the client
/// has not one second more because the connection took one.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_late_connection_tells_the_time_that_is_left_then() {
    const WAIT: Duration = Duration::from_secs(5);
    /// Between the first byte and its reading here; less than the second for which the kernel pauses.
    const READ_WITHIN: Duration = Duration::from_millis(500);
    let (narrow, group) = (Narrow::open(), UpstreamGroup::new(MINUTE, MINUTE, 1));
    tell(&group, &narrow, EndpointState::Ready, 0);
    let _filler = narrow.fill().await;
    let (payload, (_cancel, cancelled)) = (payload("00000000000000ab"), oneshot::channel());
    let decided = std::time::Instant::now();
    let worker = worker_id("s-0");
    let attempt =
        group.attempt(RequestId(0xab), worker, &payload, SendConditions::within(WAIT), cancelled, |_| {});
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending(), "it dials");
    let worker = async {
        narrow.accept().await.closed_by_the_story();
        let mut worker = narrow.accept().await;
        let job = worker.read().await.expect("the job");
        let read = decided.elapsed();
        worker.answer(202, "", "").await.expect("it is read");
        assert!(group.called_back(&callback("00000000000000ab", "done")));
        let told = job.header("x-expires-in").expect("a span");
        let micros = told.strip_suffix('u').and_then(|digits| digits.parse().ok()).expect("microseconds");
        (Duration::from_micros(micros), read)
    };
    let ((ended, _), (told, read)) = tokio::join!(attempt, worker);
    assert_eq!(ended, AttemptResult::Served("made".into()));
    assert!(told + read <= WAIT + READ_WITHIN, "told {told:?} when {read:?} of {WAIT:?} were over");
    assert!(told + read >= WAIT, "told {told:?} when {read:?} of {WAIT:?} were over");
}

/// Two requests wait for one worker, and the first is called off. Connections that come up afterwards carry the second alone.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_late_connection_is_not_written_to_for_a_request_that_is_gone() {
    let (narrow, group) = (Narrow::open(), UpstreamGroup::new(MINUTE, MINUTE, 1));
    tell(&group, &narrow, EndpointState::Ready, 0);
    let _filler = narrow.fill().await;
    let (first, second) = (payload("00000000000000ab"), payload("00000000000000cd"));
    let ((cancel, cancelled), (_keep, kept)) = (oneshot::channel(), oneshot::channel());
    let worker = worker_id("s-0");
    let gone =
        group.attempt(RequestId(0xab), worker, &first, SendConditions::within(MINUTE), cancelled, |_| {});
    let stays = group.attempt(RequestId(0xcd), worker, &second, SendConditions::within(MINUTE), kept, |_| {});
    tokio::pin!(gone, stays);
    assert!(
        futures_util::poll!(gone.as_mut()).is_pending() && futures_util::poll!(stays.as_mut()).is_pending()
    );
    cancel.send(()).expect("it waits");
    assert_eq!(gone.await.0, AttemptResult::NotServed(Outcome::NotSent), "it never ran");
    let worker = async {
        narrow.accept().await.closed_by_the_story();
        let mut worker = narrow.accept().await;
        let job = worker.read().await.expect("the job that is wanted");
        assert_eq!(job.header("x-trace-id"), Some("00000000000000cd"));
        worker.answer(202, "", "").await.expect("it is read");
        assert!(group.called_back(&callback("00000000000000cd", "done")));
    };
    let ((ended, _), ()) = tokio::join!(stays, worker);
    assert_eq!(ended, AttemptResult::Served("made".into()));
}

/// A keyed job may have run at its first worker. The second one's connection comes up when workers drop its repeat no longer: it
/// is not written, and the client has an answer at once.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_keyed_job_is_not_repeated_on_a_connection_that_comes_after_its_window() {
    let class = json!({"name": "pay", "repeat": "keyed", "group": "all", "window": 500_000, "aim": 500_000,
                       "deadline": 60_000_000, "late_share": 0.5});
    let document = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "5eed", "discovery": "127.0.0.1:1",
        "settings": {"me": 0, "balancers": 1, "areas": ["a"], "kinds": ["m"], "zone": 0, "tick": 4000,
            "discovery": "ask", "services": [class], "limits": {"max_attempts": 4, "may_cancel": true},
            "rules": {"stop_sending_within": 500_000, "start_capacity": 0.2, "cold": 24_000_000,
                      "tip_multiple": 2.5, "fall": 2_000_000}}});
    let config = read_text("late", &document.to_string()).expect("it reads").config;
    let scheduler = Scheduler::new(config.snapshot.settings.clone(), config.seed).expect("sound settings");
    let upstream = Arc::new(UpstreamGroup::new(MINUTE, MINUTE, 1));
    let engine = Engine::new(scheduler, upstream.clone(), unbounded_channel().0, unbounded_channel().0);
    tokio::spawn(engine.clone().run_timers());
    let workers = [Narrow::open(), Narrow::open()];
    let (names, ready) = (["s-0", "s-1"], EndpointState::Ready);
    let addresses = workers.each_ref().map(|worker| worker.address.to_string());
    let entries = names.iter().zip(&addresses).map(|(name, address)| {
        let worker = worker_id(name);
        ListedWorker { worker_id: worker, name, address, state: ready, started: 0 }
    });
    upstream.apply(EndpointUpdate::Snapshot, entries);
    let endpoint = |name| Endpoint {
        worker: worker_id(name),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        state: ready,
        weight: 1.0,
        started_at: 0,
    };
    engine.handle(Event::Endpoints {
        update: EndpointUpdate::Snapshot,
        endpoints: names.map(endpoint).to_vec(),
    });
    let request = Request {
        id: RequestId(0xab),
        class: ClassId(0),
        tenant: TenantId(0),
        key: Some("k".to_string()),
        deadline: engine.clock.now() + 60_000_000,
        expected_work: None,
        slots: 1.0,
        retry: false,
    };
    let job = Job {
        request,
        payload: payload("00000000000000ab"),
        settings: Arc::new(config.snapshot),
        room: None,
    };
    let answer = submit(engine.clone(), upstream.clone(), Arc::new(ProcessLinks::default()), job);
    let (mut first, other) = tokio::select! {
        worker = workers[0].accept() => (worker, &workers[1]),
        worker = workers[1].accept() => (worker, &workers[0]),
    };
    first.read().await.expect("the job");
    let _filler = other.fill().await;
    first.answer(500, "", "").await.expect("it is read");
    let late = async {
        while upstream.connections().get() < 2 {
            tokio::task::yield_now().await;
        }
        // Once this connection is accepted, the kernel's next call has room; that is a second after the first.
        other.accept().await.closed_by_the_story();
        other.accept().await.read().await
    };
    let (written, answer) = tokio::join!(late, answer);
    assert_eq!(written, None, "the window was over");
    // A refusal would promise that trying again is harmless, and workers drop a repeat no longer.
    assert_eq!(answer.expect("an answer"), Answer::Failed);
}
