//! Limits the length of one HTTP response on the wire, whatever it consists of.
//!
//! The HTTP client limits the length of a head, and the readers of bodies limit the data. Neither limits
//! interim responses and the framing of chunks: without a limit of all bytes, only a timer would end them.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum number of bytes up to the end of a response's head, interim responses included. The HTTP client may
/// read the start of the body together with the head, so this is twice the length of a head.
const MAX_BYTES_BEFORE_BODY: usize = 2 * super::MAX_RESPONSE_HEAD_BYTES;

/// The number of bytes that may still arrive on a connection before the next request is written. Clones share
/// the number. Each response carries a clone in its extensions.
#[derive(Clone, Debug)]
pub(crate) struct ResponseLimit(Arc<AtomicUsize>);

impl ResponseLimit {
    /// Creates the limit of a connection on which no request has been written.
    pub(super) fn new() -> ResponseLimit {
        ResponseLimit(Arc::new(AtomicUsize::new(MAX_BYTES_BEFORE_BODY)))
    }

    /// Starts the limit of the next response, because a request is being written.
    pub(super) fn start_response(&self) {
        self.0.store(MAX_BYTES_BEFORE_BODY, Ordering::Relaxed);
    }

    /// Allows a body of `bytes` bytes with its framing, because the head of the response has arrived.
    pub(crate) fn allow_body(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the number of bytes that may be read; an error if the response has used up its limit.
    pub(super) fn remaining(&self) -> io::Result<usize> {
        match self.0.load(Ordering::Relaxed) {
            0 => Err(io::Error::new(io::ErrorKind::InvalidData, "the response is too long")),
            remaining => Ok(remaining),
        }
    }

    /// Counts bytes that have been read.
    pub(super) fn record_read(&self, bytes: usize) {
        let remaining = self.0.load(Ordering::Relaxed).saturating_sub(bytes);
        self.0.store(remaining, Ordering::Relaxed);
    }
}
