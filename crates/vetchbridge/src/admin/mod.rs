//! The admin interface, through which operators control the daemon: a separate listener, on which each
//! connection carries one command line and one response line.
//!
//! This module owns the listener and its connections. It limits the number of connections, the time that each
//! connection stays open and the bytes that are read from each connection. At the maximum number, a
//! connection without input is closed in favor of the next connection. A command only calls the lifecycle,
//! and no connection delays another connection.

mod command;

use crate::lifecycle::clock::Lifecycle;
use crate::net::RetryingStream;
use crate::upgrade::process_links::ProcessLinks;
use command::{failure_response, respond, CommandError};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tracing::{debug, info, warn};

/// Maximum length of an operator's command line in bytes, including the line feed.
pub const LINE_LIMIT: usize = 256;
/// Time limit for reading an operator's command line, and also for writing the response to the command. Some
/// clients of the admin interface take 4 s to send a complete line.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which further input on a connection to the admin interface is read and discarded after the
/// response. Closing the connection with unread input would reset the connection and discard the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before the next accept after accepting a connection to the admin interface has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of concurrent connections to the admin interface, however many file descriptors the process
/// may have.
const MAX_CONNECTIONS: usize = 16;
/// Number of file descriptors of the process for each allowed connection to the admin interface.
const DESCRIPTORS_PER_CONNECTION: usize = 16;

/// Returns the maximum number of concurrent connections to the admin interface of a process that may have
/// this many file descriptors.
pub fn max_connections(descriptors: usize) -> usize {
    (descriptors / DESCRIPTORS_PER_CONNECTION).clamp(2, MAX_CONNECTIONS)
}

/// A connection to the admin interface that may still be open.
struct OpenConnection {
    /// Whether any input has arrived on the connection to the admin interface.
    has_input: Arc<AtomicBool>,
    task: AbortHandle,
}

/// Serves the admin interface until the process ends.
pub async fn serve(
    listener: TcpListener,
    lifecycle: Arc<Lifecycle>,
    process_links: Arc<ProcessLinks>,
    max_connections: usize,
) {
    let mut connections: VecDeque<OpenConnection> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => RetryingStream::new(stream),
            Err(error) => {
                warn!(%error, "admin.accept_failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        connections.retain(|connection| !connection.task.is_finished());
        if connections.len() >= max_connections {
            evict_one(&mut connections);
        }
        let has_input = Arc::new(AtomicBool::new(false));
        let connection =
            serve_connection(stream, lifecycle.clone(), process_links.clone(), has_input.clone());
        let task = tokio::spawn(connection).abort_handle();
        connections.push_back(OpenConnection { has_input, task });
    }
}

/// Closes the connection to the admin interface that was accepted first among the connections without input;
/// if all connections have had input, closes the connection that was accepted first of all.
fn evict_one(connections: &mut VecDeque<OpenConnection>) {
    let without_input =
        connections.iter().position(|connection| !connection.has_input.load(Ordering::Relaxed));
    if let Some(evicted) = connections.remove(without_input.unwrap_or(0)) {
        evicted.task.abort();
        debug!("admin.connection_evicted");
    }
}

async fn serve_connection(
    mut stream: RetryingStream,
    lifecycle: Arc<Lifecycle>,
    process_links: Arc<ProcessLinks>,
    has_input: Arc<AtomicBool>,
) {
    let response = match timeout(LINE_TIMEOUT, read_line(&mut stream, &has_input)).await {
        Ok(Ok(line)) => {
            let response = respond(&line, &lifecycle, &process_links);
            let command = String::from_utf8_lossy(&line);
            info!(command = %command.trim_end(), response, "admin.command_handled");
            response
        }
        Ok(Err(error)) => failure_response(error),
        Err(_) => failure_response(CommandError::TimedOut),
    };
    let written = timeout(LINE_TIMEOUT, async {
        stream.write_all(format!("{response}\n").as_bytes()).await?;
        stream.shutdown().await
    });
    if !matches!(written.await, Ok(Ok(()))) {
        return debug!(response, "admin.response_failed");
    }
    let discard_input = async { while stream.read(&mut [0; LINE_LIMIT]).await.is_ok_and(|read| read > 0) {} };
    let _ = timeout(LINGER_TIMEOUT, discard_input).await;
}

/// Reads an operator's command line, up to its line feed or the end of the input.
async fn read_line(stream: &mut RetryingStream, has_input: &AtomicBool) -> Result<Vec<u8>, CommandError> {
    let mut line = Vec::new();
    let mut buffer = [0; LINE_LIMIT];
    loop {
        let read = stream.read(&mut buffer).await.map_err(|_| CommandError::ConnectionFailed)?;
        has_input.store(true, Ordering::Relaxed);
        line.extend_from_slice(&buffer[..read]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return if end < LINE_LIMIT { Ok(line) } else { Err(CommandError::LineTooLong) };
        }
        if line.len() >= LINE_LIMIT {
            return Err(CommandError::LineTooLong);
        }
        if read == 0 {
            return Ok(line);
        }
    }
}
