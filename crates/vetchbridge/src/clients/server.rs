//! The front: the listener, and the calls of clients and callbacks that come in on it.
//!
//! Makes a call a [`Job`](crate::request::Job) and an [`Answer`] HTTP; what is malformed is rejected before the module
//! hears of it. It must never hold a request back, answer for the module, or pass on a request whose framing or meaning
//! is in doubt.

use super::body::{BodyError, BodyMemory};
use super::connection::{ClientConnection, Watched};
use super::connections::{ClientConnections, ConnectionSlot, Elsewhere};
use super::framing::MAX_HEAD_BYTES;
use super::protocol::{CALLBACK_PATH, CALLBACK_REQUEST_LINE, READINESS_PATH};
use super::{body, job};
use crate::admin;
use crate::engine::Engine;
use crate::invariants::{record_violation, Invariant};
use crate::lifecycle::clock::Lifecycle;
use crate::net::RetryingStream;
use crate::request::{submit, Answer};
use crate::snapshot::CurrentSettings;
use crate::upgrade::message::HandoverMessage;
use crate::upgrade::process_links::{Forwarded, ProcessLinks};
use crate::workers::{Callback, UpstreamGroup};
use axum::body::Body;
use axum::extract::{Extension, Request as HttpRequest, State};
use axum::http::header::{CONNECTION, RETRY_AFTER};
use axum::http::{HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::io;
use std::os::fd::OwnedFd;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep_until, timeout, Instant};
use tower_service::Service;
use tracing::{debug, warn};

/// Pause after a failed accept; descriptors come back as answers go out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often connections are looked through for those that have used up their time.
const SWEEP: Duration = Duration::from_millis(100);

/// A connection for which there is no place shows within this whether it brings a callback ...
const CALLBACK_ARRIVAL: Duration = Duration::from_millis(250);
/// ... and has this long for it, the question to another process included.
const CALLBACK_WITHIN: Duration = Duration::from_millis(2500);
/// Between two looks at a head that has come in part.
const CALLBACK_LOOK: Duration = Duration::from_millis(5);

/// A client connection from another process, and whether it has had an answer there.
type Adopted = (OwnedFd, bool);

/// See the head of this file.
pub struct ClientServer {
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    current: Arc<CurrentSettings>,
    lifecycle: Arc<Lifecycle>,
    process_links: Arc<ProcessLinks>,
    /// Client connections that another process has served so far, and whether they have had an answer.
    adopted: (UnboundedSender<Adopted>, Mutex<Option<UnboundedReceiver<Adopted>>>),
    connections: ClientConnections,
    /// Memory for the bodies of jobs, from their arrival to their end, and of callbacks; apart, so that jobs
    /// can't keep callbacks out.
    job_memory: BodyMemory,
    callback_memory: BodyMemory,
}

impl ClientServer {
    /// A front that takes work; `sockets` is the limit on descriptors, `memory` that on bytes.
    pub fn new(
        engine: Arc<Engine>,
        upstream: Arc<UpstreamGroup>,
        current: Arc<CurrentSettings>,
        sockets: usize,
        memory: usize,
        lifecycle: Arc<Lifecycle>,
        process_links: Arc<ProcessLinks>,
    ) -> Arc<ClientServer> {
        let (adopted, adoptions) = unbounded_channel();
        let connections =
            ClientConnections::new(sockets, admin::max_connections(sockets), upstream.connections());
        Arc::new(ClientServer {
            engine,
            upstream,
            current,
            lifecycle,
            process_links,
            adopted: (adopted, Mutex::new(Some(adoptions))),
            connections,
            job_memory: BodyMemory::new(memory),
            callback_memory: BodyMemory::new(memory),
        })
    }

    /// Whether any call is still owed its answer. One that has not fully arrived is not.
    pub fn owes(&self) -> bool {
        self.connections.owe() || self.engine.open_request_count() > 0
    }

    /// Whether an answer has been sent whose client may not have taken it in.
    pub fn lingers(&self) -> bool {
        self.connections.linger()
    }

    /// The longest time that a client waits by the settings in force.
    pub fn longest_deadline(&self) -> Duration {
        self.current.get().longest_deadline()
    }

    /// How many client connections there are.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    fn elsewhere(&self) -> Elsewhere {
        Elsewhere { processes: self.process_links.processes(), connections: self.process_links.connections() }
    }

    /// Goes on with a client connection that another process has served so far.
    pub fn adopt(&self, connection: OwnedFd, kept: bool) {
        // Nobody receives once the listener has gone, with the process.
        let _ = self.adopted.0.send((connection, kept));
    }

    /// Accepts connections until the program ends, but for the time that a successor does.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let router = Router::new()
            .route(READINESS_PATH, get(ready))
            .route(CALLBACK_PATH, post(callback))
            .fallback(take)
            .with_state(self.clone());
        let adoptions = self.adopted.1.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(mut adoptions) = adoptions else { return };
        let mut sweep = tokio::time::interval(SWEEP);
        let mut successor = self.process_links.successor();
        loop {
            let alone = successor.borrow_and_update().is_none();
            // Until then a newcomer waits with the kernel: those just before it have not had the time to speak.
            let relief = self.connections.relief(self.elsewhere());
            let (accepted, kept) = tokio::select! {
                () = sleep_until(relief.unwrap_or_else(Instant::now)), if relief.is_some() => continue,
                accepted = listener.accept(), if alone && relief.is_none() => (accepted.map(|(stream, _)| stream), None),
                Some((connection, kept)) = adoptions.recv() => {
                    (TcpStream::from_std(connection.into()), Some(kept))
                }
                _ = sweep.tick() => {
                    self.connections.sweep(self.elsewhere());
                    self.upstream.set_max_connections(self.connections.left_to_workers(self.elsewhere()));
                    continue;
                }
                _ = successor.changed() => continue,
            };
            match accepted {
                Ok(stream) => {
                    tokio::spawn(self.clone().client_connection(stream, kept, router.clone()));
                    // In a burst, each is read before the next one may have to take its place.
                    tokio::task::yield_now().await;
                }
                Err(error) => {
                    warn!(%error, "accept.failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// A client connection's life here: to its end, or until a successor goes on with it. `kept`: another process has
    /// served it so far, and has or has not answered on it.
    async fn client_connection(self: Arc<Self>, stream: TcpStream, kept: Option<bool>, router: Router) {
        let Some(ConnectionSlot { connection, .. }) = &self.connections.place(self.elsewhere()) else {
            return self.callback_connection(stream, router).await;
        };
        if kept == Some(true) {
            connection.keep();
        }
        if let Err(error) = stream.set_nodelay(true) {
            debug!(%error, "connection.nodelay");
        }
        let service = service_fn(|request| self.respond(request, connection, router.clone()));
        let stream = RetryingStream::new(stream);
        let io = TokioIo::new(Watched { stream, connection: connection.clone() });
        let mut serving = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service);
        let mut state = self.lifecycle.subscribe();
        let mut successor = self.process_links.successor();
        let succeeded = async {
            loop {
                drop(successor.wait_for(Option::is_some).await);
                connection.rests().await;
                // It may have gone again while a request was in flight.
                if self.process_links.has_successor() {
                    return;
                }
            }
        };
        // One that has never been answered may have its request on the way: the answer will close it.
        let drained = async {
            loop {
                drop(state.wait_for(|state| state.closes_idle_connections()).await);
                connection.idles().await;
                if self.lifecycle.state().closes_idle_connections() {
                    return;
                }
            }
        };
        tokio::select! {
            // First what has been read: a connection chosen to make room may have a request in hand.
            biased;
            served = Pin::new(&mut serving) => {
                if let Err(error) = served {
                    debug!(%error, "connection.broke");
                }
                return serving.into_parts().io.into_inner().close().await;
            }
            () = connection.ended() => debug!(reason = connection.end_reason(), "connection.evicted"),
            () = succeeded => {
                let stream = serving.into_parts().io.into_inner().stream;
                return self.pass(stream, connection.kept());
            }
            () = drained => debug!("connection.drained"),
        }
        if connection.must_answer() {
            record_violation(Invariant::UnansweredConnectionStaysOpen, None, "closed by this side");
        }
        serving.into_parts().io.into_inner().close().await;
    }

    /// A connection for which nobody can be spared: one that brings a callback is heard, and ends with its answer. Of any
    /// other nothing is read.
    async fn callback_connection(&self, stream: TcpStream, router: Router) {
        let Some(_place) = self.connections.place_for_callback() else {
            return debug!(reason = "nobody can be spared", "connection.refused");
        };
        if !timeout(CALLBACK_ARRIVAL, brings_callback(&stream)).await.unwrap_or(false) {
            return debug!(reason = "nobody can be spared", "connection.refused");
        }
        let connection = Arc::new(ClientConnection::new(0, Arc::default()));
        connection.choose();
        let service = service_fn(|request| self.respond(request, &connection, router.clone()));
        let stream = RetryingStream::new(stream);
        let io = TokioIo::new(Watched { stream, connection: connection.clone() });
        let mut serving = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).serve_connection(io, service);
        let served = timeout(CALLBACK_WITHIN, Pin::new(&mut serving)).await;
        // Not waited for the other side: a worker says nothing more before it has read this, and its place is needed.
        debug!(?served, "callback.without.place");
    }

    /// Gives a client connection between two requests to the successor. What the client writes meanwhile stays in the
    /// socket.
    fn pass(&self, stream: RetryingStream, kept: bool) {
        let (successor, descriptor) = (self.process_links.successor().borrow().clone(), stream.into_std());
        let passed = descriptor.map(|stream| {
            successor.is_some_and(|to| {
                to.send(HandoverMessage::ClientConnection { reused: kept }, vec![stream.into()])
            })
        });
        debug!(?passed, "connection.passed");
    }

    async fn respond(
        &self,
        mut request: hyper::Request<Incoming>,
        connection: &Arc<ClientConnection>,
        mut router: Router,
    ) -> Result<Response, Infallible> {
        let mut response = if connection.ambiguous() {
            (StatusCode::BAD_REQUEST, "content-length beside transfer-encoding\n").into_response()
        } else {
            request.extensions_mut().insert(connection.clone());
            router.call(request.map(Body::new)).await?
        };
        connection.answered();
        let stays = self.process_links.has_successor() || !self.lifecycle.state().closes_after_response();
        if !stays || connection.last() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

/// Whether what comes on a connection begins as a callback does; nothing of it is taken.
async fn brings_callback(stream: &TcpStream) -> bool {
    let mut head = [0; CALLBACK_REQUEST_LINE.len()];
    loop {
        match stream.peek(&mut head).await {
            Ok(0) => return false,
            Ok(seen) if !CALLBACK_REQUEST_LINE.starts_with(&head[..seen]) => return false,
            Ok(seen) if seen == CALLBACK_REQUEST_LINE.len() => return true,
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return false,
            Ok(_) | Err(_) => tokio::time::sleep(CALLBACK_LOOK).await,
        }
    }
}

async fn ready(State(client_server): State<Arc<ClientServer>>) -> StatusCode {
    // With a successor the scheduler goes on, whatever becomes of this process; operators may have drained it.
    let succeeded = client_server.process_links.has_successor() && !client_server.lifecycle.is_quiesced();
    if succeeded || client_server.lifecycle.state().is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn callback(
    State(client_server): State<Arc<ClientServer>>,
    Extension(connection): Extension<Arc<ClientConnection>>,
    request: HttpRequest,
) -> Response {
    let (body, _room) =
        match body::read(request.into_body(), &connection, &client_server.callback_memory).await {
            Ok(read) => read,
            Err(error) => return reject(error),
        };
    match serde_json::from_slice::<Callback>(&body) {
        Ok(callback) => {
            if client_server.upstream.dispatch_callback(&callback) {
                return StatusCode::OK.into_response();
            }
            match client_server.process_links.forward(&callback, None).await {
                Forwarded::Known => StatusCode::OK.into_response(),
                Forwarded::Unknown => {
                    debug!(request = callback.id, worker = callback.worker, "callback.late");
                    StatusCode::OK.into_response()
                }
                Forwarded::Unanswered => {
                    warn!(request = callback.id, worker = callback.worker, "callback.unforwarded");
                    (StatusCode::SERVICE_UNAVAILABLE, "say it again\n").into_response()
                }
            }
        }
        Err(error) => {
            warn!(%error, "callback.unreadable");
            (StatusCode::BAD_REQUEST, "unreadable callback\n").into_response()
        }
    }
}

/// The response to a request whose body was not read.
fn reject(error: BodyError) -> Response {
    debug!(reason = %error, "request.refused");
    error.into_response()
}

async fn take(
    State(client_server): State<Arc<ClientServer>>,
    Extension(connection): Extension<Arc<ClientConnection>>,
    request: HttpRequest,
) -> Response {
    if request.method() != Method::POST {
        return (StatusCode::METHOD_NOT_ALLOWED, "jobs arrive by POST\n").into_response();
    }
    let (parts, body) = request.into_parts();
    let (body, room) = match body::read(body, &connection, &client_server.job_memory).await {
        Ok(read) => read,
        Err(error) => return reject(error),
    };
    if !client_server.lifecycle.state().accepts_requests() {
        debug!(reason = "ending", "request.refused");
        return (StatusCode::SERVICE_UNAVAILABLE, "ending\n").into_response();
    }
    let job =
        match job::read(&parts, body, room, client_server.current.get(), client_server.engine.clock.now()) {
            Ok(job) => job,
            Err(error) => {
                debug!(reason = %error, "request.malformed");
                return (StatusCode::BAD_REQUEST, format!("{error}\n")).into_response();
            }
        };
    // Dropped by hyper when the client closes its connection, and the receiver with it.
    let answer = submit(
        client_server.engine.clone(),
        client_server.upstream.clone(),
        client_server.process_links.clone(),
        job,
    )
    .await;
    render(answer.unwrap_or(Answer::Failed))
}

fn render(answer: Answer) -> Response {
    match answer {
        Answer::Served(result) => (StatusCode::OK, result).into_response(),
        Answer::Rejected { retry_after: 0 } => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Answer::Rejected { retry_after } => {
            let seconds = format!("{:.3}", retry_after as f64 / 1e6);
            (StatusCode::SERVICE_UNAVAILABLE, [(RETRY_AFTER, seconds)]).into_response()
        }
        Answer::Failed => StatusCode::BAD_GATEWAY.into_response(),
        Answer::Duplicate => StatusCode::CONFLICT.into_response(),
    }
}
