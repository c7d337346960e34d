//! The operators' listener on a socket: the answer to each call, and callers that send nothing.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use vetchbridge::admin::{serve, LINE_LIMIT};
use vetchbridge::lifecycle::clock::Lifecycle;

async fn door(lifecycle: &Arc<Lifecycle>, most: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(serve(listener, lifecycle.clone(), Arc::default(), most));
    address
}

async fn call(address: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the door is there");
    stream.write_all(line).await.expect("written");
    if !line.contains(&b'\n') {
        stream.shutdown().await.expect("half closed");
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    answer
}

/// Every kind of line has a stated answer, and what it says is true.
#[tokio::test]
async fn each_call_has_its_answer() {
    let lifecycle = Arc::new(Lifecycle::new(false));
    let address = door(&lifecycle, 4).await;
    assert_eq!(call(address, b"health\n").await, "fail starting, it can't serve yet\n");
    lifecycle.start_serving();
    let long = [b"health".as_slice(), &[b' '; LINE_LIMIT], b"\n"].concat();
    let cases: [(&[u8], &str, bool); 15] = [
        (b"health\n", "ok serving\n", true),
        (b"health\r\n", "ok serving\n", true),
        (b" health\n", "ok serving\n", true),
        (b"health", "ok serving\n", true),
        (b"quiesce\n", "ok draining\n", false),
        (b"quiesce\nresume\n", "ok draining\n", false),
        (b"health\n", "ok draining\n", false),
        (b"quiesce now\n", "fail quiesce takes no further words\n", false),
        (b"Resume\n", "fail unknown call; say health, quiesce or resume\n", false),
        (b"\n", "fail empty call; say health, quiesce or resume\n", false),
        (b"", "fail empty call; say health, quiesce or resume\n", false),
        (b"h\xffalth\n", "fail not text; say health, quiesce or resume\n", false),
        (&long, "fail the line is too long\n", false),
        (b"resume\n", "ok serving\n", true),
        (b"resume\n", "ok serving\n", true),
    ];
    for (line, expected, ready) in cases {
        assert_eq!(call(address, line).await, expected, "{}", line.escape_ascii());
        assert_eq!(lifecycle.state().is_ready(), ready, "after {}", line.escape_ascii());
    }
    lifecycle.begin_shutdown(Duration::from_secs(5));
    assert_eq!(call(address, b"health\n").await, "fail ending\n");
    assert_eq!(call(address, b"resume\n").await, "fail ending\n");
    assert_eq!(call(address, b"quiesce\n").await, "ok ending\n");
}

/// Whoever holds a connection without a word, or with half a call, keeps nobody out.
#[tokio::test]
async fn silent_callers_make_room_for_one_that_speaks() {
    let lifecycle = Arc::new(Lifecycle::new(false));
    lifecycle.start_serving();
    let address = door(&lifecycle, 4).await;
    let mut half = TcpStream::connect(address).await.expect("the door is there");
    half.write_all(b"hea").await.expect("written");
    assert_eq!(call(address, b"health\n").await, "ok serving\n");
    let mut silent = Vec::new();
    for _ in 0..40 {
        silent.push(TcpStream::connect(address).await.expect("the door is there"));
    }
    assert_eq!(call(address, b"health\n").await, "ok serving\n");
    half.write_all(b"lth\n").await.expect("written");
    let mut answer = String::new();
    half.read_to_string(&mut answer).await.expect("it was not displaced");
    assert_eq!(answer, "ok serving\n");
}
