//! A worker's slots: which waiter gets them next, and waiters that leave.
#![allow(missing_docs)]

use futures_util::FutureExt;
use vetchbridge_testbed::queue::{Order, Queue};

/// Which of three waiters get their slots from a queue of three slots, two of them taken.
fn granted(order: Order, needs: [usize; 3]) -> [bool; 3] {
    let queue = Queue::new(3, order);
    let taken = queue.acquire(2).now_or_never().flatten().expect("two are free");
    let mut waiting = needs.map(|need| Box::pin(queue.acquire(need)));
    let mut permits = Vec::new();
    let granted = std::array::from_fn(|at| match waiting[at].as_mut().now_or_never().flatten() {
        Some(slots) => {
            permits.push(slots);
            true
        }
        None => false,
    });
    drop((taken, waiting, permits));
    assert_eq!(queue.free(), 3, "all slots are released");
    granted
}

#[test]
fn a_first_waiter_that_does_not_fit_blocks_a_fifo_queue_but_not_a_backfilled_one() {
    assert_eq!(granted(Order::Fifo, [2, 1, 1]), [false, false, false]);
    assert_eq!(granted(Order::Backfill, [2, 1, 1]), [false, true, false]);
    // More slots than there are count as all of them.
    assert_eq!(granted(Order::Backfill, [9, 1, 2]), [false, true, false]);
}

#[test]
fn a_waiter_that_leaves_no_longer_blocks_those_behind_it() {
    let queue = Queue::new(2, Order::Fifo);
    let taken = queue.acquire(1).now_or_never().flatten();
    let mut wide = Box::pin(queue.acquire(2));
    assert!(wide.as_mut().now_or_never().is_none());
    let mut small = Box::pin(queue.acquire(1));
    assert!(small.as_mut().now_or_never().is_none());
    drop(wide);
    assert!(small.now_or_never().flatten().is_some() && taken.is_some());
}
