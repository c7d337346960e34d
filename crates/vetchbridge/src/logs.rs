//! The log: one line an event on standard error, as text or as JSON, with an event's name as its message.
//!
//! Owns the subscriber, its filter and the writing. A log must never hold the one thread up: a line is written
//! only where it fits at once, and is counted otherwise. It must never be written to but through `tracing`.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use silverproxy::interface::RequestId;
use std::fmt;
use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry};

/// What is logged when nothing else is said.
pub const DEFAULT_FILTER: &str = "info";
/// The longest line. A pipe that polls as writable takes this much without waiting (`PIPE_BUF`, pipe(7)).
const LONGEST: usize = 4096;

/// How lines look.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    clap::ValueEnum,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// A request's id as its client wrote it.
pub struct Id(pub RequestId);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0 .0)
    }
}

/// The log of a running daemon.
#[derive(Clone)]
pub struct Logs {
    filter: Handle<EnvFilter, Registry>,
}

impl Logs {
    /// Sets the process's log up; fails on a filter that can't be read, or when there is a log already.
    pub fn start(format: LogFormat, filter: &str) -> Result<Logs, String> {
        let (filter, handle) = reload::Layer::new(parse(filter)?);
        let writer = Lossy::new(io::stderr(), format);
        let registry = tracing_subscriber::registry().with(filter);
        let started = match format {
            LogFormat::Text => {
                let ansi = io::IsTerminal::is_terminal(&io::stderr());
                let layer = tracing_subscriber::fmt::layer().with_target(false).with_ansi(ansi);
                registry.with(layer.with_writer(writer)).try_init()
            }
            LogFormat::Json => {
                let layer = tracing_subscriber::fmt::layer().json().flatten_event(true).with_target(false);
                registry.with(layer.with_writer(writer)).try_init()
            }
        };
        started.map_err(|error| error.to_string())?;
        Ok(Logs { filter: handle })
    }

    /// Goes on with another filter.
    pub fn refilter(&self, filter: &str) -> Result<(), String> {
        self.filter.reload(parse(filter)?).map_err(|error| error.to_string())
    }
}

/// Reads a filter in the form of `RUST_LOG`.
pub fn parse(filter: &str) -> Result<EnvFilter, String> {
    EnvFilter::builder().parse(filter).map_err(|error| format!("{filter:?} is no filter: {error}"))
}

/// A writer that drops a line rather than wait, and says how many once one fits again.
struct Lossy<W> {
    to: Arc<W>,
    dropped: Arc<AtomicU64>,
    format: LogFormat,
}

impl<W> Lossy<W> {
    fn new(to: W, format: LogFormat) -> Lossy<W> {
        Lossy { to: Arc::new(to), dropped: Arc::default(), format }
    }

    fn notice(&self, dropped: u64) -> String {
        match self.format {
            LogFormat::Text => format!("WARN log.dropped lines={dropped}\n"),
            LogFormat::Json => {
                format!("{{\"level\":\"WARN\",\"message\":\"log.dropped\",\"lines\":{dropped}}}\n")
            }
        }
    }
}

impl<W> Clone for Lossy<W> {
    fn clone(&self) -> Self {
        Lossy { to: self.to.clone(), dropped: self.dropped.clone(), format: self.format }
    }
}

fn fits(fd: BorrowedFd<'_>) -> bool {
    let mut fds = [PollFd::from_borrowed_fd(fd, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    // A reader that has gone is writable too; the write fails at once.
    poll(&mut fds, Some(&at_once)).is_ok_and(|ready| ready > 0)
}

impl<W: AsFd> Write for Lossy<W>
where
    for<'a> &'a W: Write,
{
    /// Takes one whole line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut to = &*self.to;
        if !fits(to.as_fd()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            to.write_all(self.notice(dropped).as_bytes())?;
            if !fits(to.as_fd()) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                return Ok(line.len());
            }
        }
        if line.len() <= LONGEST {
            to.write_all(line)?;
        } else {
            let cut =
                (0..LONGEST - 1).rev().find(|at| std::str::from_utf8(&line[..*at]).is_ok()).unwrap_or(0);
            to.write_all(&[&line[..cut], b"\n"].concat())?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a, W: AsFd + 'static> MakeWriter<'a> for Lossy<W>
where
    for<'b> &'b W: Write,
{
    type Writer = Lossy<W>;

    fn make_writer(&'a self) -> Lossy<W> {
        self.clone()
    }
}

#[cfg(test)]
mod tests;
