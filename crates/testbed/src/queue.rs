//! The slots of a stand-in worker, and the queue of waiters for slots.
//!
//! The queue does not know whether a waiter is a job or a probe: a waiter states only the number of slots
//! that it needs.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// The rule that selects the waiter in the queue that gets its slots next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// The waiter that has waited longest. While too few slots are free for this waiter, all other waiters
    /// wait, too.
    #[default]
    Fifo,
    /// The waiter that has waited longest among those for which enough slots are free.
    Backfill,
}

/// A waiter and the number of slots that it waits for.
struct Waiter {
    slots: usize,
    granted: oneshot::Sender<SlotPermit>,
}

struct QueueState {
    free: usize,
    waiters: VecDeque<Waiter>,
}

impl QueueState {
    /// Removes and returns the waiters that can get their slots at present, and subtracts their slots from
    /// the free slots.
    fn remove_grantable(&mut self, order: Order) -> Vec<Waiter> {
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

/// The slots of a worker and the queue of waiters for them. Clones share the slots and the queue.
#[derive(Clone)]
pub struct Queue(Arc<Shared>);

/// Slots that a waiter has acquired; dropping the value releases the slots.
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

/// A waiter's place in the queue. If the place is dropped before the waiter has got its slots, later waiters
/// may get these slots.
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
    /// Creates a queue without waiters, for a worker with `slots` free slots.
    pub fn new(slots: usize, order: Order) -> Queue {
        let state = Mutex::new(QueueState { free: slots, waiters: VecDeque::new() });
        Queue(Arc::new(Shared { order, slots, state }))
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of free slots.
    pub fn free(&self) -> usize {
        self.state().free
    }

    /// Waits until `slots` slots are free for the caller, and acquires them. A request for more slots than
    /// the worker has waits for all slots of the worker.
    pub async fn acquire(&self, slots: usize) -> Option<SlotPermit> {
        let (sender, granted) = oneshot::channel();
        let slots = slots.clamp(1, self.0.slots.max(1));
        self.state().waiters.push_back(Waiter { slots, granted: sender });
        self.grant();
        let mut place = QueuePlace { queue: self, granted };
        (&mut place.granted).await.ok()
    }

    /// Gives free slots to the waiters that can get them, as the order of the queue states.
    fn grant(&self) {
        let grants = self.state().remove_grantable(self.0.order);
        // Permits are sent after the lock is released: if a waiter has left meanwhile, its permit is dropped
        // in this loop, and the drop locks the state again to release the slots.
        for Waiter { slots, granted } in grants {
            let _ = granted.send(SlotPermit { queue: self.clone(), slots });
        }
    }
}
