//! Callbacks of workers, and their dispatch to the attempts that wait for them.
//!
//! Each attempt owns a [`CallbackSubscription`], which ends when it is dropped. A callback without a subscriber is not
//! stored; the router only remembers for [`CALLBACK_RETRY_WINDOW`] which callbacks ended an attempt without a result.

use super::{lock, parse_request_id, worker_id};
use crate::invariants::{record_violation, Invariant};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;
use tracing::warn;
use vetchbridge_scheduling::{RequestId, WorkerId};

/// How long after the end of an attempt a worker may still retry the callback that ended it.
const CALLBACK_RETRY_WINDOW: Duration = Duration::from_secs(2);

/// What a worker reports about a job, sent to the address that clients use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Callback {
    /// The id of the request.
    pub id: String,
    /// The name of the worker in the endpoint list.
    #[serde(rename = "from")]
    pub worker: String,
    /// The state of the job.
    pub state: CallbackState,
    /// The fraction of the job that is done.
    #[serde(default, rename = "share")]
    pub fraction: f64,
    /// The result of the job.
    #[serde(default)]
    pub result: String,
    /// The worker's load report, unparsed: a malformed report must not invalidate the callback.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Box<RawValue>>,
}

/// The states of a job that a callback reports.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CallbackState {
    /// The job has started.
    Started,
    /// It is running.
    Running,
    /// It is done.
    Done,
    /// It failed; it may have run.
    Failed,
    /// It was returned before it started.
    Returned,
    /// It was killed, or its process died; it may have run.
    Lost,
}

/// Identifies an attempt: a request has at most one at a time at each worker.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptKey {
    request: RequestId,
    worker: WorkerId,
}

/// An attempt that a callback ended without a result.
struct EndedAttempt {
    ended_at: Instant,
    key: AttemptKey,
    state: CallbackState,
}

#[derive(Default)]
struct RouterState {
    subscribers: HashMap<AttemptKey, UnboundedSender<Callback>>,
    /// The attempts ended within the retry window, the earliest first.
    ended: VecDeque<EndedAttempt>,
}

/// Dispatches callbacks to the attempts that they are about.
#[derive(Default)]
pub(super) struct CallbackRouter(Arc<Mutex<RouterState>>);

/// The subscription of one attempt to its callbacks.
pub(super) struct CallbackSubscription {
    router: Arc<Mutex<RouterState>>,
    key: AttemptKey,
    /// The callbacks that recently ended earlier attempts of this request at the same worker.
    earlier_ends: Vec<CallbackState>,
    /// The callbacks about this attempt, in the order of their arrival.
    pub(super) callbacks: UnboundedReceiver<Callback>,
}

impl Drop for CallbackSubscription {
    fn drop(&mut self) {
        lock(&self.router).subscribers.remove(&self.key);
    }
}

impl CallbackSubscription {
    /// Whether a callback in this state has already ended an earlier attempt, and may be a retry of that one.
    pub(super) fn ended_earlier_attempt(&self, state: CallbackState) -> bool {
        self.earlier_ends.contains(&state)
    }

    /// Records the callback that ended this attempt, for a later attempt at the same worker.
    pub(super) fn record_end(&self, state: CallbackState) {
        let ended = EndedAttempt { ended_at: Instant::now(), key: self.key, state };
        lock(&self.router).ended.push_back(ended);
    }
}

impl CallbackRouter {
    /// Subscribes an attempt to its callbacks.
    pub(super) fn subscribe(&self, request: RequestId, worker: WorkerId) -> CallbackSubscription {
        let key = AttemptKey { request, worker };
        let (sender, callbacks) = unbounded_channel();
        let state = &mut *lock(&self.0);
        if state.subscribers.insert(key, sender).is_some() {
            record_violation(
                Invariant::OneAttemptPerWorker,
                Some(request),
                "an earlier attempt there still waits",
            );
        }
        while state.ended.front().is_some_and(|ended| ended.ended_at.elapsed() >= CALLBACK_RETRY_WINDOW) {
            state.ended.pop_front();
        }
        let earlier_ends = state.ended.iter().filter(|ended| ended.key == key).map(|ended| ended.state);
        CallbackSubscription { router: self.0.clone(), key, earlier_ends: earlier_ends.collect(), callbacks }
    }

    /// Dispatches a callback to the attempt that it is about; false if there is no such attempt here.
    pub(super) fn dispatch(&self, callback: &Callback) -> bool {
        let Some(request) = parse_request_id(&callback.id) else {
            warn!(worker = callback.worker, "callback.malformed");
            return true;
        };
        let key = AttemptKey { request, worker: worker_id(&callback.worker) };
        let state = lock(&self.0);
        let Some(subscriber) = state.subscribers.get(&key) else { return false };
        // Sending fails only while the attempt is ending.
        drop(subscriber.send(callback.clone()));
        true
    }
}

#[cfg(test)]
mod tests;
