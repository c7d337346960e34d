//! The request context and its life, from taken to exactly one answer.
//!
//! [`run`] owns the context: the module's steps, the attempts out, and the right to answer. It knows no
//! protocol: front makes a [`Job`] and renders an [`Answer`]. It must never choose a worker, a pause or an
//! answer itself; it asks the module, through the engine, at each point of choice.

use crate::engine::{Engine, RequestCommand};
use crate::invariants::{violated, Invariant};
use crate::logs::Id;
use crate::snapshot::Snapshot;
use crate::upgrade::message::HandoverMessage;
use crate::upgrade::process_links::ProcessLinks;
use crate::workers::{AttemptResult, Payload, SendConditions, UpstreamGroup};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{oneshot, OwnedSemaphorePermit};
use tracing::debug;
use vetchbridge_scheduling::interface::*;

/// A request as it was taken from a client, in no protocol's terms.
pub struct Job {
    /// What the module is told.
    pub request: Request,
    /// What a worker is given, unopened.
    pub payload: Payload,
    /// The settings that it was read under; they hold to its end.
    pub settings: Arc<Snapshot>,
    /// Its share of the memory for bodies, given back with the job.
    pub room: Option<OwnedSemaphorePermit>,
}

/// The one final answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// A worker's result.
    Served(Bytes),
    /// Refused: trying again is harmless, after this long.
    Reject {
        /// 0 for no advice.
        retry_after: Micros,
    },
    /// Failed.
    Failed,
    /// The id belongs to a request that is still open.
    Duplicate,
}

impl Answer {
    /// What the answer is called in the log.
    fn name(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Reject { .. } => "rejected",
            Answer::Failed => "failed",
            Answer::Duplicate => "duplicate",
        }
    }
}

/// Takes the request on: the module hears of it, and owes one final answer from here on. No other settings can come
/// between its reading and this. Its life goes on in a task of its own, since attempts may outlive the client;
/// dropping the receiver says that the client has gone.
pub fn submit(
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    process_links: Arc<ProcessLinks>,
    job: Job,
) -> oneshot::Receiver<Answer> {
    let (reply, answer) = oneshot::channel();
    let Job { request, payload, settings, room } = job;
    let (id, class, deadline) = (request.id, request.class, request.deadline);
    let open_elsewhere = process_links.holds(id);
    let Some(steps) = (!open_elsewhere).then(|| engine.open(request)).flatten() else {
        let _ = reply.send(Answer::Duplicate);
        return answer;
    };
    process_links.tell(|| HandoverMessage::Opened(id.0));
    let context = RequestContext {
        engine,
        process_links,
        settings,
        id,
        class,
        steps,
        reply: Some(reply),
        over: Arc::default(),
        _room: room,
    };
    tokio::spawn(run(context, upstream, payload, deadline));
    answer
}

/// Holds a request's place with the engine; given back here and nowhere else.
struct RequestContext {
    engine: Arc<Engine>,
    process_links: Arc<ProcessLinks>,
    settings: Arc<Snapshot>,
    id: RequestId,
    class: ClassId,
    steps: UnboundedReceiver<RequestCommand>,
    reply: Option<oneshot::Sender<Answer>>,
    /// Set once nobody waits for the answer any more.
    over: Arc<AtomicBool>,
    _room: Option<OwnedSemaphorePermit>,
}

impl RequestContext {
    fn answer(&mut self, answer: Answer) {
        if let Some(reply) = self.reply.take() {
            self.over.store(true, Ordering::Relaxed);
            let class = self.settings.names.classes.get(self.class.0 as usize).map_or("", String::as_str);
            debug!(request = %Id(self.id), class, status = answer.name(), "request.answered");
            // Failure means that the client left in this instant; nobody is owed anything then.
            let _ = reply.send(answer);
        }
    }

    /// What a refusal or failure by the module can be told from: the attempts, and the time that was left.
    fn log_unserved(&self, may_have_run: &[Option<Micros>], deadline: Micros) {
        let ran = may_have_run.iter().flatten().count();
        let left = deadline.saturating_sub(self.engine.clock.now());
        debug!(request = %Id(self.id), attempts = may_have_run.len(), may_have_run = ran, left_us = left, "request.unserved");
    }

    /// Resolves when the client leaves an unanswered request.
    async fn client_left(reply: &mut Option<oneshot::Sender<Answer>>) {
        match reply {
            Some(reply) => reply.closed().await,
            None => std::future::pending().await,
        }
    }
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        // A life cut short must not leave the module waiting for a request that nobody carries any more.
        if let Some(reply) = self.reply.take() {
            if !reply.is_closed() {
                violated(Invariant::TakenRequestIsAnswered, Some(self.id), "its life was cut short");
            }
            self.engine.handle(Event::ClientDisconnected(self.id));
        }
        self.engine.close(self.id);
        self.process_links.tell(|| HandoverMessage::Closed(self.id.0));
    }
}

/// One request's life, from taken on.
async fn run(mut context: RequestContext, upstream: Arc<UpstreamGroup>, payload: Payload, deadline: Micros) {
    let (engine, id) = (context.engine.clone(), context.id);
    let mut attempts = FuturesUnordered::new();
    let mut cancels: Vec<Option<oneshot::Sender<()>>> = Vec::new();
    // When each attempt was sent, but those that surely never ran.
    let mut may_have_run: Vec<Option<Micros>> = Vec::new();
    let effect =
        context.settings.settings.classes.get(context.class.0 as usize).map(|class| class.idempotency);

    // Alive until it is answered and each attempt has had its outcome.
    while context.reply.is_some() || !attempts.is_empty() {
        tokio::select! {
            biased;
            // Before any step: a send that the module chose in the same moment has become moot.
            () = RequestContext::client_left(&mut context.reply) => {
                context.reply = None;
                context.over.store(true, Ordering::Relaxed);
                engine.handle(Event::ClientDisconnected(id));
            }
            step = context.steps.recv() => match step {
                Some(RequestCommand::Send { worker, timeout }) => {
                    let attempt = AttemptNo(cancels.len() as u32);
                    let sent = engine.clock.now();
                    let until = timeout.map_or(deadline, |t| deadline.min(sent.saturating_add(t)));
                    let (cancel, cancelled) = oneshot::channel();
                    cancels.push(Some(cancel));
                    // The module sent it within these bounds; they must still hold at its first byte.
                    let begin_by = match (effect.unwrap_or_default(), may_have_run.iter().flatten().next()) {
                        (Idempotency::Idempotent, _) | (_, None) => until,
                        (Idempotency::Keyed { deduplication_window: window, .. }, Some(first)) => {
                            until.min(first.saturating_add(window))
                        }
                        (Idempotency::NonIdempotent, Some(_)) => {
                            violated(Invariant::UnsafeJobOnce, Some(id), "an attempt before may have run");
                            sent
                        }
                    };
                    may_have_run.push(Some(sent));
                    let (engine, upstream, payload) = (&engine, &upstream, &payload);
                    let moot = context.reply.is_none() || begin_by <= sent;
                    let over = context.over.clone();
                    attempts.push(async move {
                        let note = |note| {
                            let after = engine.clock.now().saturating_sub(sent);
                            debug!(request = %Id(id), attempt = attempt.0, worker = upstream.name(worker), ?note, us = after, "attempt.note");
                            engine.handle(Event::JobProgress { request: id, attempt, progress: note });
                        };
                        let ended = if moot {
                            (AttemptResult::NotServed(Outcome::NotSent), None)
                        } else {
                            let (wait, begin_within) = (until - sent, begin_by - sent);
                            let (wait, begin_within) =
                                (Duration::from_micros(wait), Duration::from_micros(begin_within));
                            let conditions = SendConditions { wait, begin_within, over };
                            upstream.attempt(id, worker, payload, conditions, cancelled, note).await
                        };
                        (attempt, worker, sent, ended)
                    });
                }
                Some(RequestCommand::Cancel(attempt)) => {
                    if let Some(cancel) = cancels.get_mut(attempt.0 as usize).and_then(Option::take) {
                        let _ = cancel.send(());
                    }
                }
                Some(RequestCommand::Reject { retry_after }) => {
                    context.log_unserved(&may_have_run, deadline);
                    context.answer(Answer::Reject { retry_after });
                }
                Some(RequestCommand::Fail) => {
                    context.log_unserved(&may_have_run, deadline);
                    context.answer(Answer::Failed);
                }
                // The engine never drops a sender before `close`.
                None => return,
            },
            Some((attempt, worker, sent, (ended, load))) = attempts.next() => {
                let status = match ended {
                    AttemptResult::Served(result) => {
                        context.answer(Answer::Served(result));
                        Outcome::Ok
                    }
                    AttemptResult::NotServed(status) => status,
                };
                if status.never_ran() {
                    may_have_run[attempt.0 as usize] = None;
                }
                let latency = engine.clock.now().saturating_sub(sent);
                debug!(request = %Id(id), attempt = attempt.0, worker = upstream.name(worker), ?status, us = latency, "attempt.ended");
                let closed = context.reply.is_none();
                engine.handle(Event::AttemptFinished { request: id, attempt, worker, outcome: status, latency, closed, load });
            }
        }
    }
}
