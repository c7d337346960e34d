//! Callbacks: a peer's words on a job, and the table of the attempts that wait for them.
//!
//! Owns the form of those words. Each attempt owns its place in the table and gives it back when it is dropped. It must
//! never judge what a peer says, nor keep a word that no attempt here waits for.

use super::{lock, request_id, worker_id};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use silverproxy::interface::{RequestId, WorkerId};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tracing::warn;

/// A peer's word on a job, sent to the address that clients use.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Callback {
    /// The request's id.
    pub id: String,
    /// The peer, by its name in discovery.
    pub from: String,
    /// What became of the job.
    pub state: CallbackState,
    /// Share done.
    #[serde(default)]
    pub share: f64,
    /// The answer.
    #[serde(default)]
    pub result: String,
    /// The peer's load report, as it was written: one that can't be read must not spoil the word on the job.
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

type Table = Mutex<HashMap<(RequestId, WorkerId), UnboundedSender<Callback>>>;

/// The table of callbacks.
#[derive(Default)]
pub(super) struct Callbacks(Arc<Table>);

/// An attempt's place in the table of callbacks.
pub(super) struct Inbox {
    table: Arc<Table>,
    key: (RequestId, WorkerId),
    /// What its peer says, in the order it came.
    pub(super) calls: UnboundedReceiver<Callback>,
}

impl Drop for Inbox {
    fn drop(&mut self) {
        lock(&self.table).remove(&self.key);
    }
}

impl Callbacks {
    /// A place for an attempt, from before its first byte on.
    pub(super) fn listen(&self, id: RequestId, worker: WorkerId) -> Inbox {
        let (sender, calls) = unbounded_channel();
        lock(&self.0).insert((id, worker), sender);
        Inbox { table: self.0.clone(), key: (id, worker), calls }
    }

    /// Passes a callback to the attempt that it is about; false if none such is out here.
    pub(super) fn pass(&self, callback: &Callback) -> bool {
        let Some(id) = request_id(&callback.id) else {
            warn!(peer = callback.from, "callback.unreadable");
            return true;
        };
        let table = lock(&self.0);
        let Some(inbox) = table.get(&(id, worker_id(&callback.from))) else { return false };
        // Failure means that the attempt is ending in this instant.
        drop(inbox.send(callback.clone()));
        true
    }
}
