//! Converts a worker's address, `a.b.c.d:port`, to and from a worker id. Every scheduler derives the same
//! worker id from an address.

use std::fmt;
use vetchbridge_scheduling::WorkerId;

/// Maximum number of digits in one number of a worker's address: the number of digits of the largest port.
const MAX_DIGITS: u32 = 5;

/// A worker id whose displayed text is the worker's address.
pub(super) struct WorkerAddress(pub(super) WorkerId);

impl fmt::Display for WorkerAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = self.0 .0;
        let byte = |shift: u32| (id >> shift) & 0xff;
        write!(f, "{}.{}.{}.{}:{}", byte(40), byte(32), byte(24), byte(16), id & 0xffff)
    }
}

/// Parses a worker's address into a worker id. Only the canonical form of an address is accepted, which is
/// the form in which [`WorkerAddress`] displays it.
pub(super) fn parse(text: &str) -> Option<WorkerId> {
    let bytes = text.as_bytes();
    let (mut id, mut part, mut digits, mut separators) = (0u64, 0u64, 0u32, 0u32);
    for (index, &byte) in bytes.iter().enumerate() {
        match byte {
            b'0'..=b'9' if digits < MAX_DIGITS && !(digits == 1 && part == 0) => {
                part = part * 10 + u64::from(byte - b'0');
                digits += 1;
            }
            b'.' | b':'
                if digits > 0
                    && part <= 0xff
                    && (byte == b':') == (separators == 3)
                    && index + 1 < bytes.len() =>
            {
                id = (id << 8) | part;
                (part, digits, separators) = (0, 0, separators + 1);
            }
            _ => return None,
        }
    }
    (separators == 4 && digits > 0 && part <= 0xffff).then_some(WorkerId((id << 16) | part))
}

#[cfg(test)]
mod tests;
