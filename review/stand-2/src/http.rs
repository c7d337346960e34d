//! A small blocking HTTP/1.1: reads and writes messages with `Content-Length`.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// One request or response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: a request's target, or a response's status.
    pub fn word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the input before a first byte.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if stream.read_until(b'\n', &mut line)? == 0 {
            if message.start.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_string();
        if text.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            break;
        }
        if message.start.is_empty() {
            message.start = text;
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_string(), value.trim().to_string()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            stream.read_line(&mut size)?;
            let length = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; length + 2];
            stream.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Writes a response with a body.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends one request on a new connection and reads its response.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = connect(address, timeout)?;
    stream.write_all(request)?;
    read(&mut BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
