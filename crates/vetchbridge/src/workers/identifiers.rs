//! The identifiers of workers and requests.

use vetchbridge_scheduling::{RequestId, WorkerId};

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// The number of hexadecimal digits in a request id.
const REQUEST_ID_DIGITS: usize = 16;

/// Returns the FNV-1a hash of a name. The hash of a name is the same in every process.
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Returns the id of a worker in the decision module. The id is a hash of the worker's name alone, so that
/// all schedulers use the same id.
pub fn worker_id(name: &str) -> WorkerId {
    WorkerId(name_hash(name))
}

/// Parses a request id: exactly 16 hexadecimal digits.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    let is_hex = text.len() == REQUEST_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_hex.then(|| u64::from_str_radix(text, 16).ok().map(RequestId)).flatten()
}
