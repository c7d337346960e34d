//! Tests the store of objects and the object caches of workers: fetches, evictions, and waits for the store.
#![allow(missing_docs)]

use std::time::Duration;
use tokio::time::Instant;
use vetchbridge_testbed::store::{CacheSpec, ObjectCache, Store};

#[tokio::test(start_paused = true)]
async fn a_cache_fetches_evicted_objects_again_and_waits_for_the_capacity_of_the_store() {
    let second = Duration::from_secs(1);
    let store = Store::new(1, second);
    let (first_cache, second_cache) = (
        ObjectCache::new(Some(CacheSpec { store: store.clone(), capacity: 2 })),
        ObjectCache::new(Some(CacheSpec { store, capacity: 2 })),
    );
    let load_time = async |cache: &ObjectCache, object: &str| {
        let start = Instant::now();
        cache.load(object).await;
        start.elapsed()
    };
    let first_loads = [
        load_time(&first_cache, "a").await,
        load_time(&first_cache, "b").await,
        load_time(&first_cache, "a").await,
    ];
    assert_eq!(first_loads, [second, second, Duration::ZERO]);
    // Loading the third object evicts the least recently used object.
    let later_loads = [
        load_time(&first_cache, "c").await,
        load_time(&first_cache, "a").await,
        load_time(&first_cache, "b").await,
    ];
    assert_eq!(later_loads, [second, Duration::ZERO, second]);
    let concurrent = tokio::join!(load_time(&first_cache, "d"), load_time(&second_cache, "d"));
    assert_eq!((concurrent.0.min(concurrent.1), concurrent.0.max(concurrent.1)), (second, 2 * second));
    assert_eq!(load_time(&ObjectCache::new(None), "a").await, Duration::ZERO);
}
