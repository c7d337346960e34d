//! The graceful shutdown: everything that was accepted gets its response before the process ends.

use crate::upgrade::HandoverServer;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use vetchbridge_scheduling::Event;

/// Minimum time that the listener stays after SIGTERM: new connections keep arriving.
const MIN_LISTEN_TIME: Duration = Duration::from_millis(900);
/// Time without pending work before the process ends; the last responses leave the socket meanwhile.
const QUIET_TIME: Duration = Duration::from_millis(100);
/// Interval at which pending work is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Further time for clients to close their side after the last responses: closing a connection with unread input would
/// discard them.
const LINGER_TIME: Duration = Duration::from_millis(200);

/// Starts the graceful shutdown and returns once it is complete.
pub(super) async fn shut_down(server: &HandoverServer) {
    server.lifecycle.begin_shutdown(server.client_server.longest_deadline());
    sleep(MIN_LISTEN_TIME).await;
    let mut quiet_since = Instant::now();
    let mut engine_notified = false;
    let lingers = |quiet: Duration| {
        server.client_server.has_lingering_connections() && quiet < QUIET_TIME + LINGER_TIME
    };
    while quiet_since.elapsed() < QUIET_TIME || lingers(quiet_since.elapsed()) {
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

/// Whether a response or a message to another process is due, or clients may still send requests.
fn has_pending_work(server: &HandoverServer) -> bool {
    // Clients use a connection for as long as it stays open; a client without one is sent to another scheduler.
    let serves_connections =
        server.client_server.connection_count() > 0 && !server.lifecycle.state().closes_idle_connections();
    server.client_server.has_pending_responses() || server.process_links.has_queued() || serves_connections
}
