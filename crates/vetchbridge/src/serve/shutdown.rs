//! The graceful shutdown of the daemon, in which every accepted request gets its response before the process
//! ends.

use crate::upgrade::HandoverServer;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use vetchbridge_scheduling::Event;

/// Minimum time that the listener for clients stays open after SIGTERM, since new connections still arrive.
const MIN_LISTEN_TIME: Duration = Duration::from_millis(900);
/// Time without pending work (responses or messages to send) after which the process ends. During this time
/// the kernel sends the last responses.
const QUIET_TIME: Duration = Duration::from_millis(100);
/// Interval between checks whether work is still pending.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Additional time for clients to close their connections after the last responses. If the process closed a
/// connection with unread input, the kernel would discard the last response.
const LINGER_TIME: Duration = Duration::from_millis(200);

/// Starts the graceful shutdown of the daemon and returns when the shutdown is complete.
pub(super) async fn shut_down(server: &HandoverServer) {
    server.lifecycle.begin_shutdown(server.client_server.longest_deadline());
    sleep(MIN_LISTEN_TIME).await;
    let mut quiet_since = Instant::now();
    let mut engine_notified = false;
    let is_lingering = |quiet_time: Duration| {
        server.client_server.has_lingering_connections() && quiet_time < QUIET_TIME + LINGER_TIME
    };
    while quiet_since.elapsed() < QUIET_TIME || is_lingering(quiet_since.elapsed()) {
        sleep(CHECK_INTERVAL).await;
        if !engine_notified && !server.lifecycle.state().accepts_requests() {
            engine_notified = true;
            server.engine.handle(Event::ShuttingDown);
        }
        if has_pending_work(server) {
            quiet_since = Instant::now();
        }
    }
}

/// Whether a response to a client or a message to another process has yet to be sent, or clients may still
/// send requests.
fn has_pending_work(server: &HandoverServer) -> bool {
    // Clients keep sending requests on an open connection. Clients without a connection are directed to
    // another scheduler.
    let clients_may_send_requests =
        server.client_server.connection_count() > 0 && !server.lifecycle.state().closes_idle_connections();
    server.client_server.has_pending_responses()
        || server.process_links.has_queued()
        || clients_may_send_requests
}
