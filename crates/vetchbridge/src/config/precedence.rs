//! The precedence of configuration sources, and the origin of each configuration value in force. Command line
//! flags override environment variables, which override the configuration file, which overrides the defaults.

use super::file::{self, File};
use super::text::Text;
use super::units::{Address, Filter, TextFormat, TextFormatError};
use super::ConfigError;
use crate::logs::LogFormat;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Looks up an environment variable. An empty variable counts as absent.
pub(super) type Environment<'e> = dyn Fn(&str) -> Option<String> + 'e;

/// Values from the command line, which override all other sources of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Flags {
    /// Path of the configuration file; `None` if the flag was not given.
    pub config: Option<PathBuf>,
    /// Name of this scheduler.
    pub name: Option<String>,
    /// Address on which the scheduler accepts clients and the callbacks of workers.
    pub listen: Option<SocketAddr>,
    /// Address of the discovery service.
    pub discovery: Option<SocketAddr>,
    /// Format of log lines.
    pub log_format: Option<LogFormat>,
    /// Filter of log events, as in `RUST_LOG`.
    pub log_filter: Option<String>,
}

/// A configuration value in force and its origin.
#[derive(Debug, PartialEq, serde::Serialize)]
pub struct EffectiveValue {
    /// Path of the value's key, such as `tier.me` or `class[0].name`.
    pub key: String,
    /// The value, in the form in which the configuration file has it.
    pub value: Value,
    /// Origin of the value: `default`, `flag`, an environment variable, or a file and line.
    pub from: String,
}

/// A configuration key whose value comes from a flag or an environment variable.
struct Override {
    key: &'static str,
    /// Where the value comes from: `flag`, or the name of the environment variable.
    origin: &'static str,
}

/// The configuration keys whose values come from flags or environment variables.
#[derive(Default)]
pub(super) struct Overrides(Vec<Override>);

impl Overrides {
    /// Records that a flag (if `by_flag`) or an environment variable set the value of a configuration key.
    pub(super) fn record(&mut self, key: &'static str, by_flag: bool, variable: &'static str) {
        let origin = if by_flag { "flag" } else { variable };
        self.0.push(Override { key, origin });
    }

    /// Returns the flag or environment variable that set the value of a configuration key, or `None` if
    /// neither a flag nor an environment variable did.
    pub(super) fn origin(&self, key: &str) -> Option<&'static str> {
        self.0.iter().find(|entry| entry.key == key).map(|entry| entry.origin)
    }
}

/// Overrides the values of a configuration file with those of flags and environment variables.
pub(super) fn apply(
    mut file: File,
    flags: &Flags,
    env: &Environment<'_>,
) -> Result<(File, Overrides), ConfigError> {
    let mut overrides = Overrides::default();
    if let Some(name) = flags.name.clone().or_else(|| env("BALANCER_NAME")) {
        file.name = name;
        overrides.record("name", flags.name.is_some(), "BALANCER_NAME");
    }
    if let Some(listen) = address(flags.listen, "BALANCER_LISTEN", env)? {
        file.listen = listen;
        overrides.record("listen", flags.listen.is_some(), "BALANCER_LISTEN");
    }
    if let Some(admin) = address(None, "BALANCER_ADMIN", env)? {
        file.admin = Some(admin);
        overrides.record("admin", false, "BALANCER_ADMIN");
    }
    if let Some(discovery) = address(flags.discovery, "BALANCER_DISCOVERY", env)? {
        file.discovery = Some(discovery);
        overrides.record("discovery", flags.discovery.is_some(), "BALANCER_DISCOVERY");
    }
    if flags.log_format.is_some() {
        overrides.record("log.format", true, "");
    }
    if flags.log_filter.is_some() || env("RUST_LOG").is_some() {
        overrides.record("log.filter", flags.log_filter.is_some(), "RUST_LOG");
    }
    file.log = log(&file, flags, env);
    Ok((file, overrides))
}

/// Returns the address from a flag or, if the flag was not given, from an environment variable.
fn address(
    flag: Option<SocketAddr>,
    variable: &str,
    env: &Environment<'_>,
) -> Result<Option<Address>, ConfigError> {
    if let Some(address) = flag {
        return Ok(Some(Address(address)));
    }
    let Some(text) = env(variable) else { return Ok(None) };
    let fault =
        |error: TextFormatError| ConfigError::single("environment", variable, &error, Address::REMEDY);
    text.parse().map(Some).map_err(fault)
}

/// Returns the log settings in force: the log settings of the configuration file, overridden by flags and
/// environment variables.
pub(super) fn log(file: &File, flags: &Flags, env: &Environment<'_>) -> file::Log {
    let filter = flags.log_filter.clone().or_else(|| env("RUST_LOG")).map(Filter);
    file::Log {
        format: flags.log_format.unwrap_or(file.log.format),
        filter: filter.unwrap_or_else(|| file.log.filter.clone()),
    }
}

/// Returns every configuration value in force with its origin.
pub(super) fn effective(
    file: &File,
    text: &Text<'_>,
    source: &str,
    overrides: &Overrides,
) -> Vec<EffectiveValue> {
    let from = |key: &str| match (overrides.origin(key), text.locate(key)) {
        (Some(origin), _) => origin.to_string(),
        (None, (true, (line, _))) => format!("{source}:{line}"),
        (None, (false, _)) => "default".to_string(),
    };
    let values = leaves(serde_json::to_value(file).unwrap_or_default());
    values.into_iter().map(|(key, value)| EffectiveValue { from: from(&key), key, value }).collect()
}

/// Returns the values of a configuration document, each with the path of its key. A list that holds no
/// objects is one value.
pub(super) fn leaves(document: Value) -> Vec<(String, Value)> {
    fn walk(path: String, value: Value, found: &mut Vec<(String, Value)>) {
        let join = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Object(map) => map.into_iter().for_each(|(name, value)| walk(join(&name), value, found)),
            Value::Array(list) if list.iter().any(Value::is_object) => {
                list.into_iter()
                    .enumerate()
                    .for_each(|(i, value)| walk(format!("{path}[{i}]"), value, found));
            }
            leaf => found.push((path, leaf)),
        }
    }
    let mut values = Vec::new();
    walk(String::new(), document, &mut values);
    values
}
