//! The HTTP interface of the stand-in discovery service: schedulers request the endpoint list, or watch the
//! list for changes.

use super::{ResponseMode, Shared};
use crate::wire::{HttpConnection, Message};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Maximum time for which a watch waits for a change of the endpoint list, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Serves one scheduler on its port until the future is dropped.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener, scheduler: usize) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                connections.spawn(serve_connection(shared.clone(), HttpConnection::new(stream), scheduler));
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, mut connection: HttpConnection, scheduler: usize) {
    while let Some(request) = connection.read().await {
        let since = query_number(&request, "index");
        if let Some(since) = since {
            let wait = query_number(&request, "wait").unwrap_or(0).min(MAX_WAIT_MS);
            // A timeout is no error: the watch gets a response whether the endpoint list has changed or not.
            let _ = timeout(Duration::from_millis(wait), wait_for_change(&shared, since)).await;
        }
        let (document, response_mode) = {
            let mut state = shared.state();
            state.calls += 1;
            (state.endpoints.document(scheduler, since).to_string(), state.response_mode)
        };
        let written = match response_mode {
            ResponseMode::Normal => connection.answer(200, "", &document).await,
            ResponseMode::Error => connection.answer(503, "", "").await,
            ResponseMode::Reset => return connection.reset(),
            ResponseMode::Silent => return connection.wait_for_close().await,
            ResponseMode::Truncate => {
                // A failed write needs no handling: the connection closes whether or not the write succeeds.
                let _ = write_half(&mut connection, &document).await;
                return;
            }
        };
        if written.is_err() {
            return;
        }
    }
}

/// Returns the number that the URL query of a request has under `name`.
fn query_number(request: &Message, name: &str) -> Option<u64> {
    let (_, query) = request.target().split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Waits until the endpoint list's version differs from `since` or the service no longer responds normally.
async fn wait_for_change(shared: &Shared, since: u64) {
    let mut changed = shared.changed.subscribe();
    loop {
        changed.borrow_and_update();
        let wait_is_over = {
            let state = shared.state();
            state.endpoints.version() != since || state.response_mode != ResponseMode::Normal
        };
        if wait_is_over || changed.changed().await.is_err() {
            return;
        }
    }
}

/// Writes the head of a response and the first half of its body, `document`.
async fn write_half(connection: &mut HttpConnection, document: &str) -> io::Result<()> {
    let (length, first_half) = (document.len(), &document[..document.len() / 2]);
    connection.write(&format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{first_half}")).await
}
