//! Reads the handover messages between two processes of a scheduler, with their descriptors, from a socket.

use super::message::{Envelope, HandoverMessage, MAX_MESSAGE_BYTES};
use super::socket::HandoverSocket;
use std::io;

/// Why no handover message could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReceiveError {
    /// The connection to the other process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The received bytes are not a handover message of this version.
    #[error(transparent)]
    Decode(#[from] serde_json::Error),
}

/// Reads the handover messages that arrive at one socket.
pub struct MessageReader<'a> {
    socket: &'a HandoverSocket,
    buffer: Vec<u8>,
}

impl<'a> MessageReader<'a> {
    /// Returns a reader of the handover messages that arrive at `socket`.
    pub fn new(socket: &'a HandoverSocket) -> MessageReader<'a> {
        MessageReader { socket, buffer: vec![0; MAX_MESSAGE_BYTES] }
    }

    /// Reads the next handover message; returns `None` when the other process has closed the connection.
    pub async fn next(&mut self) -> Result<Option<Envelope>, ReceiveError> {
        let Some(received) = self.socket.receive(&mut self.buffer).await? else { return Ok(None) };
        let message = HandoverMessage::decode(&self.buffer[..received.length])?;
        Ok(Some(Envelope { message, descriptors: received.descriptors }))
    }
}
