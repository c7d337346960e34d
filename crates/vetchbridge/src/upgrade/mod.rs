//! Upgrades of a running scheduler: a new process of the scheduler (the successor) takes over from the old
//! process (the predecessor).
//!
//! When a process starts, it first connects to the process that already serves as the same scheduler, if
//! there is one. The successor inherits the listener for clients, the socket for messages between schedulers,
//! and the endpoint list that the predecessor received last. The listener's descriptor itself is passed, so
//! connections queued there are not lost. Once the successor has sent
//! [`TookOver`](HandoverMessage::TookOver), the predecessor accepts no connections; it passes on each client
//! connection as soon as the connection is between two requests. A callback is forwarded to the process that
//! has the callback's attempt, and both processes treat a request id as open while the request is open in
//! either process.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`successor`] | connects to a predecessor and inherits from it |
//! | [`predecessor`] | accepts a successor and sends it the offer |
//! | `exchange` | carries messages between the two processes until one of them ends |
//! | [`process_links`] | the state of the other process, and the queue of messages to it |
//! | [`message`] | the messages and their JSON |
//! | `reader` | reads messages from a socket |
//! | [`socket`] | the Unix sockets that carry messages and descriptors |
//!
//! This module never ends a process. If the successor fails, the predecessor continues to serve; the
//! predecessor ends only when it receives SIGTERM.

mod exchange;
pub mod message;
pub mod predecessor;
pub mod process_links;
mod reader;
pub mod socket;
pub mod successor;

pub use message::HandoverMessage;
pub use predecessor::HandoverServer;
pub use successor::{take_over, InheritedState, TakeoverOutcome};

use std::time::Duration;

/// Time limit for sending or receiving the predecessor's offer and endpoint list. A new process has 6 s to
/// start.
const OFFER_TIMEOUT: Duration = Duration::from_secs(3);
