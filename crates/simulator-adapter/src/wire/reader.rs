//! Reads the simulator's messages from a stream of lines.

use super::error::{FieldError, FieldProblem, WireError};
use super::parse::{parse_endpoint, parse_line, Line};
use super::Message;
use std::io::BufRead;
use vetchbridge_scheduling::{EndpointUpdate, Event};

/// Initial capacity of the buffer for one line of the simulator's input, in bytes.
const LINE_CAPACITY: usize = 1 << 16;
/// Maximum number of entries of an endpoint list for which memory is reserved before the entries are read.
const MAX_RESERVED_ENDPOINTS: usize = 1 << 16;

/// Reads the simulator's messages and counts the lines of the simulator's input.
pub(crate) struct Reader<R> {
    input: R,
    buffer: Vec<u8>,
    /// Number of the last input line that was read, counted from 1.
    line_number: u64,
}

impl<R: BufRead> Reader<R> {
    /// Creates a reader whose `input` is at its first line.
    pub(crate) fn new(input: R) -> Reader<R> {
        Reader { input, buffer: Vec::with_capacity(LINE_CAPACITY), line_number: 0 }
    }

    /// Adds the number of the input line that was read last to an error in that line.
    pub(crate) fn error(&self, error: FieldError) -> WireError {
        error.at_line(self.line_number)
    }

    /// Reads the simulator's next message and skips messages with unknown names. Returns `None` at the end of
    /// the input.
    pub(crate) fn next_message(&mut self) -> Result<Option<Message>, WireError> {
        self.read_message().map_err(|error| self.error(error))
    }

    fn read_message(&mut self) -> Result<Option<Message>, FieldError> {
        while let Some(line) = self.next_line()? {
            match parse_line(line)? {
                Line::Message(message) => return Ok(Some(message)),
                Line::EndpointList { update, count } => {
                    return self.read_endpoints(update, count).map(Some);
                }
                Line::Unknown => {}
            }
        }
        Ok(None)
    }

    /// Reads the `count` entries that follow the first line of an endpoint list, one per line.
    fn read_endpoints(&mut self, update: EndpointUpdate, count: usize) -> Result<Message, FieldError> {
        let mut endpoints = Vec::with_capacity(count.min(MAX_RESERVED_ENDPOINTS));
        while endpoints.len() < count {
            let line = self.next_line()?;
            let line = line.ok_or_else(|| FieldError::new("row", FieldProblem::EndsInsideList))?;
            endpoints.push(parse_endpoint(line)?);
        }
        Ok(Message::Event(Event::Endpoints { update, endpoints }))
    }

    /// Reads the next line of the simulator's input without its line break. Returns `None` at the end of the
    /// input.
    fn next_line(&mut self) -> Result<Option<&str>, FieldError> {
        self.buffer.clear();
        self.line_number += 1;
        let length = self
            .input
            .read_until(b'\n', &mut self.buffer)
            .map_err(|error| FieldError::new("input", FieldProblem::Io(error)))?;
        if length == 0 {
            return Ok(None);
        }
        match std::str::from_utf8(&self.buffer) {
            Ok(line) => Ok(Some(line.trim_end_matches(['\n', '\r']))),
            Err(_) => Err(FieldError::new("line", FieldProblem::NotUtf8)),
        }
    }
}
