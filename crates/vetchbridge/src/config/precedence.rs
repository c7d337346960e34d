//! Precedence: flags win over the environment, that over the file, that over the defaults; and where each value in
//! force came from.

use super::file::{self, File};
use super::text::Text;
use super::units::{Address, Filter, Unit, UnitError};
use super::ConfigError;
use crate::logs::LogFormat;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Looks a variable of the environment up; an empty one counts as absent.
pub(super) type Environment<'e> = dyn Fn(&str) -> Option<String> + 'e;

/// The command line; it wins over everything else.
#[derive(Clone, Debug, Default)]
pub struct Flags {
    /// The file.
    pub config: Option<PathBuf>,
    /// The scheduler's name.
    pub name: Option<String>,
    /// Where it listens.
    pub listen: Option<SocketAddr>,
    /// Discovery's address.
    pub discovery: Option<SocketAddr>,
    /// The log's form.
    pub log_format: Option<LogFormat>,
    /// The log's filter.
    pub log_filter: Option<String>,
}

/// A value in force, and where it came from.
#[derive(Debug, PartialEq, serde::Serialize)]
pub struct Effective {
    /// The key's path.
    pub key: String,
    /// The value as the file would have it.
    pub value: Value,
    /// `default`, a flag, a variable, or a file with its line.
    pub from: String,
}

/// A key whose value is not the file's.
struct Override {
    key: &'static str,
    /// `flag`, or the name of a variable.
    origin: &'static str,
}

/// Every key whose value is not the file's.
#[derive(Default)]
pub(super) struct Overrides(Vec<Override>);

impl Overrides {
    /// Records that a flag, or else a variable, gave the value of a key.
    pub(super) fn record(&mut self, key: &'static str, by_flag: bool, variable: &'static str) {
        let origin = if by_flag { "flag" } else { variable };
        self.0.push(Override { key, origin });
    }

    /// What gave the value of a key, if not the file.
    pub(super) fn origin(&self, key: &str) -> Option<&'static str> {
        self.0.iter().find(|one| one.key == key).map(|one| one.origin)
    }
}

/// Puts flags and environment over a file.
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

/// An address from a flag, or else from a variable.
fn address(
    flag: Option<SocketAddr>,
    variable: &str,
    env: &Environment<'_>,
) -> Result<Option<Address>, ConfigError> {
    if let Some(address) = flag {
        return Ok(Some(Address(address)));
    }
    let Some(text) = env(variable) else { return Ok(None) };
    let fault = |error: UnitError| ConfigError::one("environment", variable, &error, Address::EXAMPLE);
    text.parse().map(Some).map_err(fault)
}

/// The settings of the log.
pub(super) fn log(file: &File, flags: &Flags, env: &Environment<'_>) -> file::Log {
    let filter = flags.log_filter.clone().or_else(|| env("RUST_LOG")).map(Filter);
    file::Log {
        format: flags.log_format.unwrap_or(file.log.format),
        filter: filter.unwrap_or_else(|| file.log.filter.clone()),
    }
}

/// Every value in force with its origin.
pub(super) fn effective(file: &File, text: &Text<'_>, source: &str, overrides: &Overrides) -> Vec<Effective> {
    let from = |key: &str| match (overrides.origin(key), text.locate(key)) {
        (Some(origin), _) => origin.to_string(),
        (None, (true, (line, _))) => format!("{source}:{line}"),
        (None, (false, _)) => "default".to_string(),
    };
    let all = leaves(serde_json::to_value(file).unwrap_or_default());
    all.into_iter().map(|(key, value)| Effective { from: from(&key), key, value }).collect()
}

/// A document's values by the paths of their keys.
pub(super) fn leaves(document: Value) -> Vec<(String, Value)> {
    fn walk(path: String, value: Value, into: &mut Vec<(String, Value)>) {
        let join = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
        match value {
            Value::Object(map) => map.into_iter().for_each(|(name, value)| walk(join(&name), value, into)),
            Value::Array(list) if list.iter().any(Value::is_object) => {
                list.into_iter().enumerate().for_each(|(i, value)| walk(format!("{path}[{i}]"), value, into));
            }
            leaf => into.push((path, leaf)),
        }
    }
    let mut all = Vec::new();
    walk(String::new(), document, &mut all);
    all
}
