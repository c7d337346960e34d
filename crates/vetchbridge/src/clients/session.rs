//! The life of one client connection in this process: to its end, or until the successor takes it over.

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

/// How long a connection beyond the budget has to show that it brings a callback.
const CALLBACK_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(250);
/// How long such a callback may take, forwarding it to another process included.
const CALLBACK_TIMEOUT: Duration = Duration::from_millis(2500);
/// Interval between checks of a request line that has arrived in part.
const CALLBACK_PEEK_INTERVAL: Duration = Duration::from_millis(5);

/// Why a connection beyond the budget is rejected, for the log.
const NO_EVICTION_POSSIBLE: &str = "no connection can be evicted";

/// A connection that this process begins to serve.
pub(super) struct IncomingConnection {
    pub(super) stream: TcpStream,
    /// Another process has sent a response on it.
    pub(super) is_kept_alive: bool,
}

/// Why serving a connection ended.
enum ServingEnd {
    /// hyper has finished, because of the client or after the last response.
    Finished(hyper::Result<()>),
    /// An eviction or a time limit closes it.
    ClosedByLimit,
    /// It waits for a request, and the successor takes it over.
    HandedOver,
    /// It is idle, and the process is draining.
    Drained,
}

impl ClientServer {
    /// Serves a connection to its end in this process.
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
        let service = service_fn(|request| self.respond(request, connection, router.clone()));
        let io = TokioIo::new(RequestStream::new(RetryingStream::new(stream), connection.clone()));
        let mut serving = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service);
        let end = tokio::select! {
            // What has been read comes first: an evicted connection may have received a request.
            biased;
            result = Pin::new(&mut serving) => ServingEnd::Finished(result),
            () = connection.wait_for_forced_close() => ServingEnd::ClosedByLimit,
            () = self.wait_for_handover(connection) => ServingEnd::HandedOver,
            () = self.wait_for_drain(connection) => ServingEnd::Drained,
        };
        match end {
            ServingEnd::Finished(Ok(())) => {}
            ServingEnd::Finished(Err(error)) => debug!(%error, "connection.failed"),
            ServingEnd::ClosedByLimit => {
                debug!(reason = %connection.close_reason(), "connection.closed");
                check_not_awaiting_response(connection);
            }
            ServingEnd::HandedOver => {
                let socket = serving.into_parts().io.into_inner().into_socket();
                return self.hand_over(socket, connection.is_kept_alive());
            }
            ServingEnd::Drained => {
                debug!("connection.drained");
                check_not_awaiting_response(connection);
            }
        }
        lingering_close(serving.into_parts().io.into_inner()).await;
    }

    /// Resolves when a successor is there and the connection is between requests.
    async fn wait_for_handover(&self, connection: &ClientConnection) {
        let mut successor = self.process_links.successor();
        loop {
            drop(successor.wait_for(Option::is_some).await);
            connection.wait_until_between_requests().await;
            // The successor may have gone again while a request was in flight.
            if self.process_links.has_successor() {
                return;
            }
        }
    }

    /// Resolves when the process is draining and the connection is idle. One that has had no response may have its
    /// request on the way; that response closes it.
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

    /// Serves a connection for which no other can be evicted: one that brings a callback is served and closes with its
    /// response, any other is closed unread.
    async fn serve_extra_callback(&self, stream: TcpStream, router: Router) {
        let Some(_slot) = self.connections.admit_extra_callback() else {
            return debug!(reason = NO_EVICTION_POSSIBLE, "connection.rejected");
        };
        if !timeout(CALLBACK_ARRIVAL_TIMEOUT, brings_callback(&stream)).await.unwrap_or(false) {
            return debug!(reason = NO_EVICTION_POSSIBLE, "connection.rejected");
        }
        let connection = Arc::new(ClientConnection::new(0, Arc::default()));
        connection.evict();
        let service = service_fn(|request| self.respond(request, &connection, router.clone()));
        let io = TokioIo::new(RequestStream::new(RetryingStream::new(stream), connection.clone()));
        let mut serving = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service);
        let result = timeout(CALLBACK_TIMEOUT, Pin::new(&mut serving)).await;
        // No lingering close: a worker sends nothing before it has read the response, and the slot is needed.
        debug!(?result, "callback.served_beyond_budget");
    }

    /// Passes a connection between two requests to the successor. What the client sends meanwhile stays in the socket.
    fn hand_over(&self, socket: RetryingStream, kept: bool) {
        let (successor, descriptor) = (self.process_links.successor().borrow().clone(), socket.into_std());
        let is_sent = descriptor.map(|stream| {
            successor.is_some_and(|to| {
                to.send(HandoverMessage::ClientConnection { reused: kept }, vec![stream.into()])
            })
        });
        debug!(sent = ?is_sent, "connection.handed_over");
    }
}

fn check_not_awaiting_response(connection: &ClientConnection) {
    if connection.is_awaiting_response() {
        record_violation(Invariant::UnansweredConnectionStaysOpen, None, "closed by this side");
    }
}

/// Whether the input of a connection begins as a callback does; none of it is consumed.
async fn brings_callback(stream: &TcpStream) -> bool {
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
