//! What two processes of one scheduler say to one another, and how it is written.
//!
//! Owns the words and their form: one JSON object a message, with descriptors beside it where a word brings some. It
//! must never hold a socket. A word that can't be read ends the link, as another version's would.

use crate::discovery::document::Instance;
use crate::workers::Callback;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of these words; processes of different versions don't take over from one another.
pub const VERSION: u32 = 1;
/// The longest message; a callback's body of 64 KiB fits, written as JSON.
pub const LONGEST: usize = 160 * 1024;
/// Entries of the list share a message up to this length; a longer entry has one of its own.
const SHARED: usize = 32 * 1024;

/// One word.
#[derive(Debug, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// A successor: hand over what this scheduler has at this address.
    Hello {
        /// [`VERSION`].
        version: u32,
        /// The scheduler's name.
        name: String,
        /// Where its clients connect.
        listen: SocketAddr,
    },
    /// The predecessor: here it is. Brings the clients' listener and, if there is one, the peers' socket.
    Offer(Offer),
    /// The predecessor: so much of its list; the last message has none.
    Entries(Vec<Instance>),
    /// The predecessor: it won't.
    Refused(String),
    /// The successor: it serves from now on.
    Taken,
    /// A client connection between two requests, whose descriptor comes along.
    Connection {
        /// It has had an answer already.
        kept: bool,
    },
    /// How many client connections the sender holds.
    Holds(usize),
    /// A request is open at the sender.
    Opened(u64),
    /// It is not any more.
    Closed(u64),
    /// A callback that the sender knows no attempt for.
    Callback {
        /// Comes back with [`HandoverMessage::Heard`].
        number: u64,
        /// The callback.
        callback: Callback,
    },
    /// What became of a callback.
    Heard {
        /// Its number.
        number: u64,
        /// Whether an attempt was there for it.
        known: bool,
    },
}

/// What a successor begins with.
#[derive(Debug, Serialize, Deserialize)]
pub struct Offer {
    /// Operators have sent the clients away.
    pub quiesced: bool,
    /// The discovery service that the list is from.
    pub source: Option<SocketAddr>,
    /// The list's version there, if it has one.
    pub generation: Option<u64>,
    /// Discovery has confirmed the list to the sender, or the sender serves without that.
    #[serde(default = "yes")]
    pub confirmed: bool,
    /// How many client connections there are.
    pub connections: usize,
}

/// What an offer that says nothing of it means: a process of before then served from its first moment.
fn yes() -> bool {
    true
}

impl HandoverMessage {
    /// The message.
    pub fn write(&self) -> Vec<u8> {
        // No map with other keys than text and no failing type is in it.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a message.
    pub fn read(message: &[u8]) -> Result<HandoverMessage, String> {
        serde_json::from_slice(message).map_err(|error| error.to_string())
    }
}

/// Splits a list into what one [`HandoverMessage::Entries`] each brings. An entry that no message can hold is left out.
pub fn in_messages(instances: Vec<Instance>) -> Vec<Vec<Instance>> {
    let frame = HandoverMessage::Entries(Vec::new()).write().len();
    let mut messages: Vec<Vec<Instance>> = Vec::new();
    let mut room = 0;
    for instance in instances {
        // With the comma before the next one.
        let length = serde_json::to_vec(&instance).map_or(LONGEST, |entry| entry.len()) + 1;
        if frame + length > LONGEST {
            continue;
        }
        match messages.last_mut() {
            Some(message) if length <= room => message.push(instance),
            _ => {
                messages.push(vec![instance]);
                room = SHARED - frame;
            }
        }
        room = room.saturating_sub(length);
    }
    messages
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The longest callback that may arrive still fits into one message.
    #[test]
    fn the_longest_callback_fits() {
        let result = "\\".repeat(64 * 1024 - 130);
        let text = format!(
            "{{\"id\":\"00000000000000ab\",\"from\":\"s\",\"state\":\"done\",\"load\":{{\"queue\":1e999}},\"result\":{result:?}}}"
        );
        let callback: Callback = serde_json::from_str(&text).expect("a callback");
        let word = HandoverMessage::Callback { number: u64::MAX, callback }.write();
        assert!(word.len() <= LONGEST, "{}", word.len());
        assert!(
            matches!(HandoverMessage::read(&word), Ok(HandoverMessage::Callback { callback, .. }) if callback.result == result && callback.load.is_some())
        );
    }

    /// A word reads back as it was written, and no part of one passes for a word.
    #[test]
    fn a_word_is_read_whole_or_not_at_all() {
        let offer =
            Offer { quiesced: true, source: None, generation: Some(7), confirmed: false, connections: 3 };
        let words = [
            HandoverMessage::Offer(offer),
            HandoverMessage::Entries(Vec::new()),
            HandoverMessage::Refused("no".to_string()),
            HandoverMessage::Connection { kept: true },
            HandoverMessage::Opened(u64::MAX),
        ];
        for word in words {
            let written = word.write();
            assert_eq!(HandoverMessage::read(&written).expect("a word").write(), written, "{word:?}");
            for end in 0..written.len() {
                assert!(HandoverMessage::read(&written[..end]).is_err(), "{word:?} cut at {end}");
            }
        }
        assert!(
            HandoverMessage::read(b"\"Unheard\"").is_err()
                && HandoverMessage::read(b"{\"Holds\":-1}").is_err()
        );
    }
}
