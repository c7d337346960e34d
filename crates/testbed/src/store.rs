//! What jobs need before they can run: a worker keeps what it used last and fetches the rest from a store for all workers.
//!
//! Owns the store's room and, for each worker, which keys it keeps. It must never look at the work itself.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// The one store, from which so many fetch at once. Clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    room: Arc<Semaphore>,
    fetch: Duration,
}

impl Store {
    /// A store with room for so many at once; a fetch takes so long, once it has room.
    pub fn new(room: usize, fetch: Duration) -> Store {
        Store { room: Arc::new(Semaphore::new(room.max(1))), fetch }
    }

    async fn fetch(&self) {
        let _room = self.room.acquire().await;
        sleep(self.fetch).await;
    }
}

/// What one worker keeps.
pub struct Kept {
    /// The store, and how many keys are kept; absent where jobs need nothing.
    from: Option<(Store, usize)>,
    keys: Mutex<VecDeque<String>>,
}

impl Kept {
    /// Nothing yet.
    pub fn new(from: Option<(Store, usize)>) -> Kept {
        Kept { from, keys: Mutex::default() }
    }

    /// Forgets everything, as the death of a process does.
    pub fn forget(&self) {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Returns once a job of this key can run; the key is kept until so many others were used.
    pub async fn ready(&self, key: &str) {
        let Some((store, most)) = &self.from else { return };
        let known = || self.keys.lock().unwrap_or_else(PoisonError::into_inner);
        let place = known().iter().position(|kept| kept == key);
        if place.is_none() {
            store.fetch().await;
        }
        let keys = &mut *known();
        keys.retain(|kept| kept != key);
        keys.push_front(key.to_string());
        keys.truncate(*most);
    }
}
