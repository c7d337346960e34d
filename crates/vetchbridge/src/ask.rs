//! What is asked of discovery, and by whom. Owns the words alone, so that the engine, which passes the module's asks
//! on, and discovery, which gives the engine its news, need not know each other. It must never hold any state.

use std::net::SocketAddr;

/// What the module may ask of discovery.
#[derive(Debug)]
pub enum Ask {
    /// Follow the changes, or stop.
    Subscribe(bool),
    /// The whole list, once.
    Fetch,
    /// Discovery is at this address from now on. The operators' ask, not the module's.
    Move(SocketAddr),
}
