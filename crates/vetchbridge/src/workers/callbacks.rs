//! Callbacks of workers, and their dispatch to the attempts that wait for them.
//!
//! Each attempt owns a [`CallbackSubscription`]; dropping the value unsubscribes the attempt. A callback
//! without a subscriber is not stored. When a callback ends an attempt without a result, [`CallbackRouter`]
//! remembers the callback's job state for [`CALLBACK_RETRY_WINDOW`] from the end of the attempt, so that a
//! later attempt of the same request at the same worker can recognise a retry of that callback.

use super::{lock_ignoring_poison, parse_request_id, worker_id};
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

/// How long after the end of an attempt its worker may still retry the callback that ended the attempt.
const CALLBACK_RETRY_WINDOW: Duration = Duration::from_secs(2);

/// A worker's report about the progress or the end of a job. Workers send callbacks to the address that
/// clients use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Callback {
    /// The id of the request that the job belongs to.
    pub id: String,
    /// The name in the endpoint list of the worker that sends the callback.
    #[serde(rename = "from")]
    pub worker: String,
    /// The state of the job that the callback reports.
    pub state: CallbackState,
    /// The fraction of the job that the worker has completed; used only while the job is running.
    #[serde(default, rename = "share")]
    pub fraction: f64,
    /// The result of the job; used only if the job is done.
    #[serde(default)]
    pub result: String,
    /// The worker's load report, unparsed: a malformed report must not invalidate the callback.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Box<RawValue>>,
}

/// The states of a job that a callback can report.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CallbackState {
    /// The worker has started the job.
    Started,
    /// The worker is running the job.
    Running,
    /// The job is done, and the callback carries the job's result.
    Done,
    /// The job failed; it may have run.
    Failed,
    /// The worker returned the job before starting it.
    Returned,
    /// The job was killed, or its process died; the job may have run.
    Lost,
}

/// Identifies an attempt in flight: a request has at most one attempt at a time at each worker.
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
    /// The attempts that a callback has recently ended without a result, the earliest first; entries older
    /// than [`CALLBACK_RETRY_WINDOW`] are dropped.
    ended: VecDeque<EndedAttempt>,
}

/// Dispatches callbacks to the attempts that they are about.
#[derive(Default)]
pub(super) struct CallbackRouter(Arc<Mutex<RouterState>>);

/// The subscription of one attempt to the callbacks about it.
pub(super) struct CallbackSubscription {
    router: Arc<Mutex<RouterState>>,
    key: AttemptKey,
    /// The job states in the callbacks that recently ended earlier attempts of this request at the same
    /// worker.
    earlier_end_states: Vec<CallbackState>,
    /// The callbacks about this attempt, in the order of their arrival.
    pub(super) callbacks: UnboundedReceiver<Callback>,
}

impl Drop for CallbackSubscription {
    fn drop(&mut self) {
        lock_ignoring_poison(&self.router).subscribers.remove(&self.key);
    }
}

impl CallbackSubscription {
    /// Whether a callback with this job state has recently ended an earlier attempt of this request at the
    /// same worker. If so, a new callback with this state may be a retry of the earlier callback.
    pub(super) fn ended_earlier_attempt(&self, state: CallbackState) -> bool {
        self.earlier_end_states.contains(&state)
    }

    /// Records the job state in the callback that ended this attempt, so that a later attempt at the same
    /// worker can recognise a retry of the callback.
    pub(super) fn record_end_state(&self, state: CallbackState) {
        let ended = EndedAttempt { ended_at: Instant::now(), key: self.key, state };
        lock_ignoring_poison(&self.router).ended.push_back(ended);
    }
}

impl CallbackRouter {
    /// Subscribes an attempt of a request to the callbacks from this worker about the request.
    pub(super) fn subscribe(&self, request: RequestId, worker: WorkerId) -> CallbackSubscription {
        let key = AttemptKey { request, worker };
        let (sender, callbacks) = unbounded_channel();
        let state = &mut *lock_ignoring_poison(&self.0);
        if state.subscribers.insert(key, sender).is_some() {
            record_violation(
                Invariant::OneAttemptPerWorker,
                Some(request),
                "an earlier attempt at this worker has not ended",
            );
        }
        while state.ended.front().is_some_and(|ended| ended.ended_at.elapsed() >= CALLBACK_RETRY_WINDOW) {
            state.ended.pop_front();
        }
        let earlier_end_states = state.ended.iter().filter(|ended| ended.key == key).map(|ended| ended.state);
        CallbackSubscription {
            router: self.0.clone(),
            key,
            earlier_end_states: earlier_end_states.collect(),
            callbacks,
        }
    }

    /// Dispatches a callback to the attempt that the callback is about. Returns false if no such attempt is
    /// in flight in this process. Returns true for a callback with a malformed request id, which is logged
    /// and dropped.
    pub(super) fn dispatch(&self, callback: &Callback) -> bool {
        let Some(request) = parse_request_id(&callback.id) else {
            warn!(worker = callback.worker, "callback.malformed");
            return true;
        };
        let key = AttemptKey { request, worker: worker_id(&callback.worker) };
        let state = lock_ignoring_poison(&self.0);
        let Some(subscriber) = state.subscribers.get(&key) else { return false };
        // Sending to the attempt fails only if the attempt is ending; the callback is dropped then.
        drop(subscriber.send(callback.clone()));
        true
    }
}

#[cfg(test)]
mod tests;
