//! A chunked body (RFC 9112, section 7.1) on its way, followed to its last byte.
//!
//! Owns where in the body it stands. It must never keep what a body says, nor take one for ended that hyper reads on.

/// What some bytes of a body came to.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// All of them belong to the body, and more is to come.
    Within,
    /// The body ended with so many of them.
    Ended(usize),
    /// This is no chunked body.
    Malformed,
}

/// What the next byte of a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The size of a chunk; `digits`: some of it has come.
    Size { size: u64, digits: bool },
    /// What follows the size on its line.
    Extension { size: u64 },
    /// The end of that line.
    SizeEnd { size: u64 },
    /// The data of a chunk, with this many bytes to come.
    Data { left: u64 },
    /// The carriage return after the data.
    DataReturn,
    /// The line feed after the data.
    DataEnd,
    /// A line after the last chunk; `empty`: nothing of it has come.
    Trailer { empty: bool },
    /// The end of that line.
    TrailerEnd { empty: bool },
}

/// A chunked body, as far as it has come.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Chunks(Position);

impl Chunks {
    /// A body of which nothing has come.
    pub(super) fn new() -> Chunks {
        Chunks(Position::Size { size: 0, digits: false })
    }

    /// Reads on to the end of the body at most.
    pub(super) fn see(&mut self, bytes: &[u8]) -> Progress {
        let mut at = 0;
        while at < bytes.len() {
            if let Position::Data { left } = self.0 {
                let here = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len() - at);
                at += here;
                let left = left - here as u64;
                self.0 = if left == 0 { Position::DataReturn } else { Position::Data { left } };
                continue;
            }
            let byte = bytes[at];
            at += 1;
            if self.0 == (Position::TrailerEnd { empty: true }) && byte == b'\n' {
                return Progress::Ended(at);
            }
            let Some(next) = self.0.after(byte) else { return Progress::Malformed };
            self.0 = next;
        }
        Progress::Within
    }
}

impl Position {
    /// Where a byte other than one of data leads; `None`: there is no place for it here.
    fn after(self, byte: u8) -> Option<Position> {
        match (self, byte) {
            (Position::Size { size, digits: true }, b'\r') => Some(Position::SizeEnd { size }),
            (Position::Size { size, digits: true }, b';' | b' ' | b'\t') => {
                Some(Position::Extension { size })
            }
            (Position::Size { size, .. }, _) => {
                let digit = char::from(byte).to_digit(16)?;
                let size = size.checked_mul(16)?.checked_add(digit.into())?;
                Some(Position::Size { size, digits: true })
            }
            (Position::Extension { size }, b'\r') => Some(Position::SizeEnd { size }),
            (Position::Extension { .. }, b'\n') => None,
            (Position::Extension { .. }, _) => Some(self),
            (Position::SizeEnd { size: 0 }, b'\n') => Some(Position::Trailer { empty: true }),
            (Position::SizeEnd { size }, b'\n') => Some(Position::Data { left: size }),
            (Position::DataReturn, b'\r') => Some(Position::DataEnd),
            (Position::DataEnd, b'\n') => Some(Position::Size { size: 0, digits: false }),
            (Position::Trailer { empty }, b'\r') => Some(Position::TrailerEnd { empty }),
            (Position::Trailer { .. }, _) => Some(Position::Trailer { empty: false }),
            (Position::TrailerEnd { .. }, b'\n') => Some(Position::Trailer { empty: true }),
            (
                Position::SizeEnd { .. }
                | Position::DataReturn
                | Position::DataEnd
                | Position::TrailerEnd { .. }
                | Position::Data { .. },
                _,
            ) => None,
        }
    }
}
