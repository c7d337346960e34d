//! The life cycle of one request, from its submission to exactly one answer.
//!
//! Each request has its own task, which executes the decision module's commands for the request, owns the
//! request's attempts and sends the final answer. The task is independent of the protocol: the client server
//! creates the [`SubmittedRequest`] and renders the [`Answer`]. The task never chooses a worker, a delay or
//! an answer by itself, and reports every event to the decision module through the engine.

use crate::engine::{Engine, RequestCommand};
use crate::invariants::{record_violation, Invariant};
use crate::logs::HexRequestId;
use crate::memory::MemoryReservation;
use crate::snapshot::SettingsSnapshot;
use crate::upgrade::message::HandoverMessage;
use crate::upgrade::process_links::ProcessLinks;
use crate::workers::{AttemptResult, Payload, SendConditions, UpstreamGroup};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tracing::debug;
use vetchbridge_scheduling::{
    AttemptNo, ClassId, Event, Idempotency, LoadReport, Micros, Outcome, Request, RequestId, WorkerId,
};

/// A request as it was read from a client, independent of the protocol.
pub struct SubmittedRequest {
    /// The part of the request that the decision module uses.
    pub request: Request,
    /// The part of the request that is forwarded to a worker, unparsed.
    pub payload: Payload,
    /// The settings that were in force when the request was read; they apply until the request ends.
    pub settings: Arc<SettingsSnapshot>,
    /// The memory that is held for the request and its body until the request ends; `None` if no memory was
    /// reserved.
    pub memory: Option<MemoryReservation>,
}

/// The one final answer to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// A worker has run the job; this is the job's result.
    Served(Bytes),
    /// The request is rejected. The client can retry the request safely.
    Rejected {
        /// How long the client should wait before a retry, in microseconds; 0 for no advice.
        retry_after: Micros,
    },
    /// The request failed, and a worker may have run its job.
    Failed,
    /// The request's id belongs to another request of this scheduler that has not ended yet, or that has ended
    /// and whose job must not run again.
    Duplicate,
}

impl Answer {
    /// Returns the name that the log uses for this kind of answer.
    fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Rejected { .. } => "rejected",
            Answer::Failed => "failed",
            Answer::Duplicate => "duplicate",
        }
    }
}

/// Submits a request to the decision module, and returns the receiver of the request's one final answer.
///
/// The caller must not let the settings change between the reading of the request and this call. The request
/// runs in its own task, since attempts may outlive the client's connection. When the caller drops the
/// receiver, the request is treated as one whose client has disconnected.
pub fn submit(
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    process_links: Arc<ProcessLinks>,
    submitted: SubmittedRequest,
) -> oneshot::Receiver<Answer> {
    let (answer_sender, answer) = oneshot::channel();
    let SubmittedRequest { request, payload, settings, memory } = submitted;
    let (id, class, deadline) = (request.id, request.class, request.deadline);
    let may_run_again = settings.may_run_again(class);
    let is_known = process_links.has_open_request(id) || !may_run_again && process_links.is_remembered(id);
    let Some(commands) = (!is_known).then(|| engine.open_request(request)).flatten() else {
        let _ = answer_sender.send(Answer::Duplicate);
        return answer;
    };
    process_links.broadcast(|| HandoverMessage::RequestOpened(id.0));
    let context = RequestContext {
        engine,
        process_links,
        settings,
        id,
        class,
        deadline,
        attempts: Vec::new(),
        commands,
        answer_sender: Some(answer_sender),
        concluded: Arc::default(),
        _memory: memory,
    };
    tokio::spawn(run(context, upstream, payload));
    answer
}

/// Runs one client's request until it is answered (or its client has disconnected), all commands are carried out
/// and all attempts have ended.
async fn run(mut context: RequestContext, upstream: Arc<UpstreamGroup>, payload: Payload) {
    let engine = context.engine.clone();
    let mut in_flight = FuturesUnordered::new();
    if context.is_open_in_another_process().await {
        context.conclude_duplicate();
    }
    // The commands that are left when the request has been answered are carried out too: the decision module
    // waits for the end of each attempt that it has commanded, although no attempt is sent any more.
    while context.answer_sender.is_some() || !in_flight.is_empty() || !context.commands.is_empty() {
        tokio::select! {
            biased;
            // The client's disconnect is checked before the commands, since no attempt may start after the
            // client has disconnected.
            () = client_disconnected(&mut context.answer_sender) => context.on_client_disconnected(),
            command = context.commands.recv() => match command {
                Some(RequestCommand::Send { worker, timeout }) => {
                    let attempt = context.start_attempt(worker, timeout);
                    in_flight.push(attempt.run(&engine, &upstream, &payload));
                }
                Some(RequestCommand::Cancel(attempt)) => context.cancel_attempt(attempt),
                Some(RequestCommand::Reject { retry_after }) => {
                    context.conclude_unserved(Answer::Rejected { retry_after });
                }
                Some(RequestCommand::Fail) => context.conclude_unserved(Answer::Failed),
                // Unreachable: the engine keeps the sender of the request's commands until `close_request`.
                None => return,
            },
            Some(finished) = in_flight.next() => context.finish_attempt(finished, &upstream),
        }
    }
    context.check_attempts_reported();
}

/// Resolves when the client of an unanswered request disconnects; never resolves for an answered request.
async fn client_disconnected(answer_sender: &mut Option<oneshot::Sender<Answer>>) {
    match answer_sender {
        Some(answer_sender) => answer_sender.closed().await,
        None => std::future::pending().await,
    }
}

/// The state of one client's request whose task has not ended. The request stays registered with the engine
/// until this state is dropped.
struct RequestContext {
    engine: Arc<Engine>,
    process_links: Arc<ProcessLinks>,
    settings: Arc<SettingsSnapshot>,
    id: RequestId,
    class: ClassId,
    deadline: Micros,
    /// All attempts of the request so far, indexed by attempt number.
    attempts: Vec<AttemptRecord>,
    commands: UnboundedReceiver<RequestCommand>,
    /// The sender of the request's final answer; present until the request is answered or its client
    /// disconnects.
    answer_sender: Option<oneshot::Sender<Answer>>,
    /// Set when the request is answered or its client disconnects; shared with the request's attempts.
    concluded: Arc<AtomicBool>,
    _memory: Option<MemoryReservation>,
}

/// The record that a request keeps of one of its attempts.
struct AttemptRecord {
    /// The sender of the signal that cancels the attempt; present until the attempt is cancelled.
    cancel: Option<oneshot::Sender<()>>,
    /// When the attempt was started, in microseconds of the engine's clock; `None` once the attempt is known
    /// to have never run.
    may_have_run_since: Option<Micros>,
}

/// An attempt that is about to start.
struct NewAttempt {
    request: RequestId,
    number: AttemptNo,
    worker: WorkerId,
    sent_at: Micros,
    /// The conditions under which the attempt is sent; `None` if the attempt must no longer be sent.
    conditions: Option<SendConditions>,
    cancelled: oneshot::Receiver<()>,
}

/// An attempt that has ended.
struct FinishedAttempt {
    number: AttemptNo,
    worker: WorkerId,
    sent_at: Micros,
    result: AttemptResult,
    load: Option<LoadReport>,
}

impl NewAttempt {
    /// Runs the attempt until it ends, and reports the job's progress to the decision module.
    async fn run(self, engine: &Engine, upstream: &UpstreamGroup, payload: &Payload) -> FinishedAttempt {
        let NewAttempt { request, number, worker, sent_at, .. } = self;
        let on_progress = |progress| {
            let elapsed = engine.clock.now().saturating_sub(sent_at);
            debug!(
                request = %HexRequestId(request),
                attempt = number.0,
                worker = upstream.worker_name(worker),
                ?progress,
                elapsed_us = elapsed,
                "attempt.progress"
            );
            engine.handle(Event::JobProgress { request, attempt: number, progress });
        };
        let (result, load) = match self.conditions {
            Some(conditions) => {
                upstream.attempt(request, worker, payload, conditions, self.cancelled, on_progress).await
            }
            None => (AttemptResult::NotServed(Outcome::NotSent), None),
        };
        FinishedAttempt { number, worker, sent_at, result, load }
    }
}

impl RequestContext {
    /// Records an attempt that the decision module has commanded, and sets the conditions under which the
    /// attempt is sent.
    fn start_attempt(&mut self, worker: WorkerId, timeout: Option<Micros>) -> NewAttempt {
        let number = AttemptNo(self.attempts.len() as u32);
        let sent_at = self.engine.clock.now();
        let deadline =
            timeout.map_or(self.deadline, |timeout| self.deadline.min(sent_at.saturating_add(timeout)));
        let first_byte_deadline = self.first_byte_deadline(sent_at, deadline);
        let (cancel, cancelled) = oneshot::channel();
        self.attempts.push(AttemptRecord { cancel: Some(cancel), may_have_run_since: Some(sent_at) });
        let may_send = self.answer_sender.is_some() && first_byte_deadline > sent_at;
        let conditions = may_send.then(|| SendConditions {
            timeout: Duration::from_micros(deadline - sent_at),
            first_byte_timeout: Duration::from_micros(first_byte_deadline - sent_at),
            concluded: self.concluded.clone(),
        });
        NewAttempt { request: self.id, number, worker, sent_at, conditions, cancelled }
    }

    /// Returns the time before which the first byte of an attempt must be written: the attempt's deadline or,
    /// for a retry of a keyed job, the end of the deduplication window if that is earlier. The decision
    /// module checks the same limits when it sends the attempt, but connecting to the worker may take until
    /// after them. For a retry of a non-idempotent job, returns `sent_at`, so that the attempt is not sent.
    fn first_byte_deadline(&self, sent_at: Micros, deadline: Micros) -> Micros {
        let class = self.settings.settings.classes.get(self.class.0 as usize);
        let idempotency = class.map(|class| class.idempotency).unwrap_or_default();
        let first_sent_at = self.attempts.iter().find_map(|attempt| attempt.may_have_run_since);
        match (idempotency, first_sent_at) {
            (Idempotency::Idempotent, _) | (_, None) => deadline,
            (Idempotency::Keyed { deduplication_window, .. }, Some(first)) => {
                deadline.min(first.saturating_add(deduplication_window))
            }
            (Idempotency::NonIdempotent, Some(_)) => {
                record_violation(
                    Invariant::NonIdempotentJobSentOnce,
                    Some(self.id),
                    "an earlier attempt may have run",
                );
                sent_at
            }
        }
    }

    fn cancel_attempt(&mut self, number: AttemptNo) {
        let attempt = self.attempts.get_mut(number.0 as usize);
        if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
            // Sending the cancellation fails if the attempt has already ended; the attempt then needs no
            // cancellation.
            let _ = cancel.send(());
        }
    }

    /// Sends the final answer to the request if the attempt has a result, and reports the attempt's outcome
    /// to the decision module.
    fn finish_attempt(&mut self, finished: FinishedAttempt, upstream: &UpstreamGroup) {
        let FinishedAttempt { number, worker, sent_at, result, load } = finished;
        let outcome = match result {
            AttemptResult::Served(result) => {
                self.answer(Answer::Served(result));
                Outcome::Ok
            }
            AttemptResult::NotServed(outcome) => outcome,
        };
        if outcome.never_ran() {
            self.attempts[number.0 as usize].may_have_run_since = None;
        }
        let (request, latency) = (self.id, self.engine.clock.now().saturating_sub(sent_at));
        debug!(
            request = %HexRequestId(request),
            attempt = number.0,
            worker = upstream.worker_name(worker),
            ?outcome,
            latency_us = latency,
            "attempt.finished"
        );
        let request_closed = self.answer_sender.is_none();
        self.engine.handle(Event::AttemptFinished {
            request,
            attempt: number,
            worker,
            outcome,
            latency,
            request_closed,
            load,
        });
    }

    /// Whether another process of this scheduler has opened a request with this id, which it may have done
    /// without this process knowing of it yet. Always `false` for a request that may run again.
    async fn is_open_in_another_process(&self) -> bool {
        if self.settings.may_run_again(self.class) || self.process_links.process_count() == 0 {
            return false;
        }
        self.process_links.synchronize().await;
        self.process_links.has_open_request(self.id) || self.process_links.is_remembered(self.id)
    }

    /// Rejects the request because of its id. No attempt of it has been sent.
    fn conclude_duplicate(&mut self) {
        self.answer(Answer::Duplicate);
        self.engine.handle(Event::ClientDisconnected(self.id));
    }

    /// Records a violation if an attempt has been commanded and its end not reported.
    fn check_attempts_reported(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            if matches!(command, RequestCommand::Send { .. }) {
                record_violation(
                    Invariant::CommandedAttemptIsReported,
                    Some(self.id),
                    "the request's task ended before the attempt was started",
                );
            }
        }
    }

    /// Whether the request's job may have run and must not run again.
    fn must_be_remembered(&self) -> bool {
        let may_have_run = self.attempts.iter().any(|attempt| attempt.may_have_run_since.is_some());
        may_have_run && !self.settings.may_run_again(self.class)
    }

    fn on_client_disconnected(&mut self) {
        self.answer_sender = None;
        self.concluded.store(true, Ordering::Relaxed);
        self.engine.handle(Event::ClientDisconnected(self.id));
    }

    /// Gives the request a final answer without a worker's result. For diagnosis, logs the number of attempts
    /// and the time that remains until the request's deadline.
    fn conclude_unserved(&mut self, answer: Answer) {
        let may_have_run =
            self.attempts.iter().filter(|attempt| attempt.may_have_run_since.is_some()).count();
        let remaining = self.deadline.saturating_sub(self.engine.clock.now());
        let attempts = self.attempts.len();
        debug!(
            request = %HexRequestId(self.id),
            attempts,
            may_have_run,
            remaining_us = remaining,
            "request.not_served"
        );
        self.answer(answer);
    }

    fn answer(&mut self, answer: Answer) {
        if let Some(answer_sender) = self.answer_sender.take() {
            self.concluded.store(true, Ordering::Relaxed);
            let class = self.settings.names.classes.get(self.class.0 as usize).map_or("", String::as_str);
            debug!(request = %HexRequestId(self.id), class, answer = answer.name(), "request.answered");
            // Sending the final answer fails if the client has just disconnected; the answer is dropped then.
            let _ = answer_sender.send(answer);
        }
    }
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        // If the request's task is cancelled, the decision module is told that the client has disconnected,
        // so that it does not wait for a request that no longer has a task.
        if let Some(answer_sender) = self.answer_sender.take() {
            if !answer_sender.is_closed() {
                record_violation(
                    Invariant::AcceptedRequestIsAnswered,
                    Some(self.id),
                    "the task ended before the request was answered",
                );
            }
            self.engine.handle(Event::ClientDisconnected(self.id));
        }
        self.engine.close_request(self.id);
        if self.must_be_remembered() {
            self.process_links.remember_closed(self.id);
        } else {
            self.process_links.broadcast(|| HandoverMessage::RequestClosed(self.id.0));
        }
    }
}
