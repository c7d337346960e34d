//! Reads hand-over messages, with their descriptors, from a socket.

use super::message::{Envelope, HandoverMessage, MAX_MESSAGE_BYTES};
use super::socket::HandoverSocket;
use std::io;

/// Why no message could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// What came is no message of this version.
    #[error(transparent)]
    Decode(#[from] serde_json::Error),
}

/// A reader of one socket's messages, with the buffer that it needs.
pub struct MessageReader<'a> {
    socket: &'a HandoverSocket,
    buffer: Vec<u8>,
}

impl<'a> MessageReader<'a> {
    /// A reader of what arrives at `socket`.
    pub fn new(socket: &'a HandoverSocket) -> MessageReader<'a> {
        MessageReader { socket, buffer: vec![0; MAX_MESSAGE_BYTES] }
    }

    /// The next message; `None` once the other process has closed the connection.
    pub async fn next(&mut self) -> Result<Option<Envelope>, ReceiveError> {
        let Some(received) = self.socket.receive(&mut self.buffer).await? else { return Ok(None) };
        let message = HandoverMessage::decode(&self.buffer[..received.length])?;
        Ok(Some(Envelope { message, descriptors: received.descriptors }))
    }
}
