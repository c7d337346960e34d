//! The daemon's log: writes one line per event to standard error, as text or as JSON. The message of a line
//! is the event's name.
//!
//! This module owns the log subscriber and its filter; events reach the subscriber only through the crate
//! `tracing`. The module `format` defines the formats of a line, and `writer` writes lines without blocking.

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

/// The log filter that applies if none is configured.
pub const DEFAULT_FILTER: &str = "info";

/// An error from starting the daemon's log or changing the log's filter.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The text of the log filter can't be parsed.
    #[error("found {filter:?}, expected a log filter: {source}")]
    InvalidFilter {
        /// The text of the log filter.
        filter: String,
        /// Why the text can't be parsed.
        source: ParseError,
    },
    /// The process already has a log subscriber.
    #[error(transparent)]
    AlreadyStarted(#[from] TryInitError),
    /// The log filter in force can't be replaced.
    #[error(transparent)]
    Reload(#[from] reload::Error),
}

/// Displays a request's id as 16 hexadecimal digits, the form in which clients send the id.
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
    /// Starts the log of the process with this line format and this log filter.
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

    /// Replaces the log filter that is in force.
    pub fn set_filter(&self, filter: &str) -> Result<(), LogError> {
        self.filter.reload(parse_filter(filter)?)?;
        Ok(())
    }
}

/// Parses a log filter in the form of the environment variable `RUST_LOG`.
pub fn parse_filter(filter: &str) -> Result<EnvFilter, LogError> {
    let parsed = EnvFilter::builder().parse(filter);
    parsed.map_err(|source| LogError::InvalidFilter { filter: filter.to_string(), source })
}
