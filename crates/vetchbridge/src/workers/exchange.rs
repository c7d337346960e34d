//! One HTTP exchange with a worker: writes the request, reads the response, and classifies a failure by
//! whether the worker can have received the whole request.
//!
//! The modules `attempt` and `probe` interpret the worker's response.

use super::client::HttpClient;
use super::connection::WriteMeter;
use super::endpoint::Worker;
use super::expiry::ExpiryHeader;
use super::lock_ignoring_poison;
use super::message::{request_length, WorkerRequest, WorkerResponse, BACKGROUND_READ_TIMEOUT};
use super::permission::SendPermission;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::connect::{capture_connection, CaptureConnection};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use thiserror::Error;
use tokio::time::{timeout, Instant};
use tracing::debug;

/// Why an HTTP exchange with a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ExchangeError {
    /// The connection failed before the request's last byte was written: the worker has not run the request.
    #[error("the connection failed before the request was written")]
    RequestIncomplete,
    /// The connection failed after the request's last byte was written, or at an unknown point: the worker
    /// may have run the request.
    #[error("the connection failed before the response was read")]
    ResponseMissing,
}

/// Resolves to the worker's response when the head of the response has been read.
pub(super) type ResponseFuture = Pin<Box<dyn Future<Output = Result<WorkerResponse, ExchangeError>> + Send>>;

/// A request in flight to a worker. Dropping `response` before it has resolved closes the connection.
pub(super) struct Exchange {
    pub(super) progress: ExchangeProgress,
    pub(super) response: ResponseFuture,
}

/// Reports how much of a request has been written to its connection. The report is valid only until the
/// response arrives, since the connection may carry another request afterwards.
pub(super) struct ExchangeProgress {
    connection: CaptureConnection,
    request_length: u64,
}

impl ExchangeProgress {
    /// Whether a connection to the worker has been assigned to the request.
    pub(super) fn is_connected(&self) -> bool {
        self.connection.connection_metadata().is_some()
    }

    /// Resolves when a connection to the worker has been assigned to the request.
    pub(super) fn wait_for_connection(&self) -> impl Future<Output = ()> + use<> {
        let mut connection = self.connection.clone();
        async move { drop(connection.wait_for_connection_metadata().await) }
    }

    /// Whether the request's first byte has been written to the connection to the worker.
    pub(super) fn first_byte_written(&self) -> bool {
        write_meter(&self.connection).is_some_and(|meter| meter.exchange_bytes() > 0)
    }

    /// Whether the request's last byte has been written to the connection to the worker.
    pub(super) fn last_byte_written(&self) -> bool {
        write_meter(&self.connection).is_some_and(|meter| meter.exchange_bytes() >= self.request_length)
    }
}

/// Returns the write meter of the connection that a request was assigned to.
fn write_meter(connection: &CaptureConnection) -> Option<WriteMeter> {
    let mut extensions = hyper::http::Extensions::new();
    connection.connection_metadata().as_ref()?.get_extras(&mut extensions);
    extensions.remove::<WriteMeter>()
}

/// Closes the connection of a request if this value is dropped before the worker's response has arrived, so
/// that no further byte of the request is written when nobody waits for the response.
struct AbortOnDrop(Option<WriteMeter>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(meter) = &self.0 {
            meter.close();
        }
    }
}

/// Sends one request to a worker. Holds the worker's client, the send permission and the request's expiry
/// header.
struct RequestSender {
    client: HttpClient,
    connection: CaptureConnection,
    permission: SendPermission,
    expiry: Option<ExpiryHeader>,
    request_length: u64,
    worker_name: String,
}

impl RequestSender {
    /// Writes the request to its connection, provided that the send permission still holds when the
    /// connection is ready, and reads the head of the worker's response.
    fn send(mut self, request: Request<Full<Bytes>>) -> ResponseFuture {
        Box::pin(async move {
            let (mut abort_on_drop, mut permission) = (AbortOnDrop(None), Some(self.permission));
            let mut response = self.client.request(request);
            let response = poll_fn(|cx| {
                let polled = Pin::new(&mut response).poll(cx);
                if abort_on_drop.0.is_none() {
                    abort_on_drop.0 = write_meter(&self.connection);
                    if let Some(meter) = &abort_on_drop.0 {
                        if let Some(permission) = permission.take() {
                            meter.begin_exchange(permission, self.expiry.take());
                        }
                    }
                }
                polled
            })
            .await;
            let bytes_written = abort_on_drop.0.as_ref().map_or(0, WriteMeter::exchange_bytes);
            let request_incomplete = bytes_written < self.request_length;
            match response {
                Ok(response) if bytes_written > 0 => {
                    abort_on_drop.0 = None;
                    Ok(WorkerResponse::from(response))
                }
                Ok(_) => {
                    // No byte of this request was written yet, so the response that arrived cannot belong to
                    // this request.
                    debug!(worker = self.worker_name, "exchange.unsolicited_response");
                    Err(ExchangeError::RequestIncomplete)
                }
                Err(error) if error.is_connect() || request_incomplete => {
                    debug!(worker = self.worker_name, ?error, request_incomplete = true, "exchange.failed");
                    Err(ExchangeError::RequestIncomplete)
                }
                Err(error) => {
                    debug!(worker = self.worker_name, ?error, request_incomplete = false, "exchange.failed");
                    Err(ExchangeError::ResponseMissing)
                }
            }
        })
    }
}

impl Worker {
    /// Starts an exchange with this worker. The request is written only if `permission` still holds directly
    /// before the first byte.
    pub(super) fn exchange(&self, request: &WorkerRequest<'_>, permission: SendPermission) -> Exchange {
        let mut http_request = request.to_http(&self.address);
        let request_length = request_length(&http_request);
        let deadline = request.timeout().map(|timeout| Instant::now() + timeout);
        let expiry = deadline.and_then(|deadline| ExpiryHeader::locate(&http_request, deadline));
        let connection = capture_connection(&mut http_request);
        let client = lock_ignoring_poison(&self.client).for_request();
        let progress = ExchangeProgress { connection: connection.clone(), request_length };
        let worker_name = self.name.clone();
        let sender = RequestSender { client, connection, permission, expiry, request_length, worker_name };
        Exchange { progress, response: sender.send(http_request) }
    }

    /// Asks the worker to cancel a job that it has accepted. An attempt that the worker has not accepted is
    /// cancelled by dropping its exchange instead.
    pub(super) fn cancel_job(&self, id: &str) {
        // A request id is 16 hexadecimal digits, so parsing the path cannot fail.
        let Ok(path) = format!("/jobs/{id}").parse() else { return };
        let exchange = self.exchange(&WorkerRequest::CancelJob { path }, SendPermission::always());
        finish_in_background(exchange.response);
    }
}

/// Completes an exchange in the background when nobody waits for the worker's response, so that the
/// connection can be reused.
pub(super) fn finish_in_background(response: ResponseFuture) {
    tokio::spawn(timeout(BACKGROUND_READ_TIMEOUT, async { response.await.map(WorkerResponse::drain_body) }));
}
