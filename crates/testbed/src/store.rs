//! The objects that jobs need before a stand-in worker runs them. Each worker caches the objects that its
//! jobs used most recently and fetches other objects from a store that all workers share.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// The store of objects that all workers share, with a limit on concurrent fetches. Clones share the limit.
#[derive(Clone, Debug)]
pub struct Store {
    permits: Arc<Semaphore>,
    fetch_time: Duration,
}

impl Store {
    /// Creates a store that serves at most `max_fetches` fetches at once, each of which takes `fetch_time`.
    pub fn new(max_fetches: usize, fetch_time: Duration) -> Store {
        Store { permits: Arc::new(Semaphore::new(max_fetches.max(1))), fetch_time }
    }

    async fn fetch(&self) {
        let _permit = self.permits.acquire().await;
        sleep(self.fetch_time).await;
    }
}

/// Configuration of one worker's object cache.
#[derive(Clone, Debug)]
pub struct CacheSpec {
    /// The store from which objects are fetched.
    pub store: Store,
    /// Maximum number of cached objects.
    pub capacity: usize,
}

/// The object cache of one worker. A full cache evicts the least recently used object.
pub struct ObjectCache {
    /// The cache's configuration; `None` if jobs need no objects.
    spec: Option<CacheSpec>,
    /// The cached objects, most recently used first.
    objects: Mutex<VecDeque<String>>,
}

impl ObjectCache {
    /// Creates the object cache of a worker, without objects.
    pub fn new(spec: Option<CacheSpec>) -> ObjectCache {
        ObjectCache { spec, objects: Mutex::default() }
    }

    fn objects(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes every object from the cache, as the end of the worker's process does.
    pub fn clear(&self) {
        self.objects().clear();
    }

    /// Fetches an object from the store unless the object is cached, and marks it as the most recently used
    /// one.
    pub async fn load(&self, object: &str) {
        let Some(CacheSpec { store, capacity }) = &self.spec else { return };
        let is_cached = self.objects().iter().any(|cached| cached == object);
        if !is_cached {
            store.fetch().await;
        }
        let objects = &mut *self.objects();
        objects.retain(|cached| cached != object);
        objects.push_front(object.to_string());
        objects.truncate(*capacity);
    }
}
