//! Collects the body of an HTTP message in one buffer, however the sender cuts the body into chunks.
//!
//! A list of the received chunks would hold, for each chunk, an entry and a part of a read buffer; a sender
//! of small chunks could make that list take many times the length of the body.

use crate::memory::MemoryExhausted;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Size in bytes of the steps in which the buffer of a body grows.
const GROWTH_BYTES: usize = 8 * 1024;

/// Why a body was not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyReadError {
    /// The body is longer than its maximum length.
    TooLong,
    /// Not enough memory is free for the body.
    NoMemory,
    /// The connection failed, or the body is malformed.
    Failed,
}

/// The part of a body that has arrived.
struct BodyBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// The length of the whole body, if the sender has announced it; otherwise the maximum length.
    expected_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for this body, which may have at most `max_bytes` bytes.
    fn new(body: &impl Body, max_bytes: usize) -> BodyBuffer {
        let announced = body.size_hint().upper().and_then(|bytes| usize::try_from(bytes).ok());
        let expected_bytes = announced.map_or(max_bytes, |bytes| bytes.min(max_bytes));
        BodyBuffer { bytes: Vec::new(), max_bytes, expected_bytes }
    }

    /// Returns the capacity in bytes that the buffer has after `additional` bytes are appended.
    fn capacity_with(&self, additional: usize) -> Result<usize, BodyReadError> {
        let length = self.bytes.len() + additional;
        if length > self.max_bytes {
            return Err(BodyReadError::TooLong);
        }
        let grown = length.next_multiple_of(GROWTH_BYTES).min(self.expected_bytes).max(length);
        Ok(if length <= self.bytes.capacity() { self.bytes.capacity() } else { grown })
    }

    /// Appends received bytes to the body.
    fn append(&mut self, data: &[u8]) -> Result<(), BodyReadError> {
        let capacity = self.capacity_with(data.len())?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the collected bytes, in a buffer of exactly their length.
    fn into_bytes(self) -> Bytes {
        self.bytes.into_boxed_slice().into()
    }
}

/// Reads the whole body of an HTTP message, which may have at most `max_bytes` bytes. `reserve` reserves memory
/// for all of its bytes that have arrived so far.
pub(crate) async fn collect<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    max_bytes: usize,
    mut reserve: impl FnMut(usize) -> Result<(), MemoryExhausted>,
) -> Result<Bytes, BodyReadError> {
    let mut buffer = BodyBuffer::new(&body, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Failed)?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        reserve(buffer.capacity_with(data.len())?).map_err(|MemoryExhausted| BodyReadError::NoMemory)?;
        buffer.append(data)?;
    }
    Ok(buffer.into_bytes())
}

/// Reads and drops the body of an HTTP message, up to `max_bytes` bytes of it.
pub(crate) async fn discard<B: Body<Data = Bytes> + Unpin>(mut body: B, max_bytes: usize) {
    let mut length = 0;
    while length <= max_bytes {
        match body.frame().await {
            Some(Ok(frame)) => length += frame.data_ref().map_or(0, Bytes::len),
            Some(Err(_)) | None => return,
        }
    }
}

#[cfg(test)]
mod tests;
