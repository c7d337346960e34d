//! Tests the queue for a worker's slots: which waiter gets slots next, and what happens when a waiter leaves.
#![allow(missing_docs)]

use futures_util::FutureExt;
use vetchbridge_testbed::queue::{Order, Queue};

/// Returns for each of three waiters whether it gets its slots from a queue with three slots, two of which
/// are in use. `needs` are the numbers of slots that the waiters request.
fn granted(order: Order, needs: [usize; 3]) -> [bool; 3] {
    let queue = Queue::new(3, order);
    let in_use = queue.acquire(2).now_or_never().flatten().expect("two slots are free");
    let mut waiting = needs.map(|need| Box::pin(queue.acquire(need)));
    let mut permits = Vec::new();
    let granted = std::array::from_fn(|index| match waiting[index].as_mut().now_or_never().flatten() {
        Some(slots) => {
            permits.push(slots);
            true
        }
        None => false,
    });
    drop((in_use, waiting, permits));
    assert_eq!(queue.free(), 3, "all slots are released");
    granted
}

#[test]
fn a_first_waiter_that_needs_too_many_slots_blocks_a_fifo_queue_but_not_a_backfill_queue() {
    assert_eq!(granted(Order::Fifo, [2, 1, 1]), [false, false, false]);
    assert_eq!(granted(Order::Backfill, [2, 1, 1]), [false, true, false]);
    // A call to the queue that asks for more slots than the queue's total of three, here for 9, waits
    // until all three slots are free.
    assert_eq!(granted(Order::Backfill, [9, 1, 2]), [false, true, false]);
}

#[test]
fn a_waiter_that_leaves_no_longer_blocks_later_waiters() {
    let queue = Queue::new(2, Order::Fifo);
    let in_use = queue.acquire(1).now_or_never().flatten();
    let mut first_waiter = Box::pin(queue.acquire(2));
    assert!(first_waiter.as_mut().now_or_never().is_none());
    let mut second_waiter = Box::pin(queue.acquire(1));
    assert!(second_waiter.as_mut().now_or_never().is_none());
    drop(first_waiter);
    assert!(second_waiter.now_or_never().flatten().is_some() && in_use.is_some());
}
