//! The attempts of one request: when the request is sent again after a connection broke or a worker
//! restarted, and to which worker.
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
use vetchbridge_testbed::wire::HttpConnection;

const REQUEST_ID: &str = "00000000000000ab";
/// Length of a job's body that the buffers of the connection's sockets can't hold, in bytes.
const LONG_BODY_BYTES: usize = 16 << 20;

/// A scheduler with two listening workers, `s-a` and `s-b`. Discovery has confirmed the scheduler's saved
/// endpoint list.
struct TwoWorkers {
    scheduler: TestScheduler,
    a: TcpListener,
    b: TcpListener,
    /// The connection of the scheduler's watch on discovery, which gets no response.
    _watch: HttpConnection,
}

impl TwoWorkers {
    async fn start() -> TwoWorkers {
        let mut scheduler = TestScheduler::with_scheduler_count(1).await;
        let a = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let b = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        scheduler.start_endpoint_watcher(json!([
            instance("s-a", a.local_addr().expect("a bound socket")),
            instance("s-b", b.local_addr().expect("a bound socket"))
        ]));
        let watch = scheduler.confirm_saved_list().await;
        TwoWorkers { scheduler, a, b, _watch: watch }
    }

    /// Accepts the connection of the next attempt at either worker and reads the attempt's request head.
    /// Returns the connection and the worker's name.
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

    /// Waits for the next attempt, accepts the job by a 202 and returns the job by a callback. Returns the
    /// worker's name.
    async fn accept_and_return_job(&self) -> &'static str {
        let (mut stream, worker) = self.next_attempt().await;
        read_bytes(&mut stream, "work".len()).await;
        HttpConnection::new(stream).answer(202, "", "").await.expect("the scheduler reads");
        let returned = json!({"id": REQUEST_ID, "from": worker, "state": "returned"}).to_string();
        let callback: Callback = serde_json::from_str(&returned).expect("a callback");
        assert!(self.scheduler.upstream.dispatch_callback(&callback));
        worker
    }
}

async fn read_bytes(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).await.expect("the scheduler writes");
    bytes
}

/// A worker cannot have started a job whose connection broke before the last byte was written, so the job is
/// retried. If the connection broke after the last byte, the non-idempotent job may have run, and its request
/// fails.
#[rstest]
#[case::before(LONG_BODY_BYTES, 1, true)]
#[case::after(4, 4, false)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_non_idempotent_job_is_retried_only_if_its_connection_broke_before_its_last_byte(
    #[case] body_bytes: usize,
    #[case] bytes_read: usize,
    #[case] retried: bool,
) {
    let workers = TwoWorkers::start().await;
    let scheduler = &workers.scheduler;
    let mut answer = scheduler.submit(REQUEST_ID, Bytes::from(vec![b'w'; body_bytes]));
    let (mut stream, first) = workers.next_attempt().await;
    read_bytes(&mut stream, bytes_read).await;
    HttpConnection::new(stream).reset();
    if retried {
        let (mut stream, second) = workers.next_attempt().await;
        assert_ne!(first, second);
        read_bytes(&mut stream, body_bytes).await;
        HttpConnection::new(stream).answer(202, "", "").await.expect("the scheduler reads");
        let done = json!({"id": REQUEST_ID, "from": second, "state": "done", "result": "made"}).to_string();
        let callback: Callback = serde_json::from_str(&done).expect("a callback");
        assert!(scheduler.upstream.dispatch_callback(&callback));
        assert_eq!(answer.await.expect("an answer"), Answer::Served("made".into()));
    } else {
        tokio::select! {
            biased;
            _ = workers.next_attempt() => panic!("the job was sent again"),
            answer = &mut answer => assert_eq!(answer.expect("an answer"), Answer::Failed),
        }
        // Waits until the scheduler has closed the request, since no later attempt of its job can start from
        // then on.
        while scheduler.engine.open_request_count() > 0 {
            tokio::task::yield_now().await;
        }
    }
}

/// The scheduler decides on retries by its current settings, which may change while a request is open. The
/// task of the request checks each attempt by the settings that were in force when the request was accepted.
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
    let mut first = HttpConnection::new(accepted.expect("a connection").0);
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

/// Guards against a job that runs twice: a worker repeats the callback `returned` until the scheduler's
/// acknowledgement reaches the worker. If the worker got the same job again, the repetition would look like
/// the return of the new attempt, and the job would be sent to another worker while the first one runs it.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_worker_that_returned_a_job_does_not_get_the_job_again() {
    let workers = TwoWorkers::start().await;
    let mut answer = workers.scheduler.submit(REQUEST_ID, Bytes::from_static(b"work"));
    let first = workers.accept_and_return_job().await;
    let second = workers.accept_and_return_job().await;
    assert_ne!(first, second);
    tokio::select! {
        biased;
        (_, worker) = workers.next_attempt() => panic!("{worker} returned the job and got the job again"),
        answer = &mut answer => {
            assert!(matches!(answer.expect("an answer"), Answer::Rejected { .. }));
        }
    }
}

/// A worker restarts under the same name and address while a job waits for a connection to this worker. The
/// worker's new process is warming up, and no worker has received the job yet, so the job is placed again at
/// once, at a worker with capacity.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_job_waiting_for_a_connection_is_placed_again_when_its_worker_restarts() {
    let mut scheduler = TestScheduler::with_scheduler_count(1).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    // The worker's accept queue holds one connection; while the queue is full, no other connection is
    // established.
    let full_listener = socket.listen(0).expect("a listener");
    let full_address = full_listener.local_addr().expect("a bound socket");
    let _filler = TcpStream::connect(full_address).await.expect("the connection that fills the queue");
    let warm_listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    scheduler.start_endpoint_watcher(json!([]));
    let (mut watch, _) = scheduler.accept_call().await;
    answer_changes(&mut watch, 2, json!([instance("s-a", full_address)])).await;
    watch.read().await.expect("the watch continues");
    let _answer = scheduler.submit(REQUEST_ID, Bytes::from_static(b"work"));
    while scheduler.upstream.connection_count().get() == 0 {
        tokio::task::yield_now().await;
    }
    let mut restarted = instance("s-a", full_address);
    restarted["startedAtMs"] = (scheduler.engine.clock.now() / 1000).into();
    let warm_worker = instance("s-b", warm_listener.local_addr().expect("a bound socket"));
    answer_changes(&mut watch, 3, json!([restarted, warm_worker])).await;
    let mut worker = HttpConnection::new(warm_listener.accept().await.expect("a connection").0);
    assert_eq!(worker.read().await.expect("the job").header("x-trace-id"), Some(REQUEST_ID));
}
