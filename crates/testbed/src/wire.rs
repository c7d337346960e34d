//! One end of an HTTP/1.1 connection, spoken by hand so that a script can break off anywhere.
//!
//! Owns the socket and what was read ahead. It must never mend, retry or judge: it reads and writes what it is told to.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest head or body that is read.
const LIMIT: usize = 1 << 20;

/// A request or an answer, read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case, values as they were written.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Of a request: its method.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Of a request: its path and query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Of an answer: its status.
    pub fn status(&self) -> &str {
        self.target()
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// See the head of this file.
pub struct Wire {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Wire {
    /// The end that accepted, or that dialled elsewhere.
    pub fn new(stream: TcpStream) -> Wire {
        // A stand-in's short writes must not wait for one another.
        let _ = stream.set_nodelay(true);
        Wire { stream, ahead: Vec::new() }
    }

    /// Dials.
    pub async fn dial(address: SocketAddr) -> io::Result<Wire> {
        TcpStream::connect(address).await.map(Wire::new)
    }

    /// The socket, for what is not HTTP.
    pub fn socket(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    async fn more(&mut self) -> Option<()> {
        match self.stream.read_buf(&mut self.ahead).await {
            Ok(read) if read > 0 && self.ahead.len() <= LIMIT => Some(()),
            _ => None,
        }
    }

    /// The head of the next message, its body still to come: the message without it, and its length.
    pub async fn head(&mut self) -> Option<(Message, usize)> {
        let end = loop {
            if let Some(at) = self.ahead.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            self.more().await?;
        };
        let head: Vec<u8> = self.ahead.drain(..end).collect();
        let text = String::from_utf8(head).ok()?;
        let mut lines = text.trim_end().split("\r\n");
        let line = lines.next()?.to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_string())).collect();
        let message = Message { line, headers, body: Vec::new() };
        let length = message.header("content-length").map_or(Some(0), |length| length.parse().ok())?;
        (length <= LIMIT).then_some((message, length))
    }

    /// The next whole message; `None` once the other side has closed, or says what is no message.
    pub async fn read(&mut self) -> Option<Message> {
        let (mut message, length) = self.head().await?;
        message.body = self.body(length).await?;
        Some(message)
    }

    /// The rest of a message whose head was read.
    pub async fn body(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.ahead.len() < length {
            self.more().await?;
        }
        Some(self.ahead.drain(..length).collect())
    }

    /// Whether the other side has closed; what it still says is passed over.
    pub async fn closed(&mut self) {
        while self.more().await.is_some() {
            self.ahead.clear();
        }
    }

    /// Writes text as it is.
    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Writes text as it is, each byte a piece of its own.
    pub async fn write_in_pieces(&mut self, text: &str) -> io::Result<()> {
        for byte in text.as_bytes().chunks(1) {
            self.stream.write_all(byte).await?;
            // The other side is to have the chance to read it alone.
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Writes a whole `POST`; `headers` are whole lines.
    pub async fn post(&mut self, target: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text =
            format!("POST {target} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {length}\r\n\r\n{body}");
        self.write(&text).await
    }

    /// Writes a whole answer; `headers` are whole lines.
    pub async fn answer(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        self.write(&format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}")).await
    }

    /// Ends the connection as the death of a process does: the other side sees a reset.
    pub fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }
}
