//! The header that tells a worker how long its answer is waited for.
//!
//! It is part of the request from the decision on, but a connection may take long to come up: what is written is the time
//! that is left at the first byte. The bytes keep their number, so that whoever counts them need not know.

use hyper::header::HeaderName;
use hyper::Request;
use std::ops::Range;
use std::time::Duration;
use tokio::time::Instant;

/// So much of a request is copied at most to write the value into it; a short request goes out in one write.
const COPIED: usize = 8 * 1024;

/// The header's name.
pub(super) const EXPIRES_IN: &str = "x-expires-in";

/// The header's value for a span.
pub(super) fn value(span: Duration) -> String {
    format!("{}u", span.as_micros())
}

/// Where the value stands in a request's bytes, and when the time that it tells is over.
pub(super) struct Expiry {
    until: Instant,
    place: Range<usize>,
    /// The value, once its request has begun to be written.
    written: Option<Vec<u8>>,
}

impl Expiry {
    /// Of a request whose headers are all set, and whose answer is waited for until then; `None` if it has no such header.
    pub(super) fn of<B>(request: &Request<B>, until: Instant) -> Option<Expiry> {
        let mut start = request_line_length(request);
        for (name, value) in request.headers() {
            if name == EXPIRES_IN {
                start += EXPIRES_IN.len() + ": ".len();
                return Some(Expiry { until, place: start..start + value.len(), written: None });
            }
            start += header_length(name, value.len());
        }
        None
    }

    /// The first of a request's bytes from `position` on, with the value in its place; `None` where they are past it.
    pub(super) fn stamp<'a>(
        &mut self,
        position: usize,
        pieces: impl Iterator<Item = &'a [u8]>,
    ) -> Option<Vec<u8>> {
        if position >= self.place.end {
            return None;
        }
        if position == 0 {
            self.written = Some(self.left(Instant::now()));
        }
        let value = self.written.as_ref()?;
        let most = COPIED.max(self.place.end - position);
        let mut bytes = Vec::new();
        for piece in pieces {
            bytes.extend_from_slice(&piece[..piece.len().min(most - bytes.len())]);
        }
        for (place, digit) in self.place.clone().zip(value) {
            let target = place.checked_sub(position).and_then(|at| bytes.get_mut(at));
            target.into_iter().for_each(|byte| *byte = *digit);
        }
        Some(bytes)
    }

    /// The value now, as long as it was at the decision.
    fn left(&self, now: Instant) -> Vec<u8> {
        let width = self.place.len();
        let left = value(self.until.saturating_duration_since(now).max(Duration::from_micros(1)));
        let mut text = format!("{left:0>width$}").into_bytes();
        // Less is left than at the decision; were it more, the first digits would be lost.
        text.truncate(width);
        text
    }
}

/// Length of a request's first line.
pub(super) fn request_line_length<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len()
}

/// Length of a header's line.
pub(super) fn header_length(name: &HeaderName, value: usize) -> usize {
    name.as_str().len() + ": ".len() + value + "\r\n".len()
}

#[cfg(test)]
mod tests;
