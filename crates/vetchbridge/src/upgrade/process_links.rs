//! The links to the other processes of this scheduler, while there are any: a successor that takes over, a predecessor
//! that is ending.
//!
//! Owns what is known of each process and the queue of messages to it; `exchange` carries the messages. No call here
//! waits for a process that has ended, nor delays a request where there is no other process.

use crate::upgrade::message::{Envelope, HandoverMessage};
use crate::workers::Callback;
use std::collections::{HashMap, HashSet};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::timeout;
use tracing::warn;
use vetchbridge_scheduling::RequestId;

/// Messages that may be queued for one process; further ones are dropped, as for a process that hangs.
const QUEUE_CAPACITY: usize = 8192;
/// Time limit for the reply to a forwarded callback. The worker retries a callback that gets no response.
const CALLBACK_REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// What forwarding a callback to other processes came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// One of them has its attempt.
    Known,
    /// None of them has it.
    Unknown,
    /// One that may have it did not reply.
    Unanswered,
}

/// What is known of another process.
#[derive(Default)]
struct RemoteState {
    /// The requests that are open there.
    open_requests: HashSet<u64>,
    /// Its client connections.
    connections: usize,
    /// Callbacks forwarded to it that await its reply, by number.
    pending_callbacks: HashMap<u64, oneshot::Sender<bool>>,
    /// The number of the last callback that was forwarded to it.
    last_callback: u64,
}

/// The link to another process of this scheduler.
pub struct Link {
    outgoing: mpsc::Sender<Envelope>,
    remote: Mutex<RemoteState>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// A link, and the messages that are to be carried to the other side.
    pub fn new() -> (Arc<Link>, mpsc::Receiver<Envelope>) {
        let (outgoing, queue) = mpsc::channel(QUEUE_CAPACITY);
        (Arc::new(Link { outgoing, remote: Mutex::default() }), queue)
    }

    /// Queues a message with its descriptors; `false` if the other process hangs or has ended.
    pub fn send(&self, message: HandoverMessage, descriptors: Vec<OwnedFd>) -> bool {
        self.outgoing.try_send(Envelope { message, descriptors }).is_ok()
    }

    /// Whether messages are still queued.
    pub fn has_queued(&self) -> bool {
        self.outgoing.capacity() < QUEUE_CAPACITY
    }

    /// Forwards a callback and waits for the reply.
    async fn forward(&self, callback: Callback) -> Forwarded {
        let (reply_sender, reply) = oneshot::channel();
        let number = {
            let remote = &mut *lock(&self.remote);
            remote.last_callback += 1;
            remote.pending_callbacks.insert(remote.last_callback, reply_sender);
            remote.last_callback
        };
        let forwarded = if self.send(HandoverMessage::ForwardedCallback { number, callback }, Vec::new()) {
            match timeout(CALLBACK_REPLY_TIMEOUT, reply).await {
                Ok(Ok(true)) => Forwarded::Known,
                Ok(Ok(false)) => Forwarded::Unknown,
                Ok(Err(_)) | Err(_) => Forwarded::Unanswered,
            }
        } else {
            Forwarded::Unknown
        };
        lock(&self.remote).pending_callbacks.remove(&number);
        forwarded
    }

    /// Records what a message from the other process states about that process.
    pub fn record(&self, message: &HandoverMessage) {
        let remote = &mut *lock(&self.remote);
        match message {
            HandoverMessage::RequestOpened(id) => drop(remote.open_requests.insert(*id)),
            HandoverMessage::RequestClosed(id) => drop(remote.open_requests.remove(id)),
            HandoverMessage::ConnectionCount(connections) => remote.connections = *connections,
            HandoverMessage::ClientConnection { .. } => {
                remote.connections = remote.connections.saturating_sub(1);
            }
            HandoverMessage::CallbackReply { number, known } => {
                if let Some(reply_sender) = remote.pending_callbacks.remove(number) {
                    // It fails if the wait for the reply has timed out.
                    let _ = reply_sender.send(*known);
                }
            }
            _ => {}
        }
    }
}

/// All links of this process, and which of them leads to its successor.
pub struct ProcessLinks {
    links: Mutex<Vec<Arc<Link>>>,
    successor: watch::Sender<Option<Arc<Link>>>,
    link_closed: Notify,
}

impl Default for ProcessLinks {
    fn default() -> ProcessLinks {
        ProcessLinks {
            links: Mutex::default(),
            successor: watch::Sender::new(None),
            link_closed: Notify::new(),
        }
    }
}

impl ProcessLinks {
    /// Adds the link to another process.
    pub fn add(&self, link: Arc<Link>) {
        lock(&self.links).push(link);
    }

    /// Removes the link to a process that has ended. If that was the successor, this process serves alone again.
    pub fn remove(&self, link: &Arc<Link>) {
        lock(&self.links).retain(|other| !Arc::ptr_eq(other, link));
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
        self.link_closed.notify_one();
    }

    /// Resolves once a link has been removed.
    pub async fn link_closed(&self) {
        self.link_closed.notified().await;
    }

    /// Notes that the process at the other end of a link serves in this process's place.
    pub fn set_successor(&self, link: Arc<Link>) {
        self.successor.send_replace(Some(link));
    }

    /// A receiver of each change of the successor.
    pub fn successor(&self) -> watch::Receiver<Option<Arc<Link>>> {
        self.successor.subscribe()
    }

    /// Whether another process serves in this one's place.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    /// Forwards a callback to the process that has its attempt, except to the one that it came from.
    pub async fn forward(&self, callback: &Callback, from: Option<&Arc<Link>>) -> Forwarded {
        let links = lock(&self.links).clone();
        let mut result = Forwarded::Unknown;
        for link in links {
            if from.is_some_and(|from| Arc::ptr_eq(from, &link)) {
                continue;
            }
            match link.forward(callback.clone()).await {
                Forwarded::Known => return Forwarded::Known,
                Forwarded::Unanswered => result = Forwarded::Unanswered,
                Forwarded::Unknown => {}
            }
        }
        result
    }

    /// Whether a request with this id is open in another process.
    pub fn has_open_request(&self, id: RequestId) -> bool {
        lock(&self.links).iter().any(|link| lock(&link.remote).open_requests.contains(&id.0))
    }

    /// The number of client connections of all other processes.
    pub fn connections(&self) -> usize {
        lock(&self.links).iter().map(|link| lock(&link.remote).connections).sum()
    }

    /// The number of other processes.
    pub fn processes(&self) -> usize {
        lock(&self.links).len()
    }

    /// Queues a message for every other process.
    pub fn broadcast(&self, message: impl Fn() -> HandoverMessage) {
        for link in lock(&self.links).iter() {
            link.send(message(), Vec::new());
        }
    }

    /// Whether messages to another process are still queued.
    pub fn has_queued(&self) -> bool {
        lock(&self.links).iter().any(|link| link.has_queued())
    }
}

#[cfg(test)]
mod tests;
