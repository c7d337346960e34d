//! Reads and validates the daemon's configuration and fills in its default values.
//!
//! The configuration is either a TOML file in the daemon's own format ([`mod@file`]) or the JSON document of
//! the deployment platform (`platform`), whose path is in the environment variable `BALANCER_CONFIG`. For
//! both formats, command line flags override environment variables, which override the values in the file or
//! document, which override the defaults. If both are given, the JSON document is used, and only the log
//! settings, which the JSON document lacks, are read from the TOML file. Reading returns a [`Config`] or
//! every [`Fault`] at once. This module opens no sockets and sends the decision module (the scheduling crate)
//! no events.
//!
//! A TOML file is processed in four steps: [`text`] finds the keys and their positions, [`schema`] validates
//! the file against the JSON Schema, `precedence` applies flags and environment variables, and `translate`
//! converts the result to the settings of the decision module and the daemon. `translate` also reports the
//! faults that a schema can't find.

mod completeness;
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

/// The daemon's valid configuration.
pub struct Config {
    /// Name of this scheduler.
    pub name: String,
    /// Address on which the scheduler accepts clients and the callbacks of workers.
    pub listen: SocketAddr,
    /// Address of the admin interface; `None` if the daemon has no admin interface.
    pub admin: Option<SocketAddr>,
    /// Path of the Unix socket at which a successor process takes over from this process; `None` if upgrades
    /// are off.
    pub handover_path: Option<PathBuf>,
    /// Source of the worker list: the discovery service or the configuration file.
    pub endpoint_source: EndpointSource,
    /// Maximum number of file descriptors that the process may have open.
    pub max_sockets: usize,
    /// Memory that the process may use, in bytes.
    pub max_memory: usize,
    /// Addresses for messages between schedulers; `None` if this scheduler may not exchange messages.
    pub peers: Option<Peers>,
    /// The worker list that this scheduler last received from the discovery service.
    pub saved_list: EndpointDocument,
    /// The validated settings of the decision module and of the daemon's connections to workers.
    pub settings_snapshot: SettingsSnapshot,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Format and filter of the log.
    pub log: file::Log,
}

/// UDP addresses for messages between the schedulers of the tier.
pub struct Peers {
    /// Address on which this scheduler receives datagrams of the other schedulers.
    pub listen: SocketAddr,
    /// Address of each scheduler of the tier, in the order of the schedulers' numbers.
    pub addresses: Vec<SocketAddr>,
    /// Address for a datagram to all schedulers at once; `None` if there is no such address.
    pub broadcast_address: Option<SocketAddr>,
}

/// All errors (faults) in a configuration that was rejected because of them.
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

/// A valid configuration and the origins of its values.
pub struct LoadedConfig {
    /// The configuration in the form that the daemon uses.
    pub config: Config,
    /// Every configuration value in force with its origin, for the output of the command `check`.
    pub effective: Vec<EffectiveValue>,
}

fn non_empty_variable(key: &str) -> Option<String> {
    std::env::var(key).ok().filter(|value| !value.is_empty())
}

/// Why the configuration is read: the process starts, or a running process reloads its configuration. At a
/// reload, the environment variables `BALANCER_DISCOVERY` (the discovery address) and `RUST_LOG` (the log
/// filter) are ignored, so that a change of these values in the configuration file takes effect: environment
/// variables are as old as the process, and the file may be newer. All other environment variables override
/// the file at a reload as they do at the start.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReadReason {
    Start,
    Reload,
}

/// Reads the configuration when the process starts.
///
/// # Errors
///
/// Returns every error in the configuration file or the platform's document, the flags and the environment
/// variables.
pub fn load(flags: &Flags) -> Result<Config, ConfigError> {
    read_sources(flags, ReadReason::Start)
}

/// Reads the configuration again in a running daemon. The environment variables for the discovery address and
/// for the log filter no longer override the file. `in_force` is the platform's document that the daemon
/// currently uses, if any.
///
/// # Errors
///
/// Returns the faults that [`load`] returns, and a fault for each key that the document in force has and the
/// new document lacks, so that a partly written file does not pass for a complete document.
pub fn reload(flags: &Flags, in_force: Option<&Value>) -> Result<Config, ConfigError> {
    let config = read_sources(flags, ReadReason::Reload)?;
    match (in_force, &config.settings_snapshot.platform_document) {
        (Some(old), Some(new)) => completeness::check(old, new).map(|()| config),
        (Some(_), None) => Err(ConfigError::single(
            "configuration",
            "",
            &"no longer a JSON object",
            "restore the platform's document",
        )),
        (None, _) => Ok(config),
    }
}

/// Holds the configuration of a successor process to the platform's document `in_force` in its predecessor,
/// since both processes are one scheduler. If the successor's document lacks a key, the settings and the
/// discovery service of the document in force replace those of `config`, as if a reload had been rejected.
///
/// # Errors
///
/// Returns a fault for each key that the document in force has and the successor's document lacks.
pub fn hold_to_predecessor(config: &mut Config, flags: &Flags, in_force: &Value) -> Result<(), ConfigError> {
    let Some(new) = &config.settings_snapshot.platform_document else { return Ok(()) };
    let Err(faults) = completeness::check(in_force, new) else { return Ok(()) };
    // The discovery service of a document that names one may have changed since the process started.
    let names_discovery = in_force.get("discovery").is_some();
    let reason = if names_discovery { ReadReason::Reload } else { ReadReason::Start };
    let env = |key: &str| variable(key, reason);
    let inherited = read("predecessor", &in_force.to_string(), flags, &env)?.config;
    config.settings_snapshot = inherited.settings_snapshot;
    config.endpoint_source = inherited.endpoint_source;
    Err(faults)
}

/// Returns the value of an environment variable that counts when the configuration is read for this reason.
fn variable(key: &str, reason: ReadReason) -> Option<String> {
    non_empty_variable(key)
        .filter(|_| reason == ReadReason::Start || !matches!(key, "BALANCER_DISCOVERY" | "RUST_LOG"))
}

fn read_sources(flags: &Flags, reason: ReadReason) -> Result<Config, ConfigError> {
    let env = |key: &str| variable(key, reason);
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
    // platform's document lacks, are read from the daemon's own file.
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

/// Reads a configuration file of either format without flags and environment variables, as the command
/// `check` does.
///
/// # Errors
///
/// Returns every error in the configuration file.
pub fn read_file(path: &Path) -> Result<LoadedConfig, ConfigError> {
    read_text(&path.to_string_lossy(), &read_to_string(path)?)
}

/// Reads a configuration text of either format without flags and environment variables. `source` is the name
/// that error reports give the text.
///
/// # Errors
///
/// Returns every error in the configuration text.
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

/// Parses a TOML configuration file and validates it against the JSON Schema. Returns all errors in the file
/// that the schema finds.
fn parse_file(source: &str, text: &str) -> Result<File, ConfigError> {
    schema::parse(source, text, &file::schema()).map_err(ConfigError)
}
