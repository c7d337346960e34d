//! One exchange with a peer: the request written, the answer read, and whether it can have run if that broke.
//!
//! Owns what is written to peers and the bound on what is read. It must never say what an answer means for a job, and
//! never write a header that [`written_length`] does not count.

use super::dial::Meter;
use super::{load, lock, Peer};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::uri::{PathAndQuery, Scheme};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use hyper_util::client::legacy::connect::{capture_connection, CaptureConnection};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use tracing::debug;

/// How long a peer is given to answer the call that gives an attempt up.
pub(super) const GIVE_UP_WAIT: Duration = Duration::from_secs(2);
/// The longest body of an answer.
const BODY_LIMIT: usize = 64 * 1024;

/// What a peer is given of a request, unchanged.
pub struct Parcel {
    /// The request's id as the client wrote it.
    pub id: String,
    /// Path and query.
    pub target: PathAndQuery,
    /// The key under which peers drop a repeat.
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

/// A peer's answer.
pub(super) struct Reply {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    /// Empty if it was too long; `None` if it broke off.
    pub(super) body: Option<Bytes>,
}

impl Reply {
    /// Whether the peer says that it has not begun.
    pub(super) fn never_ran(&self) -> bool {
        self.headers.get("x-never-ran").is_some_and(|value| value == "1")
    }

    /// The load report in its head.
    pub(super) fn load(&self) -> Option<&[u8]> {
        self.headers.get(load::HEADER).map(|value| value.as_bytes())
    }
}

type Answered = Result<Reply, Broken>;

/// One request to a peer and its answer; dropping it closes the connection it was written to.
pub(super) struct Exchange {
    pub(super) connection: CaptureConnection,
    pub(super) answer: Pin<Box<dyn Future<Output = Answered> + Send>>,
}

impl Exchange {
    pub(super) fn connected(&self) -> bool {
        self.connection.connection_metadata().is_some()
    }
}

impl Peer {
    /// A request to this peer; `job` is what it is given, and the time that it has.
    pub(super) fn exchange(
        &self,
        method: Method,
        target: &PathAndQuery,
        job: Option<(&Parcel, Duration)>,
    ) -> Exchange {
        let mut request =
            Request::new(Full::new(job.map(|(parcel, _)| parcel.body.clone()).unwrap_or_default()));
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
        if let Some((parcel, wait)) = job {
            header(CONTENT_LENGTH.as_str(), &parcel.body.len().to_string());
            header("x-trace-id", &parcel.id);
            header("x-expires-in", &format!("{}u", wait.as_micros()));
            if let Some(key) = &parcel.idempotency_key {
                header("idempotency-key", key);
            }
        }
        let length = written_length(&request);
        let connection = capture_connection(&mut request);
        let client = lock(&self.client).clone();
        let (seen, name) = (connection.clone(), self.name.clone());
        let answer = async move {
            let response = client.request(request).await;
            let meter = {
                let connected = connection.connection_metadata();
                let mut extras = hyper::http::Extensions::new();
                connected.iter().for_each(|connected| connected.get_extras(&mut extras));
                extras.remove::<Meter>()
            };
            match response {
                Ok(response) => {
                    meter.iter().for_each(Meter::settle);
                    let (head, body) = response.into_parts();
                    // The connection serves again only after the whole answer has been read.
                    let body = match Limited::new(body, BODY_LIMIT).collect().await {
                        Ok(body) => Some(body.to_bytes()),
                        Err(error) => error.is::<LengthLimitError>().then(Bytes::new),
                    };
                    Ok(Reply { status: head.status, headers: head.headers, body })
                }
                Err(error) => {
                    let never_ran = error.is_connect() || meter.is_none_or(|meter| meter.open() < length);
                    debug!(peer = name, ?error, never_ran, "attempt.broke");
                    Err(if never_ran { Broken::NeverRan } else { Broken::MayHaveRun })
                }
            }
        };
        Exchange { connection: seen, answer: Box::pin(answer) }
    }

    /// Gives an attempt up: after the 202 by a call; before it, dropping the exchange closes the connection.
    pub(super) fn give_up(&self, accepted: bool, id: &str) {
        if accepted {
            // An id is 16 hex digits, so this is a path.
            let Ok(target) = format!("/jobs/{id}").parse() else { return };
            let call = self.exchange(Method::DELETE, &target, None);
            tokio::spawn(tokio::time::timeout(GIVE_UP_WAIT, call.answer));
        }
    }
}

/// Bytes that this request takes on a connection: every header is set by us, hyper adds none.
fn written_length(request: &Request<Full<Bytes>>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers: usize = request.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
    let body = hyper::body::Body::size_hint(request.body()).exact().unwrap_or(0);
    (line + headers + 2) as u64 + body
}
