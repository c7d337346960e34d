//! One end of an HTTP/1.1 connection, implemented without an HTTP library so that a test can stop at any byte
//! of a message.
//!
//! [`HttpConnection`] owns the socket and the received bytes that follow the last message that was read.
//! Failed operations are not retried, and invalid messages are not corrected.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum number of bytes of an HTTP message's head; the body has the same limit.
const MAX_PART_BYTES: usize = 1 << 20;
/// The bytes that end the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A complete HTTP request or response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The first line of the message: the request line or the status line.
    pub start_line: String,
    /// Names and values of the message's headers; names in lower case, values as received without surrounding
    /// spaces.
    pub headers: Vec<(String, String)>,
    /// The body of the message.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first header `name`, which must be in lower case; `None` if there is no such
    /// header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the method of the message, which must be a request.
    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and query of the message, which must be a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status code of the message, which must be a response.
    pub fn status(&self) -> &str {
        self.target()
    }

    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// One end of an HTTP/1.1 connection.
pub struct HttpConnection {
    stream: TcpStream,
    /// Received bytes that follow the last message that was read from the connection.
    received: Vec<u8>,
}

impl HttpConnection {
    /// Wraps a connection that the caller has accepted or made.
    pub fn new(stream: TcpStream) -> HttpConnection {
        // With the option TCP_NODELAY, small writes do not wait for acknowledgements. A failure is ignored:
        // it only makes writes slower.
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, received: Vec::new() }
    }

    /// Makes a connection to an address.
    pub async fn connect(address: SocketAddr) -> io::Result<HttpConnection> {
        TcpStream::connect(address).await.map(HttpConnection::new)
    }

    /// Returns the connection's socket, for operations that are not HTTP.
    pub fn socket(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Receives more bytes from the other end. Returns `None` at the end of the connection, or if more than
    /// [`MAX_PART_BYTES`] unread bytes have been received.
    async fn receive(&mut self) -> Option<()> {
        match self.stream.read_buf(&mut self.received).await {
            Ok(read) if read > 0 && self.received.len() <= MAX_PART_BYTES => Some(()),
            _ => None,
        }
    }

    /// Reads the head of the next message. Returns the message without its body, and the length of the body
    /// in bytes; `None` if the other end has closed the connection or sends an invalid head.
    pub async fn read_head(&mut self) -> Option<(Message, usize)> {
        let end = loop {
            if let Some(index) = self.received.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) {
                break index + HEAD_END.len();
            }
            self.receive().await?;
        };
        let head: Vec<u8> = self.received.drain(..end).collect();
        let text = String::from_utf8(head).ok()?;
        let mut lines = text.trim_end().split("\r\n");
        let start_line = lines.next()?.to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_string())).collect();
        let message = Message { start_line, headers, body: Vec::new() };
        let length = message.header("content-length").map_or(Some(0), |length| length.parse().ok())?;
        (length <= MAX_PART_BYTES).then_some((message, length))
    }

    /// Reads the next message. Returns `None` if the other end has closed the connection or sends an invalid
    /// message.
    pub async fn read(&mut self) -> Option<Message> {
        let (mut message, length) = self.read_head().await?;
        message.body = self.read_body(length).await?;
        Some(message)
    }

    /// Reads the body of a message after [`HttpConnection::read_head`] has returned the body's length in
    /// bytes.
    pub async fn read_body(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.received.len() < length {
            self.receive().await?;
        }
        Some(self.received.drain(..length).collect())
    }

    /// Waits until the other end has closed the connection. Bytes that arrive until then are discarded.
    pub async fn wait_for_close(&mut self) {
        while self.receive().await.is_some() {
            self.received.clear();
        }
    }

    /// Writes text to the connection without changes.
    pub async fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes()).await
    }

    /// Writes text to the connection without changes, one byte at a time.
    pub async fn write_byte_by_byte(&mut self, text: &str) -> io::Result<()> {
        for byte in text.as_bytes().chunks(1) {
            self.stream.write_all(byte).await?;
            // Gives the other end the opportunity to read the byte alone.
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Writes a complete `POST` request to the path `target`; each line in `headers` ends with `\r\n`.
    pub async fn post(&mut self, target: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text =
            format!("POST {target} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {length}\r\n\r\n{body}");
        self.write(&text).await
    }

    /// Writes a complete response; each line in `headers` ends with `\r\n`.
    pub async fn answer(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        self.write(&format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}")).await
    }

    /// Resets the connection, as happens when a process ends abruptly.
    pub fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }
}
