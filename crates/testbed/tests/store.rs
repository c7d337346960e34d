//! The store and the workers' caches: what is fetched, evicted and waited for.
#![allow(missing_docs)]

use std::time::Duration;
use tokio::time::Instant;
use vetchbridge_testbed::store::{Kept, Store};

#[tokio::test(start_paused = true)]
async fn a_worker_fetches_what_it_no_longer_keeps_and_waits_for_the_stores_room() {
    let second = Duration::from_secs(1);
    let store = Store::new(1, second);
    let (one, other) = (Kept::new(Some((store.clone(), 2))), Kept::new(Some((store, 2))));
    let took = async |worker: &Kept, key: &str| {
        let began = Instant::now();
        worker.ready(key).await;
        began.elapsed()
    };
    let first = [took(&one, "a").await, took(&one, "b").await, took(&one, "a").await];
    assert_eq!(first, [second, second, Duration::ZERO]);
    // The third key takes the place of the one that was used longest ago.
    let later = [took(&one, "c").await, took(&one, "a").await, took(&one, "b").await];
    assert_eq!(later, [second, Duration::ZERO, second]);
    let both = tokio::join!(took(&one, "d"), took(&other, "d"));
    assert_eq!((both.0.min(both.1), both.0.max(both.1)), (second, 2 * second));
    assert_eq!(took(&Kept::new(None), "a").await, Duration::ZERO);
}
