//! Reads those parts of a truncated endpoint document that were received completely.
//!
//! A response of the discovery service may end within the document because the service crashed, the
//! connection was reset or the body stalled. The entries that were received completely are still valid, and
//! the entries of workers that are leaving matter most.

use crate::discovery::document::Instance;
use serde_json::Deserializer;

/// The parts of a truncated endpoint document that were received completely.
#[derive(Debug, Default)]
pub(super) struct PartialDocument {
    /// The endpoint document's generation; `None` if the number was not received completely.
    pub(super) generation: Option<u64>,
    /// The entries of the endpoint document that the daemon received completely before the discovery
    /// service's response was cut off.
    pub(super) instances: Vec<Instance>,
}

impl PartialDocument {
    /// Parses the text of an endpoint document that may be truncated.
    pub(super) fn parse(text: &[u8]) -> PartialDocument {
        let generation = after_key(text, b"\"generation\"").and_then(parse_generation);
        let instances = after_key(text, b"\"instances\"").map(parse_instances).unwrap_or_default();
        PartialDocument { generation, instances }
    }
}

/// Returns the part of an endpoint document's text that follows the first occurrence of a quoted JSON key;
/// `None` if the key does not occur.
fn after_key<'a>(text: &'a [u8], key: &[u8]) -> Option<&'a [u8]> {
    let start = text.windows(key.len()).position(|window| window == key)?;
    text.get(start + key.len()..)
}

/// Returns the endpoint document's generation: the number at the start of `rest`, after a colon. A number at
/// the very end of the text is ignored, since it may lack digits.
fn parse_generation(rest: &[u8]) -> Option<u64> {
    let colon = rest.iter().position(|byte| *byte == b':')?;
    let value = &rest[colon + 1..];
    let mut numbers = Deserializer::from_slice(value).into_iter::<u64>();
    let number = numbers.next()?.ok()?;
    (numbers.byte_offset() < value.len()).then_some(number)
}

/// Returns the entries of the endpoint document that `rest` begins with, up to the first entry that was not
/// received completely. The first entry begins after a bracket, and each further entry after a comma.
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
