//! Reads and validates the daemon's configuration and fills in its defaults.
//!
//! Flags override environment variables, which override the file, which overrides the defaults. The file is
//! either TOML in the daemon's own format ([`mod@file`]) or the platform's JSON document (`platform`), whose
//! path is in the environment variable `BALANCER_CONFIG`. Reading returns a [`Config`] or every [`Fault`] at
//! once. This module opens no sockets and sends the scheduler no events.
//!
//! A TOML file is processed in four steps: [`text`] finds the keys and their positions, [`schema`] validates
//! the file against the JSON Schema, `precedence` applies flags and environment variables, and `translate`
//! converts the result to the settings of the scheduler and the daemon and reports the faults that a schema
//! can't find.

mod fault;
pub mod file;
mod platform;
mod precedence;
pub mod schema;
pub mod text;
mod translate;
pub mod units;

pub use fault::Fault;
pub use precedence::{EffectiveValue, Flags};

use crate::discovery::document::{EndpointDocument, EndpointSource};
use crate::snapshot::SettingsSnapshot;
use file::File;
use precedence::Environment;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use text::Text;

/// The daemon's configuration.
pub struct Config {
    /// Name of this scheduler.
    pub name: String,
    /// Address on which the scheduler accepts clients and the callbacks of workers.
    pub listen: SocketAddr,
    /// Address of the admin interface; `None` if there is none.
    pub admin: Option<SocketAddr>,
    /// Path of the Unix socket at which a successor takes over; `None` if upgrades are off.
    pub handover_path: Option<PathBuf>,
    /// Source of the worker list.
    pub endpoint_source: EndpointSource,
    /// Maximum number of open descriptors.
    pub max_sockets: usize,
    /// Memory that the process may use, in bytes.
    pub max_memory: usize,
    /// Addresses for messages between schedulers; `None` if schedulers may not exchange messages.
    pub peers: Option<Peers>,
    /// Worker list that this scheduler last received.
    pub saved_list: EndpointDocument,
    /// Validated settings.
    pub snapshot: SettingsSnapshot,
    /// Seed of the scheduler's random numbers.
    pub seed: u64,
    /// The platform's document, unchanged; `None` if the configuration is a TOML file.
    pub platform_document: Option<Value>,
    /// Log settings.
    pub log: file::Log,
}

/// Addresses for messages between the schedulers of the tier.
pub struct Peers {
    /// Address on which this scheduler receives datagrams.
    pub listen: SocketAddr,
    /// Address of each scheduler, in the order of their numbers.
    pub addresses: Vec<SocketAddr>,
    /// Address that reaches all schedulers.
    pub broadcast_address: Option<SocketAddr>,
}

/// All faults of an invalid configuration.
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
    fn single(source: &str, key: &str, what: &impl ToString, remedy: &str) -> ConfigError {
        let (source, key) = (source.to_string(), key.to_string());
        let (what, remedy) = (what.to_string(), remedy.to_string());
        ConfigError(vec![Fault { source, at: None, key, what, remedy }])
    }
}

/// A configuration and the origins of its values.
pub struct LoadedConfig {
    /// The configuration in the form that the daemon uses.
    pub config: Config,
    /// Every value in force with its origin, for display.
    pub effective: Vec<EffectiveValue>,
}

fn non_empty_variable(key: &str) -> Option<String> {
    std::env::var(key).ok().filter(|value| !value.is_empty())
}

/// Why a configuration is read. At a reload, a file may be newer than the environment variables, which are as
/// old as the process.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadReason {
    Start,
    Reload,
}

/// Reads the configuration at the start of the process.
///
/// # Errors
///
/// Returns every fault of the file or document, the flags and the environment variables.
pub fn load(flags: &Flags) -> Result<Config, ConfigError> {
    read_sources(flags, ReadReason::Start)
}

/// Reads the configuration again in a running daemon. The environment variables for `discovery` and for the
/// log filter no longer override the file.
///
/// # Errors
///
/// Returns the faults that [`load`] returns, and each key that the document in force has and the new document
/// lacks. A partly written file must not pass for a complete one.
pub fn reload(flags: &Flags, in_force: Option<&Value>) -> Result<Config, ConfigError> {
    let config = read_sources(flags, ReadReason::Reload)?;
    match (in_force, &config.platform_document) {
        (Some(old), Some(new)) => platform::check_no_key_removed(old, new).map(|()| config),
        (Some(_), None) => Err(ConfigError::single(
            "configuration",
            "",
            &"no longer a JSON object",
            "restore the platform's document",
        )),
        (None, _) => Ok(config),
    }
}

fn read_sources(flags: &Flags, reason: ReadReason) -> Result<Config, ConfigError> {
    let env = |key: &str| {
        non_empty_variable(key)
            .filter(|_| reason == ReadReason::Start || !matches!(key, "BALANCER_DISCOVERY" | "RUST_LOG"))
    };
    let own_file = flags.config.as_deref().map(|path| Ok((path, read_to_string(path)?))).transpose()?;
    let Some(platform) = env("BALANCER_CONFIG") else {
        let Some((path, text)) = own_file else {
            let remedy =
                "give --config FILE or set BALANCER_CONFIG; `vetchbridge config default` prints an example";
            return Err(ConfigError::single("vetchbridge", "", &"no configuration", remedy));
        };
        return read(&path.to_string_lossy(), &text, flags, &env).map(|loaded| loaded.config);
    };
    // The platform's document takes precedence over the daemon's own file. Only the log settings, which the
    // document lacks, are read from the file.
    let path = Path::new(&platform);
    let text = std::fs::read_to_string(path).map_err(|error| {
        ConfigError::single("configuration", "BALANCER_CONFIG", &format!("{platform}: {error}"), "")
    })?;
    let mut config = read(&platform, &text, flags, &env)?.config;
    if let Some((path, text)) = own_file {
        let source = path.to_string_lossy();
        let file = parse_file(&source, &text)?;
        config.log = precedence::log(&file, flags, &env);
    }
    Ok(config)
}

fn read_to_string(path: &Path) -> Result<String, ConfigError> {
    let source = path.to_string_lossy();
    std::fs::read_to_string(path).map_err(|error| ConfigError::single(&source, "", &error, ""))
}

/// Reads a file of either format, without flags and environment variables, as `check` does.
///
/// # Errors
///
/// Returns every fault of the file.
pub fn read_file(path: &Path) -> Result<LoadedConfig, ConfigError> {
    read_text(&path.to_string_lossy(), &read_to_string(path)?)
}

/// Reads a text of either format, without flags and environment variables.
///
/// # Errors
///
/// Returns every fault of the text.
pub fn read_text(source: &str, text: &str) -> Result<LoadedConfig, ConfigError> {
    read(source, text, &Flags::default(), &|_| None)
}

fn read(source: &str, text: &str, flags: &Flags, env: &Environment<'_>) -> Result<LoadedConfig, ConfigError> {
    if text.trim_start().starts_with('{') {
        return platform::read(source, text, flags, env);
    }
    let file = parse_file(source, text)?;
    let (parsed, _) = Text::parse(source, text);
    let (file, overrides) = precedence::apply(file, flags, env)?;
    let effective = precedence::effective(&file, &parsed, source, &overrides);
    let config = translate::config(&file, &parsed)?;
    Ok(LoadedConfig { config, effective })
}

/// Parses a file and validates it against the schema. Returns all faults that the schema finds.
fn parse_file(source: &str, text: &str) -> Result<File, ConfigError> {
    schema::parse(source, text, &file::schema()).map_err(ConfigError)
}
