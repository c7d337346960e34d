//! Upgrades: the old and the new process of one scheduler, working as one.
//!
//! A process that starts first connects to the process that serves as this scheduler, if there is one, and takes over
//! from it: it inherits the clients' listener itself, so that no connection queued there is lost, the peers' socket,
//! and the endpoint list as last received. Once the successor has announced [`TookOver`](HandoverMessage::TookOver),
//! its predecessor accepts nothing; each of its client connections follows as soon as it is between two requests.
//! Callbacks reach whichever process has the attempt, and a request id that is open in either process is open in both.
//!
//! | module | job |
//! | --- | --- |
//! | [`successor`] | connects to a predecessor and inherits from it |
//! | [`predecessor`] | accepts a successor and sends it the offer |
//! | `exchange` | carries messages between the two until one of them ends |
//! | [`process_links`] | what is known of the other process, and the queue of messages to it |
//! | [`message`] | the messages and their JSON |
//! | `reader` | reads messages from a socket |
//! | [`socket`] | the Unix sockets that carry messages and descriptors |
//!
//! Nothing here ends a process: after a successor that fails the predecessor serves as before, and it ends at its own
//! SIGTERM.

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

/// Time limit for sending and for receiving a complete offer. A new process has 6 s for its whole start.
const OFFER_TIMEOUT: Duration = Duration::from_secs(3);
