//! A watch on how a client's requests are framed, of which hyper leaves no trace.
//!
//! Owns where in a connection's bytes one request ends and the next begins, as far as that can be followed. It must never
//! read what a request says but its path, its length and its encoding, nor see other heads than hyper does.

use super::chunks::{Chunks, Progress};

/// The longest head; also hyper's read buffer, which bounds the memory that a connection takes.
pub const HEAD_LIMIT: usize = 8 * 1024;
/// The most header lines, as hyper has it.
const MAX_HEADERS: usize = 100;

/// Where in a client's bytes the watch stands.
#[derive(Debug, PartialEq, Eq)]
enum Framing {
    /// In a head, with what has come of it.
    Head(Vec<u8>),
    /// In a body, with this many bytes to come.
    Body(u64),
    /// In a chunked body.
    Chunked(Chunks),
    /// After a chunked body: what follows is handed to nobody, since the connection ends with the answer that is due.
    Ended,
    /// Past what the watch can follow; the connection ends with the answer that is due.
    Unwatched,
}

/// What the framing told of a connection's requests.
#[derive(Debug)]
pub(super) struct Watch {
    framing: Framing,
    /// A request had both a `Content-Length` and a `Transfer-Encoding`: another may hide in its body.
    pub(super) ambiguous: bool,
    /// The request in hand is a callback.
    pub(super) callback: bool,
}

impl Watch {
    /// A watch on a connection from its first byte on.
    pub(super) fn new() -> Watch {
        Watch { framing: Framing::Head(Vec::new()), ambiguous: false, callback: false }
    }

    /// Whether the request in hand has come to its last byte.
    pub(super) fn whole(&self) -> bool {
        self.framing == Framing::Ended || self.between_requests()
    }

    /// Whether no other request can follow the one in hand.
    pub(super) fn last(&self) -> bool {
        matches!(self.framing, Framing::Chunked(_) | Framing::Ended | Framing::Unwatched)
    }

    /// Whether no byte of the next request has come.
    pub(super) fn between_requests(&self) -> bool {
        matches!(&self.framing, Framing::Head(head) if head.is_empty())
    }

    /// Reads on to the end of a request at most, with the parser that hyper uses, so that both see the same heads. How
    /// many bytes that took: what follows is another request.
    pub(super) fn see(&mut self, all: &[u8]) -> usize {
        let mut bytes = all;
        while !bytes.is_empty() {
            match &mut self.framing {
                Framing::Unwatched => return all.len(),
                Framing::Ended => break,
                Framing::Chunked(chunks) => match chunks.see(bytes) {
                    Progress::Within => return all.len(),
                    Progress::Ended(length) => {
                        bytes = &bytes[length..];
                        self.framing = Framing::Ended;
                    }
                    // hyper finds the same fault, answers and closes.
                    Progress::Malformed => self.framing = Framing::Unwatched,
                },
                Framing::Body(left) => {
                    let here = bytes.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= here as u64;
                    bytes = &bytes[here..];
                    if *left == 0 {
                        self.framing = Framing::Head(Vec::new());
                        break;
                    }
                }
                Framing::Head(head) => {
                    let before = head.len();
                    head.extend_from_slice(bytes);
                    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
                    let mut request = httparse::Request::new(&mut headers);
                    let next = match request.parse(head) {
                        Ok(httparse::Status::Partial) if head.len() <= HEAD_LIMIT => {
                            self.callback = head.starts_with(b"POST /callback");
                            return all.len();
                        }
                        Ok(httparse::Status::Complete(length)) => {
                            let named = |name: &str| {
                                let mut lines = request.headers.iter();
                                lines.find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
                            };
                            self.callback = request.path == Some("/callback");
                            let size = named("content-length");
                            if named("transfer-encoding").is_some() {
                                self.ambiguous |= size.is_some();
                                (Framing::Chunked(Chunks::new()), length)
                            } else {
                                let size = size.and_then(|value| std::str::from_utf8(value).ok());
                                match size.map_or(Ok(0), |value| value.trim().parse()) {
                                    Ok(0) => (Framing::Head(Vec::new()), length),
                                    Ok(size) => (Framing::Body(size), length),
                                    Err(_) => (Framing::Unwatched, length),
                                }
                            }
                        }
                        // Too long, or no head at all: hyper answers that itself and closes.
                        Ok(httparse::Status::Partial) | Err(_) => (Framing::Unwatched, head.len()),
                    };
                    bytes = &bytes[next.1 - before..];
                    self.framing = next.0;
                    if self.between_requests() {
                        break;
                    }
                }
            }
        }
        all.len() - bytes.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn watched(parts: &[&str]) -> Watch {
        let mut watch = Watch::new();
        for part in parts {
            let mut bytes = part.as_bytes();
            while !bytes.is_empty() {
                bytes = &bytes[watch.see(bytes)..];
            }
        }
        watch
    }

    /// hyper drops the length where both stand; whoever believes it would see another request in the body.
    #[test]
    fn a_length_beside_a_transfer_encoding_is_seen_wherever_it_stands() {
        let (length, chunked) = ("Content-Length: 4\r\n", "transfer-encoding: chunked\r\n");
        for (headers, ambiguous) in [
            (format!("{length}{chunked}"), true),
            (format!("{chunked}{length}"), true),
            (length.to_string(), false),
            (chunked.to_string(), false),
        ] {
            let before = "POST /a/b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
            let whole = format!("{before}POST /a/b HTTP/1.1\r\n{headers}\r\n");
            for cut in 0..whole.len() {
                let watch = watched(&[&whole[..cut], &whole[cut..]]);
                assert_eq!(watch.ambiguous, ambiguous, "{whole} cut at {cut}");
            }
        }
        assert!(watched(&["GET /health/ready HTTP/1.1\r\n\r\n"]).between_requests());
        assert!(!watched(&["POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nx"]).between_requests());
        assert_eq!(watched(&["POST / HTTP/1.1\r\n", &"a: b\r\n".repeat(3000)]).framing, Framing::Unwatched);
    }

    /// What is told apart here is handed on one by one.
    #[test]
    fn a_request_ends_where_the_next_one_begins() {
        let requests =
            ["GET /a HTTP/1.1\r\n\r\n", "POST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", "GET /"];
        let all = requests.concat();
        for cut in 0..=all.len() {
            let (mut watch, mut at, mut ends) = (Watch::new(), 0, Vec::new());
            while at < all.len() {
                let end = if at < cut { cut } else { all.len() };
                at += watch.see(&all.as_bytes()[at..end]);
                if watch.between_requests() {
                    ends.push(at);
                }
            }
            assert_eq!(ends, [requests[0].len(), requests[0].len() + requests[1].len()], "cut at {cut}");
        }
    }
}
