//! Follows a chunked body (RFC 9112, section 7.1) to its last byte, without keeping its content.
//!
//! It accepts what hyper accepts: a body that hyper would read on must not count as ended here.

/// The result of advancing over some bytes.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// All bytes belong to the body, and more is to come.
    Incomplete,
    /// The body ended after this many of the bytes.
    Complete {
        /// Number of bytes.
        length: usize,
    },
    /// This is no chunked body.
    Malformed,
}

/// What the next byte of a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The size of a chunk; `has_digits`: some of it has arrived.
    Size { size: u64, has_digits: bool },
    /// What follows the size on its line.
    Extension { size: u64 },
    /// The line feed of that line.
    SizeLineFeed { size: u64 },
    /// The data of a chunk, of which this many bytes are still to come.
    Data { remaining: u64 },
    /// The carriage return after the data.
    DataReturn,
    /// The line feed after the data.
    DataLineFeed,
    /// A line after the last chunk; `is_empty`: nothing of it has arrived.
    Trailer { is_empty: bool },
    /// The line feed of that line.
    TrailerLineFeed { is_empty: bool },
}

/// A chunked body, as far as it has arrived.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ChunkedBody {
    position: Position,
}

impl ChunkedBody {
    /// A body of which nothing has arrived.
    pub(super) fn new() -> ChunkedBody {
        ChunkedBody { position: Position::Size { size: 0, has_digits: false } }
    }

    /// Advances over received bytes, at most to the end of the body.
    pub(super) fn advance(&mut self, bytes: &[u8]) -> Progress {
        let mut offset = 0;
        while offset < bytes.len() {
            if let Position::Data { remaining } = self.position {
                let available = bytes.len() - offset;
                let consumed = usize::try_from(remaining).unwrap_or(usize::MAX).min(available);
                offset += consumed;
                self.position = match remaining - consumed as u64 {
                    0 => Position::DataReturn,
                    remaining => Position::Data { remaining },
                };
                continue;
            }
            let byte = bytes[offset];
            offset += 1;
            if self.position == (Position::TrailerLineFeed { is_empty: true }) && byte == b'\n' {
                return Progress::Complete { length: offset };
            }
            let Some(next) = self.position.after(byte) else { return Progress::Malformed };
            self.position = next;
        }
        Progress::Incomplete
    }
}

impl Position {
    /// The position after a byte that is not data; `None` if the byte is not allowed here.
    fn after(self, byte: u8) -> Option<Position> {
        match (self, byte) {
            (Position::Size { size, has_digits: true }, b'\r') => Some(Position::SizeLineFeed { size }),
            (Position::Size { size, has_digits: true }, b';' | b' ' | b'\t') => {
                Some(Position::Extension { size })
            }
            (Position::Size { size, .. }, _) => {
                let digit = char::from(byte).to_digit(16)?;
                let size = size.checked_mul(16)?.checked_add(digit.into())?;
                Some(Position::Size { size, has_digits: true })
            }
            (Position::Extension { size }, b'\r') => Some(Position::SizeLineFeed { size }),
            (Position::Extension { .. }, b'\n') => None,
            (Position::Extension { .. }, _) => Some(self),
            (Position::SizeLineFeed { size: 0 }, b'\n') => Some(Position::Trailer { is_empty: true }),
            (Position::SizeLineFeed { size }, b'\n') => Some(Position::Data { remaining: size }),
            (Position::DataReturn, b'\r') => Some(Position::DataLineFeed),
            (Position::DataLineFeed, b'\n') => Some(Position::Size { size: 0, has_digits: false }),
            (Position::Trailer { is_empty }, b'\r') => Some(Position::TrailerLineFeed { is_empty }),
            (Position::Trailer { .. }, _) => Some(Position::Trailer { is_empty: false }),
            (Position::TrailerLineFeed { .. }, b'\n') => Some(Position::Trailer { is_empty: true }),
            (
                Position::SizeLineFeed { .. }
                | Position::DataReturn
                | Position::DataLineFeed
                | Position::TrailerLineFeed { .. }
                | Position::Data { .. },
                _,
            ) => None,
        }
    }
}

#[cfg(test)]
mod tests;
