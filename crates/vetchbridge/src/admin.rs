//! The operators' door: a listener of its own, one line to a connection, one line back.
//!
//! Owns that listener, its callers and the words of both lines. Callers are few, each has so much time and so many
//! bytes, and when all places are taken one that has said nothing makes room. It must never do more than ask the
//! lifecycle, and never let a caller hold another up.

use crate::lifecycle::clock::Lifecycle;
use crate::lifecycle::state::Refusal;
use crate::net::RetryingStream;
use crate::upgrade::process_links::ProcessLinks;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tokio::time::timeout;
use tracing::{debug, info, warn};

/// Maximum length of a call in bytes, with its line feed.
pub const LINE_LIMIT: usize = 256;
/// Time limit for reading a call and for writing its answer. Some callers hold a connection for 4 s before they have
/// sent a whole line.
const LINE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long input is read and dropped after the answer; closing with unread input would reset the connection and lose
/// the answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of callers at once.
const MAX_CALLERS: usize = 16;

/// What can be asked.
const CALLS: &str = "health, quiesce or resume";

/// How many callers there may be at once where a process may hold so many descriptors.
pub fn callers(sockets: usize) -> usize {
    (sockets / 16).clamp(2, MAX_CALLERS)
}

/// The answer to one line, without its end.
fn answer(line: &[u8], lifecycle: &Lifecycle, process_links: &ProcessLinks) -> String {
    let Ok(text) = std::str::from_utf8(line) else { return format!("fail not text; say {CALLS}") };
    let mut words = text.split_ascii_whitespace();
    let (call, more) = (words.next(), words.next());
    if let (Some(call @ ("health" | "quiesce" | "resume")), Some(_)) = (call, more) {
        return format!("fail {call} takes no further words");
    }
    if matches!(call, Some("quiesce" | "resume")) && process_links.has_successor() {
        return "fail handed over; ask the successor".to_string();
    }
    let done = match call {
        Some("health") => lifecycle.state().can_serve(),
        Some("quiesce") => {
            lifecycle.quiesce();
            Ok(())
        }
        Some("resume") => lifecycle.resume(),
        Some(_) => return format!("fail unknown call; say {CALLS}"),
        None => return format!("fail empty call; say {CALLS}"),
    };
    match done {
        Ok(()) => format!("ok {}", lifecycle.state().name()),
        Err(Refusal::Starting) => "fail starting, it can't serve yet".to_string(),
        Err(Refusal::Ending) => "fail ending".to_string(),
    }
}

/// Reads a caller's line, up to its end or the caller's.
async fn line(stream: &mut RetryingStream, spoke: &AtomicBool) -> Result<Vec<u8>, &'static str> {
    let (mut line, mut piece) = (Vec::new(), [0; LINE_LIMIT]);
    loop {
        let read = stream.read(&mut piece).await.map_err(|_| "fail the connection broke")?;
        spoke.store(true, Ordering::Relaxed);
        line.extend_from_slice(&piece[..read]);
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return if end < LINE_LIMIT { Ok(line) } else { Err("fail the line is too long") };
        }
        if line.len() >= LINE_LIMIT {
            return Err("fail the line is too long");
        }
        if read == 0 {
            return Ok(line);
        }
    }
}

async fn caller(
    mut stream: RetryingStream,
    lifecycle: Arc<Lifecycle>,
    process_links: Arc<ProcessLinks>,
    spoke: Arc<AtomicBool>,
) {
    let words = match timeout(LINE_TIMEOUT, line(&mut stream, &spoke)).await {
        Ok(Ok(line)) => {
            let words = answer(&line, &lifecycle, &process_links);
            info!(call = %String::from_utf8_lossy(&line).trim_end(), answer = words, "admin.called");
            words
        }
        Ok(Err(words)) => words.to_string(),
        Err(_) => "fail no whole line came in time".to_string(),
    };
    let said = timeout(LINE_TIMEOUT, async {
        stream.write_all(format!("{words}\n").as_bytes()).await?;
        stream.shutdown().await
    });
    if !matches!(said.await, Ok(Ok(()))) {
        return debug!(words, "admin.answer_failed");
    }
    let rest = async { while stream.read(&mut [0; LINE_LIMIT]).await.is_ok_and(|read| read > 0) {} };
    let _ = timeout(LINGER_TIMEOUT, rest).await;
}

/// Answers callers until the program ends, at most so many at once.
pub async fn serve(
    listener: TcpListener,
    lifecycle: Arc<Lifecycle>,
    process_links: Arc<ProcessLinks>,
    most: usize,
) {
    let mut callers: VecDeque<(Arc<AtomicBool>, AbortHandle)> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => RetryingStream::new(stream),
            Err(error) => {
                warn!(%error, "admin.accept_failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        callers.retain(|(_, caller)| !caller.is_finished());
        if callers.len() >= most {
            // The longest silent first, then the longest there.
            let silent = callers.iter().position(|(spoke, _)| !spoke.load(Ordering::Relaxed));
            if let Some((_, displaced)) = callers.remove(silent.unwrap_or(0)) {
                displaced.abort();
                debug!("admin.caller_evicted");
            }
        }
        let spoke = Arc::new(AtomicBool::new(false));
        let task = tokio::spawn(caller(stream, lifecycle.clone(), process_links.clone(), spoke.clone()));
        callers.push_back((spoke, task.abort_handle()));
    }
}
