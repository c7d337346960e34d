//! Responses of workers that are truncated, sent twice or never end, and connections to workers that end
//! while they are idle. The worker is a blocking socket, so that the bytes that the worker writes are in the
//! kernel before the runtime polls any socket.
#![allow(missing_docs)]

mod common;

use bytes::Bytes;
use common::{ACCEPTED, TEST_TIMEOUT};
use hyper::http::uri::PathAndQuery;
use rstest::rstest;
use rustix::net::sockopt::set_socket_linger;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::spawn_blocking;
use vetchbridge::workers::{
    worker_id, AttemptResult, Callback, Payload, SendConditions, UpstreamGroup, WorkerEndpoint,
};
use vetchbridge_scheduling::{EndpointState, EndpointUpdate, Outcome, RequestId, WorkerId};

const MINUTE: Duration = Duration::from_secs(60);
const REQUEST_ID: &str = "00000000000000ab";
/// A response by which a worker rejects a job and declares that it has not started the job.
const REJECTED: &str = "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\ncontent-length: 0\r\n\r\n";

/// An upstream group (the daemon's connections to its workers) with one worker, `s-0`.
struct Fixture {
    group: UpstreamGroup,
    listener: TcpListener,
    worker: WorkerId,
}

/// The worker's end of a connection from the upstream group.
struct WorkerConnection(TcpStream);

impl WorkerConnection {
    fn write(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("the write succeeds");
    }

    /// Reads the next complete request from the upstream group. Returns `None` if the connection was closed
    /// between two requests.
    async fn read_request(&mut self) -> Option<String> {
        let mut stream = self.0.try_clone().expect("a descriptor");
        spawn_blocking(move || {
            let (mut text, mut byte) = (String::new(), [0]);
            while !text.ends_with("\r\n\r\n") {
                match stream.read(&mut byte) {
                    Ok(1) => text.push(byte[0].into()),
                    _ if text.is_empty() => return None,
                    _ => panic!("truncated: {text}"),
                }
            }
            let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
            let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
            stream.read_exact(&mut body).expect("the body");
            Some(text)
        })
        .await
        .expect("the blocking read ends")
    }

    fn reset(self) {
        set_socket_linger(&self.0, Some(Duration::ZERO)).expect("the option is set");
    }
}

impl Fixture {
    fn new(dial_timeout: Duration) -> Fixture {
        let (listener, worker) = (TcpListener::bind("127.0.0.1:0").expect("a free port"), worker_id("s-0"));
        let group = UpstreamGroup::new(dial_timeout, MINUTE, 1);
        let address = listener.local_addr().expect("a bound socket").to_string();
        let (name, state) = ("s-0", EndpointState::Ready);
        let endpoint = WorkerEndpoint { worker_id: worker, name, address: &address, state, started_at: 0 };
        group.apply_endpoints(EndpointUpdate::Changes, [endpoint].into_iter());
        Fixture { group, listener, worker }
    }

    async fn accept(&self) -> WorkerConnection {
        let listener = self.listener.try_clone().expect("a descriptor");
        let accept = move || listener.accept().expect("a connection").0;
        let stream = spawn_blocking(accept).await.expect("the blocking accept ends");
        // The runtime waits for blocking calls when it ends, so a blocking read must have a timeout.
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the option is set");
        WorkerConnection(stream)
    }

    fn send_callback(&self, state: &str) {
        let body = json!({"id": REQUEST_ID, "from": "s-0", "state": state, "result": "made"});
        let callback: Callback = serde_json::from_value(body).expect("a callback");
        assert!(self.group.dispatch_callback(&callback));
    }

    async fn attempt_with(&self, payload: Payload, cancelled: oneshot::Receiver<()>) -> AttemptResult {
        let conditions = SendConditions::with_timeout(MINUTE);
        self.group.attempt(RequestId(0xab), self.worker, &payload, conditions, cancelled, |_| {}).await.0
    }

    async fn attempt(&self) -> AttemptResult {
        let (_cancel, cancelled) = oneshot::channel();
        self.attempt_with(payload(None, "work"), cancelled).await
    }

    /// Returns the worker's end of a connection that has just become idle: one attempt on it was rejected,
    /// and the upstream group has read the worker's response to the end.
    async fn idle_connection(&self) -> WorkerConnection {
        let worker = async {
            let mut connection = self.accept().await;
            connection.read_request().await.expect("the job");
            connection.write(REJECTED);
            connection
        };
        let (result, connection) = tokio::join!(self.attempt(), worker);
        assert_eq!(result, AttemptResult::NotServed(Outcome::Rejected));
        // Lets the tasks of the connection pool run, which return the connection to the pool.
        for _ in 0..8 {
            tokio::task::yield_now().await;
        }
        connection
    }
}

fn payload(key: Option<&str>, body: &'static str) -> Payload {
    let target = PathAndQuery::from_static("/safe/k?a=1");
    Payload {
        id: REQUEST_ID.to_string(),
        target,
        idempotency_key: key.map(str::to_string),
        body: body.into(),
    }
}

fn served() -> AttemptResult {
    AttemptResult::Served(Bytes::from_static(b"made"))
}

/// What the worker does on a connection that is idle.
#[derive(Clone, Copy)]
enum WorkerAction {
    RespondAgain(&'static str),
    Close,
    Reset,
}

/// A worker may send bytes on an idle connection or close the connection, and the kernel may hold this input
/// before the daemon has read it. Then the next request is not written, counts as never run whatever its
/// class, and does not take the unread bytes for its response. The reuse delay is the time after a response
/// during which its connection is not reused. The test covers requests that start within the reuse delay and
/// requests that start after it.
#[rstest]
#[case::accepted_again(WorkerAction::RespondAgain(ACCEPTED))]
#[case::rejected_again(WorkerAction::RespondAgain(REJECTED))]
#[case::failed_as_well(WorkerAction::RespondAgain("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n"))]
#[case::half_a_response(WorkerAction::RespondAgain("HTTP/1.1 2"))]
#[case::closed(WorkerAction::Close)]
#[case::reset(WorkerAction::Reset)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_is_not_written_to_an_idle_connection_with_unread_input(
    #[case] action: WorkerAction,
    #[values(false, true)] after_reuse_delay: bool,
) {
    let fixture = Fixture::new(MINUTE);
    let mut connection = fixture.idle_connection().await;
    if after_reuse_delay {
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let attempt = fixture.attempt();
    tokio::pin!(attempt);
    // The first poll hands the request to the task of the connection, which has not run since the previous
    // response.
    assert!(futures_util::poll!(attempt.as_mut()).is_pending());
    match action {
        WorkerAction::RespondAgain(response) => connection.write(response),
        WorkerAction::Close => connection.0.shutdown(Shutdown::Write).expect("the socket is shut down"),
        WorkerAction::Reset => {
            connection.reset();
            assert_eq!(attempt.await, AttemptResult::NotServed(Outcome::ConnectFailed));
            return;
        }
    }
    assert_eq!(attempt.await, AttemptResult::NotServed(Outcome::ConnectFailed));
    let bytes_read = spawn_blocking(move || connection.0.read(&mut [0; 1]).unwrap_or(0))
        .await
        .expect("the blocking read ends");
    assert_eq!(bytes_read, 0, "no byte was written");
    // The next request gets a new connection.
    fixture.idle_connection().await;
}

/// A second response of a worker to one request, which arrives some milliseconds late, is not taken for the
/// response to the next request, because the next request is not written before the connection's reuse delay
/// has passed.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_second_response_is_not_taken_for_the_response_to_the_next_request() {
    let fixture = Fixture::new(MINUTE);
    let mut connection = fixture.idle_connection().await;
    let attempt = fixture.attempt();
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending());
    // Lets every task run, including the task of the connection.
    for _ in 0..4 {
        tokio::task::yield_now().await;
    }
    connection.write(REJECTED);
    assert_eq!(attempt.await, AttemptResult::NotServed(Outcome::ConnectFailed));
    let bytes_read = spawn_blocking(move || connection.0.read(&mut [0; 1]).unwrap_or(0))
        .await
        .expect("the blocking read ends");
    assert_eq!(bytes_read, 0, "no byte was written");
}

/// An idle connection is reused if the worker has sent nothing on it.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_connection_is_reused_after_the_reuse_delay() {
    let fixture = Fixture::new(MINUTE);
    let mut connection = fixture.idle_connection().await;
    for _ in 0..3 {
        let worker = async {
            connection.read_request().await.expect("the job");
            connection.write(REJECTED);
        };
        assert_eq!(tokio::join!(fixture.attempt(), worker).0, AttemptResult::NotServed(Outcome::Rejected));
    }
}

/// A request that is cancelled within the reuse delay of its connection is not written, so that it never ran.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_cancelled_within_the_reuse_delay_is_not_written() {
    let fixture = Fixture::new(MINUTE);
    let mut connection = fixture.idle_connection().await;
    let (cancel, cancelled) = oneshot::channel();
    let attempt = fixture.attempt_with(payload(None, "work"), cancelled);
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending());
    // Lets the task of the connection receive the request. This task then delays the request until the reuse
    // delay has passed.
    for _ in 0..4 {
        tokio::task::yield_now().await;
    }
    cancel.send(()).expect("the attempt is in flight");
    assert_eq!(attempt.await, AttemptResult::NotServed(Outcome::NotSent));
    assert_eq!(connection.read_request().await, None);
}

/// An incomplete or informational response of a worker counts as no response once the accept timeout of the
/// attempt has passed. After a complete response head, the response body does not affect the outcome.
#[rstest]
#[case::half_a_line("HTTP/1.1 20", Outcome::NoResponse)]
#[case::half_a_head("HTTP/1.1 202 Accepted\r\ncontent-le", Outcome::NoResponse)]
#[case::hints_without_end("HTTP/1.1 103 Early Hints\r\n\r\n", Outcome::NoResponse)]
#[case::rejected_without_end(
    "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\ncontent-length: 10\r\n\r\nabc",
    Outcome::Rejected
)]
#[case::failed_without_end(
    "HTTP/1.1 500 No\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    Outcome::Error
)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_response_that_never_ends_does_not_block_its_attempt(
    #[case] response: &str,
    #[case] expected: Outcome,
) {
    let fixture = Fixture::new(Duration::from_millis(500));
    let worker = async {
        let mut connection = fixture.accept().await;
        connection.read_request().await.expect("the job");
        connection.write(response);
        connection
    };
    let (result, _connection) = tokio::join!(fixture.attempt(), worker);
    assert_eq!(result, AttemptResult::NotServed(expected));
}

/// Guards against responses that only a timer ended: interim responses without a final one, and a body of
/// framing alone, at full speed. The daemon closes the connection after a limited number of bytes.
#[rstest]
#[case::interim_responses("", "HTTP/1.1 100 Continue\r\n\r\n", Outcome::Reset)]
#[case::head("HTTP/1.1 202 Accepted\r\n", "x: a\r\n", Outcome::Reset)]
#[case::chunk_length("HTTP/1.1 500 No\r\ntransfer-encoding: chunked\r\n\r\n", "0", Outcome::Error)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_response_that_never_ends_is_cut_after_a_limited_length(
    #[case] start: &'static str,
    #[case] repeated: &'static str,
    #[case] expected: Outcome,
) {
    let fixture = Fixture::new(2 * MINUTE);
    let worker = async {
        let mut connection = fixture.accept().await;
        connection.read_request().await.expect("the job");
        spawn_blocking(move || write_without_end(connection.0, start, repeated)).await.expect("no panic")
    };
    let (result, written) = tokio::join!(fixture.attempt(), worker);
    assert_eq!(result, AttemptResult::NotServed(expected));
    assert!(written < MAX_BYTES_IN_SOCKETS, "{written} bytes were written");
}

/// More than the daemon reads of one response, and more than the kernel holds of a connection in both sockets.
const MAX_BYTES_IN_SOCKETS: usize = 16 << 20;

/// Writes until the other side closes the connection; returns the number of bytes.
fn write_without_end(mut stream: TcpStream, start: &str, repeated: &str) -> usize {
    let piece = repeated.repeat(4096);
    let mut written = 0;
    let mut result = stream.write_all(start.as_bytes());
    while result.is_ok() && written < 2 * MAX_BYTES_IN_SOCKETS {
        result = stream.write_all(piece.as_bytes());
        written += piece.len();
    }
    written
}

/// The head of a worker's 202 response accepts the job, even if the body never ends: the connection is
/// abandoned after a timeout, but the job goes on until it ends or is cancelled by a `DELETE` request. An
/// informational response before the 202 does not accept the job.
#[rstest]
#[case::ends("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n")]
#[case::never_ends("HTTP/1.1 202 Accepted\r\ncontent-length: 10\r\n\r\nabc")]
#[case::chunks_without_end("HTTP/1.1 202 Accepted\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n")]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn the_head_of_a_202_accepts_the_job(#[case] response: &str, #[values(true, false)] completes: bool) {
    let fixture = Fixture::new(Duration::from_millis(500));
    let (cancel, cancelled) = oneshot::channel();
    let worker = async {
        let mut connection = fixture.accept().await;
        connection.read_request().await.expect("the job");
        connection.write(response);
        // This sleep is longer than the accept timeout of the attempt, which is 500 ms.
        tokio::time::sleep(Duration::from_secs(1)).await;
        if completes {
            fixture.send_callback("done");
            return;
        }
        cancel.send(()).expect("the attempt is in flight");
        // A response that has not ended occupies its connection, so the `DELETE` request arrives on another
        // connection.
        let is_complete = response.contains("content-length: 0");
        let cancellation = if is_complete {
            connection.read_request().await
        } else {
            fixture.accept().await.read_request().await
        };
        assert!(cancellation.expect("a cancellation").starts_with(&format!("DELETE /jobs/{REQUEST_ID} ")));
    };
    let (result, ()) = tokio::join!(fixture.attempt_with(payload(None, "work"), cancelled), worker);
    assert_eq!(result, if completes { served() } else { AttemptResult::NotServed(Outcome::Cancelled) });
}

/// If the connection to the worker breaks after the last byte of a request was written, the worker may have
/// run the job, whether or not the request has an idempotency key or a body.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_may_have_run_if_its_connection_breaks_after_the_last_byte(
    #[values(None, Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"))] key: Option<&str>,
    #[values("", "w", "work")] body: &'static str,
) {
    let fixture = Fixture::new(MINUTE);
    let worker = async {
        let mut connection = fixture.accept().await;
        connection.read_request().await.expect("the job");
        connection.reset();
    };
    let (_cancel, cancelled) = oneshot::channel();
    let (result, ()) = tokio::join!(fixture.attempt_with(payload(key, body), cancelled), worker);
    assert_eq!(result, AttemptResult::NotServed(Outcome::Reset));
}

/// A worker sends a callback again if the scheduler did not acknowledge it. If the callback has ended an
/// attempt, its repetition does not end the next attempt at the same worker before the worker has accepted
/// that next attempt. A callback after the worker's 202 response belongs to the new attempt.
#[rstest]
#[case::returned("returned", Outcome::Returned)]
#[case::failed("failed", Outcome::Error)]
#[case::lost("lost", Outcome::Reset)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_retried_callback_does_not_end_a_later_attempt(#[case] state: &str, #[case] outcome: Outcome) {
    let fixture = Fixture::new(MINUTE);
    let first = async {
        let mut connection = fixture.accept().await;
        connection.read_request().await.expect("the job");
        connection.write("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        fixture.send_callback(state);
    };
    let (result, ()) = tokio::join!(fixture.attempt(), first);
    assert_eq!(result, AttemptResult::NotServed(outcome));
    let second = async {
        let mut connection = fixture.accept().await;
        connection.read_request().await.expect("the retry");
        fixture.send_callback(state);
        tokio::task::yield_now().await;
        connection.write(ACCEPTED);
        fixture.send_callback("done");
    };
    assert_eq!(tokio::join!(fixture.attempt(), second).0, served());
}
