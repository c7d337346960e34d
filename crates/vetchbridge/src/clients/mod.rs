//! Everything on the clients' side: the listener, the connections it accepts, and the HTTP on them.
//!
//! This room owns what a client or a callback can see of the daemon. It must never choose a peer or speak to one.

pub mod connections;
pub mod front;
