//! The other process of this scheduler, while there is one: a successor that takes over, a predecessor that ends.
//!
//! Owns what is known of each, and the queue of words to it. Whoever needs the other process asks here; `upgrade`
//! carries the words. It must never wait for a process that has gone, nor hold a request up where there is none.

use crate::upgrade::message::HandoverMessage;
use crate::workers::Callback;
use std::collections::{HashMap, HashSet};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::timeout;
use tracing::warn;
use vetchbridge_scheduling::interface::RequestId;

/// Words that wait for a slow process; beyond them it is taken for one that hangs.
const QUEUE: usize = 8192;
/// How long the other process may take over a callback. The worker repeats what is not answered.
const HEARD_WITHIN: Duration = Duration::from_secs(1);

/// What other processes made of a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// One of them has its attempt.
    Known,
    /// None has it.
    Unknown,
    /// One that may have it did not say.
    Unanswered,
}

/// A word and what goes with it.
pub type Message = (HandoverMessage, Vec<OwnedFd>);

#[derive(Default)]
struct Known {
    /// The requests open there.
    open: HashSet<u64>,
    /// Client connections held there.
    connections: usize,
    /// Callbacks that it was asked about.
    asked: HashMap<u64, oneshot::Sender<bool>>,
    next: u64,
}

/// Another process of this scheduler.
pub struct Link {
    words: mpsc::Sender<Message>,
    known: Mutex<Known>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// A link, and the words that are to be carried to the other side.
    pub fn new() -> (Arc<Link>, mpsc::Receiver<Message>) {
        let (words, queue) = mpsc::channel(QUEUE);
        (Arc::new(Link { words, known: Mutex::default() }), queue)
    }

    /// Says a word; false if the other side hangs or has gone.
    pub fn say(&self, word: HandoverMessage, beside: Vec<OwnedFd>) -> bool {
        self.words.try_send((word, beside)).is_ok()
    }

    /// Whether words still wait to be carried.
    pub fn behind(&self) -> bool {
        self.words.capacity() < QUEUE
    }

    /// Asks whether a callback is for an attempt there.
    async fn ask(&self, callback: Callback) -> Forwarded {
        let (heard, answer) = oneshot::channel();
        let number = {
            let known = &mut *lock(&self.known);
            known.next += 1;
            known.asked.insert(known.next, heard);
            known.next
        };
        let said = self.say(HandoverMessage::Callback { number, callback }, Vec::new());
        let forwarded = if said {
            match timeout(HEARD_WITHIN, answer).await {
                Ok(Ok(true)) => Forwarded::Known,
                Ok(Ok(false)) => Forwarded::Unknown,
                Ok(Err(_)) | Err(_) => Forwarded::Unanswered,
            }
        } else {
            Forwarded::Unknown
        };
        lock(&self.known).asked.remove(&number);
        forwarded
    }

    /// Takes note of what the other side said of itself.
    pub fn note(&self, word: &HandoverMessage) {
        let known = &mut *lock(&self.known);
        match word {
            HandoverMessage::Opened(id) => drop(known.open.insert(*id)),
            HandoverMessage::Closed(id) => drop(known.open.remove(id)),
            HandoverMessage::Holds(connections) => known.connections = *connections,
            HandoverMessage::Connection { .. } => known.connections = known.connections.saturating_sub(1),
            HandoverMessage::Heard { number, known: there } => {
                if let Some(asked) = known.asked.remove(number) {
                    // Failure means that nobody waits for it any more.
                    let _ = asked.send(*there);
                }
            }
            _ => {}
        }
    }
}

/// See the head of this file.
pub struct ProcessLinks {
    links: Mutex<Vec<Arc<Link>>>,
    successor: watch::Sender<Option<Arc<Link>>>,
    gone: Notify,
}

impl Default for ProcessLinks {
    fn default() -> ProcessLinks {
        ProcessLinks { links: Mutex::default(), successor: watch::Sender::new(None), gone: Notify::new() }
    }
}

impl ProcessLinks {
    /// Another process is there.
    pub fn add(&self, link: Arc<Link>) {
        lock(&self.links).push(link);
    }

    /// It has gone. If it was the successor, this process is on its own again.
    pub fn remove(&self, link: &Arc<Link>) {
        lock(&self.links).retain(|known| !Arc::ptr_eq(known, link));
        let was = self.successor.send_if_modified(|successor| {
            let was = successor.as_ref().is_some_and(|successor| Arc::ptr_eq(successor, link));
            if was {
                *successor = None;
            }
            was
        });
        if was {
            warn!("upgrade.successor.gone");
        }
        self.gone.notify_one();
    }

    /// Resolves once another process has gone.
    pub async fn gone(&self) {
        self.gone.notified().await;
    }

    /// It serves in this process's place.
    pub fn succeeded(&self, link: Arc<Link>) {
        self.successor.send_replace(Some(link));
    }

    /// Follows who serves in this process's place.
    pub fn successor(&self) -> watch::Receiver<Option<Arc<Link>>> {
        self.successor.subscribe()
    }

    /// Whether another process serves in this one's place.
    pub fn has_successor(&self) -> bool {
        self.successor.borrow().is_some()
    }

    fn all(&self) -> Vec<Arc<Link>> {
        lock(&self.links).clone()
    }

    /// Gives a callback to the process that has its attempt, if it is not the one that it came from.
    pub async fn forward(&self, callback: &Callback, from: Option<&Arc<Link>>) -> Forwarded {
        let mut all = Forwarded::Unknown;
        for link in self.all() {
            if from.is_some_and(|from| Arc::ptr_eq(from, &link)) {
                continue;
            }
            match link.ask(callback.clone()).await {
                Forwarded::Known => return Forwarded::Known,
                Forwarded::Unanswered => all = Forwarded::Unanswered,
                Forwarded::Unknown => {}
            }
        }
        all
    }

    /// Whether a request with this id is open in another process.
    pub fn holds(&self, id: RequestId) -> bool {
        lock(&self.links).iter().any(|link| lock(&link.known).open.contains(&id.0))
    }

    /// Client connections that other processes hold.
    pub fn connections(&self) -> usize {
        lock(&self.links).iter().map(|link| lock(&link.known).connections).sum()
    }

    /// How many other processes there are.
    pub fn processes(&self) -> usize {
        lock(&self.links).len()
    }

    /// Tells every other process.
    pub fn tell(&self, word: impl Fn() -> HandoverMessage) {
        for link in lock(&self.links).iter() {
            link.say(word(), Vec::new());
        }
    }

    /// Whether words to another process still wait.
    pub fn behind(&self) -> bool {
        lock(&self.links).iter().any(|link| link.behind())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::workers::CallbackState;

    fn callback() -> Callback {
        let (id, from) = ("00000000000000ab".to_string(), "s-0".to_string());
        Callback {
            id,
            worker: from,
            state: CallbackState::Started,
            fraction: 0.0,
            result: String::new(),
            load: None,
        }
    }

    /// What another process has said of itself goes with it, and this one is on its own again.
    #[test]
    fn a_process_that_has_gone_holds_nothing() {
        let process_links = ProcessLinks::default();
        let ((old, _old_queue), (new, _new_queue)) = (Link::new(), Link::new());
        process_links.add(old.clone());
        process_links.add(new.clone());
        process_links.succeeded(new.clone());
        for (link, word) in [
            (&old, HandoverMessage::Opened(1)),
            (&old, HandoverMessage::Opened(2)),
            (&old, HandoverMessage::Closed(1)),
            (&old, HandoverMessage::Holds(5)),
            (&old, HandoverMessage::Connection { kept: true }),
            (&new, HandoverMessage::Holds(3)),
        ] {
            link.note(&word);
        }
        assert_eq!(
            (
                process_links.holds(RequestId(1)),
                process_links.holds(RequestId(2)),
                process_links.connections()
            ),
            (false, true, 7)
        );
        process_links.remove(&old);
        assert_eq!(
            (process_links.holds(RequestId(2)), process_links.connections(), process_links.has_successor()),
            (false, 3, true)
        );
        process_links.remove(&new);
        assert_eq!((process_links.connections(), process_links.has_successor()), (0, false));
    }

    /// A callback is asked about everywhere but where it came from; one that hangs, or has gone, is not waited for.
    #[tokio::test(start_paused = true)]
    async fn a_callback_is_asked_about_in_turn() {
        let process_links = ProcessLinks::default();
        assert_eq!(
            process_links.forward(&callback(), None).await,
            Forwarded::Unknown,
            "there is nobody to ask"
        );
        let links: Vec<_> = (0..4).map(|_| Link::new()).collect();
        let mut queues = Vec::new();
        for (link, queue) in links {
            process_links.add(link.clone());
            queues.push((link, Some(queue)));
        }
        // The first has gone, the second hangs, from the third it came, the fourth has the job.
        queues[0].1 = None;
        let (knows, mut asked) = (queues[3].0.clone(), queues[3].1.take().expect("a queue"));
        let answering = async {
            while let Some((word, _)) = asked.recv().await {
                if let HandoverMessage::Callback { number, .. } = word {
                    return knows.note(&HandoverMessage::Heard { number, known: true });
                }
            }
        };
        let callback = callback();
        let (known, ()) = tokio::join!(process_links.forward(&callback, Some(&queues[2].0)), answering);
        assert_eq!(known, Forwarded::Known);
        assert!(queues[2].1.as_mut().expect("a queue").try_recv().is_err(), "it came from there");
        // From the fourth it came this time; the second may have it, and does not say.
        let unheard = process_links.forward(&callback, Some(&queues[3].0)).await;
        assert_eq!(unheard, Forwarded::Unanswered, "the worker is to say it again");
    }
}
