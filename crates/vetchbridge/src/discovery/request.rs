//! What is asked of discovery, and by whom. Owns the words alone, so that the engine, which passes the module's asks
//! on, and discovery, which gives the engine its news, need not know each other. It must never hold any state.

use crate::discovery::document::Source;

/// What the module may ask of discovery.
#[derive(Debug)]
pub enum DiscoveryRequest {
    /// Follow the changes, or stop.
    Subscribe(bool),
    /// The whole list, once.
    Fetch,
    /// The list comes from here from now on. The operators' ask, not the module's.
    Move(Source),
}
