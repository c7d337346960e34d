//! One HTTP exchange of a client: builds the request of an attempt and derives the attempt's outcome from the
//! response.

use super::record::{JobRecord, Outcome};
use crate::arrivals::{Arrival, LoadSpec};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use std::net::SocketAddr;
use std::time::Duration;

/// The smallest `Retry-After`, in seconds, that clients ignore as too long.
const RETRY_AFTER_LIMIT: f64 = 3600.0;

/// The HTTP client that sends the requests of a load.
pub(super) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// What a client learns from sending the request of an attempt.
pub(super) struct Response {
    /// The outcome of the attempt.
    pub(super) outcome: Outcome,
    /// The time in the response's `Retry-After` header; `None` without a response or a valid header.
    pub(super) retry_after: Option<Duration>,
}

impl From<Outcome> for Response {
    fn from(outcome: Outcome) -> Response {
        Response { outcome, retry_after: None }
    }
}

/// The data that distinguish the request of one attempt from the requests of the job's other attempts.
pub(super) struct AttemptRequest {
    /// The address to which the client sends the request.
    pub(super) target: SocketAddr,
    /// The attempt's request id.
    pub(super) id: u64,
    /// The attempt's number within its job, from 0.
    pub(super) number: u32,
}

impl AttemptRequest {
    /// Builds the attempt's HTTP request; `expires_in` is the time for which the client waits for a response.
    pub(super) fn build(
        &self,
        spec: &LoadSpec,
        record: &JobRecord,
        expires_in: Duration,
    ) -> Request<Full<Bytes>> {
        let Arrival { class, object, work, tenant, hint, .. } = &record.arrival;
        let class = &spec.classes[*class];
        let mut builder = Request::post(format!("http://{}/{}/{object}", self.target, class.name))
            .header("x-trace-id", format!("{:016x}", self.id))
            .header("x-qos", class.name.as_str())
            .header("x-expires-in", format!("{}u", expires_in.as_micros()));
        if let Some(hint) = hint {
            builder = builder.header("x-size-hint", hint.as_micros().to_string());
        }
        if let Some(tenant) = tenant.and_then(|tenant| spec.tenants.get(tenant)) {
            builder = builder.header("x-customer", tenant.name.as_str());
        }
        let mut body = format!("work_us={}", work.as_micros());
        if class.slots != 1 {
            builder = builder.header("x-props", format!("slots={}", class.slots));
            body.push_str(&format!(" slots={}", class.slots));
        }
        if let Some(key) = &record.key {
            builder = builder.header("idempotency-key", key.as_str());
        }
        if self.number > 0 && spec.marks_retries {
            builder = builder.header("x-second-try", "1");
        }
        // Class names are validated when the load is read. A name that is not valid in a path would make the
        // builder fail; the empty request sent in its place fails too.
        builder.body(Full::from(body)).unwrap_or_default()
    }
}

/// Sends the request of an attempt and returns the outcome of the attempt and the response's `Retry-After`.
pub(super) async fn exchange(http: &HttpClient, request: Request<Full<Bytes>>) -> Response {
    let response = match http.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Outcome::Unreachable(error_chain(&error)).into(),
        Err(error) => return Outcome::Broken(error_chain(&error)).into(),
    };
    let status = response.status();
    let retry_after = retry_after(response.headers());
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Outcome::Broken(error_chain(&error)).into(),
    };
    let outcome = match status {
        StatusCode::OK => Outcome::Served(String::from_utf8_lossy(&body).into_owned()),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
        other => Outcome::Failed(other.as_u16()),
    };
    Response { outcome, retry_after }
}

/// Returns the time in the `Retry-After` header, if it is a number of seconds below [`RETRY_AFTER_LIMIT`].
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get("retry-after")?.to_str().ok()?.parse().ok()?;
    (0.0..RETRY_AFTER_LIMIT).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

/// Returns the messages of an error and of its causes, joined by colons. The last message is usually the
/// operating system's error.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
