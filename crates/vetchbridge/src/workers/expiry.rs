//! The header that tells a worker how long the daemon waits for its response.
//!
//! The header is set when the request is built. Since connecting to the worker may take long, the header's
//! value is replaced by the remaining time when the request's first byte is written. The replacement keeps
//! the length of the request, so that the byte count of the request remains valid.

use hyper::header::HeaderName;
use hyper::Request;
use std::ops::Range;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of bytes of a request that are copied to replace the header's value. A request of up to
/// this length is written to the connection in one call.
const MAX_COPIED_BYTES: usize = 8 * 1024;

/// The name of the expiry header.
pub(super) const EXPIRES_IN_HEADER: &str = "x-expires-in";

/// Returns the expiry header's value for a timeout: the timeout in microseconds, followed by `u`.
pub(super) fn header_value(timeout: Duration) -> String {
    format!("{}u", timeout.as_micros())
}

/// The expiry header of one request, located in the request's bytes.
pub(super) struct ExpiryHeader {
    deadline: Instant,
    /// The position of the expiry header's value in the request's bytes.
    value_range: Range<usize>,
    /// The value that replaces the header's original value: the time until the deadline, measured when the
    /// request's first byte is written. `None` before then.
    written_value: Option<Vec<u8>>,
}

impl ExpiryHeader {
    /// Locates the expiry header in a request whose headers are all set. Returns `None` if the request has no
    /// expiry header.
    pub(super) fn locate<B>(request: &Request<B>, deadline: Instant) -> Option<ExpiryHeader> {
        let mut start = request_line_length(request);
        for (name, value) in request.headers() {
            if name == EXPIRES_IN_HEADER {
                start += EXPIRES_IN_HEADER.len() + ": ".len();
                let value_range = start..start + value.len();
                return Some(ExpiryHeader { deadline, value_range, written_value: None });
            }
            start += header_length(name, value.len());
        }
        None
    }

    /// Copies the request's bytes from `position` on, and replaces the expiry header's value by the time that
    /// remains until the deadline.
    ///
    /// The copy may be shorter than `pieces` together, which hold the request's bytes from `position` on.
    /// Returns `None` if `position` is past the expiry header's value.
    pub(super) fn replace_value<'a>(
        &mut self,
        position: usize,
        pieces: impl Iterator<Item = &'a [u8]>,
    ) -> Option<Vec<u8>> {
        if position >= self.value_range.end {
            return None;
        }
        if position == 0 {
            self.written_value = Some(self.remaining_value(Instant::now()));
        }
        let value = self.written_value.as_ref()?;
        let limit = MAX_COPIED_BYTES.max(self.value_range.end - position);
        let mut bytes = Vec::new();
        for piece in pieces {
            bytes.extend_from_slice(&piece[..piece.len().min(limit - bytes.len())]);
        }
        for (target, digit) in self.value_range.clone().zip(value) {
            let byte = target.checked_sub(position).and_then(|index| bytes.get_mut(index));
            if let Some(byte) = byte {
                *byte = *digit;
            }
        }
        Some(bytes)
    }

    /// Returns the expiry header's value for the time between `now` and the deadline, padded with zeros to
    /// the length of the original value.
    fn remaining_value(&self, now: Instant) -> Vec<u8> {
        let width = self.value_range.len();
        let remaining = self.deadline.saturating_duration_since(now).max(Duration::from_micros(1));
        let mut text = format!("{:0>width$}", header_value(remaining)).into_bytes();
        // The remaining time only shrinks, so the new value is never longer than the original value.
        text.truncate(width);
        text
    }
}

/// Returns the length of the first line of an HTTP request (the request line), in bytes.
pub(super) fn request_line_length<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len()
}

/// Returns the length of a header's line in an HTTP request, in bytes.
pub(super) fn header_length(name: &HeaderName, value_length: usize) -> usize {
    name.as_str().len() + ": ".len() + value_length + "\r\n".len()
}

#[cfg(test)]
mod tests;
