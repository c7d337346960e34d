//! Tests that a stream whose input never pauses leaves the runtime's thread to others.

use super::super::RetryingStream;
use super::*;
use rstest::rstest;
use std::future::poll_fn;
use std::io::Write;
use std::pin::Pin;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

/// Returns a stream with `bytes` bytes of input in its receive buffer.
async fn stream_with_input(bytes: usize) -> RetryingStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let mut sender = std::net::TcpStream::connect(address).expect("the listener accepts");
    let (stream, _) = listener.accept().await.expect("a connection");
    sender.write_all(&vec![0; bytes]).expect("the socket buffers hold the input");
    wait_for_input(&stream, bytes).await;
    RetryingStream::new(stream)
}

/// Waits until the receive buffer holds `bytes` bytes.
async fn wait_for_input(stream: &TcpStream, bytes: usize) {
    let mut buffer = vec![0; bytes];
    while stream.peek(&mut buffer).await.expect("the stream is open") < bytes {
        yield_now().await;
    }
}

/// Reads until the stream makes its task wait; returns the number of bytes.
fn read_one_turn(stream: &mut RetryingStream, buffer_bytes: usize, cx: &mut Context<'_>) -> usize {
    let mut bytes = 0;
    let mut buffer = vec![0; buffer_bytes];
    loop {
        let mut piece = ReadBuf::new(&mut buffer);
        match Pin::new(&mut *stream).poll_read(cx, &mut piece) {
            Poll::Ready(read) => read.expect("the stream is open"),
            Poll::Pending => return bytes,
        }
        bytes += piece.filled().len();
    }
}

/// Guards against a connection that keeps the runtime's one thread for as long as its input comes: before, only
/// the runtime's own limit of 128 reads ended a turn, up to 52 MB with the HTTP client's buffers.
#[rstest]
#[case::small_reads(512)]
#[case::large_reads(400 * 1024)]
#[tokio::test]
async fn a_turn_ends_after_its_budget_of_bytes_and_the_next_one_follows(#[case] buffer_bytes: usize) {
    let mut stream = stream_with_input(2 * TURN_BYTES + 1).await;
    for expected in [TURN_BYTES, TURN_BYTES, 1] {
        let mut turn = None;
        poll_fn(|cx| {
            if turn.is_none() {
                turn = Some(read_one_turn(&mut stream, buffer_bytes, cx));
            }
            Poll::Ready(())
        })
        .await;
        assert_eq!(turn, Some(expected));
    }
}

/// A task whose turn has ended is woken although no further input arrives.
#[tokio::test]
async fn a_task_whose_turn_has_ended_is_woken_for_the_rest_of_its_input() {
    let mut stream = stream_with_input(3 * TURN_BYTES).await;
    let mut total = 0;
    poll_fn(|cx| {
        total += read_one_turn(&mut stream, TURN_BYTES, cx);
        if total < 3 * TURN_BYTES {
            Poll::Pending
        } else {
            Poll::Ready(())
        }
    })
    .await;
}
