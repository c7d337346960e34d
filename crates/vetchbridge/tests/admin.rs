//! The admin interface of the daemon on a TCP socket: the response to each command, and the eviction of
//! connections that send no command.
#![allow(missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use vetchbridge::admin::{serve, LINE_LIMIT};
use vetchbridge::lifecycle::clock::Lifecycle;

async fn start_admin(lifecycle: &Arc<Lifecycle>, max_connections: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    tokio::spawn(serve(listener, lifecycle.clone(), Arc::default(), max_connections));
    address
}

async fn send_command(address: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the admin interface listens");
    stream.write_all(line).await.expect("the write succeeds");
    if !line.contains(&b'\n') {
        stream.shutdown().await.expect("the write half closes");
    }
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("a response");
    response
}

/// Each kind of line that a client sends to the admin interface gets its documented response, and the state
/// of the daemon's lifecycle matches the response.
#[tokio::test]
async fn each_command_has_its_response() {
    let lifecycle = Arc::new(Lifecycle::new(false));
    let address = start_admin(&lifecycle, 4).await;
    assert_eq!(send_command(address, b"health\n").await, "fail starting, it can't serve yet\n");
    lifecycle.start_serving();
    let too_long = [b"health".as_slice(), &[b' '; LINE_LIMIT], b"\n"].concat();
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
        (&too_long, "fail the line is too long\n", false),
        (b"resume\n", "ok serving\n", true),
        (b"resume\n", "ok serving\n", true),
    ];
    for (line, expected, ready) in cases {
        assert_eq!(send_command(address, line).await, expected, "{}", line.escape_ascii());
        assert_eq!(lifecycle.state().is_ready(), ready, "after {}", line.escape_ascii());
    }
    lifecycle.begin_shutdown(Duration::from_secs(5));
    assert_eq!(send_command(address, b"health\n").await, "fail ending\n");
    assert_eq!(send_command(address, b"resume\n").await, "fail ending\n");
    assert_eq!(send_command(address, b"quiesce\n").await, "ok ending\n");
}

/// Admin connections without a complete command must not keep other admin clients from connecting.
#[tokio::test]
async fn silent_connections_are_evicted_to_admit_new_clients() {
    let lifecycle = Arc::new(Lifecycle::new(false));
    lifecycle.start_serving();
    let address = start_admin(&lifecycle, 4).await;
    let mut incomplete = TcpStream::connect(address).await.expect("the admin interface listens");
    incomplete.write_all(b"hea").await.expect("the write succeeds");
    assert_eq!(send_command(address, b"health\n").await, "ok serving\n");
    let mut silent = Vec::new();
    for _ in 0..40 {
        silent.push(TcpStream::connect(address).await.expect("the admin interface listens"));
    }
    assert_eq!(send_command(address, b"health\n").await, "ok serving\n");
    incomplete.write_all(b"lth\n").await.expect("the write succeeds");
    let mut response = String::new();
    incomplete.read_to_string(&mut response).await.expect("a connection with input is not evicted");
    assert_eq!(response, "ok serving\n");
}
