//! Tests of the time limits of a client connection.

use super::*;

/// The time limit for the arrival of a request covers its head and body. The time for the first request
/// counts from the client's connect.
#[tokio::test(start_paused = true)]
async fn an_incomplete_request_times_out_and_a_request_that_awaits_its_response_does_not() {
    let budget = MemoryBudget::new(1 << 20);
    let reservation = budget.reservation(MemoryOwner::ClientConnections);
    let connection = ClientConnection::new(1, Arc::default(), reservation, &budget);
    let time_after = |fraction: f64| Instant::now() + REQUEST_TIMEOUT.mul_f64(fraction);
    tokio::time::advance(REQUEST_TIMEOUT / 2).await;
    connection.record_received(b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
    assert!(!connection.has_timed_out(time_after(0.4)) && connection.has_timed_out(time_after(0.5)));
    connection.mark_awaiting_response();
    assert!(!connection.has_timed_out(time_after(100.0)));
    connection.mark_sending_response(0);
    connection.record_flush();
    connection.record_received(b"xx");
    assert!(
        connection.has_timed_out(time_after(1.0)),
        "a body that continues after the response counts as an incomplete request"
    );
}
