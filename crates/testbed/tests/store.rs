//! The store and the workers' caches: fetches, evictions and waits.
#![allow(missing_docs)]

use std::time::Duration;
use tokio::time::Instant;
use vetchbridge_testbed::store::{CacheSpec, ObjectCache, Store};

#[tokio::test(start_paused = true)]
async fn a_worker_fetches_evicted_objects_and_waits_for_the_capacity_of_the_store() {
    let second = Duration::from_secs(1);
    let store = Store::new(1, second);
    let (one, other) = (
        ObjectCache::new(Some(CacheSpec { store: store.clone(), capacity: 2 })),
        ObjectCache::new(Some(CacheSpec { store, capacity: 2 })),
    );
    let took = async |worker: &ObjectCache, key: &str| {
        let began = Instant::now();
        worker.load(key).await;
        began.elapsed()
    };
    let first = [took(&one, "a").await, took(&one, "b").await, took(&one, "a").await];
    assert_eq!(first, [second, second, Duration::ZERO]);
    // The third object evicts the one that was used longest ago.
    let later = [took(&one, "c").await, took(&one, "a").await, took(&one, "b").await];
    assert_eq!(later, [second, Duration::ZERO, second]);
    let both = tokio::join!(took(&one, "d"), took(&other, "d"));
    assert_eq!((both.0.min(both.1), both.0.max(both.1)), (second, 2 * second));
    assert_eq!(took(&ObjectCache::new(None), "a").await, Duration::ZERO);
}
