//! Callbacks: HTTP requests by which a stand-in worker reports the state of a job to the scheduler. A
//! callback is retried until the scheduler responds.

use crate::wire::HttpConnection;
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
/// Time limit for connecting to the scheduler, and for one attempt to send a callback including the
/// scheduler's response.
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed attempt to send a callback, before the next attempt.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long a worker reuses an idle connection to a scheduler for callbacks.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// A change of a job's state that a callback reports to the scheduler.
#[derive(Clone, Debug)]
pub(super) enum JobUpdate {
    /// The worker started to run the job.
    Started,
    /// The worker runs the job and has made progress.
    Running {
        /// The fraction of the job's work that is done, between 0 and 1.
        share: f64,
    },
    /// The worker finished the job.
    Done {
        /// The job's result, which the client receives.
        result: String,
    },
    /// The job failed at the worker.
    Failed,
    /// The worker returns the job to the scheduler without having run it.
    Returned,
    /// The worker lost the job, for example because the worker was killed.
    Lost,
}

impl JobUpdate {
    /// Returns the value of the `state` field in the callback's JSON.
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

    /// Whether the callback may carry a load report: only callbacks by which the worker itself ends an
    /// attempt carry one.
    pub(super) fn carries_load(&self) -> bool {
        matches!(self, JobUpdate::Done { .. } | JobUpdate::Failed | JobUpdate::Returned)
    }
}

/// The content of one callback.
pub(super) struct Callback<'a> {
    /// The request id of the job's attempt.
    pub(super) id: u64,
    /// The name of the worker that sends the callback.
    pub(super) worker: &'a str,
    /// The change of the job's state that the callback reports.
    pub(super) update: &'a JobUpdate,
    /// The load report, if the callback carries one.
    pub(super) load: Option<Value>,
}

impl Callback<'_> {
    /// Returns the JSON text of the callback, which is the body of its HTTP request.
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

/// How a worker writes a callback to the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The complete callback at once; retried until the scheduler responds.
    Retried,
    /// The callback one byte at a time, without retries.
    ByteByByte,
}

/// The HTTP client by which a worker sends callbacks.
pub(super) struct CallbackClient(Client<HttpConnector, Full<Bytes>>);

impl CallbackClient {
    /// Creates an HTTP client that has no open connections yet.
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

    /// Sends `body`, the JSON text of a callback, to a scheduler as `delivery` states.
    pub(super) async fn deliver(&self, scheduler: SocketAddr, body: String, delivery: Delivery) {
        match delivery {
            Delivery::Retried => self.deliver_with_retries(scheduler, body).await,
            Delivery::ByteByByte => deliver_byte_by_byte(scheduler, &body).await,
        }
    }

    /// Sends the body of a callback until the scheduler responds with a success status or with 400, at most
    /// [`MAX_CALLBACK_ATTEMPTS`] times.
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

    /// Sends one request of a callback and returns the status of the response, or `None` if no response came.
    async fn send(&self, request: Request<Full<Bytes>>) -> Option<StatusCode> {
        let response = self.0.request(request).await.ok()?;
        let status = response.status();
        let _ = response.into_body().collect().await;
        Some(status)
    }
}

/// Sends the body of a callback one byte at a time, without retries.
async fn deliver_byte_by_byte(scheduler: SocketAddr, body: &str) {
    let Ok(mut connection) = HttpConnection::connect(scheduler).await else { return };
    let length = body.len();
    let text = format!("POST /callback HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
    // A failure is ignored and not retried: the callback is lost if the scheduler does not read it.
    if connection.write_byte_by_byte(&text).await.is_ok() {
        connection.read().await;
    }
}
