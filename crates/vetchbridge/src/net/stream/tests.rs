//! Tests of the limit on what arrives on a connection between two requests.

use super::super::MAX_RESPONSE_HEAD_BYTES;
use super::*;
use std::io::Write;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Reads until the stream fails or `max` bytes have arrived; returns their number.
async fn read_bytes(stream: &mut RetryingStream, max: usize) -> usize {
    let (mut total, mut buffer) = (0, [0; 4096]);
    while total < max {
        match stream.read(&mut buffer[..(max - total).min(4096)]).await {
            Ok(length) => total += length,
            Err(_) => break,
        }
    }
    total
}

/// Guards against a response of interim responses or framing alone, which only a timer ended: on the
/// connections to workers as well as to discovery.
#[tokio::test]
async fn a_response_is_read_up_to_its_limit_and_the_next_request_starts_another() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let socket = TcpStream::connect(address).await.expect("the listener accepts");
    let mut worker = listener.accept().await.expect("a connection").0.into_std().expect("a socket");
    worker.set_nonblocking(false).expect("the option is set");
    let writer = std::thread::spawn(move || while worker.write_all(&[b'x'; 4096]).is_ok() {});
    let mut stream = RetryingStream::for_requests(socket);
    let mut extensions = hyper::http::Extensions::new();
    stream.connected().get_extras(&mut extensions);
    let limit = extensions.get::<ResponseLimit>().expect("the connection has a limit").clone();

    let without_body = 2 * MAX_RESPONSE_HEAD_BYTES;
    assert_eq!(read_bytes(&mut stream, 1 << 20).await, without_body);
    limit.allow_body(100_000);
    assert_eq!(read_bytes(&mut stream, 1 << 20).await, 100_000);
    stream.write_all(b"x").await.expect("the other side reads");
    assert_eq!(read_bytes(&mut stream, 1 << 20).await, without_body);
    drop(stream);
    writer.join().expect("the other side sees the close");
}
