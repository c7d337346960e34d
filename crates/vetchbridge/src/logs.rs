//! The log: one line an event on standard error, as text or as JSON, with an event's name as its message.
//!
//! Owns the subscriber and its filter; events reach it through `tracing` alone.

use crate::log_writer::LossyWriter;
use std::fmt;
use std::io;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::reload::{self, Handle};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry};
use vetchbridge_scheduling::interface::RequestId;

/// What is logged when nothing else is said.
pub const DEFAULT_FILTER: &str = "info";

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
        let writer = LossyWriter::new(io::stderr(), format);
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
