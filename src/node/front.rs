//! The front: the listener, the client connections, and the HTTP of clients and callbacks.
//!
//! Owns every accepted connection and the count of them. It turns HTTP into a [`Job`] and an [`Answer`] into
//! HTTP, and must never hold a request back, answer for the module, or close a connection that owes an answer.

use super::engine::Engine;
use super::request::{submit, Answer, Job};
use super::upstream::{request_id, Callback, Parcel, UpstreamGroup};
use axum::body::{to_bytes, Body};
use axum::extract::{Request as HttpRequest, State};
use axum::http::header::{CONNECTION, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{middleware, Router};
use bytes::Bytes;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use silverproxy::interface::{Class, ClassId, Micros, Request, TenantId};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The longest body of a request or callback.
const BODY_LIMIT: usize = 64 * 1024;
/// How long a body may take to arrive.
const BODY_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed accept; descriptors come back as answers go out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How far the scheduler is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd)]
pub enum Phase {
    /// Taking work.
    Open,
    /// Told to end: not ready, but whatever arrives is taken; each answer closes its connection.
    Draining,
    /// Idle connections are closed as well.
    Closing,
}

/// See the head of this file.
pub struct Front {
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    class_names: Vec<String>,
    classes: Vec<Class>,
    phase: watch::Sender<Phase>,
    connections: AtomicUsize,
    /// Beyond this many connections each answer closes its own.
    crowded: usize,
    /// Calls being read, served or answered.
    calls: AtomicUsize,
}

/// One of the things that the front counts; given back when dropped.
struct Counted<'a>(&'a AtomicUsize);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicUsize) -> Counted<'a> {
        count.fetch_add(1, Ordering::Relaxed);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Front {
    /// A front that takes work; `sockets` is the limit on descriptors.
    pub fn new(
        engine: Arc<Engine>,
        upstream: Arc<UpstreamGroup>,
        class_names: Vec<String>,
        classes: Vec<Class>,
        sockets: usize,
    ) -> Arc<Front> {
        Arc::new(Front {
            engine,
            upstream,
            class_names,
            classes,
            phase: watch::Sender::new(Phase::Open),
            connections: AtomicUsize::new(0),
            crowded: sockets / 2,
            calls: AtomicUsize::new(0),
        })
    }

    /// Goes on to the next phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Whether any call is still owed its answer.
    pub fn owes(&self) -> bool {
        self.calls.load(Ordering::Relaxed) > 0 || self.engine.requests() > 0
    }

    /// Accepts connections until the program ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let router = Router::new()
            .route("/health/ready", get(ready))
            .route("/callback", post(callback))
            .fallback(take)
            .layer(middleware::map_response_with_state(self.clone(), hang_up))
            .with_state(self.clone());
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(tokio::spawn(self.clone().client_connection(stream, router.clone()))),
                Err(error) => {
                    log::warn!("accept: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn client_connection(self: Arc<Self>, stream: TcpStream, router: Router) {
        let _counted = Counted::new(&self.connections);
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("nodelay: {error}");
        }
        let service = TowerToHyperService::new(router);
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let mut phase = self.phase.subscribe();
        let served = tokio::select! {
            served = connection.as_mut() => served,
            () = async { drop(phase.wait_for(|phase| *phase == Phase::Closing).await) } => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = served {
            log::debug!("client connection: {error}");
        }
    }
}

/// While the scheduler drains or is crowded, each answer is its connection's last.
async fn hang_up(State(front): State<Arc<Front>>, mut response: Response) -> Response {
    if *front.phase.borrow() != Phase::Open || front.connections.load(Ordering::Relaxed) > front.crowded {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn ready(State(front): State<Arc<Front>>) -> StatusCode {
    match *front.phase.borrow() {
        Phase::Open => StatusCode::OK,
        Phase::Draining | Phase::Closing => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn callback(State(front): State<Arc<Front>>, request: HttpRequest) -> Response {
    let _counted = Counted::new(&front.calls);
    let body = match read(request.into_body()).await {
        Ok(body) => body,
        Err(refused) => return refused.into_response(),
    };
    match serde_json::from_slice::<Callback>(&body) {
        Ok(callback) => {
            front.upstream.called_back(callback);
            StatusCode::OK.into_response()
        }
        Err(error) => {
            log::warn!("unreadable callback dropped: {error}");
            (StatusCode::BAD_REQUEST, "unreadable callback\n").into_response()
        }
    }
}

async fn take(State(front): State<Arc<Front>>, request: HttpRequest) -> Response {
    let _counted = Counted::new(&front.calls);
    if request.method() != Method::POST {
        return (StatusCode::METHOD_NOT_ALLOWED, "jobs arrive by POST\n").into_response();
    }
    let (parts, body) = request.into_parts();
    let body = match read(body).await {
        Ok(body) => body,
        Err(refused) => return refused.into_response(),
    };
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let job = match front.job(target, parts.uri.path(), &parts.headers, body) {
        Ok(job) => job,
        Err(reason) => return (StatusCode::BAD_REQUEST, format!("{reason}\n")).into_response(),
    };
    // Dropped by hyper when the client closes its connection, and the receiver with it.
    let answer = submit(front.engine.clone(), front.upstream.clone(), job).await;
    render(answer.unwrap_or(Answer::Failed))
}

async fn read(body: Body) -> Result<Bytes, (StatusCode, &'static str)> {
    match tokio::time::timeout(BODY_WAIT, to_bytes(body, BODY_LIMIT)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(_)) => Err((StatusCode::PAYLOAD_TOO_LARGE, "a body holds no more than 64 KiB\n")),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "the body did not arrive\n")),
    }
}

fn render(answer: Answer) -> Response {
    match answer {
        Answer::Served(result) => (StatusCode::OK, result).into_response(),
        Answer::Reject { retry_after: 0 } => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Answer::Reject { retry_after } => {
            let seconds = format!("{:.3}", retry_after as f64 / 1e6);
            (StatusCode::SERVICE_UNAVAILABLE, [(RETRY_AFTER, seconds)]).into_response()
        }
        Answer::Failed => StatusCode::BAD_GATEWAY.into_response(),
        Answer::Duplicate => StatusCode::CONFLICT.into_response(),
    }
}

impl Front {
    /// Reads a job; its time counts from now, when its last byte is here.
    fn job(&self, target: &str, path: &str, headers: &HeaderMap, body: Bytes) -> Result<Job, String> {
        let text = |name: &str| match headers.get(name).map(HeaderValue::to_str) {
            None => Ok(None),
            Some(Ok(value)) => Ok(Some(value)),
            Some(Err(_)) => Err(format!("{name}: not plain text")),
        };
        let id_text = text("x-trace-id")?.ok_or("x-trace-id: missing")?;
        let id = request_id(id_text).ok_or("x-trace-id: not 16 hex digits")?;
        let path = path.trim_start_matches('/');
        let (first, rest) = path.split_once('/').unwrap_or((path, ""));
        let class_name = text("x-qos")?.unwrap_or(first);
        let class = self.class_names.iter().position(|name| name == class_name);
        let class = class.ok_or_else(|| format!("x-qos: no class {class_name:?}"))?;
        let key = rest.rsplit('/').next().filter(|key| !key.is_empty());
        let wait = match text("x-expires-in")? {
            Some(value) => parse_span(value).ok_or("x-expires-in: not a number with unit m or u")?,
            None => self.classes.get(class).map_or(0, |class| class.deadline),
        };
        let hint = match text("x-size-hint")? {
            Some(value) => {
                Some(value.parse::<f64>().ok().filter(|v| *v >= 0.0).ok_or("x-size-hint: unreadable")?)
            }
            None => None,
        };
        let props = text("x-props")?.unwrap_or("");
        let slots = props.split(',').find_map(|prop| prop.trim().strip_prefix("slots=")?.parse().ok());
        let request = Request {
            id,
            class: ClassId(class as u32),
            tenant: TenantId(0),
            key: key.map(str::to_string),
            due: self.engine.clock.now().saturating_add(wait),
            expected_work: hint.map(|hint| hint as Micros),
            slots: slots.unwrap_or(1.0),
            retry: text("x-second-try")? == Some("1"),
        };
        let parcel = Parcel {
            id: id_text.to_string(),
            target: target.to_string(),
            idempotency_key: text("idempotency-key")?.map(str::to_string),
            body,
        };
        Ok(Job { request, parcel })
    }
}

/// Reads a span such as `480m` (milliseconds) or `480000u` (microseconds).
fn parse_span(text: &str) -> Option<Micros> {
    let (number, scale) = match text.strip_suffix('m') {
        Some(number) => (number, 1000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    let number: f64 = number.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some((number * scale) as Micros)
}
