//! Tracks the requests on one client connection: where one request ends and the next request begins. hyper
//! does not report this.
//!
//! Request heads are parsed with hyper's parser and hyper's limits, so that this module and hyper find the
//! same requests. Of each request, only the path, the length and the transfer encoding are read.

use super::chunked_body::{ChunkedBody, Progress};
use super::protocol::{CALLBACK_PATH, CALLBACK_REQUEST_LINE};

/// Maximum length of a request's head in bytes. This is also the size of hyper's read buffer.
pub(super) const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum number of header lines of a request; equal to hyper's default.
const MAX_HEADERS: usize = 100;
/// Size in bytes of the steps in which the buffer for an incomplete head grows.
const HEAD_GROWTH_BYTES: usize = 1024;

/// A position in the byte stream that a client sends on one connection.
#[derive(Debug, PartialEq, Eq)]
enum Position {
    /// In the head of a request; contains the bytes of the head that have arrived so far.
    Head(Vec<u8>),
    /// In a request body of known length; `remaining` is the number of its bytes that have not arrived.
    Body { remaining: u64 },
    /// In a chunked request body.
    Chunked(ChunkedBody),
    /// After a chunked request body. The connection closes after the response to this request, so further
    /// input is not read.
    Ended,
    /// After input in which the end of a request can't be found. The connection closes after the response to
    /// this request.
    Untracked,
}

/// How far a request will have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Preview {
    /// The head will be incomplete.
    HeadIncomplete,
    /// The head will be complete, and the body incomplete.
    BodyIncomplete,
    /// The request will be complete or malformed, or its client waits for a response before it sends the body.
    Complete,
}

impl Position {
    /// Returns how far a request whose head is complete has arrived once `input` is received after this
    /// position.
    fn preview(&self, input: &[u8]) -> Preview {
        let is_complete = match self {
            Position::Body { remaining } => input.len() as u64 >= *remaining,
            Position::Chunked(body) => body.clone().advance(input) != Progress::Incomplete,
            Position::Head(_) | Position::Ended | Position::Untracked => true,
        };
        if is_complete {
            Preview::Complete
        } else {
            Preview::BodyIncomplete
        }
    }
}

/// How far the requests on one client connection have arrived, and what is known about the current request.
#[derive(Debug)]
pub(super) struct RequestFraming {
    position: Position,
    /// The start of the current request's head, which arrived before the rest of the head and has not been
    /// taken since. hyper gets the head only when it is complete.
    withheld: Vec<u8>,
    /// Whether any request on the connection had both a `Content-Length` and a `Transfer-Encoding`, so that
    /// its body may conceal another request.
    pub(super) is_ambiguous: bool,
    /// Whether the current request is a callback.
    pub(super) is_callback: bool,
    /// Whether the chunked body of the current request has more framing than its data allows. hyper has no such
    /// limit and would read on.
    pub(super) has_too_much_framing: bool,
}

impl RequestFraming {
    /// Creates the framing of a client connection on which no byte has arrived.
    pub(super) fn new() -> RequestFraming {
        RequestFraming {
            position: Position::Head(Vec::new()),
            withheld: Vec::new(),
            is_ambiguous: false,
            is_callback: false,
            has_too_much_framing: false,
        }
    }

    /// Whether the last byte of the current request has arrived.
    pub(super) fn is_request_complete(&self) -> bool {
        self.position == Position::Ended || self.is_between_requests()
    }

    /// Whether this module can't track requests after the current request, so that the connection must close
    /// after the response to the current request.
    pub(super) fn is_last_request(&self) -> bool {
        matches!(self.position, Position::Chunked(_) | Position::Ended | Position::Untracked)
    }

    /// Whether every request so far has arrived completely, and no byte of the next request has arrived.
    pub(super) fn is_between_requests(&self) -> bool {
        matches!(&self.position, Position::Head(head) if head.is_empty())
    }

    /// Whether a part of a request's head has arrived, but not all of it.
    pub(super) fn is_in_head(&self) -> bool {
        matches!(&self.position, Position::Head(head) if !head.is_empty())
    }

    /// Returns how far the current request has arrived once `input`, the next bytes, is received.
    pub(super) fn preview(&self, input: &[u8]) -> Preview {
        let Position::Head(head) = &self.position else { return self.position.preview(input) };
        let bytes = [head, input].concat();
        match parse_head(&bytes) {
            ParsedHead::Incomplete => Preview::HeadIncomplete,
            ParsedHead::Complete { length, next, awaits_continue: false, .. } => {
                next.preview(&bytes[length..])
            }
            ParsedHead::Complete { .. } | ParsedHead::Invalid => Preview::Complete,
        }
    }

    /// Takes the start of the current request's head that arrived before the rest of the head; empty if the
    /// head is incomplete, if it arrived at once, or if its start has been taken before.
    pub(super) fn take_withheld(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.withheld)
    }

    /// Returns the number of bytes of memory that are held for an incomplete head.
    pub(super) fn held_bytes(&self) -> usize {
        match &self.position {
            Position::Head(head) => head.capacity(),
            _ => 0,
        }
    }

    /// Advances the position in the client's byte stream over received bytes, at most to the end of the
    /// current request. Returns how many of the bytes belong to the current request; the other bytes belong
    /// to the next request.
    pub(super) fn advance(&mut self, received: &[u8]) -> usize {
        let mut consumed = 0;
        while consumed < received.len() {
            consumed += self.advance_position(&received[consumed..]);
            if self.is_request_complete() {
                break;
            }
        }
        consumed
    }

    /// Advances the position in the client's byte stream within the current part of the request, at most to
    /// the end of that part. Returns the number of bytes that belong to the part.
    fn advance_position(&mut self, bytes: &[u8]) -> usize {
        match &mut self.position {
            Position::Head(_) => self.advance_head(bytes),
            Position::Body { remaining } => {
                let consumed = bytes.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                *remaining -= consumed as u64;
                if *remaining == 0 {
                    self.position = Position::Head(Vec::new());
                }
                consumed
            }
            Position::Chunked(body) => match body.advance(bytes) {
                Progress::Incomplete => bytes.len(),
                Progress::Complete { length } => {
                    self.position = Position::Ended;
                    length
                }
                // hyper finds the same error in the chunked body, responds to it and closes the connection.
                Progress::Malformed => {
                    self.position = Position::Untracked;
                    bytes.len()
                }
                Progress::TooMuchFraming => {
                    self.has_too_much_framing = true;
                    self.position = Position::Untracked;
                    bytes.len()
                }
            },
            Position::Ended => 0,
            Position::Untracked => bytes.len(),
        }
    }

    /// Advances the position in the client's byte stream within a request's head, at most to the end of the
    /// head. Returns the number of bytes that belong to the head.
    fn advance_head(&mut self, bytes: &[u8]) -> usize {
        let Position::Head(head) = &mut self.position else { return 0 };
        let already_received = head.len();
        let parsed = if already_received == 0 {
            parse_head(bytes)
        } else {
            append(head, bytes);
            parse_head(head)
        };
        match parsed {
            ParsedHead::Incomplete => {
                if already_received == 0 {
                    append(head, bytes);
                }
                self.is_callback = head.starts_with(CALLBACK_REQUEST_LINE.trim_ascii_end());
                bytes.len()
            }
            ParsedHead::Complete { length, is_callback, is_ambiguous, next, .. } => {
                self.is_callback = is_callback;
                self.is_ambiguous |= is_ambiguous;
                self.end_head(already_received, next);
                length - already_received
            }
            // hyper responds to an invalid head itself and closes the connection.
            ParsedHead::Invalid => {
                self.end_head(already_received, Position::Untracked);
                bytes.len()
            }
        }
    }

    /// Leaves a request's head, and keeps its first `withheld` bytes until they are taken.
    fn end_head(&mut self, withheld: usize, next: Position) {
        if let Position::Head(mut head) = std::mem::replace(&mut self.position, next) {
            head.truncate(withheld);
            self.withheld = head;
        }
    }
}

/// Appends received bytes to the buffer of an incomplete head.
fn append(head: &mut Vec<u8>, bytes: &[u8]) {
    let length = head.len() + bytes.len();
    if length > head.capacity() {
        head.reserve_exact(length.next_multiple_of(HEAD_GROWTH_BYTES) - head.len());
    }
    head.extend_from_slice(bytes);
}

/// The result of parsing the part of a request's head that has arrived.
enum ParsedHead {
    /// The request's head has not arrived completely yet.
    Incomplete,
    /// The request's head has arrived completely.
    Complete {
        /// Length of the request's head in bytes.
        length: usize,
        /// Whether the request is a callback.
        is_callback: bool,
        /// Whether the request's head has both a `Content-Length` and a `Transfer-Encoding`.
        is_ambiguous: bool,
        /// Whether the client may wait for a response with the status 100 before it sends the body.
        awaits_continue: bool,
        /// The position in the client's byte stream after the head.
        next: Position,
    },
    /// The request's head is too long or malformed.
    Invalid,
}

/// Parses the part of a request's head that has arrived.
fn parse_head(head: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(head) {
        Ok(httparse::Status::Partial) if head.len() < MAX_HEAD_BYTES => ParsedHead::Incomplete,
        Ok(httparse::Status::Complete(length)) => {
            let is_callback = request.path == Some(CALLBACK_PATH);
            let content_length = header(request.headers, "content-length");
            let is_chunked = header(request.headers, "transfer-encoding").is_some();
            let is_ambiguous = is_chunked && content_length.is_some();
            let next = if is_chunked {
                Position::Chunked(ChunkedBody::new())
            } else {
                position_after_head(content_length)
            };
            let awaits_continue = header(request.headers, "expect").is_some();
            ParsedHead::Complete { length, is_callback, is_ambiguous, awaits_continue, next }
        }
        Ok(httparse::Status::Partial) | Err(_) => ParsedHead::Invalid,
    }
}

/// Returns the value of the first header of a request with this name.
fn header<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a [u8]> {
    headers.iter().find(|header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
}

/// Returns the position after a request head without a `Transfer-Encoding`.
fn position_after_head(content_length: Option<&[u8]>) -> Position {
    let content_length = content_length.and_then(|value| std::str::from_utf8(value).ok());
    match content_length.map_or(Ok(0), |value| value.trim().parse()) {
        Ok(0) => Position::Head(Vec::new()),
        Ok(remaining) => Position::Body { remaining },
        Err(_) => Position::Untracked,
    }
}

#[cfg(test)]
mod tests;
