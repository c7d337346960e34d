//! Serves one client connection in this process, until the connection ends or the successor process takes it
//! over.

use super::connection::{lingering_close, ClientConnection, RequestStream};
use super::framing::MAX_HEAD_BYTES;
use super::protocol::CALLBACK_REQUEST_LINE;
use super::server::ClientServer;
use crate::invariants::{record_violation, Invariant};
use crate::net::RetryingStream;
use crate::upgrade::message::HandoverMessage;
use axum::Router;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::debug;

/// How long a connection beyond the descriptor budget may take to send the start of a callback.
const CALLBACK_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for serving a callback on a connection beyond the descriptor budget, including the time to
/// forward the callback to another process.
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval between checks whether the rest of a callback's request line has arrived.
const CALLBACK_PEEK_INTERVAL: Duration = Duration::from_millis(5);

/// The logged reason for the rejection of a connection beyond the descriptor budget.
const NO_EVICTION_POSSIBLE: &str = "no connection can be evicted";

/// A client connection that this process starts to serve.
pub(super) struct IncomingConnection {
    pub(super) stream: TcpStream,
    /// Whether another process of this scheduler has already sent a response on the connection.
    pub(super) is_kept_alive: bool,
}

/// Why this process stopped serving a client connection.
enum ServingEnd {
    /// hyper has finished: the client has disconnected, or the last response has been sent.
    Finished(hyper::Result<()>),
    /// The connection failed before the head of a request arrived.
    FailedBeforeRequest(io::Error),
    /// An eviction or a time limit closes the connection.
    ClosedByLimit,
    /// No request is in progress on the connection; the successor process takes the connection over.
    HandedOver,
    /// The client connection is idle, and this process is draining.
    Drained,
}

impl ClientServer {
    /// Serves a client connection until the connection ends or another process takes it over.
    pub(super) async fn serve_connection(self: Arc<Self>, incoming: IncomingConnection, router: Router) {
        let IncomingConnection { stream, is_kept_alive } = incoming;
        let Some(slot) = &self.connections.admit(self.other_processes()) else {
            return self.serve_extra_callback(stream, router).await;
        };
        let connection = &slot.connection;
        if is_kept_alive {
            connection.mark_kept_alive();
        }
        if let Err(error) = stream.set_nodelay(true) {
            debug!(%error, "connection.nodelay_failed");
        }
        let mut stream = RequestStream::new(RetryingStream::new(stream), connection.clone());
        let head = tokio::select! {
            // The input is read first, as in `serve_http`.
            biased;
            result = stream.wait_for_head() => result.map_err(ServingEnd::FailedBeforeRequest),
            end = self.wait_for_end(connection) => Err(end),
        };
        let (end, stream) = match head {
            Ok(()) => self.serve_http(stream, connection, router).await,
            Err(end) => (end, stream),
        };
        match end {
            ServingEnd::Finished(Ok(())) => {}
            ServingEnd::Finished(Err(error)) => debug!(%error, "connection.failed"),
            ServingEnd::FailedBeforeRequest(error) => debug!(%error, "connection.failed"),
            ServingEnd::ClosedByLimit => {
                debug!(reason = %connection.close_reason(), "connection.closed");
                check_not_awaiting_response(connection);
            }
            ServingEnd::HandedOver => {
                return self.hand_over(stream.into_socket(), connection.is_kept_alive());
            }
            ServingEnd::Drained => {
                debug!("connection.drained");
                check_not_awaiting_response(connection);
            }
        }
        lingering_close(stream).await;
    }

    /// Serves the requests on a connection on which a head has arrived, until the connection ends. Returns the
    /// reason and the connection's stream.
    async fn serve_http(
        &self,
        stream: RequestStream,
        connection: &Arc<ClientConnection>,
        router: Router,
    ) -> (ServingEnd, RequestStream) {
        self.connections.reserve_http_buffers(connection);
        let service = service_fn(|request| self.respond(request, connection, router.clone()));
        let io = TokioIo::new(stream);
        let mut serving = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service);
        let end = tokio::select! {
            // hyper's future is polled first, since a connection that is chosen for eviction may already have
            // received a request, which must be answered.
            biased;
            result = Pin::new(&mut serving) => ServingEnd::Finished(result),
            end = self.wait_for_end(connection) => end,
        };
        (end, serving.into_parts().io.into_inner())
    }

    /// Resolves when this process stops serving a connection that has not ended by itself.
    async fn wait_for_end(&self, connection: &ClientConnection) -> ServingEnd {
        tokio::select! {
            biased;
            () = connection.wait_for_forced_close() => ServingEnd::ClosedByLimit,
            () = self.wait_for_handover(connection) => ServingEnd::HandedOver,
            () = self.wait_for_drain(connection) => ServingEnd::Drained,
        }
    }

    /// Resolves when this process has a successor process and no request is in progress on the connection.
    async fn wait_for_handover(&self, connection: &ClientConnection) {
        let mut successor = self.process_links.successor();
        loop {
            drop(successor.wait_for(Option::is_some).await);
            connection.wait_until_between_requests().await;
            // If the successor process ended while a request was in progress on this client connection, this
            // process keeps the connection, continues to serve it and waits for another successor process.
            if self.process_links.has_successor() {
                return;
            }
        }
    }

    /// Resolves when the process closes idle connections (as it does when it drains or shuts down) and the
    /// connection is idle. A connection without a response so far is not idle, since its first request may be
    /// in transit; the response to that request closes the connection.
    async fn wait_for_drain(&self, connection: &ClientConnection) {
        let mut state = self.lifecycle.subscribe();
        loop {
            drop(state.wait_for(|state| state.closes_idle_connections()).await);
            connection.wait_until_idle().await;
            if self.lifecycle.state().closes_idle_connections() {
                return;
            }
        }
    }

    /// Serves a connection for which no other connection can be evicted. If the connection starts with a
    /// callback, the callback is served and its response closes the connection. Otherwise the connection is
    /// closed unread.
    async fn serve_extra_callback(&self, stream: TcpStream, router: Router) {
        let Some(_slot) = self.connections.admit_extra_callback() else {
            return debug!(reason = NO_EVICTION_POSSIBLE, "connection.rejected");
        };
        if !timeout(CALLBACK_ARRIVAL_TIMEOUT, starts_with_callback(&stream)).await.unwrap_or(false) {
            return debug!(reason = NO_EVICTION_POSSIBLE, "connection.rejected");
        }
        let connection = self.connections.extra_callback_connection();
        let service = service_fn(|request| self.respond(request, &connection, router.clone()));
        let io = TokioIo::new(RequestStream::new(RetryingStream::new(stream), connection.clone()));
        let mut serving = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service);
        let result = timeout(CALLBACK_TIMEOUT, Pin::new(&mut serving)).await;
        // A lingering close is not needed, since a worker sends nothing before it has read the response. A
        // lingering close would also occupy a slot that other callbacks need.
        debug!(?result, "callback.served_beyond_budget");
    }

    /// Passes a connection on which no request is in progress to the successor process. Input that arrives
    /// meanwhile stays in the socket's receive buffer.
    fn hand_over(&self, socket: RetryingStream, is_kept_alive: bool) {
        let (successor, descriptor) = (self.process_links.successor().borrow().clone(), socket.into_std());
        let is_sent = descriptor.map(|stream| {
            successor.is_some_and(|to| {
                to.send(HandoverMessage::ClientConnection { is_kept_alive }, vec![stream.into()])
            })
        });
        debug!(sent = ?is_sent, "connection.handed_over");
    }
}

/// Records a violation if a complete request on the connection still awaits its response.
fn check_not_awaiting_response(connection: &ClientConnection) {
    if connection.is_awaiting_response() {
        record_violation(
            Invariant::UnansweredConnectionStaysOpen,
            None,
            "the daemon closed the connection before its response",
        );
    }
}

/// Whether the input of a connection starts with the request line of a callback. The input is only peeked at,
/// so the bytes stay in the socket's receive buffer.
async fn starts_with_callback(stream: &TcpStream) -> bool {
    let mut head = [0; CALLBACK_REQUEST_LINE.len()];
    loop {
        match stream.peek(&mut head).await {
            Ok(0) => return false,
            Ok(length) if !CALLBACK_REQUEST_LINE.starts_with(&head[..length]) => return false,
            Ok(length) if length == CALLBACK_REQUEST_LINE.len() => return true,
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return false,
            Ok(_) | Err(_) => sleep(CALLBACK_PEEK_INTERVAL).await,
        }
    }
}
