//! The front: the listener and the HTTP of clients and callbacks.
//!
//! Turns HTTP into a [`Job`] and an [`Answer`] into HTTP, rejects what is malformed before the module hears of
//! it, and bounds the memory that bodies take. It must never hold a request back, answer for the module, or
//! pass on a request whose framing or meaning is in doubt.

use crate::clients::connections::{
    ClientConnection, ClientConnections, Elsewhere, Place, Watched, HEAD_LIMIT,
};
use crate::engine::Engine;
use crate::operators::admin;
use crate::operators::life::Life;
use crate::peers::{request_id, Callback, Parcel, UpstreamGroup};
use crate::request::{submit, Answer, Job};
use crate::snapshot::Current;
use crate::upgrade::kin::Kin;
use crate::upgrade::words::Word;
use axum::body::{to_bytes, Body, HttpBody};
use axum::extract::{Extension, Request as HttpRequest, State};
use axum::http::header::{CONNECTION, HOST, RETRY_AFTER};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::Router;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use silverproxy::interface::{ClassId, Effect, Micros, Request};
use std::convert::Infallible;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, Instant};
use tower_service::Service;
use tracing::{debug, warn};

/// The longest body of a request or callback.
const BODY_LIMIT: usize = 64 * 1024;
/// A body that is late is rejected this long before its connection would be ended without a word.
const BODY_MARGIN: Duration = Duration::from_millis(200);
/// Memory for bodies is handed out in pieces of this size.
const PIECE: usize = 1024;
/// Pause after a failed accept; descriptors come back as answers go out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often connections are looked through for those that have used up their time.
const SWEEP: Duration = Duration::from_millis(100);

/// A client connection from another process, and whether it has had an answer there.
type Adopted = (OwnedFd, bool);

/// See the head of this file.
pub struct Front {
    engine: Arc<Engine>,
    upstream: Arc<UpstreamGroup>,
    current: Arc<Current>,
    life: Arc<Life>,
    kin: Arc<Kin>,
    /// Client connections that another process has served so far, and whether they have had an answer.
    adopted: (UnboundedSender<Adopted>, Mutex<Option<UnboundedReceiver<Adopted>>>),
    connections: ClientConnections,
    /// Memory for the bodies of jobs, from their arrival to their end, and of callbacks; apart, so that jobs
    /// can't keep callbacks out.
    job_room: Arc<Semaphore>,
    callback_room: Arc<Semaphore>,
}

impl Front {
    /// A front that takes work; `sockets` is the limit on descriptors, `memory` that on bytes.
    pub fn new(
        engine: Arc<Engine>,
        upstream: Arc<UpstreamGroup>,
        current: Arc<Current>,
        sockets: usize,
        memory: usize,
        life: Arc<Life>,
        kin: Arc<Kin>,
    ) -> Arc<Front> {
        let room = || Arc::new(Semaphore::new((memory / 8).clamp(BODY_LIMIT, usize::MAX >> 4) / PIECE));
        let (adopted, adoptions) = unbounded_channel();
        let connections = ClientConnections::new(sockets, admin::callers(sockets), upstream.connections());
        Arc::new(Front {
            engine,
            upstream,
            current,
            life,
            kin,
            adopted: (adopted, Mutex::new(Some(adoptions))),
            connections,
            job_room: room(),
            callback_room: room(),
        })
    }

    /// Whether any call is still owed its answer. One that has not fully arrived is not.
    pub fn owes(&self) -> bool {
        self.connections.owe() || self.engine.requests() > 0
    }

    /// How many client connections there are.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    fn elsewhere(&self) -> Elsewhere {
        Elsewhere { processes: self.kin.processes(), connections: self.kin.connections() }
    }

    /// Goes on with a client connection that another process has served so far.
    pub fn adopt(&self, connection: OwnedFd, kept: bool) {
        // Nobody receives once the listener has gone, with the process.
        let _ = self.adopted.0.send((connection, kept));
    }

    /// Accepts connections until the program ends, but for the time that a successor does.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let router = Router::new()
            .route("/health/ready", get(ready))
            .route("/callback", post(callback))
            .fallback(take)
            .with_state(self.clone());
        let adoptions = self.adopted.1.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(mut adoptions) = adoptions else { return };
        let mut sweep = tokio::time::interval(SWEEP);
        let mut successor = self.kin.successor();
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
        let Some(Place { connection, .. }) = &self.connections.place(self.elsewhere()) else {
            return debug!("connection.refused");
        };
        if kept == Some(true) {
            connection.keep();
        }
        if let Err(error) = stream.set_nodelay(true) {
            debug!(%error, "connection.nodelay");
        }
        let service = service_fn(|request| self.respond(request, connection, router.clone()));
        let io = TokioIo::new(Watched { stream, connection: connection.clone() });
        let mut serving = http1::Builder::new().max_buf_size(HEAD_LIMIT).serve_connection(io, service);
        let mut state = self.life.subscribe();
        let mut successor = self.kin.successor();
        let mut closing = false;
        let served = loop {
            let succeeded = async {
                loop {
                    drop(successor.wait_for(Option::is_some).await);
                    connection.rests().await;
                    // It may have gone again while a request was in flight.
                    if self.kin.has_successor() {
                        return;
                    }
                }
            };
            tokio::select! {
                // First what has been read: a connection chosen to make room may have a request in hand.
                biased;
                served = Pin::new(&mut serving) => break served,
                () = connection.ended() => return debug!("connection.evicted"),
                () = async { drop(state.wait_for(|state| state.closes_idle()).await) }, if !closing => {
                    closing = true;
                    // One that has never been answered may have its request on the way: the answer will close it.
                    if connection.kept() && !self.kin.has_successor() {
                        Pin::new(&mut serving).graceful_shutdown();
                    }
                }
                () = succeeded => {
                    let stream = serving.into_parts().io.into_inner().stream;
                    return self.pass(stream, connection.kept());
                }
            }
        };
        if let Err(error) = served {
            debug!(%error, "connection.broke");
        }
    }

    /// Gives a client connection between two requests to the successor. What the client writes meanwhile stays in the
    /// socket.
    fn pass(&self, stream: TcpStream, kept: bool) {
        let (successor, descriptor) = (self.kin.successor().borrow().clone(), stream.into_std());
        let passed = descriptor
            .map(|stream| successor.is_some_and(|to| to.say(Word::Connection { kept }, vec![stream.into()])));
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
        let stays = self.kin.has_successor() || !self.life.state().hangs_up();
        if !stays || connection.last() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

async fn ready(State(front): State<Arc<Front>>) -> StatusCode {
    // With a successor the scheduler goes on, whatever becomes of this process; operators may have drained it.
    let succeeded = front.kin.has_successor() && !front.life.quiesced();
    if succeeded || front.life.state().ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn callback(
    State(front): State<Arc<Front>>,
    Extension(connection): Extension<Arc<ClientConnection>>,
    request: HttpRequest,
) -> Response {
    let (body, _room) = match read(request.into_body(), &connection, &front.callback_room).await {
        Ok(read) => read,
        Err(refused) => return refused.into_response(),
    };
    match serde_json::from_slice::<Callback>(&body) {
        Ok(callback) => {
            if !front.upstream.called_back(&callback) && !front.kin.forward(&callback, None).await {
                debug!(request = callback.id, peer = callback.from, "callback.late");
            }
            StatusCode::OK.into_response()
        }
        Err(error) => {
            warn!(%error, "callback.unreadable");
            (StatusCode::BAD_REQUEST, "unreadable callback\n").into_response()
        }
    }
}

async fn take(
    State(front): State<Arc<Front>>,
    Extension(connection): Extension<Arc<ClientConnection>>,
    request: HttpRequest,
) -> Response {
    if request.method() != Method::POST {
        return (StatusCode::METHOD_NOT_ALLOWED, "jobs arrive by POST\n").into_response();
    }
    let (parts, body) = request.into_parts();
    let (body, room) = match read(body, &connection, &front.job_room).await {
        Ok(read) => read,
        Err(refused) => return refused.into_response(),
    };
    if !front.life.state().takes() {
        return (StatusCode::SERVICE_UNAVAILABLE, "ending\n").into_response();
    }
    let job = match front.job(&parts, body, room) {
        Ok(job) => job,
        Err(reason) => return (StatusCode::BAD_REQUEST, format!("{reason}\n")).into_response(),
    };
    // Dropped by hyper when the client closes its connection, and the receiver with it.
    let answer = submit(front.engine.clone(), front.upstream.clone(), front.kin.clone(), job).await;
    render(answer.unwrap_or(Answer::Failed))
}

type Refused = (StatusCode, [(hyper::header::HeaderName, &'static str); 1], &'static str);

/// Reads a body whole; from then on its answer is owed. What can't be read ends its connection.
async fn read(
    body: Body,
    connection: &ClientConnection,
    room: &Arc<Semaphore>,
) -> Result<(Bytes, OwnedSemaphorePermit), Refused> {
    let refused = |status, reason| Err((status, [(CONNECTION, "close")], reason));
    let expected = body.size_hint();
    if expected.lower() > BODY_LIMIT as u64 {
        return refused(StatusCode::PAYLOAD_TOO_LARGE, "a body holds no more than 64 KiB\n");
    }
    let pieces = expected.exact().map_or(BODY_LIMIT, |bytes| bytes as usize).div_ceil(PIECE);
    let Ok(room) = room.clone().try_acquire_many_owned(pieces as u32) else {
        return refused(StatusCode::SERVICE_UNAVAILABLE, "no memory for the body\n");
    };
    match tokio::time::timeout_at(connection.due() - BODY_MARGIN, to_bytes(body, BODY_LIMIT)).await {
        Ok(Ok(body)) => {
            connection.owe();
            Ok((body, room))
        }
        Ok(Err(_)) => refused(StatusCode::PAYLOAD_TOO_LARGE, "a body holds no more than 64 KiB\n"),
        Err(_) => refused(StatusCode::REQUEST_TIMEOUT, "the body did not arrive\n"),
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
    fn job(&self, parts: &Parts, body: Bytes, room: OwnedSemaphorePermit) -> Result<Job, String> {
        let text = |name| only(&parts.headers, name);
        let id_text = text("x-trace-id")?.ok_or("x-trace-id: missing")?;
        let id = request_id(id_text).ok_or("x-trace-id: not 16 hex digits")?;
        text(HOST.as_str())?;
        let target = parts.uri.path_and_query().filter(|target| {
            target.as_str().starts_with('/') && target.as_str().bytes().all(|byte| byte.is_ascii_graphic())
        });
        let target = target.ok_or("not a path of plain characters")?;
        let path = target.path().trim_start_matches('/');
        let (class_name, rest) = path.split_once('/').unwrap_or((path, ""));
        if text("x-qos")?.is_some_and(|name| name != class_name) {
            return Err("x-qos: not the class in the path".to_string());
        }
        let settings = self.current.get();
        let (number, class) = settings.class(class_name).ok_or_else(|| format!("no class {class_name:?}"))?;
        let idempotency_key = text("idempotency-key")?.map(str::to_string);
        if idempotency_key.is_none() && matches!(class.effect, Effect::Keyed { .. }) {
            return Err("idempotency-key: missing, its class needs one".to_string());
        }
        let key = rest.rsplit('/').next().filter(|key| !key.is_empty());
        let wait = match text("x-expires-in")? {
            Some(value) => parse_span(value).ok_or("x-expires-in: not a number with unit m or u")?,
            None => class.deadline,
        };
        let hint = match text("x-size-hint")? {
            Some(value) => Some(parse_number(value).ok_or("x-size-hint: unreadable")?),
            None => None,
        };
        // A tenant is for worth alone: one that is in doubt costs the job its tenant's share, never its answer.
        let mut customers = parts.headers.get_all("x-customer").iter();
        let customer = customers.next().filter(|_| customers.next().is_none()).map(HeaderValue::as_bytes);
        let props = text("x-props")?.unwrap_or("");
        let named = |name: &str| matches!(name.trim(), "slots" | "width");
        let mut slots = props.split(',').filter_map(|prop| prop.split_once('=')).filter(|prop| named(prop.0));
        let slots = slots.find_map(|(_, value)| parse_number(value.trim()).filter(|slots| *slots > 0.0));
        let request = Request {
            id,
            class: ClassId(number),
            tenant: settings.tenant(customer),
            key: key.map(str::to_string),
            // No client of a class waits longer than this, whatever it says.
            due: self.engine.clock.now().saturating_add(wait.min(class.deadline)),
            expected_work: hint.map(|hint| hint as Micros),
            slots: slots.unwrap_or(1.0),
            retry: text("x-second-try")? == Some("1"),
        };
        let parcel = Parcel { id: id_text.to_string(), target: target.clone(), idempotency_key, body };
        Ok(Job { request, parcel, settings, room: Some(room) })
    }
}

/// A header's only value. Two of them are two clients' words in one request, and neither can be believed.
fn only<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, String> {
    let mut values = headers.get_all(name).iter();
    match (values.next().map(HeaderValue::to_str), values.next()) {
        (None, _) => Ok(None),
        (Some(Ok(value)), None) => Ok(Some(value)),
        (Some(Err(_)), None) => Err(format!("{name}: not plain text")),
        (Some(_), Some(_)) => Err(format!("{name}: given more than once")),
    }
}

/// Reads digits with or without a fraction; signs, exponents and words are none.
fn parse_number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse::<f64>().ok().filter(|number| plain && number.is_finite())
}

/// Reads a span such as `480m` (milliseconds) or `480000u` (microseconds).
fn parse_span(text: &str) -> Option<Micros> {
    let (number, scale) = match text.strip_suffix('m') {
        Some(number) => (number, 1000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    Some((parse_number(number)? * scale) as Micros)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::read_text;
    use silverproxy::policy::Policy;

    /// Two tenants, one class; nothing of it ever touches a socket.
    fn front(accounts: &str) -> Arc<Front> {
        let text = format!(
            r#"{{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
            "settings": {{"me": 0, "balancers": 1, "areas": ["a"], "kinds": ["m"], "zone": 0, "discovery": "ask",
            "accounts": {accounts}, "limits": {{"max_attempts": 2}},
            "services": [{{"name": "safe", "repeat": "safe", "aim": 1000, "deadline": 9000000}}],
            "rules": {{"stop_sending_within": 1, "start_capacity": 0.2, "cold": 1, "tip_multiple": 2.5, "fall": 1}}}}}}"#
        );
        let snapshot = read_text("test", &text).expect("it reads").config.snapshot;
        let policy = Policy::new(snapshot.settings.clone(), 1).expect("sound settings");
        let upstream = Arc::new(UpstreamGroup::new(Duration::ZERO, Duration::ZERO, 1));
        let engine = Engine::new(policy, upstream.clone(), unbounded_channel().0, unbounded_channel().0);
        let (life, kin) = (Arc::new(Life::begin(false)), Arc::new(Kin::default()));
        Front::new(engine, upstream, Arc::new(Current::new(snapshot)), 64, 1 << 20, life, kin)
    }

    fn job(front: &Front, headers: &[(&str, &[u8])]) -> Result<Job, String> {
        let mut request = hyper::Request::post("/safe/k").body(()).expect("a request");
        request.headers_mut().insert("x-trace-id", HeaderValue::from_static("00000000000000ab"));
        for (name, value) in headers {
            let name: hyper::header::HeaderName = name.parse().expect("a name");
            request.headers_mut().append(name, HeaderValue::from_bytes(value).expect("a value"));
        }
        let room = front.job_room.clone().try_acquire_owned().expect("room");
        front.job(&request.into_parts().0, Bytes::new(), room)
    }

    /// Who names no tenant that the settings know is served all the same, and uses up nobody's share.
    #[test]
    fn a_tenant_is_known_by_its_name_and_a_stranger_has_no_share() {
        let named =
            front(r#"[{"name": "acme", "allowance_per_s": 5}, {"name": "caf\u00e9", "allowance_per_s": 3}]"#);
        let tenants = named.current.get().settings.tenants.clone();
        assert_eq!(tenants.iter().map(|t| t.allowance_per_s).collect::<Vec<_>>(), [5.0, 3.0, 0.0]);
        let cases: [(&[&[u8]], u32); 7] = [
            (&[b"acme"], 0),
            (&["caf\u{e9}".as_bytes()], 1),
            (&[b"Acme"], 2),
            (&[b""], 2),
            (&[b"\xff"], 2),
            (&[], 2),
            (&[b"acme", b"caf\xc3\xa9"], 2),
        ];
        for (names, tenant) in cases {
            let headers: Vec<(&str, &[u8])> = names.iter().map(|name| ("x-customer", *name)).collect();
            let request = job(&named, &headers).expect("a job").request;
            assert_eq!(request.tenant.0, tenant, "{names:?}");
        }
        let without = front("[]");
        assert_eq!(job(&without, &[("x-customer", b"acme")]).expect("a job").request.tenant.0, 0);
        assert!(without.current.get().settings.tenants.is_empty());
    }

    #[test]
    fn the_headers_of_a_job_reach_the_module() {
        let front = front("[]");
        let request =
            |name: &str, value: &str| job(&front, &[(name, value.as_bytes())]).map(|job| job.request);
        let hint = |value| request("x-size-hint", value).map(|request| request.expected_work);
        assert_eq!((hint("12000"), hint("12000.7")), (Ok(Some(12_000)), Ok(Some(12_000))));
        assert!(hint("-1").is_err() && hint("nan").is_err());
        assert_eq!(request("host", "x").map(|request| request.expected_work), Ok(None));
        for (value, retry) in [("1", true), ("0", false)] {
            assert_eq!(request("x-second-try", value).map(|request| request.retry), Ok(retry));
        }
        for (value, slots) in [
            ("slots=2", 2.0),
            ("memory=3, slots = 0.5", 0.5),
            ("width=4", 4.0),
            ("slots=nan,slots=3", 3.0),
            ("slots=0", 1.0),
            ("slots=-2", 1.0),
            ("slots=inf", 1.0),
            ("slots,=,", 1.0),
            ("", 1.0),
        ] {
            assert_eq!(request("x-props", value).map(|request| request.slots), Ok(slots), "{value}");
        }
        for (value, wait) in [("480m", 480_000), ("1.5m", 1500), ("480000u", 480_000), ("99999m", 9_000_000)]
        {
            let before = front.engine.clock.now();
            let due = request("x-expires-in", value).expect("a job").due;
            assert!((before + wait..=front.engine.clock.now() + wait).contains(&due), "{value}");
        }
        assert!(request("x-expires-in", "480").is_err() && request("x-expires-in", "480s").is_err());
    }
}
