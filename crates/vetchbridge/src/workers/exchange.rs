//! One exchange with a worker: the request written, the answer read, and whether it can have run if that broke.
//!
//! Owns what is written to workers and the bound on what is read. It must never say what an answer means for a job, and
//! never write a header that [`written_length`] does not count.

use super::dial::Meter;
use super::expiry::{self, header_length, request_line_length, Expiry, EXPIRES_IN};
use super::permission::SendPermission;
use super::{load_report, lock, Worker};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::uri::{PathAndQuery, Scheme};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use hyper_util::client::legacy::connect::{capture_connection, CaptureConnection};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{timeout, Instant};
use tracing::debug;

/// How long a worker is given to answer the call that gives an attempt up.
const GIVE_UP_WAIT: Duration = Duration::from_secs(2);
/// The longest body of an answer.
const BODY_LIMIT: usize = 64 * 1024;

/// What a worker is given of a request, unchanged.
pub struct Payload {
    /// The request's id as the client wrote it.
    pub id: String,
    /// Path and query.
    pub target: PathAndQuery,
    /// The key under which workers drop a repeat.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// How an exchange broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Broken {
    /// Before the request's last byte was written.
    NeverRan,
    /// After it, or we can't tell.
    MayHaveRun,
}

/// A worker's answer: its head has come.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
}

impl Reply {
    /// Whether the worker says that it has not begun.
    pub(super) fn never_ran(&self) -> bool {
        self.headers.get("x-never-ran").is_some_and(|value| value == "1")
    }

    /// The load report in its head.
    pub(super) fn load(&self) -> Option<&[u8]> {
        self.headers.get(load_report::LOAD_REPORT_HEADER).map(|value| value.as_bytes())
    }

    /// The body once it is whole; empty if it was too long, `None` if it broke off.
    pub(super) async fn body(&mut self) -> Option<Bytes> {
        match Limited::new(&mut self.body, BODY_LIMIT).collect().await {
            Ok(body) => Some(body.to_bytes()),
            Err(error) => error.is::<LengthLimitError>().then(Bytes::new),
        }
    }

    /// Reads the body although nobody waits for it: the connection serves again only after that.
    pub(super) fn drain(mut self) {
        if !self.body.is_end_stream() {
            tokio::spawn(timeout(GIVE_UP_WAIT, async move { drop(self.body().await) }));
        }
    }
}

type Answer = Pin<Box<dyn Future<Output = Result<Reply, Broken>> + Send>>;

/// What can be seen of an exchange from outside, up to its answer: from then on the connection may be another's.
pub(super) struct Seen {
    pub(super) connection: CaptureConnection,
    length: u64,
}

impl Seen {
    pub(super) fn connected(&self) -> bool {
        self.connection.connection_metadata().is_some()
    }

    /// Whether its first byte has been written.
    pub(super) fn begun(&self) -> bool {
        meter(&self.connection).is_some_and(|meter| meter.open() > 0)
    }

    /// Whether its last byte has been written.
    pub(super) fn written(&self) -> bool {
        meter(&self.connection).is_some_and(|meter| meter.open() >= self.length)
    }
}

/// The meter of the connection that a request was handed to.
fn meter(connection: &CaptureConnection) -> Option<Meter> {
    let mut extras = hyper::http::Extensions::new();
    connection.connection_metadata().as_ref()?.get_extras(&mut extras);
    extras.remove::<Meter>()
}

/// One request to a worker and its answer; dropping that closes the connection it was written to.
pub(super) struct Exchange {
    pub(super) seen: Seen,
    pub(super) answer: Answer,
}

/// A connection while it has the request: without an answer it is of no further use, and what it holds of the request must
/// not be written any more.
struct InHand(Option<Meter>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.iter().for_each(Meter::close);
    }
}

impl Worker {
    /// A request to this worker, written if it still may begin once a connection is there; `job` is what it is given, and the
    /// time that it has.
    pub(super) fn exchange(
        &self,
        method: Method,
        target: &PathAndQuery,
        job: Option<(&Payload, Duration)>,
        permission: SendPermission,
    ) -> Exchange {
        let mut request =
            Request::new(Full::new(job.map(|(payload, _)| payload.body.clone()).unwrap_or_default()));
        *request.method_mut() = method;
        let uri = Uri::builder().scheme(Scheme::HTTP).authority(self.address.clone());
        // With all three parts given and checked, building can't fail.
        *request.uri_mut() = uri.path_and_query(target.clone()).build().unwrap_or_default();
        let headers = request.headers_mut();
        let mut header = |name: &'static str, value: &str| {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        };
        header(HOST.as_str(), self.address.as_str());
        if let Some((payload, wait)) = job {
            header(CONTENT_LENGTH.as_str(), &payload.body.len().to_string());
            header("x-trace-id", &payload.id);
            header(EXPIRES_IN, &expiry::value(wait));
            if let Some(key) = &payload.idempotency_key {
                header("idempotency-key", key);
            }
        }
        let length = written_length(&request);
        let mut expiry = job.and_then(|(_, wait)| Expiry::of(&request, Instant::now() + wait));
        let connection = capture_connection(&mut request);
        let client = lock(&self.client).for_request();
        let (name, seen) = (self.name.clone(), Seen { connection: connection.clone(), length });
        let answer = async move {
            let (mut in_hand, mut permission) = (InHand(None), Some(permission));
            let mut answering = client.request(request);
            let response = poll_fn(|cx| {
                let polled = Pin::new(&mut answering).poll(cx);
                if in_hand.0.is_none() {
                    in_hand.0 = meter(&connection);
                    let met = in_hand.0.as_ref().zip(permission.take_if(|_| in_hand.0.is_some()));
                    met.into_iter().for_each(|(meter, permission)| meter.begin(permission, expiry.take()));
                }
                polled
            })
            .await;
            let written = in_hand.0.as_ref().map_or(0, Meter::open);
            match response {
                Ok(response) if written > 0 => {
                    in_hand.0 = None;
                    let (head, body) = response.into_parts();
                    Ok(Reply { status: head.status, headers: head.headers, body })
                }
                Ok(_) => {
                    // Whatever it answers, it is not this request.
                    debug!(worker = name, "attempt.stray_answer");
                    Err(Broken::NeverRan)
                }
                Err(error) => {
                    let never_ran = error.is_connect() || written < length;
                    debug!(worker = name, ?error, never_ran, "attempt.broke");
                    Err(if never_ran { Broken::NeverRan } else { Broken::MayHaveRun })
                }
            }
        };
        Exchange { seen, answer: Box::pin(answer) }
    }

    /// Gives an attempt up: after the 202 by a call; before it, dropping the exchange closes the connection.
    pub(super) fn give_up(&self, accepted: bool, id: &str) {
        if accepted {
            // An id is 16 hex digits, so this is a path.
            let Ok(target) = format!("/jobs/{id}").parse() else { return };
            read_out(self.exchange(Method::DELETE, &target, None, SendPermission::always()).answer);
        }
    }
}

/// Sees an exchange through whose answer nobody waits for.
pub(super) fn read_out(answer: Answer) {
    tokio::spawn(timeout(GIVE_UP_WAIT, async { answer.await.map(Reply::drain) }));
}

/// Bytes that this request takes on a connection: every header is set by us, hyper adds none.
fn written_length(request: &Request<Full<Bytes>>) -> u64 {
    let line = request_line_length(request);
    let headers: usize = request.headers().iter().map(|(name, value)| header_length(name, value.len())).sum();
    let body = Body::size_hint(request.body()).exact().unwrap_or(0);
    (line + headers + 2) as u64 + body
}
