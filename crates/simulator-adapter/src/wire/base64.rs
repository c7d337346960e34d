//! Encodes the bytes of a message between schedulers as text for the simulator's protocol: base64, or `-` for
//! an empty sequence of bytes.

use ::base64::engine::general_purpose::STANDARD;
use ::base64::Engine as _;

const EMPTY: &str = "-";

pub(super) fn encode(data: &[u8]) -> String {
    if data.is_empty() {
        return EMPTY.to_string();
    }
    STANDARD.encode(data)
}

pub(super) fn decode(text: &str) -> Option<Vec<u8>> {
    if text == EMPTY {
        return Some(Vec::new());
    }
    STANDARD.decode(text).ok()
}
