//! The daemon's configuration: the one place where it is read, checked and given defaults.
//!
//! Owns nothing that lives on: it turns the environment and the file at `BALANCER_CONFIG` into a [`Config`],
//! or into one message that names the faulty key. It must never open a socket or give the module an event.

use crate::discovery::{Listing, Names};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use silverproxy::interface::Class;
use silverproxy::policy::Policy;
use std::net::SocketAddr;
use std::time::Duration;

/// Everything that the daemon is told at its start.
pub struct Config {
    /// The scheduler's own name.
    pub name: String,
    /// Where clients and the peers' callbacks connect.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes that it may take.
    pub memory: usize,
    /// Where siblings' datagrams arrive and where each sibling is reached; absent where they may not talk.
    pub siblings: Option<Siblings>,
    /// The list of peers as this scheduler last had it.
    pub known: Listing,
    /// The module, which has checked its settings, and the parts of them that the sockets need.
    pub policy: Policy,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// A connection not made within this time has failed.
    pub dial_timeout: Duration,
    /// What the settings' indices are called on the sockets.
    pub names: Names,
    /// A peer closes a connection that has been idle for this long.
    pub conn_idle: Duration,
}

/// Addresses of the schedulers of this tier.
pub struct Siblings {
    /// Own address for their datagrams.
    pub listen: SocketAddr,
    /// One address for each scheduler, in the order of their numbers.
    pub each: Vec<SocketAddr>,
    /// The address that reaches all of them.
    pub all: Option<SocketAddr>,
}

/// A configuration that cannot be used: the key, and what is wrong with it.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    key: String,
    reason: String,
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.reason)
    }
}

impl std::error::Error for ConfigError {}

fn bad<T>(key: &str, reason: impl ToString) -> Result<T, ConfigError> {
    Err(ConfigError { key: key.to_string(), reason: reason.to_string() })
}

const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;
const DEFAULT_CONN_IDLE: Duration = Duration::from_secs(60);

fn env(key: &str) -> Option<String> {
    std::env::var(key).ok().filter(|value| !value.is_empty())
}

fn text() -> Result<String, ConfigError> {
    let Some(path) = env("BALANCER_CONFIG") else { return bad("BALANCER_CONFIG", "not set") };
    std::fs::read_to_string(&path).or_else(|error| bad("BALANCER_CONFIG", format!("{path}: {error}")))
}

/// Reads the environment and the file that it names.
pub fn load() -> Result<Config, ConfigError> {
    parse(&text()?, env)
}

/// Reads them again in a running daemon. The environment is as old as the process while the file is new, so
/// the file's `discovery` wins here.
pub fn reload() -> Result<Config, ConfigError> {
    parse(&text()?, |key| env(key).filter(|_| key != "BALANCER_DISCOVERY"))
}

/// Checks the file's text; `env` wins over the keys that it names.
fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let mut root: Map<String, Value> = match serde_json::from_str(text) {
        Ok(root) => root,
        Err(error) => return bad("BALANCER_CONFIG", format!("not a JSON object: {error}")),
    };
    for (variable, key) in
        [("BALANCER_NAME", "name"), ("BALANCER_LISTEN", "listen"), ("BALANCER_DISCOVERY", "discovery")]
    {
        if let Some(value) = env(variable) {
            root.insert(key.to_string(), Value::String(value));
        }
    }
    let settings_json = match root.get("settings") {
        Some(value) if value.is_object() => value.clone(),
        Some(_) => return bad("settings", "not an object"),
        None => return bad("settings", "missing"),
    };
    let settings = match silverproxy_settings::from_value(&settings_json) {
        Ok(settings) => settings,
        Err(fault) => return bad(&fault.key_under("settings"), fault.reason),
    };
    let names = Names {
        zones: optional(&settings_json, "areas", "settings.areas")?.unwrap_or_default(),
        kinds: optional(&settings_json, "kinds", "settings.kinds")?.unwrap_or_default(),
        classes: class_names(&settings_json)?,
    };
    let root = Value::Object(root);
    let idle = match settings_json.get("limits") {
        Some(limits) => optional(limits, "conn_idle", "settings.limits.conn_idle")?,
        None => None,
    };
    let limit = |key: &str, path: &str| match root.get("limits") {
        Some(limits) => optional::<usize>(limits, key, path),
        None => Ok(None),
    };
    let sockets = limit("sockets", "limits.sockets")?;
    let memory_mb = limit("memory_mb", "limits.memory_mb")?;
    let seed = match u64::from_str_radix(&required::<String>(&root, "seed")?, 16) {
        Ok(seed) => seed,
        Err(error) => return bad("seed", error),
    };
    let (classes, limits) = (settings.classes.clone(), settings.limits.clone());
    let policy = match Policy::new(settings, seed) {
        Ok(policy) => policy,
        Err(error) => return bad(&format!("settings.{}", error.field), error.reason),
    };
    Ok(Config {
        name: required(&root, "name")?,
        listen: required(&root, "listen")?,
        discovery: required(&root, "discovery")?,
        sockets: sockets.unwrap_or(DEFAULT_SOCKETS),
        memory: memory_mb.unwrap_or(DEFAULT_MEMORY_MB).saturating_mul(1 << 20),
        siblings: match optional(&root, "peer_listen", "peer_listen")? {
            Some(listen) if limits.may_message_peers => Some(Siblings {
                listen,
                each: optional(&root, "peers", "peers")?.unwrap_or_default(),
                all: optional(&root, "peers_all", "peers_all")?,
            }),
            _ => None,
        },
        known: optional(&root, "known", "known")?.unwrap_or_default(),
        policy,
        classes,
        dial_timeout: Duration::from_micros(limits.dial_timeout),
        names,
        conn_idle: idle.filter(|idle| *idle > 0).map_or(DEFAULT_CONN_IDLE, Duration::from_micros),
    })
}

fn optional<T: DeserializeOwned>(object: &Value, key: &str, path: &str) -> Result<Option<T>, ConfigError> {
    match object.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => T::deserialize(value).map(Some).or_else(|error| bad(path, error)),
    }
}

fn required<T: DeserializeOwned>(object: &Value, key: &str) -> Result<T, ConfigError> {
    optional(object, key, key)?.map_or_else(|| bad(key, "missing"), Ok)
}

fn class_names(settings: &Value) -> Result<Vec<String>, ConfigError> {
    let services = settings.get("services").and_then(Value::as_array).into_iter().flatten();
    services
        .map(|service| match service.get("name").and_then(Value::as_str) {
            Some(name) => Ok(name.to_string()),
            None => bad("settings.services[].name", "missing"),
        })
        .collect()
}
