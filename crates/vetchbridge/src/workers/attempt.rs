//! One attempt of a request at a worker, from the opening of its connection to its outcome.

use super::callbacks::{Callback, CallbackState, CallbackSubscription};
use super::connection::REUSE_DELAY;
use super::endpoint::{wait_until_unavailable, Worker};
use super::exchange::{finish_in_background, Exchange, ExchangeError, ExchangeProgress, ResponseFuture};
use super::group::UpstreamGroup;
use super::message::{Payload, WorkerRequest, WorkerResponse};
use super::permission::SendPermission;
use bytes::Bytes;
use hyper::StatusCode;
use std::future::Future;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep, Instant};
use tracing::debug;
use vetchbridge_scheduling::{JobProgress, LoadReport, Outcome, RequestId, WorkerId};

/// The result of an attempt of a request at a worker.
#[derive(Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The worker returned this result for the request.
    Served(Bytes),
    /// The attempt ended with this outcome, without a result.
    NotServed(Outcome),
}

/// An attempt's result, and the worker's load report on the response or callback that ended the attempt.
type AttemptEnd = (AttemptResult, Option<LoadReport>);

/// The conditions under which an attempt is sent. The conditions are checked again just before the attempt's
/// first byte is written, since connecting to the worker may take long.
#[derive(Clone, Debug)]
pub struct SendConditions {
    /// How long the attempt may take in total, including the time to connect.
    pub timeout: Duration,
    /// The time within which the first byte of the attempt must be written, counted from the start of the
    /// attempt.
    pub first_byte_timeout: Duration,
    /// Set once the request has been answered or its client has disconnected.
    pub concluded: Arc<AtomicBool>,
}

impl SendConditions {
    /// Returns the conditions of an attempt whose only limit is `timeout`.
    pub fn with_timeout(timeout: Duration) -> SendConditions {
        SendConditions { timeout, first_byte_timeout: timeout, concluded: Arc::default() }
    }
}

impl UpstreamGroup {
    /// Sends a request to a worker as one attempt, and waits until the attempt ends. Returns the attempt's
    /// result, and the worker's load report on the response or callback that ended the attempt.
    pub async fn attempt(
        &self,
        request: RequestId,
        worker_id: WorkerId,
        payload: &Payload,
        conditions: SendConditions,
        mut cancelled: oneshot::Receiver<()>,
        on_progress: impl Fn(JobProgress),
    ) -> (AttemptResult, Option<LoadReport>) {
        let Some(worker) = self.worker(worker_id) else { return not_served(Outcome::ConnectFailed) };
        // Subscribes to the worker's callbacks before the attempt's first byte is written, since a callback
        // may arrive before the worker's 202 response.
        let subscription = self.callbacks.subscribe(request, worker_id);
        let SendConditions { timeout, first_byte_timeout, concluded } = conditions;
        let first_byte_deadline = Instant::now() + first_byte_timeout.min(timeout);
        let timed_out = sleep(timeout);
        let mut availability = worker.availability.subscribe();
        let permission = SendPermission::while_available(availability.clone())
            .while_list_is_current(self.list_expiry.clone())
            .until(first_byte_deadline, concluded);
        let exchange = worker.exchange(&WorkerRequest::Job { payload, timeout }, permission.clone());
        self.evict_idle_connections();
        let accept_timed_out = accept_timed_out(&exchange.progress, self.accept_timeout());
        tokio::pin!(timed_out, accept_timed_out);
        let mut attempt = Attempt::new(self, &worker, payload, permission, exchange, subscription);
        loop {
            let end = tokio::select! {
                biased;
                Ok(()) = &mut cancelled => Some(attempt.cancel()),
                outcome = wait_until_unavailable(&mut availability), if attempt.phase == Phase::Pending => {
                    attempt.on_worker_unavailable(outcome)
                }
                Some(callback) = attempt.subscription.callbacks.recv() => {
                    attempt.on_callback(callback, &on_progress)
                }
                response = &mut attempt.response, if attempt.phase != Phase::Accepted => {
                    attempt.on_response(response)
                }
                () = &mut accept_timed_out, if attempt.phase != Phase::Accepted => {
                    // Returning from this function drops the exchange and closes its connection, which makes
                    // the worker cancel the job.
                    Some(not_served(Outcome::NoResponse))
                }
                () = &mut timed_out => Some(attempt.time_out()),
            };
            if let Some(end) = end {
                return end;
            }
        }
    }
}

/// Resolves when the accept timeout, plus the connection's reuse delay, has passed since the attempt got a
/// connection to the worker. A responsive worker accepts or rejects a job at once.
fn accept_timed_out(
    progress: &ExchangeProgress,
    accept_timeout: Duration,
) -> impl Future<Output = ()> + use<> {
    let connected = progress.wait_for_connection();
    async move {
        connected.await;
        sleep(REUSE_DELAY + accept_timeout).await;
    }
}

fn not_served(outcome: Outcome) -> AttemptEnd {
    (AttemptResult::NotServed(outcome), None)
}

/// The phase that an attempt is in.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The worker has not accepted the job yet. The worker is available, or its availability has not been
    /// checked yet. If the worker becomes unavailable before the attempt's first byte is written, the attempt
    /// ends without being sent.
    Pending,
    /// The worker became unavailable after the attempt's first byte was written, and has not accepted the job
    /// yet. The attempt continues, and later changes of the worker's availability are ignored.
    WorkerUnavailable,
    /// The worker has accepted the job, and reports on it by callbacks.
    Accepted,
}

/// An attempt in flight. The field `response` is declared, and so dropped, before `subscription`: dropping
/// `response` closes the attempt's connection, and until then the worker's callbacks can still be dispatched
/// to the attempt.
struct Attempt<'a> {
    group: &'a UpstreamGroup,
    worker: &'a Worker,
    payload: &'a Payload,
    permission: SendPermission,
    phase: Phase,
    progress: ExchangeProgress,
    response: ResponseFuture,
    subscription: CallbackSubscription,
}

impl<'a> Attempt<'a> {
    fn new(
        group: &'a UpstreamGroup,
        worker: &'a Worker,
        payload: &'a Payload,
        permission: SendPermission,
        exchange: Exchange,
        subscription: CallbackSubscription,
    ) -> Attempt<'a> {
        let Exchange { progress, response } = exchange;
        let phase = Phase::Pending;
        Attempt { group, worker, payload, permission, phase, progress, response, subscription }
    }

    /// Whether the worker may have received at least the first byte of the attempt.
    fn may_have_reached_worker(&self) -> bool {
        self.phase == Phase::Accepted || self.progress.first_byte_written()
    }

    /// Cancels the job at the worker if the worker has accepted the job. A job that is not accepted yet is
    /// cancelled by dropping the attempt's exchange.
    fn cancel_job(&self) {
        if self.phase == Phase::Accepted {
            self.worker.cancel_job(&self.payload.id);
        }
    }

    fn cancel(&self) -> AttemptEnd {
        let may_have_reached_worker = self.may_have_reached_worker();
        self.cancel_job();
        not_served(if may_have_reached_worker { Outcome::Cancelled } else { Outcome::NotSent })
    }

    fn time_out(&self) -> AttemptEnd {
        let outcome = match (self.may_have_reached_worker(), self.progress.is_connected()) {
            (true, _) => Outcome::Timeout,
            (false, true) => Outcome::NotSent,
            (false, false) => Outcome::ConnectFailed,
        };
        self.cancel_job();
        not_served(outcome)
    }

    /// Ends the attempt if the worker started to drain or was replaced before the request's first byte was
    /// written.
    fn on_worker_unavailable(&mut self, outcome: Outcome) -> Option<AttemptEnd> {
        self.phase = Phase::WorkerUnavailable;
        (!self.progress.first_byte_written()).then(|| not_served(outcome))
    }

    fn on_response(&mut self, response: Result<WorkerResponse, ExchangeError>) -> Option<AttemptEnd> {
        match response {
            // The worker accepts the job by the head of its response. The attempt does not wait for the body,
            // which may never end.
            Ok(response) if response.status == StatusCode::ACCEPTED => {
                debug!(request = self.payload.id, worker = self.worker.name, "attempt.accepted");
                self.phase = Phase::Accepted;
                response.drain_body();
                None
            }
            Ok(response) => {
                let outcome = response_outcome(&response);
                let load = self.group.load_report_settings().report_from_response(response.load_report());
                response.drain_body();
                Some((AttemptResult::NotServed(outcome), load))
            }
            Err(ExchangeError::RequestIncomplete) => {
                let is_wanted = self.permission.check_request().is_ok();
                Some(not_served(if is_wanted { Outcome::ConnectFailed } else { Outcome::NotSent }))
            }
            Err(ExchangeError::ResponseMissing) => Some(not_served(Outcome::Reset)),
        }
    }

    fn on_callback(&mut self, callback: Callback, on_progress: impl Fn(JobProgress)) -> Option<AttemptEnd> {
        let state = callback.state;
        debug!(
            request = self.payload.id,
            worker = self.worker.name,
            ?state,
            accepted = self.phase == Phase::Accepted,
            "callback.received"
        );
        // A job's result is valid for the request even if an earlier attempt of the request produced it.
        if state != CallbackState::Done && self.is_from_earlier_attempt(state) {
            debug!(
                request = self.payload.id,
                worker = self.worker.name,
                ?state,
                "callback.from_earlier_attempt"
            );
            return None;
        }
        if self.phase != Phase::Accepted && self.progress.last_byte_written() {
            self.accept_by_callback();
        }
        let result = match state {
            CallbackState::Started => {
                on_progress(JobProgress::Started);
                return None;
            }
            CallbackState::Running => {
                on_progress(JobProgress::Fraction(callback.fraction));
                return None;
            }
            CallbackState::Done => AttemptResult::Served(callback.result.into()),
            CallbackState::Failed => AttemptResult::NotServed(Outcome::Error),
            CallbackState::Returned => AttemptResult::NotServed(Outcome::Returned),
            CallbackState::Lost => AttemptResult::NotServed(Outcome::Reset),
        };
        if state != CallbackState::Done {
            self.subscription.record_end_state(state);
        }
        let load = callback.load.as_ref().map(|load| load.get().as_bytes());
        Some((result, self.group.load_report_settings().report_from_response(load)))
    }

    /// Whether a callback with this job state must be about an earlier attempt at the same worker. That is so
    /// if this attempt is not accepted and either its request is not fully written, or a callback with the
    /// same state has recently ended an earlier attempt, so that the worker may be retrying the earlier
    /// callback.
    fn is_from_earlier_attempt(&self, state: CallbackState) -> bool {
        self.phase != Phase::Accepted
            && (!self.progress.last_byte_written() || self.subscription.ended_earlier_attempt(state))
    }

    /// Marks the job as accepted when a callback about the job arrives before the worker's 202 response has
    /// been read. The 202 is read in the background, so that the connection can be reused.
    fn accept_by_callback(&mut self) {
        let response = std::mem::replace(&mut self.response, Box::pin(std::future::pending()));
        finish_in_background(response);
        self.phase = Phase::Accepted;
    }
}

/// Returns the outcome of an attempt to which the worker responded with a status other than 202.
fn response_outcome(response: &WorkerResponse) -> Outcome {
    if response.job_never_ran() {
        Outcome::Rejected
    } else if is_invalid_request(response.status) {
        Outcome::Invalid
    } else {
        Outcome::Error
    }
}

/// Whether a worker's response status means that the request itself is invalid. The statuses 408 and 429 are
/// about the worker's time and load instead.
fn is_invalid_request(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::TOO_MANY_REQUESTS
}

#[cfg(test)]
mod tests;
