//! A worker's slots and the queue for them, in order or by what fits.
//!
//! The queue does not know what waits in it, or why.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// Which waiter gets its slots next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// The first one; while it does not fit, all others wait behind it.
    #[default]
    Fifo,
    /// The first one that fits.
    Backfill,
}

struct Waiter {
    slots: usize,
    granted: oneshot::Sender<SlotPermit>,
}

struct QueueState {
    free: usize,
    waiters: VecDeque<Waiter>,
}

impl QueueState {
    /// Removes the waiters that get their slots now, and takes the slots for them.
    fn take_grants(&mut self, order: Order) -> Vec<Waiter> {
        self.waiters.retain(|waiter| !waiter.granted.is_closed());
        let mut grants = Vec::new();
        let mut index = 0;
        while let Some(waiter) = self.waiters.get(index) {
            if waiter.slots <= self.free {
                self.free -= waiter.slots;
                grants.extend(self.waiters.remove(index));
            } else if order == Order::Backfill {
                index += 1;
            } else {
                break;
            }
        }
        grants
    }
}

struct Shared {
    order: Order,
    slots: usize,
    state: Mutex<QueueState>,
}

/// A number of slots and the queue for them. Clones share both.
#[derive(Clone)]
pub struct Queue(Arc<Shared>);

/// Slots that were taken; dropping it releases them.
pub struct SlotPermit {
    queue: Queue,
    slots: usize,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.state().free += self.slots;
        self.queue.grant();
    }
}

/// A place in the queue. Dropping it may let those behind it have their slots.
struct QueuePlace<'a> {
    queue: &'a Queue,
    granted: oneshot::Receiver<SlotPermit>,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.granted.close();
        self.queue.grant();
    }
}

impl Queue {
    /// An empty queue for a number of free slots.
    pub fn new(slots: usize, order: Order) -> Queue {
        let state = Mutex::new(QueueState { free: slots, waiters: VecDeque::new() });
        Queue(Arc::new(Shared { order, slots, state }))
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of free slots.
    pub fn free(&self) -> usize {
        self.state().free
    }

    /// Waits for a number of slots; more than there are count as all of them.
    pub async fn acquire(&self, slots: usize) -> Option<SlotPermit> {
        let (sender, granted) = oneshot::channel();
        let slots = slots.clamp(1, self.0.slots.max(1));
        self.state().waiters.push_back(Waiter { slots, granted: sender });
        self.grant();
        let mut place = QueuePlace { queue: self, granted };
        (&mut place.granted).await.ok()
    }

    /// Gives free slots to waiters.
    fn grant(&self) {
        let grants = self.state().take_grants(self.0.order);
        // Outside the lock: the permit of a waiter that has left meanwhile is dropped here and releases its
        // slots.
        for Waiter { slots, granted } in grants {
            let _ = granted.send(SlotPermit { queue: self.clone(), slots });
        }
    }
}
