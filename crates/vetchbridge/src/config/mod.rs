//! The daemon's configuration: the one place where it is read, checked and given defaults.
//!
//! Flags win over the environment, that over the file, that over the defaults. The environment may name the
//! platform's document (`BALANCER_CONFIG`, [`platform`]); ours is TOML ([`file`]). Either becomes a [`Config`], or
//! all of its [`Fault`]s at once. This module must never open a socket or give the decision module an event.

pub mod check;
pub mod file;
mod platform;
mod precedence;
mod translate;
pub mod units;

pub use check::Fault;
pub use precedence::{Effective, Flags};

use crate::discovery::document::{EndpointDocument, EndpointSource};
use crate::snapshot::Snapshot;
use check::{hold, Text};
use file::File;
use precedence::Environment;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Everything that the daemon is told at its start.
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
    /// Where peers' datagrams arrive and where each peer is reached; absent where they may not talk.
    pub peers: Option<Peers>,
    /// The list of workers as this scheduler last had it.
    pub known: EndpointDocument,
    /// The settings, which were checked.
    pub snapshot: Snapshot,
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
    fn one(source: &str, key: &str, what: impl ToString, remedy: &str) -> ConfigError {
        let (source, key) = (source.to_string(), key.to_string());
        let (what, remedy) = (what.to_string(), remedy.to_string());
        ConfigError(vec![Fault { source, at: None, key, what, remedy }])
    }
}

/// A configuration that was read.
pub struct Read {
    /// As the daemon takes it.
    pub config: Config,
    /// As people read it.
    pub effective: Vec<Effective>,
}

fn env(key: &str) -> Option<String> {
    std::env::var(key).ok().filter(|value| !value.is_empty())
}

/// When a configuration is read: a running daemon's environment is as old as its process while the file is new.
#[derive(Clone, Copy, PartialEq, Eq)]
enum When {
    Start,
    Reload,
}

/// Reads what this process was started with.
pub fn load(flags: &Flags) -> Result<Config, ConfigError> {
    combine(flags, When::Start)
}

/// Reads it again in a running daemon: `discovery` and the log's filter are the file's now. What the document in force
/// has, a new one may not lack: a file that was written in part must not be taken for a whole one.
pub fn reload(flags: &Flags, in_force: Option<&Value>) -> Result<Config, ConfigError> {
    let config = combine(flags, When::Reload)?;
    match (in_force, &config.document) {
        (Some(old), Some(new)) => platform::nothing_lacks(old, new).map(|()| config),
        (Some(_), None) => Err(ConfigError::one("configuration", "", "not a JSON object any more", "")),
        (None, _) => Ok(config),
    }
}

fn combine(flags: &Flags, when: When) -> Result<Config, ConfigError> {
    let env = |key: &str| {
        env(key).filter(|_| when == When::Start || !matches!(key, "BALANCER_DISCOVERY" | "RUST_LOG"))
    };
    let ours = flags.config.as_deref().map(|path| Ok((path, text(path)?))).transpose()?;
    let Some(platform) = env("BALANCER_CONFIG") else {
        let Some((path, text)) = ours else {
            let remedy =
                "give --config FILE or set BALANCER_CONFIG; `vetchbridge config default` prints a file";
            return Err(ConfigError::one("vetchbridge", "", "no configuration", remedy));
        };
        return read(&path.to_string_lossy(), &text, flags, &env).map(|read| read.config);
    };
    // The platform's document wins over our file, which is read for the sections that it does not know.
    let path = Path::new(&platform);
    let text = std::fs::read_to_string(path).map_err(|error| {
        ConfigError::one("configuration", "BALANCER_CONFIG", format!("{platform}: {error}"), "")
    })?;
    let mut config = read(&platform, &text, flags, &env)?.config;
    if let Some((path, text)) = ours {
        let source = path.to_string_lossy();
        let file = check_shape(&source, &text)?;
        config.log = precedence::log(&file, flags, &env);
    }
    Ok(config)
}

fn text(path: &Path) -> Result<String, ConfigError> {
    let source = path.to_string_lossy();
    std::fs::read_to_string(path).map_err(|error| ConfigError::one(&source, "", error, ""))
}

/// Reads a file of either format on its own, as `check` does; the environment does not count.
pub fn read_file(path: &Path) -> Result<Read, ConfigError> {
    read_text(&path.to_string_lossy(), &text(path)?)
}

/// Reads a text of either format in the same way.
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
    hold(source, text, &file::schema()).map_err(ConfigError)
}
