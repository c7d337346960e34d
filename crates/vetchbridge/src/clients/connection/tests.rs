//! The time limits of a connection.

use super::*;

/// The time of a request counts over its head and body, and from connecting for the first.
#[tokio::test(start_paused = true)]
async fn a_request_that_does_not_arrive_times_out_and_one_that_awaits_its_response_never_does() {
    let connection = ClientConnection::new(1, Arc::default());
    let after = |share: f64| Instant::now() + REQUEST_TIMEOUT.mul_f64(share);
    tokio::time::advance(REQUEST_TIMEOUT / 2).await;
    connection.record_received(b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
    assert!(!connection.has_timed_out(after(0.4)) && connection.has_timed_out(after(0.5)));
    connection.mark_awaiting_response();
    assert!(!connection.has_timed_out(after(100.0)));
    connection.mark_sending_response();
    connection.record_flush();
    connection.record_received(b"xx");
    assert!(connection.has_timed_out(after(1.0)), "the rest of a body is a request that has not arrived");
}
