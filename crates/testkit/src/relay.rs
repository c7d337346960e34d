//! The bare relay that the daemon's cost is held against: the same axum in front and hyper-util's client behind, with
//! no decision, no callbacks and no account. It must never become a scheduler.

use crate::{machine, Failure};
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

const BODY_LIMIT: usize = 64 * 1024;

#[derive(Clone)]
struct Relay {
    client: Client<HttpConnector, Full<Bytes>>,
    to: SocketAddr,
}

/// Passes every request on to one address and its answer back, until the process ends.
pub async fn serve(listen: SocketAddr, to: SocketAddr) -> Result<(), Failure> {
    let mut tcp = HttpConnector::new();
    tcp.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new())
        .pool_idle_timeout(Duration::from_secs(30))
        .pool_timer(TokioTimer::new())
        .build(tcp);
    let router = Router::new().fallback(pass).with_state(Relay { client, to });
    let listener = TcpListener::bind(listen).await.map_err(machine("the relay's address"))?;
    axum::serve(listener, router).await.map_err(machine("the relay"))
}

async fn pass(State(relay): State<Relay>, request: Request) -> Response {
    if request.uri().path() == "/health/ready" {
        return StatusCode::OK.into_response();
    }
    let (mut parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, BODY_LIMIT).collect().await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let Ok(uri) = format!("http://{}{path}", relay.to).parse() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    parts.uri = uri;
    parts.headers.remove("host");
    match relay.client.request(Request::from_parts(parts, Full::new(body.to_bytes()))).await {
        Ok(response) => response.map(Body::new),
        Err(_) => StatusCode::BAD_GATEWAY.into_response(),
    }
}

/// The relay's worker: answers everything at once.
pub async fn answer_at_once(listener: TcpListener) {
    let router = Router::new()
        .fallback(|body: Bytes| async move { (StatusCode::OK, format!("made of {}", body.len())) });
    // Ends with the task that runs it.
    let _ = axum::serve(listener, router).await;
}
