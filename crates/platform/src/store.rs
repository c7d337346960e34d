//! What jobs need before they can run: a peer keeps what it used last and fetches the rest from a store for all peers.
//!
//! Owns the store's room and, for each peer, which keys it keeps. It must never look at the work itself.

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

/// What one peer keeps.
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

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::Instant;

    #[tokio::test(start_paused = true)]
    async fn a_peer_fetches_what_it_no_longer_keeps_and_waits_for_the_stores_room() {
        let second = Duration::from_secs(1);
        let store = Store::new(1, second);
        let (one, other) = (Kept::new(Some((store.clone(), 2))), Kept::new(Some((store, 2))));
        let took = async |peer: &Kept, key: &str| {
            let began = Instant::now();
            peer.ready(key).await;
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
}
