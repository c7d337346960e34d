//! Callbacks: how a worker reports a job's state to its scheduler, retried until they are answered.

use super::state::WorkerState;
use crate::wire::Wire;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How often a callback is sent at most.
const CALLBACK_TRIES: u32 = 10;
/// How long a callback waits for its connection, and for its answer.
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a callback is sent again.
const CALLBACK_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long an idle connection to a scheduler is kept.
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
    fn carries_load(&self) -> bool {
        matches!(self, JobUpdate::Done { .. } | JobUpdate::Failed | JobUpdate::Returned)
    }
}

/// How the bytes of a callback are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// As a whole, retried until it is answered.
    Whole,
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

    /// Sends a body until it is answered, at most [`CALLBACK_TRIES`] times. A 400 is final, too.
    pub(super) async fn deliver(&self, scheduler: SocketAddr, body: String) {
        for _ in 0..CALLBACK_TRIES {
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
    // A scheduler that does not read it loses the callback; a test asks for that by this delivery.
    if wire.write_in_pieces(&text).await.is_ok() {
        wire.read().await;
    }
}

impl WorkerState {
    /// Reports one update of a job to its scheduler.
    pub(super) async fn report(
        &self,
        scheduler: SocketAddr,
        id: u64,
        update: &JobUpdate,
        delivery: Delivery,
    ) {
        let body = self.callback_body(id, update);
        match delivery {
            Delivery::Whole => self.callbacks.deliver(scheduler, body).await,
            Delivery::ByteByByte => deliver_byte_by_byte(scheduler, &body).await,
        }
    }

    fn callback_body(&self, id: u64, update: &JobUpdate) -> String {
        let mut body = json!({"id": format!("{id:016x}"), "from": self.spec.name, "state": update.state()});
        match update {
            JobUpdate::Running { share } => body["share"] = json!(share),
            JobUpdate::Done { result } => body["result"] = json!(result),
            _ => {}
        }
        if let Some(stats) = self.stats_in_answers().filter(|_| update.carries_load()) {
            body["load"] = stats.json(&self.reported_load());
        }
        body.to_string()
    }
}
