//! One request and its attempts: when it is sent again, and where to, after a connection broke or its worker restarted.
#![allow(missing_docs)]

#[path = "common/in_process.rs"]
mod in_process;

use bytes::Bytes;
use in_process::{answer_changes, instance, TestScheduler, TEST_TIMEOUT};
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use vetchbridge::request::Answer;
use vetchbridge::workers::Callback;
use vetchbridge_scheduling::{Event, Idempotency};
use vetchbridge_testbed::wire::Wire;

const REQUEST_ID: &str = "00000000000000ab";
/// More than the sockets' buffers take.
const LONG_BODY_BYTES: usize = 16 << 20;

/// Two listening workers, in the list of a scheduler whose saved list is confirmed.
struct TwoWorkers {
    scheduler: TestScheduler,
    a: TcpListener,
    b: TcpListener,
    /// The watch on the list; it stays silent.
    _watch: Wire,
}

impl TwoWorkers {
    async fn start() -> TwoWorkers {
        let mut scheduler = TestScheduler::in_tier_of(1).await;
        let a = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let b = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        scheduler.watch_endpoints(json!([
            instance("s-a", a.local_addr().expect("bound")),
            instance("s-b", b.local_addr().expect("bound"))
        ]));
        let watch = scheduler.confirm_saved_list().await;
        TwoWorkers { scheduler, a, b, _watch: watch }
    }

    /// The next attempt: its connection, read to the end of the head, and its worker's name.
    async fn next_attempt(&self) -> (TcpStream, &'static str) {
        let (accepted, name) = tokio::select! {
            accepted = self.a.accept() => (accepted, "s-a"),
            accepted = self.b.accept() => (accepted, "s-b"),
        };
        let mut stream = accepted.expect("a connection").0;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.extend(read_bytes(&mut stream, 1).await);
        }
        assert!(String::from_utf8_lossy(&head).contains(REQUEST_ID));
        (stream, name)
    }
}

async fn read_bytes(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).await.expect("the scheduler writes");
    bytes
}

/// A connection that breaks before the last byte of a job was written carried nothing that a worker may begin; one that
/// breaks after it ends the job.
#[rstest]
#[case::before(LONG_BODY_BYTES, 1, true)]
#[case::after(4, 4, false)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_non_idempotent_job_is_retried_only_if_its_connection_broke_before_its_last_byte(
    #[case] length: usize,
    #[case] read: usize,
    #[case] retried: bool,
) {
    let workers = TwoWorkers::start().await;
    let scheduler = &workers.scheduler;
    let mut answer = scheduler.submit(REQUEST_ID, Bytes::from(vec![b'w'; length]));
    let (mut stream, first) = workers.next_attempt().await;
    read_bytes(&mut stream, read).await;
    Wire::new(stream).reset();
    if retried {
        let (mut stream, second) = workers.next_attempt().await;
        assert_ne!(first, second);
        read_bytes(&mut stream, length).await;
        Wire::new(stream).answer(202, "", "").await.expect("the scheduler reads");
        let done = json!({"id": REQUEST_ID, "from": second, "state": "done", "result": "made"}).to_string();
        let callback: Callback = serde_json::from_str(&done).expect("a callback");
        assert!(scheduler.upstream.dispatch_callback(&callback));
        assert_eq!(answer.await.expect("an answer"), Answer::Served("made".into()));
    } else {
        tokio::select! {
            biased;
            _ = workers.next_attempt() => panic!("it was sent again"),
            answer = &mut answer => assert_eq!(answer.expect("an answer"), Answer::Failed),
        }
        // Once its context has ended, nothing is left that could send it.
        while scheduler.engine.open_request_count() > 0 {
            tokio::task::yield_now().await;
        }
    }
}

/// The scheduler decides by its own settings, which may change while a request is open; the request's context checks each
/// attempt by the settings that the request was accepted under.
#[rstest]
#[case::non_idempotent_when_it_was_accepted(false)]
#[case::idempotent_in_both_settings(true)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_non_idempotent_job_that_may_have_run_is_not_sent_again_whatever_the_scheduler_decides(
    #[case] idempotent: bool,
) {
    let workers = TwoWorkers::start().await;
    let scheduler = &workers.scheduler;
    let mut settings = scheduler.settings.get().settings.clone();
    settings.classes[0].idempotency = Idempotency::Idempotent;
    scheduler.engine.handle(Event::Settings(Box::new(settings.clone())));
    if idempotent {
        scheduler.replace_settings(settings);
    }
    let mut answer = scheduler.submit(REQUEST_ID, Bytes::from_static(b"work"));
    let (accepted, other) = tokio::select! {
        accepted = workers.a.accept() => (accepted, &workers.b),
        accepted = workers.b.accept() => (accepted, &workers.a),
    };
    let mut first = Wire::new(accepted.expect("a connection").0);
    first.read().await.expect("the job");
    first.answer(500, "", "").await.expect("the scheduler reads");
    let retried = tokio::select! {
        biased;
        _ = other.accept() => true,
        answer = &mut answer => {
            assert!(!matches!(answer.expect("an answer"), Answer::Served(_)));
            false
        }
    };
    assert_eq!(retried, idempotent);
}

/// A worker restarts under its name and address while a job waits for a connection to it. The new process is warming up,
/// so that the job, which no worker has had yet, is placed again at once, where there is capacity.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_waiting_for_a_connection_is_placed_again_when_its_worker_restarts() {
    let mut scheduler = TestScheduler::in_tier_of(1).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    // The backlog takes one connection, and no other comes up.
    let full = socket.listen(0).expect("it listens");
    let full_address = full.local_addr().expect("bound");
    let _filler = TcpStream::connect(full_address).await.expect("the one that the backlog takes");
    let warm = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    scheduler.watch_endpoints(json!([]));
    let (mut watch, _) = scheduler.next_call().await;
    answer_changes(&mut watch, 2, json!([instance("s-a", full_address)])).await;
    watch.read().await.expect("the watch continues");
    let _answer = scheduler.submit(REQUEST_ID, Bytes::from_static(b"work"));
    while scheduler.upstream.connections().get() == 0 {
        tokio::task::yield_now().await;
    }
    let mut restarted = instance("s-a", full_address);
    restarted["startedAtMs"] = (scheduler.engine.clock.now() / 1000).into();
    let warm_worker = instance("s-b", warm.local_addr().expect("bound"));
    answer_changes(&mut watch, 3, json!([restarted, warm_worker])).await;
    let mut worker = Wire::new(warm.accept().await.expect("a connection").0);
    assert_eq!(worker.read().await.expect("the job").header("x-trace-id"), Some(REQUEST_ID));
}
