//! Callbacks: how a worker reports a job's state to its scheduler, retried until they are answered.

use crate::wire::Wire;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Maximum number of attempts to send a callback.
const MAX_CALLBACK_ATTEMPTS: u32 = 10;
/// How long a callback waits for its connection, and for its answer.
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a callback is sent again.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long an idle connection to a scheduler is reused.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// A change of a job's state, as a callback reports it.
#[derive(Clone, Debug)]
pub(super) enum JobUpdate {
    /// The job left the queue and runs.
    Started,
    /// The job runs; `share` of its work is done.
    Running {
        /// Between 0 and 1.
        share: f64,
    },
    /// The job finished.
    Done {
        /// Its result.
        result: String,
    },
    /// The job failed.
    Failed,
    /// The job goes back to the scheduler and never ran.
    Returned,
    /// The job was lost.
    Lost,
}

impl JobUpdate {
    /// The value of the callback's `state`.
    fn state(&self) -> &'static str {
        match self {
            JobUpdate::Started => "started",
            JobUpdate::Running { .. } => "running",
            JobUpdate::Done { .. } => "done",
            JobUpdate::Failed => "failed",
            JobUpdate::Returned => "returned",
            JobUpdate::Lost => "lost",
        }
    }

    /// Whether the callback may carry a load report: the worker itself ends the attempt by it.
    pub(super) fn carries_load(&self) -> bool {
        matches!(self, JobUpdate::Done { .. } | JobUpdate::Failed | JobUpdate::Returned)
    }
}

/// One callback.
pub(super) struct Callback<'a> {
    /// The request's id.
    pub(super) id: u64,
    /// The worker's name.
    pub(super) worker: &'a str,
    /// The change that it reports.
    pub(super) update: &'a JobUpdate,
    /// A load report, if the callback carries one.
    pub(super) load: Option<Value>,
}

impl Callback<'_> {
    /// The body of the callback's request.
    pub(super) fn body(self) -> String {
        let state = self.update.state();
        let mut body = json!({"id": format!("{:016x}", self.id), "from": self.worker, "state": state});
        match self.update {
            JobUpdate::Running { share } => body["share"] = json!(share),
            JobUpdate::Done { result } => body["result"] = json!(result),
            _ => {}
        }
        if let Some(load) = self.load {
            body["load"] = load;
        }
        body.to_string()
    }
}

/// How the bytes of a callback are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// In one piece, retried until it is answered.
    Retried,
    /// One byte at a time, once.
    ByteByByte,
}

/// The HTTP client for callbacks.
pub(super) struct CallbackClient(Client<HttpConnector, Full<Bytes>>);

impl CallbackClient {
    /// A client without connections.
    pub(super) fn new() -> CallbackClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CALLBACK_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        CallbackClient(client)
    }

    /// Sends a body in the way of `delivery`.
    pub(super) async fn deliver(&self, scheduler: SocketAddr, body: String, delivery: Delivery) {
        match delivery {
            Delivery::Retried => self.deliver_with_retries(scheduler, body).await,
            Delivery::ByteByByte => deliver_byte_by_byte(scheduler, &body).await,
        }
    }

    /// Sends a body until it is answered, at most [`MAX_CALLBACK_ATTEMPTS`] times. A 400 is final, too.
    async fn deliver_with_retries(&self, scheduler: SocketAddr, body: String) {
        for _ in 0..MAX_CALLBACK_ATTEMPTS {
            let request =
                Request::post(format!("http://{scheduler}/callback")).body(Full::from(body.clone()));
            let Ok(request) = request else { return };
            match timeout(CALLBACK_TIMEOUT, self.send(request)).await {
                Ok(Some(status)) if status.is_success() || status == StatusCode::BAD_REQUEST => return,
                _ => sleep(CALLBACK_RETRY_DELAY).await,
            }
        }
    }

    /// Sends one request; the status of its answer, if there was one.
    async fn send(&self, request: Request<Full<Bytes>>) -> Option<StatusCode> {
        let response = self.0.request(request).await.ok()?;
        let status = response.status();
        let _ = response.into_body().collect().await;
        Some(status)
    }
}

/// Sends a body one byte at a time, once.
async fn deliver_byte_by_byte(scheduler: SocketAddr, body: &str) {
    let Ok(mut wire) = Wire::dial(scheduler).await else { return };
    let length = body.len();
    let text = format!("POST /callback HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
    // A scheduler that does not read it loses the callback, as this delivery has no retries.
    if wire.write_byte_by_byte(&text).await.is_ok() {
        wire.read().await;
    }
}
