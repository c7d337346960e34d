//! A worker's slots and who waits for them, in order or as they fit.
//!
//! Owns the count of free slots and the line of those that wait. It must never know what is waiting or why.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Who is served next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// In order: the head waits until it fits, and all others behind it.
    #[default]
    Fifo,
    /// Whoever fits first, the longest wait first among those.
    Backfill,
}

struct Waiter {
    need: usize,
    granted: oneshot::Sender<Held>,
}

struct Line {
    free: usize,
    waiting: VecDeque<Waiter>,
}

struct Shared {
    order: Order,
    slots: usize,
    line: Mutex<Line>,
}

/// See the head of this file. Clones share the slots.
#[derive(Clone)]
pub struct Queue(Arc<Shared>);

/// Slots that are held; dropping it gives them back.
pub struct Held {
    queue: Queue,
    slots: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.queue.line().free += self.slots;
        self.queue.serve();
    }
}

/// One that stops waiting may have been what held the others up.
struct Leaving<'q>(&'q Queue, oneshot::Receiver<Held>);

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        self.1.close();
        self.0.serve();
    }
}

impl Queue {
    /// So many free slots.
    pub fn new(slots: usize, order: Order) -> Queue {
        let line = Mutex::new(Line { free: slots, waiting: VecDeque::new() });
        Queue(Arc::new(Shared { order, slots, line }))
    }

    fn line(&self) -> MutexGuard<'_, Line> {
        self.0.line.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Slots that nobody holds.
    pub fn free(&self) -> usize {
        self.line().free
    }

    /// Waits for so many slots; at most all of them are asked for.
    pub async fn take(&self, need: usize) -> Option<Held> {
        let (granted, told) = oneshot::channel();
        self.line().waiting.push_back(Waiter { need: need.clamp(1, self.0.slots.max(1)), granted });
        self.serve();
        let mut leaving = Leaving(self, told);
        (&mut leaving.1).await.ok()
    }

    fn serve(&self) {
        let mut served = Vec::new();
        {
            let line = &mut *self.line();
            line.waiting.retain(|waiter| !waiter.granted.is_closed());
            let mut at = 0;
            while let Some(waiter) = line.waiting.get(at) {
                if waiter.need <= line.free {
                    line.free -= waiter.need;
                    served.extend(line.waiting.remove(at));
                } else if self.0.order == Order::Backfill {
                    at += 1;
                } else {
                    break;
                }
            }
        }
        // Out of the lock: one that has left meanwhile gives its slots back right here.
        for Waiter { need, granted } in served {
            let _ = granted.send(Held { queue: self.clone(), slots: need });
        }
    }
}
