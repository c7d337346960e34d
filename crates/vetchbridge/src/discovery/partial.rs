//! Reads the complete parts of a truncated endpoint document.
//!
//! A response may end within the document: the service crashed, the connection was reset, or the body
//! stalled. The entries that arrived complete are still valid, and those of workers that are leaving matter
//! most.

use crate::discovery::document::Instance;
use serde_json::Deserializer;

/// The complete parts of a truncated document.
#[derive(Debug, Default)]
pub(super) struct PartialDocument {
    /// The document's generation, if it arrived complete.
    pub(super) generation: Option<u64>,
    /// The entries that arrived complete.
    pub(super) instances: Vec<Instance>,
}

impl PartialDocument {
    /// Parses the text of a document that may be truncated.
    pub(super) fn parse(text: &[u8]) -> PartialDocument {
        let generation = after_key(text, b"\"generation\"").and_then(parse_generation);
        let instances = after_key(text, b"\"instances\"").map(parse_instances).unwrap_or_default();
        PartialDocument { generation, instances }
    }
}

/// Returns the text that follows a quoted key.
fn after_key<'a>(text: &'a [u8], key: &[u8]) -> Option<&'a [u8]> {
    let start = text.windows(key.len()).position(|window| window == key)?;
    text.get(start + key.len()..)
}

/// Returns the number that follows a key. A number at the very end of the text is ignored, since it may lack
/// digits.
fn parse_generation(rest: &[u8]) -> Option<u64> {
    let colon = rest.iter().position(|byte| *byte == b':')?;
    let value = &rest[colon + 1..];
    let mut numbers = Deserializer::from_slice(value).into_iter::<u64>();
    let number = numbers.next()?.ok()?;
    (numbers.byte_offset() < value.len()).then_some(number)
}

/// Returns the entries that follow a key, up to the first that is incomplete. The first entry begins after a
/// bracket, each further one after a comma.
fn parse_instances(mut rest: &[u8]) -> Vec<Instance> {
    let mut instances = Vec::new();
    while let Some(separator) = rest.iter().position(|byte| matches!(byte, b'[' | b',')) {
        let entry = &rest[separator + 1..];
        let mut entries = Deserializer::from_slice(entry).into_iter::<Instance>();
        let Some(Ok(instance)) = entries.next() else { break };
        rest = &entry[entries.byte_offset()..];
        instances.push(instance);
    }
    instances
}

#[cfg(test)]
mod tests;
