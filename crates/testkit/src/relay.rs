//! The plain relay that the benchmark compares the daemon with. The relay serves clients by axum, as the
//! daemon does, and calls its worker by hyper-util's client, without scheduling, callbacks or records.

use crate::{io_failure, Failure};
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::Router;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

/// The largest request body that the relay accepts, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// How long an unused connection from the relay to its worker stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The path of the readiness check, to which the relay responds itself.
const READY_PATH: &str = "/health/ready";

/// The state that the relay needs for each request.
#[derive(Clone)]
struct Relay {
    client: Client<HttpConnector, Full<Bytes>>,
    worker: SocketAddr,
}

/// Runs the relay until the process ends: forwards every request to `worker`, and the response back to the
/// client.
pub async fn serve(listen: SocketAddr, worker: SocketAddr) -> Result<(), Failure> {
    let mut tcp = HttpConnector::new();
    tcp.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .build(tcp);
    let router = Router::new().fallback(forward).with_state(Relay { client, worker });
    let listener = TcpListener::bind(listen).await.map_err(io_failure("the relay's listener"))?;
    axum::serve(listener, router).await.map_err(io_failure("the relay"))
}

async fn forward(State(relay): State<Relay>, request: Request) -> Response {
    if request.uri().path() == READY_PATH {
        return StatusCode::OK.into_response();
    }
    let (mut parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, MAX_BODY_BYTES).collect().await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let Ok(uri) = format!("http://{}{path}", relay.worker).parse() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    parts.uri = uri;
    parts.headers.remove("host");
    match relay.client.request(Request::from_parts(parts, Full::new(body.to_bytes()))).await {
        Ok(response) => response.map(Body::new),
        Err(_) => StatusCode::BAD_GATEWAY.into_response(),
    }
}

/// Serves as the relay's worker: responds to every request at once.
pub async fn answer_at_once(listener: TcpListener) {
    let router = Router::new()
        .fallback(|body: Bytes| async move { (StatusCode::OK, format!("made of {}", body.len())) });
    // The server runs until its task is aborted, so its result needs no handling.
    let _ = axum::serve(listener, router).await;
}
