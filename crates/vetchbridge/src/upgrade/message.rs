//! The handover messages between two processes of one scheduler, and their encoding.
//!
//! Each message is encoded as one JSON value; some messages also carry file descriptors. The JSON names are
//! those of version 1 of the handover messages and must not change; this module maps the Rust names to them.
//! A message that can't be decoded, such as a message of another version, ends the link between the
//! processes.

use crate::discovery::document::Instance;
use crate::workers::Callback;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// The version of the handover messages. A process does not take over from a process that uses another
/// version.
pub const VERSION: u32 = 1;
/// Maximum length of an encoded hand-over message, in bytes. A worker's callback with a body of 64 KiB fits,
/// encoded as JSON.
pub const MAX_MESSAGE_BYTES: usize = 160 * 1024;
/// Maximum length of the configuration in an [`Offer`], in bytes. The rest of the message is short.
pub const MAX_CONFIGURATION_BYTES: usize = MAX_MESSAGE_BYTES - 4 * 1024;
/// Maximum length of a hand-over message with several entries of the endpoint list, in bytes. An entry that
/// is longer gets a message of its own.
const MAX_BATCH_BYTES: usize = 32 * 1024;

/// A hand-over message from one process of a scheduler to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// Sent by the successor process: asks to take over from the process that serves as the scheduler with
    /// this name and address.
    Hello {
        /// The version of the sender's handover messages; [`VERSION`] in this build.
        version: u32,
        /// The scheduler's name.
        name: String,
        /// The address at which clients connect to the scheduler.
        listen: SocketAddr,
        /// Whether the sender replies to [`HandoverMessage::Sync`]. Older versions don't, nor send the field.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        replies_to_sync: bool,
    },
    /// Sent by the predecessor process: the predecessor's state. The message carries the descriptors of the
    /// listener for clients and, if there is one, of the socket for messages between schedulers.
    Offer(Offer),
    /// Sent by the predecessor process: a part of the predecessor's endpoint list. A message with no entries
    /// marks the end of the list.
    #[serde(rename = "Entries")]
    Endpoints(Vec<Instance>),
    /// Sent by the predecessor process: rejects the other process as a successor, for the reason in this
    /// text.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// Sent by the successor process: announces that the successor serves from now on.
    #[serde(rename = "Taken")]
    TookOver,
    /// Passes a client connection on which no request is in progress to the other process of the scheduler.
    /// The message carries the connection's descriptor.
    #[serde(rename = "Connection")]
    ClientConnection {
        /// Whether a response has been sent on the connection.
        #[serde(rename = "kept")]
        is_kept_alive: bool,
    },
    /// The number of client connections that the process that sends the message has.
    #[serde(rename = "Holds")]
    ConnectionCount(usize),
    /// The process that sends the message has accepted the client's request with this id, and the request has
    /// not ended yet, or it has ended and must not run again.
    #[serde(rename = "Opened")]
    RequestOpened(u64),
    /// The client's request with this id has ended in the process that sends the message, and may run again
    /// for all that process remembers.
    #[serde(rename = "Closed")]
    RequestClosed(u64),
    /// Forwards a worker's callback for which the process that sends the message has no attempt.
    #[serde(rename = "Callback")]
    ForwardedCallback {
        /// A number that identifies the forwarded callback in the [`HandoverMessage::CallbackReply`] to it.
        number: u64,
        /// The forwarded callback.
        callback: Callback,
    },
    /// The reply to a forwarded callback: whether an attempt was found for the callback.
    #[serde(rename = "Heard")]
    CallbackReply {
        /// The `number` of the forwarded callback that this message replies to.
        number: u64,
        /// Whether an attempt was found for the forwarded callback.
        known: bool,
    },
    /// Asks for a [`HandoverMessage::SyncReply`] with this number after all earlier messages. Sent only to a
    /// process that has announced that it replies.
    Sync(u64),
    /// The reply to the [`HandoverMessage::Sync`] with this number.
    SyncReply(u64),
}

/// The predecessor process's state, from which the successor process starts.
#[derive(Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Whether an operator has quiesced the scheduler.
    pub quiesced: bool,
    /// The address of the discovery service from which the endpoint list was received.
    pub source: Option<SocketAddr>,
    /// The generation of the endpoint list at that discovery service; `None` if the generation is unknown, or
    /// if the endpoint list can't be sent whole.
    pub generation: Option<u64>,
    /// Whether discovery has confirmed the endpoint list to the predecessor, or the predecessor already
    /// serves without a confirmation.
    #[serde(default = "confirmed_by_default")]
    pub confirmed: bool,
    /// The number of client connections that the predecessor has.
    pub connections: usize,
    /// Whether the predecessor replies to [`HandoverMessage::Sync`]. Older versions don't, nor send the field.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub replies_to_sync: bool,
    /// The platform's document in force, without its saved endpoint list; `None` if the configuration is a
    /// TOML file, or if the document is too long for the message. Older versions don't send the field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Value>,
}

/// Returns the value of `confirmed` for an offer that lacks the field. Older versions of the daemon, which
/// don't send the field, serve immediately after their start.
fn confirmed_by_default() -> bool {
    true
}

/// A handover message and the file descriptors that accompany it.
#[derive(Debug)]
pub struct Envelope {
    /// The handover message.
    pub message: HandoverMessage,
    /// The file descriptors that accompany the message.
    pub descriptors: Vec<OwnedFd>,
}

impl HandoverMessage {
    /// Encodes the hand-over message as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding can't fail, because a hand-over message has no map with keys other than strings and no
        // type whose encoding can fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a hand-over message from JSON.
    pub fn decode(bytes: &[u8]) -> Result<HandoverMessage, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}

/// Splits the entries of an endpoint list into batches, one for each [`HandoverMessage::Endpoints`]. Omits an
/// entry that is too long for any hand-over message.
pub fn batch_endpoints(instances: Vec<Instance>) -> Vec<Vec<Instance>> {
    let overhead = HandoverMessage::Endpoints(Vec::new()).encode().len();
    let mut batches: Vec<Vec<Instance>> = Vec::new();
    let mut bytes_left = 0;
    for instance in instances {
        // The 1 is for the comma between this entry and the next entry in the JSON list.
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
