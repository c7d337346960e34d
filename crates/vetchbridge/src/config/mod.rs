//! The daemon's configuration: the one place where it is read, checked and given defaults.
//!
//! Flags win over the environment, that over the file, that over the defaults. The environment may name the
//! platform's document (`BALANCER_CONFIG`, `platform`); ours is TOML ([`mod@file`]). Either becomes a [`Config`], or
//! all of its [`Fault`]s at once. This module opens no socket and gives the decision module no event.
//!
//! A file goes through [`text`] (keys and their places), [`schema`] (its shape), `precedence` (what wins over it) and
//! `translate` (the decision module's and the daemon's terms, with the faults that no schema can find).

mod fault;
pub mod file;
mod platform;
mod precedence;
pub mod schema;
pub mod text;
mod translate;
pub mod units;

pub use fault::Fault;
pub use precedence::{Effective, Flags};

use crate::discovery::document::{EndpointDocument, EndpointSource};
use crate::snapshot::SettingsSnapshot;
use file::File;
use precedence::Environment;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use text::Text;

/// The configuration of the daemon.
pub struct Config {
    /// The scheduler's own name.
    pub name: String,
    /// Where clients and the workers' callbacks connect.
    pub listen: SocketAddr,
    /// Where operators call; nowhere if absent.
    pub admin: Option<SocketAddr>,
    /// The Unix socket at which a successor takes over; nowhere if absent.
    pub handover: Option<PathBuf>,
    /// Where the list of workers comes from.
    pub source: EndpointSource,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes that it may take.
    pub memory: usize,
    /// Where the peers' datagrams arrive and where each peer is reached; absent where schedulers may not exchange messages.
    pub peers: Option<Peers>,
    /// The list of workers as this scheduler last had it.
    pub known: EndpointDocument,
    /// The settings, which were checked.
    pub snapshot: SettingsSnapshot,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// The platform's document as it stands in its file, where the configuration is one.
    pub document: Option<Value>,
    /// The log.
    pub log: file::Log,
}

/// Addresses of the schedulers of this tier.
pub struct Peers {
    /// Own address for their datagrams.
    pub listen: SocketAddr,
    /// One address for each scheduler, in the order of their numbers.
    pub each: Vec<SocketAddr>,
    /// The address that reaches all of them.
    pub all: Option<SocketAddr>,
}

/// A configuration that cannot be used: everything that is wrong with it.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError(pub Vec<Fault>);

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ConfigError {}

impl ConfigError {
    fn one(source: &str, key: &str, what: &impl ToString, remedy: &str) -> ConfigError {
        let (source, key) = (source.to_string(), key.to_string());
        let (what, remedy) = (what.to_string(), remedy.to_string());
        ConfigError(vec![Fault { source, at: None, key, what, remedy }])
    }
}

/// A configuration that was read.
pub struct Read {
    /// As the daemon uses it.
    pub config: Config,
    /// Every value in force with its origin, for people to read.
    pub effective: Vec<Effective>,
}

fn non_empty_variable(key: &str) -> Option<String> {
    std::env::var(key).ok().filter(|value| !value.is_empty())
}

/// Why a configuration is read: at a reload the environment is as old as the process while the file is new.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadReason {
    Start,
    Reload,
}

/// Reads the configuration that this process was started with.
///
/// # Errors
///
/// Every fault of the file or document, of the flags and of the environment.
pub fn load(flags: &Flags) -> Result<Config, ConfigError> {
    read_sources(flags, ReadReason::Start)
}

/// Reads the configuration again in a running daemon: `discovery` and the log's filter are the file's from now on.
///
/// # Errors
///
/// As [`load`]; and each key that the document in force has and the new one lacks, since a file that was written in part
/// must not pass for a complete one.
pub fn reload(flags: &Flags, in_force: Option<&Value>) -> Result<Config, ConfigError> {
    let config = read_sources(flags, ReadReason::Reload)?;
    match (in_force, &config.document) {
        (Some(old), Some(new)) => platform::check_no_key_removed(old, new).map(|()| config),
        (Some(_), None) => Err(ConfigError::one("configuration", "", &"not a JSON object any more", "")),
        (None, _) => Ok(config),
    }
}

fn read_sources(flags: &Flags, reason: ReadReason) -> Result<Config, ConfigError> {
    let env = |key: &str| {
        non_empty_variable(key)
            .filter(|_| reason == ReadReason::Start || !matches!(key, "BALANCER_DISCOVERY" | "RUST_LOG"))
    };
    let ours = flags.config.as_deref().map(|path| Ok((path, read_to_string(path)?))).transpose()?;
    let Some(platform) = env("BALANCER_CONFIG") else {
        let Some((path, text)) = ours else {
            let remedy =
                "give --config FILE or set BALANCER_CONFIG; `vetchbridge config default` prints a file";
            return Err(ConfigError::one("vetchbridge", "", &"no configuration", remedy));
        };
        return read(&path.to_string_lossy(), &text, flags, &env).map(|read| read.config);
    };
    // The platform's document wins over our file, which is read for the sections that it does not know.
    let path = Path::new(&platform);
    let text = std::fs::read_to_string(path).map_err(|error| {
        ConfigError::one("configuration", "BALANCER_CONFIG", &format!("{platform}: {error}"), "")
    })?;
    let mut config = read(&platform, &text, flags, &env)?.config;
    if let Some((path, text)) = ours {
        let source = path.to_string_lossy();
        let file = check_shape(&source, &text)?;
        config.log = precedence::log(&file, flags, &env);
    }
    Ok(config)
}

fn read_to_string(path: &Path) -> Result<String, ConfigError> {
    let source = path.to_string_lossy();
    std::fs::read_to_string(path).map_err(|error| ConfigError::one(&source, "", &error, ""))
}

/// Reads a file of either format on its own, as `check` does; the environment does not count.
///
/// # Errors
///
/// Every fault of the file.
pub fn read_file(path: &Path) -> Result<Read, ConfigError> {
    read_text(&path.to_string_lossy(), &read_to_string(path)?)
}

/// Reads a text of either format in the same way.
///
/// # Errors
///
/// Every fault of the text.
pub fn read_text(source: &str, text: &str) -> Result<Read, ConfigError> {
    read(source, text, &Flags::default(), &|_| None)
}

fn read(source: &str, text: &str, flags: &Flags, env: &Environment<'_>) -> Result<Read, ConfigError> {
    if text.trim_start().starts_with('{') {
        return platform::read(source, text, flags, env);
    }
    let file = check_shape(source, text)?;
    let (parsed, _) = Text::parse(source, text);
    let (file, overrides) = precedence::apply(file, flags, env)?;
    let effective = precedence::effective(&file, &parsed, source, &overrides);
    let config = translate::config(&file, &parsed)?;
    Ok(Read { config, effective })
}

/// The file as its shape has it; all that its schema finds wrong otherwise.
fn check_shape(source: &str, text: &str) -> Result<File, ConfigError> {
    schema::parse(source, text, &file::schema()).map_err(ConfigError)
}
