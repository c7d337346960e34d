//! Requests to the endpoint watcher from the rest of the daemon.
//!
//! A module of its own, so that the engine, which passes on the scheduler's requests, and the watcher, which gives the
//! engine its events, need not know each other. It has no state.

use crate::discovery::document::EndpointSource;

/// A request to the [`EndpointWatcher`](super::watcher::EndpointWatcher).
#[derive(Debug)]
pub enum DiscoveryRequest {
    /// Watch the list for changes.
    Subscribe,
    /// Stop watching the list.
    Unsubscribe,
    /// Fetch the complete list once.
    Fetch,
    /// Take the list from this source from now on. Sent by a configuration reload, never by the scheduler.
    Move(EndpointSource),
}
