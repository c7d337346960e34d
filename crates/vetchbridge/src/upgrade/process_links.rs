//! The links to the other processes of this scheduler: to a successor process, or to a predecessor process
//! that is ending.
//!
//! A link holds the state that the other process has reported, and the queue of messages to that process; the
//! module `exchange` sends the messages. No call waits for a process that has ended, and requests are not
//! delayed if there is no other process.

use crate::closed_requests::ClosedRequests;
use crate::upgrade::message::{Envelope, HandoverMessage};
use crate::workers::Callback;
use std::collections::{HashMap, HashSet};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::{timeout, Instant};
use tracing::warn;
use vetchbridge_scheduling::RequestId;

/// Maximum number of messages that are queued for one process. Further messages are dropped, since a process
/// that is this far behind is treated as a process that hangs.
const QUEUE_CAPACITY: usize = 8192;
/// Time limit for another process's reply to a forwarded callback. A worker retries a callback that gets no
/// successful response.
const CALLBACK_REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for another process's reply to a [`HandoverMessage::Sync`]. A process that takes longer is treated
/// as a process that hangs.
const SYNC_TIMEOUT: Duration = Duration::from_millis(200);

/// The result of forwarding a worker's callback to the other processes of this scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// One of the other processes has the attempt that the callback belongs to.
    Known,
    /// No other process has the attempt that the callback belongs to.
    Unknown,
    /// A process that may have the attempt that the callback belongs to did not reply in time.
    NoReply,
}

/// The state that another process of this scheduler has reported.
#[derive(Default)]
struct RemoteState {
    /// The ids of the clients' requests that have not ended yet in the other process, and of those that have
    /// ended there and must not run again.
    open_requests: HashSet<u64>,
    /// The number of client connections of the other process.
    connections: usize,
    /// The forwarded callbacks that await a reply, by number. The sender of each passes on whether the other
    /// process found the callback's attempt.
    pending_callbacks: HashMap<u64, oneshot::Sender<bool>>,
    /// The number that identifies the last callback that was forwarded to the other process.
    last_callback: u64,
    /// The synchronizations that await a reply, by number.
    pending_syncs: HashMap<u64, oneshot::Sender<()>>,
    /// The number that identifies the last synchronization with the other process.
    last_sync: u64,
}

/// The link to another process of this scheduler.
pub struct Link {
    outgoing: mpsc::Sender<Envelope>,
    remote: Mutex<RemoteState>,
    /// Whether the other process replies to [`HandoverMessage::Sync`]. Processes of older versions don't.
    replies_to_sync: bool,
}

/// Locks a mutex, also after a thread has panicked while it held the lock.
fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Returns a new link to another process, and the receiver of the messages that are queued for that
    /// process. `replies_to_sync`: whether that process replies to [`HandoverMessage::Sync`].
    pub fn new(replies_to_sync: bool) -> (Arc<Link>, mpsc::Receiver<Envelope>) {
        let (outgoing, queue) = mpsc::channel(QUEUE_CAPACITY);
        (Arc::new(Link { outgoing, remote: Mutex::default(), replies_to_sync }), queue)
    }

    /// Queues a message with its descriptors for the other process. Returns `false` if the queue is full or
    /// the link has ended; the message is then dropped.
    pub fn send(&self, message: HandoverMessage, descriptors: Vec<OwnedFd>) -> bool {
        self.outgoing.try_send(Envelope { message, descriptors }).is_ok()
    }

    /// Whether messages to the other process are still queued and not yet sent.
    pub fn has_queued(&self) -> bool {
        self.outgoing.capacity() < QUEUE_CAPACITY
    }

    /// Forwards a worker's callback to the other process and waits for the reply.
    async fn forward(&self, callback: Callback) -> ForwardOutcome {
        let (reply_sender, reply) = oneshot::channel();
        let number = {
            let remote = &mut *lock_ignoring_poison(&self.remote);
            remote.last_callback += 1;
            remote.pending_callbacks.insert(remote.last_callback, reply_sender);
            remote.last_callback
        };
        let forwarded = if self.send(HandoverMessage::ForwardedCallback { number, callback }, Vec::new()) {
            match timeout(CALLBACK_REPLY_TIMEOUT, reply).await {
                Ok(Ok(true)) => ForwardOutcome::Known,
                Ok(Ok(false)) => ForwardOutcome::Unknown,
                Ok(Err(_)) | Err(_) => ForwardOutcome::NoReply,
            }
        } else {
            ForwardOutcome::Unknown
        };
        lock_ignoring_poison(&self.remote).pending_callbacks.remove(&number);
        forwarded
    }

    /// Waits until the other process has handled all messages that were queued for it before this call, and
    /// until this process has handled all messages that the other process sent before that.
    async fn synchronize(&self) {
        if !self.replies_to_sync {
            return;
        }
        let (reply_sender, reply) = oneshot::channel();
        let number = {
            let remote = &mut *lock_ignoring_poison(&self.remote);
            remote.last_sync += 1;
            remote.pending_syncs.insert(remote.last_sync, reply_sender);
            remote.last_sync
        };
        if self.send(HandoverMessage::Sync(number), Vec::new()) && timeout(SYNC_TIMEOUT, reply).await.is_err()
        {
            warn!("upgrade.sync_timed_out");
        }
        lock_ignoring_poison(&self.remote).pending_syncs.remove(&number);
    }

    /// Updates what this process knows of the other process from a message that the other process sent.
    pub fn record(&self, message: &HandoverMessage) {
        let remote = &mut *lock_ignoring_poison(&self.remote);
        match message {
            HandoverMessage::RequestOpened(id) => drop(remote.open_requests.insert(*id)),
            HandoverMessage::RequestClosed(id) => drop(remote.open_requests.remove(id)),
            HandoverMessage::ConnectionCount(connections) => remote.connections = *connections,
            HandoverMessage::ClientConnection { .. } => {
                remote.connections = remote.connections.saturating_sub(1);
            }
            HandoverMessage::SyncReply(number) => {
                if let Some(reply_sender) = remote.pending_syncs.remove(number) {
                    // Passing on the reply fails if the wait for the reply has timed out.
                    let _ = reply_sender.send(());
                }
            }
            HandoverMessage::CallbackReply { number, known } => {
                if let Some(reply_sender) = remote.pending_callbacks.remove(number) {
                    // Passing on the reply to a forwarded callback fails if the wait for the reply has timed
                    // out.
                    let _ = reply_sender.send(*known);
                }
            }
            _ => {}
        }
    }
}

/// All links of this process to other processes of the scheduler, and the link to the successor process if
/// there is one.
pub struct ProcessLinks {
    links: Mutex<Vec<Arc<Link>>>,
    successor: watch::Sender<Option<Arc<Link>>>,
    link_removed: Notify,
    closed_requests: Mutex<ClosedRequests>,
}

impl Default for ProcessLinks {
    fn default() -> ProcessLinks {
        ProcessLinks {
            links: Mutex::default(),
            successor: watch::Sender::new(None),
            link_removed: Notify::new(),
            closed_requests: Mutex::default(),
        }
    }
}

impl ProcessLinks {
    /// Adds the link to another process.
    pub fn add(&self, link: Arc<Link>) {
        lock_ignoring_poison(&self.links).push(link);
    }

    /// Removes the link to a process that has ended. If that process was the successor, this process serves
    /// again as before the upgrade.
    pub fn remove(&self, link: &Arc<Link>) {
        lock_ignoring_poison(&self.links).retain(|other| !Arc::ptr_eq(other, link));
        let was_successor = self.successor.send_if_modified(|successor| {
            let is_same = successor.as_ref().is_some_and(|successor| Arc::ptr_eq(successor, link));
            if is_same {
                *successor = None;
            }
            is_same
        });
        if was_successor {
            warn!("upgrade.successor_lost");
        }
        // The other process can't be asked any more which of its requests may have run.
        let open_requests = std::mem::take(&mut lock_ignoring_poison(&link.remote).open_requests);
        for id in open_requests {
            self.remember_closed(RequestId(id));
        }
        self.link_removed.notify_one();
    }

    /// Remembers a closed request whose job may have run and must not run again. To the other processes the
    /// request stays open until it is forgotten.
    pub fn remember_closed(&self, id: RequestId) {
        let forgotten = lock_ignoring_poison(&self.closed_requests).remember(id, Instant::now());
        for id in forgotten {
            self.broadcast(|| HandoverMessage::RequestClosed(id.0));
        }
    }

    /// Whether the job of a closed request with this id may have run and must not run again.
    pub fn is_remembered(&self, id: RequestId) -> bool {
        lock_ignoring_poison(&self.closed_requests).contains(id)
    }

    /// Returns the ids of the remembered closed requests.
    pub fn remembered_ids(&self) -> Vec<RequestId> {
        lock_ignoring_poison(&self.closed_requests).ids().collect()
    }

    /// Waits until this process knows every request that another process had opened before this call, and every
    /// other process knows those of this process. A process that hangs is not waited for long.
    pub async fn synchronize(&self) {
        let links = lock_ignoring_poison(&self.links).clone();
        for link in links {
            link.synchronize().await;
        }
    }

    /// Waits until a link to another process has been removed.
    pub async fn wait_for_removed_link(&self) {
        self.link_removed.notified().await;
    }

    /// Marks the process at the other end of `link` as the successor, which serves clients instead of this
    /// process.
    pub fn set_successor(&self, link: Arc<Link>) {
        self.successor.send_replace(Some(link));
    }

    /// Returns a receiver that is notified when this process gets a successor or loses it.
    pub fn successor(&self) -> watch::Receiver<Option<Arc<Link>>> {
        self.successor.subscribe()
    }

    /// Whether this process has handed over to a successor that is still linked.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Forwards a worker's callback to the other processes, one after the other, until one of them has the
    /// callback's attempt. Skips the process at the other end of `from`, which sent the callback.
    pub async fn forward(&self, callback: &Callback, from: Option<&Arc<Link>>) -> ForwardOutcome {
        let links = lock_ignoring_poison(&self.links).clone();
        let mut result = ForwardOutcome::Unknown;
        for link in links {
            if from.is_some_and(|from| Arc::ptr_eq(from, &link)) {
                continue;
            }
            match link.forward(callback.clone()).await {
                ForwardOutcome::Known => return ForwardOutcome::Known,
                ForwardOutcome::NoReply => result = ForwardOutcome::NoReply,
                ForwardOutcome::Unknown => {}
            }
        }
        result
    }

    /// Whether a client's request with this id is open (has not ended yet) in another process of this
    /// scheduler.
    pub fn has_open_request(&self, id: RequestId) -> bool {
        lock_ignoring_poison(&self.links)
            .iter()
            .any(|link| lock_ignoring_poison(&link.remote).open_requests.contains(&id.0))
    }

    /// Returns the total number of client connections that the other processes of this scheduler have.
    pub fn connection_count(&self) -> usize {
        lock_ignoring_poison(&self.links)
            .iter()
            .map(|link| lock_ignoring_poison(&link.remote).connections)
            .sum()
    }

    /// Returns the number of other processes of this scheduler.
    pub fn process_count(&self) -> usize {
        lock_ignoring_poison(&self.links).len()
    }

    /// Queues a message to every other process of this scheduler.
    pub fn broadcast(&self, message: impl Fn() -> HandoverMessage) {
        for link in lock_ignoring_poison(&self.links).iter() {
            link.send(message(), Vec::new());
        }
    }

    /// Whether messages to any other process of this scheduler are still queued and not yet sent.
    pub fn has_queued(&self) -> bool {
        lock_ignoring_poison(&self.links).iter().any(|link| link.has_queued())
    }
}

#[cfg(test)]
mod tests;
