//! Callbacks: a worker's words on a job, and the table of the attempts that wait for them.
//!
//! Owns the form of those words, and for [`REPEATS`] which of them ended an attempt without a result. Each attempt owns its
//! place in the table and gives it back when it is dropped. It must never judge what a worker says, nor keep a word that no
//! attempt here waits for.

use super::{lock, request_id, worker_id};
use crate::invariants::{violated, Invariant};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;
use tracing::warn;
use vetchbridge_scheduling::interface::{RequestId, WorkerId};

/// A worker that was not answered says the same again; so long after an attempt's end, such a word is still about that one.
const REPEATS: Duration = Duration::from_secs(2);

/// A worker's word on a job, sent to the address that clients use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Callback {
    /// The request's id.
    pub id: String,
    /// The worker, by its name in discovery.
    pub from: String,
    /// What became of the job.
    pub state: CallbackState,
    /// Share done.
    #[serde(default)]
    pub share: f64,
    /// The answer.
    #[serde(default)]
    pub result: String,
    /// The worker's load report, as it was written: one that can't be read must not spoil the word on the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<Box<RawValue>>,
}

/// What a callback may tell.
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
    /// Handed back unstarted.
    Returned,
    /// Killed, or its process died; it may have run.
    Lost,
}

type Key = (RequestId, WorkerId);

#[derive(Default)]
struct Table {
    waiting: HashMap<Key, UnboundedSender<Callback>>,
    /// What ended attempts that a worker may get again, the earliest first.
    ended: VecDeque<(Instant, Key, CallbackState)>,
}

/// The table of callbacks.
#[derive(Default)]
pub(super) struct Callbacks(Arc<Mutex<Table>>);

/// An attempt's place in the table of callbacks.
pub(super) struct Inbox {
    table: Arc<Mutex<Table>>,
    key: Key,
    /// What ended this request's earlier attempts at the same worker, lately.
    ended_before: Vec<CallbackState>,
    /// What its worker says, in the order it came.
    pub(super) calls: UnboundedReceiver<Callback>,
}

impl Drop for Inbox {
    fn drop(&mut self) {
        lock(&self.table).waiting.remove(&self.key);
    }
}

impl Inbox {
    /// Whether this word, come before the attempt was taken, is one that has ended an earlier attempt already.
    pub(super) fn repeats(&self, state: CallbackState) -> bool {
        self.ended_before.contains(&state)
    }

    /// Keeps in mind what ended this attempt, for a later one at the same worker.
    pub(super) fn ended(&self, state: CallbackState) {
        lock(&self.table).ended.push_back((Instant::now(), self.key, state));
    }
}

impl Callbacks {
    /// A place for an attempt, from before its first byte on.
    pub(super) fn listen(&self, id: RequestId, worker_id: WorkerId) -> Inbox {
        let ((sender, calls), key) = (unbounded_channel(), (id, worker_id));
        let table = &mut *lock(&self.0);
        if table.waiting.insert(key, sender).is_some() {
            violated(Invariant::OneAttemptAtAWorker, Some(id), "an earlier attempt there still waits");
        }
        while table.ended.front().is_some_and(|(at, ..)| at.elapsed() >= REPEATS) {
            table.ended.pop_front();
        }
        let ended_before = table.ended.iter().filter(|(_, of, _)| *of == key).map(|(.., state)| *state);
        Inbox { table: self.0.clone(), key, ended_before: ended_before.collect(), calls }
    }

    /// Passes a callback to the attempt that it is about; false if none such is out here.
    pub(super) fn pass(&self, callback: &Callback) -> bool {
        let Some(id) = request_id(&callback.id) else {
            warn!(worker = callback.from, "callback.malformed");
            return true;
        };
        let table = lock(&self.0);
        let Some(inbox) = table.waiting.get(&(id, worker_id(&callback.from))) else { return false };
        // Failure means that the attempt is ending in this instant.
        drop(inbox.send(callback.clone()));
        true
    }
}
