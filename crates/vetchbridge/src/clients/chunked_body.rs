//! Finds the last byte of the chunked body of an HTTP request (RFC 9112, section 7.1), without keeping the
//! content of the body.
//!
//! The module accepts the same syntax as hyper, which reads the body after this module. The module must not
//! treat a body as complete while hyper would continue to read it.

/// Maximum number of bytes of framing (everything but the data of chunks) in a chunked body without data.
const MAX_FRAMING_BYTES: u64 = 16 * 1024;
/// Number of further bytes of framing that each byte of data allows. A chunk of one byte needs five.
const FRAMING_BYTES_PER_DATA_BYTE: u64 = 8;

/// The result of advancing the position in a chunked body over received bytes.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// All received bytes belong to the chunked body, and the end of the body has not arrived yet.
    Incomplete,
    /// The last byte of the chunked body is among the received bytes.
    Complete {
        /// Number of the received bytes that belong to the chunked body.
        length: usize,
    },
    /// The received bytes are not a valid continuation of a chunked body.
    Malformed,
    /// The body has more framing than its data allows.
    TooMuchFraming,
}

/// The part of a chunked body that the next byte belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The size of a chunk. `has_digits`: whether at least one digit has arrived.
    Size { size: u64, has_digits: bool },
    /// The chunk extension, between the chunk's size and the end of the line.
    Extension { size: u64 },
    /// The line feed at the end of the line with the chunk's size.
    SizeLineFeed { size: u64 },
    /// The data of a chunk; `remaining` is the number of its bytes that have not arrived.
    Data { remaining: u64 },
    /// The carriage return after the data of a chunk.
    DataCarriageReturn,
    /// The line feed after the data of a chunk.
    DataLineFeed,
    /// A trailer line, which follows the last chunk. `is_empty`: whether no byte of the line has arrived.
    Trailer { is_empty: bool },
    /// The line feed at the end of a trailer line. `is_empty`: whether the line is empty.
    TrailerLineFeed { is_empty: bool },
}

/// A chunked body, of which a part may have arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ChunkedBody {
    position: Position,
    framing_bytes: u64,
    data_bytes: u64,
}

impl ChunkedBody {
    /// Creates a chunked body of which no byte has arrived.
    pub(super) fn new() -> ChunkedBody {
        let position = Position::Size { size: 0, has_digits: false };
        ChunkedBody { position, framing_bytes: 0, data_bytes: 0 }
    }

    /// Advances the position in the chunked body over received bytes, at most to the end of the body.
    pub(super) fn advance(&mut self, bytes: &[u8]) -> Progress {
        let mut offset = 0;
        while offset < bytes.len() {
            if let Position::Data { remaining } = self.position {
                let available = bytes.len() - offset;
                let consumed = usize::try_from(remaining).unwrap_or(usize::MAX).min(available);
                offset += consumed;
                self.data_bytes += consumed as u64;
                self.position = match remaining - consumed as u64 {
                    0 => Position::DataCarriageReturn,
                    remaining => Position::Data { remaining },
                };
                continue;
            }
            let byte = bytes[offset];
            offset += 1;
            self.framing_bytes += 1;
            if self.framing_bytes > self.max_framing_bytes() {
                return Progress::TooMuchFraming;
            }
            if self.position == (Position::TrailerLineFeed { is_empty: true }) && byte == b'\n' {
                return Progress::Complete { length: offset };
            }
            let Some(next) = self.position.after_byte(byte) else { return Progress::Malformed };
            self.position = next;
        }
        Progress::Incomplete
    }

    fn max_framing_bytes(&self) -> u64 {
        MAX_FRAMING_BYTES + self.data_bytes.saturating_mul(FRAMING_BYTES_PER_DATA_BYTE)
    }
}

impl Position {
    /// Returns the position in the chunked body after a byte that is not chunk data; `None` if the byte is
    /// not allowed at this position.
    fn after_byte(self, byte: u8) -> Option<Position> {
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
            (Position::DataCarriageReturn, b'\r') => Some(Position::DataLineFeed),
            (Position::DataLineFeed, b'\n') => Some(Position::Size { size: 0, has_digits: false }),
            (Position::Trailer { is_empty }, b'\r') => Some(Position::TrailerLineFeed { is_empty }),
            (Position::Trailer { .. }, _) => Some(Position::Trailer { is_empty: false }),
            (Position::TrailerLineFeed { .. }, b'\n') => Some(Position::Trailer { is_empty: true }),
            (
                Position::SizeLineFeed { .. }
                | Position::DataCarriageReturn
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
