//! The log: one line for each event on standard error, as text or as JSON, with the event's name as its message.
//!
//! Owns the subscriber and its filter; events reach it through `tracing` alone. `format` has the forms of a line and
//! `writer` writes lines without ever blocking.

mod format;
mod writer;

pub use format::LogFormat;

use std::fmt;
use std::io;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{EnvFilter, Registry};
use vetchbridge_scheduling::RequestId;
use writer::LossyWriter;

/// The filter where none is configured.
pub const DEFAULT_FILTER: &str = "info";

/// Why the log can't be started or its filter changed.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The filter can't be parsed.
    #[error("{filter:?} is not a log filter: {source}")]
    InvalidFilter {
        /// The filter.
        filter: String,
        /// What is wrong with it.
        source: ParseError,
    },
    /// The process has a log already.
    #[error(transparent)]
    AlreadyStarted(#[from] TryInitError),
    /// The filter can't be replaced.
    #[error(transparent)]
    Reload(#[from] reload::Error),
}

/// Displays a request's id as its client wrote it.
pub struct HexRequestId(pub RequestId);

impl fmt::Display for HexRequestId {
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
    /// Starts the process's log.
    pub fn start(format: LogFormat, filter: &str) -> Result<Logs, LogError> {
        let (filter, handle) = reload::Layer::new(parse_filter(filter)?);
        let writer = LossyWriter::new(io::stderr(), format.dropped_lines_notice());
        let registry = tracing_subscriber::registry().with(filter);
        match format {
            LogFormat::Text => {
                let ansi = io::IsTerminal::is_terminal(&io::stderr());
                let layer = tracing_subscriber::fmt::layer().with_target(false).with_ansi(ansi);
                registry.with(layer.with_writer(writer)).try_init()?;
            }
            LogFormat::Json => {
                let layer = tracing_subscriber::fmt::layer().json().flatten_event(true).with_target(false);
                registry.with(layer.with_writer(writer)).try_init()?;
            }
        }
        Ok(Logs { filter: handle })
    }

    /// Replaces the filter.
    pub fn set_filter(&self, filter: &str) -> Result<(), LogError> {
        self.filter.reload(parse_filter(filter)?)?;
        Ok(())
    }
}

/// Parses a filter in the form of `RUST_LOG`.
pub fn parse_filter(filter: &str) -> Result<EnvFilter, LogError> {
    let parsed = EnvFilter::builder().parse(filter);
    parsed.map_err(|source| LogError::InvalidFilter { filter: filter.to_string(), source })
}
