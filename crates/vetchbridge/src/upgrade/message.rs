//! The messages between two processes of one scheduler, and their encoding.
//!
//! Owns the messages and their form: one JSON object a message, with descriptors beside it where a message brings some.
//! The JSON names are those of version 1 of the hand-over and stay as they are; the Rust names are mapped to them here.
//! A message that can't be decoded ends the link, as another version's would.

use crate::discovery::document::Instance;
use crate::workers::Callback;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// The version of these messages; processes of different versions don't take over from one another.
pub const VERSION: u32 = 1;
/// Maximum length of a message in bytes; a callback's body of 64 KiB fits, encoded as JSON.
pub const MAX_MESSAGE_BYTES: usize = 160 * 1024;
/// Endpoints share a message up to this length in bytes; a longer one has a message of its own.
const MAX_BATCH_BYTES: usize = 32 * 1024;

/// A message from one process of a scheduler to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// From the successor: it wants to take over from the scheduler of this name and address.
    Hello {
        /// [`VERSION`].
        version: u32,
        /// The scheduler's name.
        name: String,
        /// Where its clients connect.
        listen: SocketAddr,
    },
    /// From the predecessor: its state. Brings the clients' listener and, if there is one, the peers' socket.
    Offer(Offer),
    /// From the predecessor: a part of its endpoint list; the last message has none.
    #[serde(rename = "Entries")]
    Endpoints(Vec<Instance>),
    /// From the predecessor: it does not hand over, for this reason.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// From the successor: it serves from now on.
    #[serde(rename = "Taken")]
    TookOver,
    /// A client connection between two requests, whose descriptor comes along.
    #[serde(rename = "Connection")]
    ClientConnection {
        /// It has carried a response already.
        #[serde(rename = "kept")]
        reused: bool,
    },
    /// How many client connections the sender has.
    #[serde(rename = "Holds")]
    ConnectionCount(usize),
    /// The request of this id is open at the sender.
    #[serde(rename = "Opened")]
    RequestOpened(u64),
    /// It is not open any more.
    #[serde(rename = "Closed")]
    RequestClosed(u64),
    /// A callback for which the sender has no attempt.
    #[serde(rename = "Callback")]
    ForwardedCallback {
        /// Comes back in [`HandoverMessage::CallbackReply`].
        number: u64,
        /// The callback.
        callback: Callback,
    },
    /// What became of a forwarded callback.
    #[serde(rename = "Heard")]
    CallbackReply {
        /// Its number.
        number: u64,
        /// Whether an attempt was found for it.
        known: bool,
    },
}

/// The state that a successor starts with.
#[derive(Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Operators have quiesced the scheduler.
    pub quiesced: bool,
    /// The discovery service that the endpoint list is from.
    pub source: Option<SocketAddr>,
    /// The list's version there, if it has one.
    pub generation: Option<u64>,
    /// Discovery has confirmed the list to the sender, or the sender serves without that.
    #[serde(default = "confirmed_by_default")]
    pub confirmed: bool,
    /// How many client connections the sender has.
    pub connections: usize,
}

/// The value in an offer that lacks it: processes of before that field served from their first moment.
fn confirmed_by_default() -> bool {
    true
}

/// A message and the descriptors that accompany it.
#[derive(Debug)]
pub struct Envelope {
    /// The message.
    pub message: HandoverMessage,
    /// Its descriptors.
    pub descriptors: Vec<OwnedFd>,
}

impl HandoverMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        // It has neither a map with keys other than strings nor a type that can fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<HandoverMessage, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}

/// Splits an endpoint list into the parts for one [`HandoverMessage::Endpoints`] each. An entry that is too long for
/// any message is left out.
pub fn batch_endpoints(instances: Vec<Instance>) -> Vec<Vec<Instance>> {
    let overhead = HandoverMessage::Endpoints(Vec::new()).encode().len();
    let mut batches: Vec<Vec<Instance>> = Vec::new();
    let mut bytes_left = 0;
    for instance in instances {
        // With the comma before the next one.
        let length = serde_json::to_vec(&instance).map_or(MAX_MESSAGE_BYTES, |entry| entry.len()) + 1;
        if overhead + length > MAX_MESSAGE_BYTES {
            continue;
        }
        match batches.last_mut() {
            Some(batch) if length <= bytes_left => batch.push(instance),
            _ => {
                batches.push(vec![instance]);
                bytes_left = MAX_BATCH_BYTES - overhead;
            }
        }
        bytes_left = bytes_left.saturating_sub(length);
    }
    batches
}

#[cfg(test)]
mod tests;
