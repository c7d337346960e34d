//! Answers of workers that are cut, come twice or never end, and connections that end while they are idle: one story for each
//! way. The worker is a blocking socket, so that what it says is with the kernel before the runtime can look at any socket.
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
    worker_id, AttemptResult, Callback, ListedWorker, Payload, SendConditions, UpstreamGroup,
};
use vetchbridge_scheduling::interface::{EndpointState, EndpointUpdate, Outcome, RequestId, WorkerId};

const MINUTE: Duration = Duration::from_secs(60);
const ID: &str = "00000000000000ab";
const TURNED_AWAY: &str = "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\ncontent-length: 0\r\n\r\n";

/// A group that knows one worker, `s-0`.
struct Stage {
    group: UpstreamGroup,
    listener: TcpListener,
    worker: WorkerId,
}

/// The worker's end of a connection.
struct Line(TcpStream);

impl Line {
    fn says(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("written");
    }

    /// The next whole request; none once the other side has ended the connection between two.
    async fn reads(&mut self) -> Option<String> {
        let mut stream = self.0.try_clone().expect("a descriptor");
        spawn_blocking(move || {
            let (mut text, mut byte) = (String::new(), [0]);
            while !text.ends_with("\r\n\r\n") {
                match stream.read(&mut byte) {
                    Ok(1) => text.push(byte[0].into()),
                    _ if text.is_empty() => return None,
                    _ => panic!("cut: {text}"),
                }
            }
            let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
            let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a number"))];
            stream.read_exact(&mut body).expect("the body");
            Some(text)
        })
        .await
        .expect("it reads")
    }

    fn resets(self) {
        set_socket_linger(&self.0, Some(Duration::ZERO)).expect("set");
    }
}

impl Stage {
    fn set(dial: Duration) -> Stage {
        let (listener, worker) = (TcpListener::bind("127.0.0.1:0").expect("a port"), worker_id("s-0"));
        let group = UpstreamGroup::new(dial, MINUTE, 1);
        let address = listener.local_addr().expect("bound").to_string();
        let (name, state) = ("s-0", EndpointState::Ready);
        let entry = ListedWorker { worker_id: worker, name, address: &address, state, started: 0 };
        group.apply(EndpointUpdate::Changes, [entry].into_iter());
        Stage { group, listener, worker }
    }

    async fn accept(&self) -> Line {
        let listener = self.listener.try_clone().expect("a descriptor");
        let accepting = move || listener.accept().expect("a connection").0;
        let line = spawn_blocking(accepting).await.expect("it accepts");
        // A runtime does not end before its blocking calls do.
        line.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        Line(line)
    }

    fn calls_back(&self, state: &str) {
        let words = json!({"id": ID, "from": "s-0", "state": state, "result": "made"});
        let callback: Callback = serde_json::from_value(words).expect("a callback");
        assert!(self.group.called_back(&callback));
    }

    async fn attempt_of(&self, payload: Payload, cancelled: oneshot::Receiver<()>) -> AttemptResult {
        let conditions = SendConditions::within(MINUTE);
        self.group.attempt(RequestId(0xab), self.worker, &payload, conditions, cancelled, |_| {}).await.0
    }

    async fn attempt(&self) -> AttemptResult {
        let (_cancel, cancelled) = oneshot::channel();
        self.attempt_of(payload(None, "work"), cancelled).await
    }

    /// A connection that is idle since just now: its answer was read to the end, as the attempt's end tells.
    async fn kept(&self) -> Line {
        let worker = async {
            let mut line = self.accept().await;
            line.reads().await.expect("the job");
            line.says(TURNED_AWAY);
            line
        };
        let (ended, line) = tokio::join!(self.attempt(), worker);
        assert_eq!(ended, AttemptResult::NotServed(Outcome::Rejected));
        // The pool's own tasks put it back.
        for _ in 0..8 {
            tokio::task::yield_now().await;
        }
        line
    }
}

fn payload(key: Option<&str>, body: &'static str) -> Payload {
    let target = PathAndQuery::from_static("/safe/k?a=1");
    Payload { id: ID.to_string(), target, idempotency_key: key.map(str::to_string), body: body.into() }
}

fn served() -> AttemptResult {
    AttemptResult::Served(Bytes::from_static(b"made"))
}

#[derive(Clone, Copy)]
enum Says {
    Again(&'static str),
    End,
    Reset,
}

/// What a worker has said on an idle connection, or that it has ended it, may be with the kernel and not be known here yet. The
/// next request is not written then, whatever its class it never ran, and no answer is taken for its own. Both right after
/// the answer before, while the connection rests, and long after it.
#[rstest]
#[case::taken_again(Says::Again(ACCEPTED))]
#[case::turned_away_again(Says::Again(TURNED_AWAY))]
#[case::failed_too(Says::Again("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n"))]
#[case::half_an_answer(Says::Again("HTTP/1.1 2"))]
#[case::the_end(Says::End)]
#[case::a_reset(Says::Reset)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn what_waits_on_a_kept_connection_keeps_the_next_request_off_it(
    #[case] says: Says,
    #[values(false, true)] rested: bool,
) {
    let stage = Stage::set(MINUTE);
    let mut line = stage.kept().await;
    if rested {
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let attempt = stage.attempt();
    tokio::pin!(attempt);
    // The request is handed to the connection, whose task has not run since.
    assert!(futures_util::poll!(attempt.as_mut()).is_pending());
    match says {
        Says::Again(answer) => line.says(answer),
        Says::End => line.0.shutdown(Shutdown::Write).expect("ended"),
        Says::Reset => {
            line.resets();
            assert_eq!(attempt.await, AttemptResult::NotServed(Outcome::ConnectFailed));
            return;
        }
    }
    assert_eq!(attempt.await, AttemptResult::NotServed(Outcome::ConnectFailed));
    let heard = spawn_blocking(move || line.0.read(&mut [0; 1]).unwrap_or(0)).await.expect("it reads");
    assert_eq!(heard, 0, "not a byte was written");
    // The next one goes over a connection of its own.
    stage.kept().await;
}

/// A second answer that comes some milliseconds late finds the next request unwritten: it is held back for that long.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_answer_that_comes_twice_is_not_taken_for_that_of_the_next_request() {
    let stage = Stage::set(MINUTE);
    let mut line = stage.kept().await;
    let attempt = stage.attempt();
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending());
    // Every task has had its turn, the connection's too.
    for _ in 0..4 {
        tokio::task::yield_now().await;
    }
    line.says(TURNED_AWAY);
    assert_eq!(attempt.await, AttemptResult::NotServed(Outcome::ConnectFailed));
    let heard = spawn_blocking(move || line.0.read(&mut [0; 1]).unwrap_or(0)).await.expect("it reads");
    assert_eq!(heard, 0, "not a byte was written");
}

/// A kept connection that says nothing is used again.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_rested_connection_serves_again() {
    let stage = Stage::set(MINUTE);
    let mut line = stage.kept().await;
    for _ in 0..3 {
        let worker = async {
            line.reads().await.expect("the job");
            line.says(TURNED_AWAY);
        };
        assert_eq!(tokio::join!(stage.attempt(), worker).0, AttemptResult::NotServed(Outcome::Rejected));
    }
}

/// A request whose connection rests is not written any more once it is called off, and never ran.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_request_called_off_while_its_connection_rests_is_not_written() {
    let stage = Stage::set(MINUTE);
    let mut line = stage.kept().await;
    let (cancel, cancelled) = oneshot::channel();
    let attempt = stage.attempt_of(payload(None, "work"), cancelled);
    tokio::pin!(attempt);
    assert!(futures_util::poll!(attempt.as_mut()).is_pending());
    // The connection's task takes it, and holds it back.
    for _ in 0..4 {
        tokio::task::yield_now().await;
    }
    cancel.send(()).expect("it waits");
    assert_eq!(attempt.await, AttemptResult::NotServed(Outcome::NotSent));
    assert_eq!(line.reads().await, None);
}

/// Half an answer is none, and is waited for no longer than silence is. What follows the head decides nothing.
#[rstest]
#[case::half_a_line("HTTP/1.1 20", Outcome::NoResponse)]
#[case::half_a_head("HTTP/1.1 202 Accepted\r\ncontent-le", Outcome::NoResponse)]
#[case::hints_without_end("HTTP/1.1 103 Early Hints\r\n\r\n", Outcome::NoResponse)]
#[case::turned_away_without_end(
    "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\ncontent-length: 10\r\n\r\nabc",
    Outcome::Rejected
)]
#[case::failed_without_end(
    "HTTP/1.1 500 No\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
    Outcome::Error
)]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn an_answer_that_never_ends_holds_no_attempt(#[case] answer: &str, #[case] expected: Outcome) {
    let stage = Stage::set(Duration::from_millis(500));
    let worker = async {
        let mut line = stage.accept().await;
        line.reads().await.expect("the job");
        line.says(answer);
        line
    };
    let (ended, _line) = tokio::join!(stage.attempt(), worker);
    assert_eq!(ended, AttemptResult::NotServed(expected));
}

/// The head of a 202 says that the job is taken: its connection is given up in time, the job goes on, and is called off by a
/// call. An answer of 1xx before it is none.
#[rstest]
#[case::ends("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n")]
#[case::never_ends("HTTP/1.1 202 Accepted\r\ncontent-length: 10\r\n\r\nabc")]
#[case::chunks_without_end("HTTP/1.1 202 Accepted\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n")]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn the_head_of_a_202_is_enough(#[case] answer: &str, #[values(true, false)] goes_on: bool) {
    let stage = Stage::set(Duration::from_millis(500));
    let (cancel, cancelled) = oneshot::channel();
    let worker = async {
        let mut line = stage.accept().await;
        line.reads().await.expect("the job");
        line.says(answer);
        // Longer than a worker may be silent.
        tokio::time::sleep(Duration::from_secs(1)).await;
        if goes_on {
            stage.calls_back("done");
            return;
        }
        cancel.send(()).expect("it is out");
        // An answer that has not ended holds its connection.
        let ended = answer.contains("content-length: 0");
        let call = if ended { line.reads().await } else { stage.accept().await.reads().await };
        assert!(call.expect("a call").starts_with(&format!("DELETE /jobs/{ID} ")));
    };
    let (ended, ()) = tokio::join!(stage.attempt_of(payload(None, "work"), cancelled), worker);
    assert_eq!(ended, if goes_on { served() } else { AttemptResult::NotServed(Outcome::Cancelled) });
}

/// The last byte is the last byte: a break after it may have run, whatever the request is made of.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_break_after_the_last_byte_may_have_run(
    #[values(None, Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"))] key: Option<&str>,
    #[values("", "w", "work")] body: &'static str,
) {
    let stage = Stage::set(MINUTE);
    let worker = async {
        let mut line = stage.accept().await;
        line.reads().await.expect("the job");
        line.resets();
    };
    let (_cancel, cancelled) = oneshot::channel();
    let (ended, ()) = tokio::join!(stage.attempt_of(payload(key, body), cancelled), worker);
    assert_eq!(ended, AttemptResult::NotServed(Outcome::Reset));
}

/// A worker repeats a word that was not answered. One that has ended an attempt does not end the next one there, which is not
/// even taken yet; what it says after that one's 202 is about that one.
#[rstest]
#[timeout(TEST_TIMEOUT)]
#[tokio::test]
async fn a_repeated_callback_does_not_end_a_later_attempt(
    #[values("returned", "failed", "lost")] state: &str,
) {
    let stage = Stage::set(MINUTE);
    let first = async {
        let mut line = stage.accept().await;
        line.reads().await.expect("the job");
        line.says("HTTP/1.1 202 Accepted\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
        stage.calls_back(state);
    };
    let (ended, ()) = tokio::join!(stage.attempt(), first);
    assert!(matches!(ended, AttemptResult::NotServed(Outcome::Rejected | Outcome::Error | Outcome::Reset)));
    let second = async {
        let mut line = stage.accept().await;
        line.reads().await.expect("the job again");
        stage.calls_back(state);
        tokio::task::yield_now().await;
        line.says(ACCEPTED);
        stage.calls_back("done");
    };
    assert_eq!(tokio::join!(stage.attempt(), second).0, served());
}
