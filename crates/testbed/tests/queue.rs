//! A worker's slots: who is served next, and who stops waiting.
#![allow(missing_docs)]

use futures_util::FutureExt;
use vetchbridge_testbed::queue::{Order, Queue};

/// Of three that wait for a queue of three slots with two held: who is in.
fn served(order: Order, needs: [usize; 3]) -> [bool; 3] {
    let queue = Queue::new(3, order);
    let held = queue.take(2).now_or_never().flatten().expect("two are free");
    let mut waiting = needs.map(|need| Box::pin(queue.take(need)));
    let mut kept = Vec::new();
    let served = std::array::from_fn(|at| match waiting[at].as_mut().now_or_never().flatten() {
        Some(slots) => {
            kept.push(slots);
            true
        }
        None => false,
    });
    drop((held, waiting, kept));
    assert_eq!(queue.free(), 3, "all slots came back");
    served
}

#[test]
fn a_head_that_does_not_fit_holds_up_a_line_but_not_a_backfilled_one() {
    assert_eq!(served(Order::Fifo, [2, 1, 1]), [false, false, false]);
    assert_eq!(served(Order::Backfill, [2, 1, 1]), [false, true, false]);
    // More than there is counts as all of it.
    assert_eq!(served(Order::Backfill, [9, 1, 2]), [false, true, false]);
}

#[test]
fn one_that_stops_waiting_no_longer_holds_up_those_behind() {
    let queue = Queue::new(2, Order::Fifo);
    let held = queue.take(1).now_or_never().flatten();
    let mut wide = Box::pin(queue.take(2));
    assert!(wide.as_mut().now_or_never().is_none());
    let mut small = Box::pin(queue.take(1));
    assert!(small.as_mut().now_or_never().is_none());
    drop(wide);
    assert!(small.now_or_never().flatten().is_some() && held.is_some());
}
