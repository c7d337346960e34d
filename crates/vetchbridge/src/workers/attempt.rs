//! One attempt of a request at a worker, from its dial to its outcome.

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

/// How an attempt ended.
#[derive(Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// With the worker's result for this request.
    Served(Bytes),
    /// In any other way.
    NotServed(Outcome),
}

/// An attempt's result, with the load report that came with what ended it.
type AttemptEnd = (AttemptResult, Option<LoadReport>);

/// The conditions under which an attempt is sent. They are checked again just before its first byte, since a connection may
/// take long to come up.
#[derive(Clone, Debug)]
pub struct SendConditions {
    /// How long the attempt waits for its end.
    pub timeout: Duration,
    /// Its first byte must be written within this time.
    pub first_byte_timeout: Duration,
    /// Set once the request has been answered or its client has disconnected.
    pub concluded: Arc<AtomicBool>,
}

impl SendConditions {
    /// The conditions of a request whose client waits for this long.
    pub fn with_timeout(timeout: Duration) -> SendConditions {
        SendConditions { timeout, first_byte_timeout: timeout, concluded: Arc::default() }
    }
}

impl UpstreamGroup {
    /// Makes one attempt and returns its result, with the load report that came with what ended it.
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
        // Before the first byte: a callback may overtake the 202.
        let subscription = self.callbacks.subscribe(request, worker_id);
        let SendConditions { timeout, first_byte_timeout, concluded } = conditions;
        let first_byte_deadline = Instant::now() + first_byte_timeout.min(timeout);
        let timed_out = sleep(timeout);
        let mut availability = worker.availability.subscribe();
        let permission =
            SendPermission::while_available(availability.clone()).until(first_byte_deadline, concluded);
        let exchange = worker.exchange(&WorkerRequest::Job { payload, timeout }, permission.clone());
        self.evict_idle_connections();
        let accept_timed_out = accept_timed_out(&exchange.progress, self.accept_timeout());
        tokio::pin!(timed_out, accept_timed_out);
        let mut attempt = Attempt::new(self, &worker, payload, permission, exchange, subscription);
        loop {
            let end = tokio::select! {
                biased;
                Ok(()) = &mut cancelled => Some(attempt.cancel()),
                outcome = wait_until_unavailable(&mut availability), if attempt.phase == Phase::Writing => {
                    attempt.on_unavailable(outcome)
                }
                Some(callback) = attempt.subscription.callbacks.recv() => {
                    attempt.on_callback(callback, &on_progress)
                }
                response = &mut attempt.response, if attempt.phase != Phase::Accepted => {
                    attempt.on_response(response)
                }
                () = &mut accept_timed_out, if attempt.phase != Phase::Accepted => {
                    // Dropping the exchange closes its connection, which cancels the job.
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

/// Resolves once a connected worker has neither accepted nor rejected the job in time: it does either at once.
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

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The request may be unwritten: it is not sent if the worker becomes unavailable.
    Writing,
    /// The request is being written or the response awaited; the worker's availability no longer matters.
    AwaitingResponse,
    /// The worker has accepted the job, and reports on it by callbacks.
    Accepted,
}

/// An attempt in flight. Its response is dropped before its subscription: the connection is closed while callbacks still have
/// an attempt to be dispatched to.
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
        let phase = Phase::Writing;
        Attempt { group, worker, payload, permission, phase, progress, response, subscription }
    }

    /// Whether the worker may have received a part of the request.
    fn has_begun(&self) -> bool {
        self.phase == Phase::Accepted || self.progress.has_begun()
    }

    /// Cancels the job where the worker has accepted it; before that, dropping the exchange does.
    fn cancel_job(&self) {
        if self.phase == Phase::Accepted {
            self.worker.cancel_job(&self.payload.id);
        }
    }

    fn cancel(&self) -> AttemptEnd {
        let has_begun = self.has_begun();
        self.cancel_job();
        not_served(if has_begun { Outcome::Cancelled } else { Outcome::NotSent })
    }

    fn time_out(&self) -> AttemptEnd {
        let outcome = match (self.has_begun(), self.progress.is_connected()) {
            (true, _) => Outcome::Timeout,
            (false, true) => Outcome::NotSent,
            (false, false) => Outcome::ConnectFailed,
        };
        self.cancel_job();
        not_served(outcome)
    }

    /// The worker drains or was replaced: if no byte has been written, none may be written any more.
    fn on_unavailable(&mut self, outcome: Outcome) -> Option<AttemptEnd> {
        self.phase = Phase::AwaitingResponse;
        (!self.progress.has_begun()).then(|| not_served(outcome))
    }

    fn on_response(&mut self, response: Result<WorkerResponse, ExchangeError>) -> Option<AttemptEnd> {
        match response {
            // The head is enough to know that; a worker may never come to the end of the body.
            Ok(response) if response.status == StatusCode::ACCEPTED => {
                debug!(request = self.payload.id, worker = self.worker.name, "attempt.accepted");
                self.phase = Phase::Accepted;
                response.drain_body();
                None
            }
            Ok(response) => {
                let outcome = response_outcome(&response);
                let load = self.group.load_reports().from_response(response.load_report());
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
        // A result is one of this request, whichever attempt it is from.
        if state != CallbackState::Done && self.is_of_earlier_attempt(state) {
            debug!(
                request = self.payload.id,
                worker = self.worker.name,
                ?state,
                "callback.from_earlier_attempt"
            );
            return None;
        }
        if self.phase != Phase::Accepted && self.progress.is_fully_written() {
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
            CallbackState::Returned => AttemptResult::NotServed(Outcome::Rejected),
            CallbackState::Lost => AttemptResult::NotServed(Outcome::Reset),
        };
        if state != CallbackState::Done {
            self.subscription.record_end(state);
        }
        let load = callback.load.as_ref().map(|load| load.get().as_bytes());
        Some((result, self.group.load_reports().from_response(load)))
    }

    /// Whether a callback must be about an earlier attempt: this one's request is not fully written, or the callback is a
    /// retry of one that ended an earlier attempt here.
    fn is_of_earlier_attempt(&self, state: CallbackState) -> bool {
        self.phase != Phase::Accepted
            && (!self.progress.is_fully_written() || self.subscription.ended_earlier_attempt(state))
    }

    /// The worker calls back before its 202 has been read; reading that in the background saves the connection.
    fn accept_by_callback(&mut self) {
        let response = std::mem::replace(&mut self.response, Box::pin(std::future::pending()));
        finish_in_background(response);
        self.phase = Phase::Accepted;
    }
}

/// The outcome of an attempt that the worker did not accept.
fn response_outcome(response: &WorkerResponse) -> Outcome {
    if response.job_never_ran() {
        Outcome::Rejected
    } else if is_request_fault(response.status) {
        Outcome::Invalid
    } else {
        Outcome::Error
    }
}

/// Whether a response finds fault with the request itself; 408 and 429 are about the worker's time and load.
fn is_request_fault(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::TOO_MANY_REQUESTS
}

#[cfg(test)]
mod tests;
