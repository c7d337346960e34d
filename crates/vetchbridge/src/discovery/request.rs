//! Requests to the endpoint watcher from the rest of the daemon.
//!
//! These requests have a module of their own so that the engine and the watcher need not depend on each
//! other: the engine forwards the decision module's requests to the watcher, and the watcher sends events
//! to the engine.

use crate::discovery::document::EndpointSource;

/// A request to the [`EndpointWatcher`](super::watcher::EndpointWatcher).
#[derive(Debug)]
pub enum DiscoveryRequest {
    /// Watch the endpoint list for changes.
    Subscribe,
    /// Stop watching the endpoint list.
    Unsubscribe,
    /// Fetch the complete endpoint list once.
    Fetch,
    /// Take the endpoint list from this source instead of the current source. A configuration reload sends
    /// this request; the decision module never does.
    ChangeSource(EndpointSource),
}
