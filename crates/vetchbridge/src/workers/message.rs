//! The HTTP requests to workers, and the workers' responses.

use super::expiry::{self, header_length, request_line_length, EXPIRES_IN_HEADER};
use super::load_report::LOAD_REPORT_HEADER;
use crate::memory::MemoryReservation;
use crate::net::{collect, discard, BodyReadError, ResponseLimit};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::uri::{Authority, PathAndQuery, Scheme};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use std::time::Duration;
use tokio::time::timeout;

/// How long the rest of a worker's response is read in the background when nobody waits for the response.
pub(super) const BACKGROUND_READ_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest body of a worker's response that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length in bytes of that body on the wire. A chunk of one byte of data has five bytes of framing.
const MAX_FRAMED_BODY_BYTES: usize = 8 * MAX_BODY_BYTES;
/// The request header that carries the id of a client's request to the worker.
const REQUEST_ID_HEADER: &str = "x-trace-id";
/// The request header that carries the key by which workers deduplicate retries.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The response header by which a worker declares that it has not started the job.
const NEVER_RAN_HEADER: &str = "x-never-ran";
/// The path under which a worker reports its health and load.
const STATS_PATH: &str = "/stats";

/// The part of a client's request that is forwarded to a worker unchanged.
pub struct Payload {
    /// The request's id as the client wrote it, before parsing.
    pub id: String,
    /// The path and query of the client's request.
    pub target: PathAndQuery,
    /// The key by which workers deduplicate retries.
    pub idempotency_key: Option<String>,
    /// The body of the client's request.
    pub body: Bytes,
}

/// A request to a worker.
pub(super) enum WorkerRequest<'a> {
    /// Asks the worker to run a job.
    Job {
        /// The part of the client's request that is forwarded to the worker.
        payload: &'a Payload,
        /// How long the daemon waits for the job's result.
        timeout: Duration,
    },
    /// Asks the worker for its health and load.
    Probe,
    /// Asks the worker to cancel a job that the worker has accepted.
    CancelJob {
        /// The path of the job at the worker.
        path: PathAndQuery,
    },
}

impl WorkerRequest<'_> {
    /// Returns how long the daemon waits for the job's result; `None` for a request in which the worker is
    /// told no time limit.
    pub(super) fn timeout(&self) -> Option<Duration> {
        match self {
            WorkerRequest::Job { timeout, .. } => Some(*timeout),
            WorkerRequest::Probe | WorkerRequest::CancelJob { .. } => None,
        }
    }

    /// Builds the HTTP request to the worker at `address`, with every header; hyper adds no further header.
    pub(super) fn to_http(&self, address: &Authority) -> Request<Full<Bytes>> {
        let (method, target, body) = match self {
            WorkerRequest::Job { payload, .. } => {
                (Method::POST, payload.target.clone(), payload.body.clone())
            }
            WorkerRequest::Probe => (Method::GET, PathAndQuery::from_static(STATS_PATH), Bytes::new()),
            WorkerRequest::CancelJob { path } => (Method::DELETE, path.clone(), Bytes::new()),
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        let uri = Uri::builder().scheme(Scheme::HTTP).authority(address.clone()).path_and_query(target);
        // Building cannot fail: the scheme, the authority and the target are all present and valid.
        *request.uri_mut() = uri.build().unwrap_or_default();
        let headers = request.headers_mut();
        set_header(headers, HOST.as_str(), address.as_str());
        if let WorkerRequest::Job { payload, timeout } = self {
            set_header(headers, CONTENT_LENGTH.as_str(), &payload.body.len().to_string());
            set_header(headers, REQUEST_ID_HEADER, &payload.id);
            set_header(headers, EXPIRES_IN_HEADER, &expiry::header_value(*timeout));
            if let Some(key) = &payload.idempotency_key {
                set_header(headers, IDEMPOTENCY_KEY_HEADER, key);
            }
        }
        request
    }
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

/// Returns the length on the wire of a whole request to a worker, in bytes.
pub(super) fn request_length(request: &Request<Full<Bytes>>) -> u64 {
    let line = request_line_length(request);
    let headers: usize = request.headers().iter().map(|(name, value)| header_length(name, value.len())).sum();
    let body = Body::size_hint(request.body()).exact().unwrap_or(0);
    (line + headers + "\r\n".len()) as u64 + body
}

/// A worker's response whose head has been read.
pub(super) struct WorkerResponse {
    pub(super) status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
}

impl From<Response<Incoming>> for WorkerResponse {
    fn from(response: Response<Incoming>) -> WorkerResponse {
        let (head, body) = response.into_parts();
        if let Some(limit) = head.extensions.get::<ResponseLimit>() {
            limit.allow_body(MAX_FRAMED_BODY_BYTES);
        }
        WorkerResponse { status: head.status, headers: head.headers, body }
    }
}

impl WorkerResponse {
    /// Whether the worker declares in the response's headers that it has not started the job.
    pub(super) fn job_never_ran(&self) -> bool {
        self.headers.get(NEVER_RAN_HEADER).is_some_and(|value| value == "1")
    }

    /// Returns the worker's load report in the response's headers.
    pub(super) fn load_report(&self) -> Option<&[u8]> {
        self.headers.get(LOAD_REPORT_HEADER).map(axum::http::HeaderValue::as_bytes)
    }

    /// Reads the whole body of the worker's response, which `memory` holds. Returns an empty body if the body is
    /// longer than [`MAX_BODY_BYTES`] or too little memory is free, and `None` if the connection failed.
    pub(super) async fn read_body(&mut self, memory: &mut MemoryReservation) -> Option<Bytes> {
        match collect(&mut self.body, MAX_BODY_BYTES, |bytes| memory.try_resize(bytes)).await {
            Ok(body) => Some(body),
            Err(BodyReadError::TooLong | BodyReadError::NoMemory) => Some(Bytes::new()),
            Err(BodyReadError::Failed) => None,
        }
    }

    /// Reads and discards the body of the worker's response in the background. The connection can be reused
    /// when the body has been read.
    pub(super) fn drain_body(self) {
        if !self.body.is_end_stream() {
            tokio::spawn(timeout(BACKGROUND_READ_TIMEOUT, discard(self.body, MAX_BODY_BYTES)));
        }
    }
}
