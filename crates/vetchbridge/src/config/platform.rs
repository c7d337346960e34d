//! The platform's configuration document: JSON, with the same settings object as the simulator uses.
//!
//! This module maps the keys of the platform's document to the daemon's configuration. The platform defines
//! the document's format: keys that only this daemon knows belong in the daemon's own file.

use super::precedence::{self, Environment, Overrides};
use super::{file, Config, ConfigError, EffectiveValue, Fault, Flags, LoadedConfig, Peers};
use crate::discovery::document::{EndpointDocument, EndpointSource};
use crate::snapshot::{NameTables, SettingsSnapshot};
use crate::workers::load_report::{FreeSlotsField, LoadReportSettings};
use crate::workers::name_hash;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;
use vetchbridge_scheduling::Settings;

/// Default of the maximum number of file descriptors that the process may have open.
const DEFAULT_SOCKETS: usize = 1024;
/// Default of the memory that the process may use, in MiB.
const DEFAULT_MEMORY_MB: usize = 192;
/// Default of the time after which workers close an idle connection.
pub const DEFAULT_CONN_IDLE: Duration = Duration::from_secs(60);

/// The key of the saved endpoint list.
const SAVED_LIST: &str = "known";
/// Maximum number of characters that a scheduler's name contributes to the file name of its handover socket.
/// The path of a Unix socket is limited to 107 characters in total.
const MAX_NAME_IN_FILE: usize = 32;

/// Returns the file name of a scheduler's handover socket. Schedulers may share a folder, and their names
/// may begin with the same characters, so a long name is shortened to a prefix and a hash.
fn handover_file_name(scheduler: &str) -> String {
    let file_name_char = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let mut name: String = scheduler.chars().map(file_name_char).collect();
    if name.len() > MAX_NAME_IN_FILE {
        let hash = format!("-{:016x}", name_hash(scheduler));
        name.truncate(MAX_NAME_IN_FILE - hash.len());
        name.push_str(&hash);
    }
    format!("vetchbridge-{name}.handover")
}

/// Reads keys of the platform's configuration document and collects all errors found in the document.
struct Document<'s> {
    source: &'s str,
    faults: Vec<Fault>,
}

impl Document<'_> {
    fn add_fault(&mut self, key: &str, what: impl Into<String>) {
        let (source, key) = (self.source.to_string(), key.to_string());
        self.faults.push(Fault { source, at: None, key, what: what.into(), remedy: String::new() });
    }

    fn optional<T: DeserializeOwned>(&mut self, object: Option<&Value>, key: &str, path: &str) -> Option<T> {
        match object?.get(key)? {
            Value::Null => None,
            value => T::deserialize(value).map_err(|error| self.add_fault(path, error.to_string())).ok(),
        }
    }

    fn required<T: DeserializeOwned>(&mut self, object: &Value, key: &str) -> Option<T> {
        if object.get(key).is_none_or(Value::is_null) {
            self.add_fault(key, "missing");
        }
        self.optional(Some(object), key, key)
    }

    /// Records an error in the document like [`Document::add_fault`], unless an error was already recorded
    /// for the same key, with or without the key's index in a list.
    fn add_fault_once(&mut self, key: &str, what: impl Into<String>) {
        let without_index = |known: &str| {
            let parts = known.split('[').map(|part| part.split_once(']').map_or(part, |(_, rest)| rest));
            parts.collect::<Vec<_>>().join("[]")
        };
        if !self.faults.iter().any(|fault| fault.key == key || without_index(&fault.key) == key) {
            self.add_fault(key, what);
        }
    }

    /// Checks that every class's deadline and the maximum number of attempts are numbers above 0, and records
    /// an error in the document otherwise.
    fn check_positive(&mut self, settings: &Value) {
        let services = settings.get("services").and_then(Value::as_array).into_iter().flatten();
        let deadlines = services.enumerate().map(|(index, service)| {
            (format!("settings.services[{index}].deadline"), service.get("deadline"))
        });
        let attempts = settings.get("limits").map(|limits| limits.get("max_attempts"));
        let attempts = attempts.map(|attempts| ("settings.limits.max_attempts".to_string(), attempts));
        for (key, value) in deadlines.chain(attempts) {
            match value {
                None => self.add_fault(&key, "missing"),
                Some(value) if value.as_f64().is_none_or(|number| number < 1.0) => {
                    self.add_fault(&key, format!("found {value}, expected a number above 0"));
                }
                Some(_) => {}
            }
        }
    }

    /// Returns the names of all entries of a list in the document's settings object.
    fn entry_names(&mut self, settings: &Value, list: &str) -> Vec<String> {
        let entries = settings.get(list).and_then(Value::as_array).into_iter().flatten();
        let names = entries.map(|entry| entry.get("name").and_then(Value::as_str).map(str::to_string));
        names.collect::<Option<_>>().unwrap_or_else(|| {
            self.add_fault(&format!("settings.{list}[].name"), "missing");
            Vec::new()
        })
    }
}

/// The values of the platform document's keys outside its settings object.
struct OwnKeys {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: Option<SocketAddr>,
    sockets: usize,
    memory_mb: usize,
    seed: u64,
    saved_list: EndpointDocument,
    peer_listen: Option<SocketAddr>,
    peer_addresses: Vec<SocketAddr>,
    broadcast_address: Option<SocketAddr>,
}

/// The scheduler's settings from the platform document's settings object, and values from this object that
/// only the daemon uses.
struct SettingsKeys {
    settings: Settings,
    names: NameTables,
    conn_idle: Duration,
    free_slots: FreeSlotsField,
}

impl Document<'_> {
    /// Reads the platform document's keys outside its settings object. Keys with an invalid value get
    /// placeholder values.
    fn own_keys(&mut self, root: &Value) -> OwnKeys {
        let (top, limits) = (Some(root), root.get("limits"));
        let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        OwnKeys {
            sockets: self.optional(limits, "sockets", "limits.sockets").unwrap_or(DEFAULT_SOCKETS),
            memory_mb: self.optional(limits, "memory_mb", "limits.memory_mb").unwrap_or(DEFAULT_MEMORY_MB),
            seed: self.seed(root).unwrap_or_default(),
            name: self.required(root, "name").unwrap_or_default(),
            listen: self.required(root, "listen").unwrap_or(placeholder),
            discovery: self.required(root, "discovery").unwrap_or(placeholder),
            admin: self.optional(top, "admin", "admin"),
            saved_list: self.optional(top, SAVED_LIST, SAVED_LIST).unwrap_or_default(),
            peer_listen: self.optional(top, "peer_listen", "peer_listen"),
            peer_addresses: self.optional(top, "peers", "peers").unwrap_or_default(),
            broadcast_address: self.optional(top, "peers_all", "peers_all"),
        }
    }

    fn seed(&mut self, root: &Value) -> Option<u64> {
        let digits: String = self.required(root, "seed")?;
        u64::from_str_radix(&digits, 16).map_err(|error| self.add_fault("seed", error.to_string())).ok()
    }

    /// Reads the platform document's settings object. Returns `None` if the settings do not parse.
    fn settings(&mut self, json: &Value) -> Option<SettingsKeys> {
        let limits = json.get("limits");
        let conn_idle = self.optional(limits, "conn_idle", "settings.limits.conn_idle");
        let names = NameTables {
            zones: self.optional(Some(json), "areas", "settings.areas").unwrap_or_default(),
            machine_types: self.optional(Some(json), "kinds", "settings.kinds").unwrap_or_default(),
            classes: self.entry_names(json, "services"),
            tenants: self.entry_names(json, "accounts"),
        };
        let description = |field| json.get("specifics")?.get(field)?.as_str();
        let free_slots =
            FreeSlotsField::from_descriptions(description("report_x0"), description("report_x1"));
        self.check_positive(json);
        let settings = vetchbridge_settings::from_value(json)
            .map_err(|fault| self.add_fault_once(&fault.key_under("settings"), fault.problem.to_string()))
            .ok()?;
        if let Err(error) = settings.check() {
            self.add_fault_once(&format!("settings.{}", error.field), error.reason);
        }
        let conn_idle = conn_idle.filter(|idle| *idle > 0).map_or(DEFAULT_CONN_IDLE, Duration::from_micros);
        Some(SettingsKeys { settings, names, conn_idle, free_slots })
    }
}

impl SettingsKeys {
    fn snapshot(self) -> SettingsSnapshot {
        let reports =
            LoadReportSettings { source: self.settings.load_report_source, free_slots: self.free_slots };
        SettingsSnapshot::new(self.settings, self.names, self.conn_idle, reports)
    }
}

impl OwnKeys {
    /// Returns the addresses for messages between schedulers; `None` if the settings do not permit such
    /// messages.
    fn peers(&self, settings: &Settings) -> Option<Peers> {
        let listen = self.peer_listen.filter(|_| settings.limits.may_message_peers)?;
        Some(Peers {
            listen,
            addresses: self.peer_addresses.clone(),
            broadcast_address: self.broadcast_address,
        })
    }
}

/// Returns the platform's document with null in place of its saved endpoint list, which may be long.
fn without_saved_list(mut root: Map<String, Value>) -> Value {
    if let Some(saved_list) = root.get_mut(SAVED_LIST) {
        *saved_list = Value::Null;
    }
    Value::Object(root)
}

/// Parses the text of the platform's configuration document as a JSON object.
fn parse(source: &str, text: &str) -> Result<Map<String, Value>, ConfigError> {
    serde_json::from_str(text).map_err(|error| {
        let at = Some((error.line(), error.column())).filter(|(line, _)| *line > 0);
        let (source, key) = (source.to_string(), String::new());
        let what = format!("not a JSON object: {error}");
        ConfigError(vec![Fault { source, at, key, what, remedy: String::new() }])
    })
}

/// Overrides keys of the platform's document with the values of command line flags and environment variables.
fn apply(root: &mut Map<String, Value>, flags: &Flags, env: &Environment<'_>) -> Overrides {
    let mut overrides = Overrides::default();
    for (variable, key, flag) in [
        ("BALANCER_NAME", "name", flags.name.clone()),
        ("BALANCER_LISTEN", "listen", flags.listen.map(|address| address.to_string())),
        ("BALANCER_ADMIN", "admin", None),
        ("BALANCER_DISCOVERY", "discovery", flags.discovery.map(|address| address.to_string())),
    ] {
        let by_flag = flag.is_some();
        if let Some(value) = flag.or_else(|| env(variable)) {
            root.insert(key.to_string(), Value::String(value));
            overrides.record(key, by_flag, variable);
        }
    }
    overrides
}

/// Reads and validates the text of the platform's document. Flags and environment variables override the
/// document's keys that they set.
pub fn read(
    source: &str,
    text: &str,
    flags: &Flags,
    env: &Environment<'_>,
) -> Result<LoadedConfig, ConfigError> {
    let mut root = parse(source, text)?;
    let unchanged = without_saved_list(root.clone());
    let overrides = apply(&mut root, flags, env);
    let root = Value::Object(root);
    let mut document = Document { source, faults: Vec::new() };
    let own = document.own_keys(&root);
    let settings = document.settings(root.get("settings").unwrap_or(&Value::Null));
    let (Some(settings), true) = (settings, document.faults.is_empty()) else {
        return Err(ConfigError(document.faults));
    };
    let mut settings_snapshot = settings.snapshot();
    settings_snapshot.platform_document = Some(unchanged);
    let config = Config {
        // The platform keeps the folder `TMPDIR` from one process of a scheduler to the next.
        handover_path: env("TMPDIR").map(|folder| Path::new(&folder).join(handover_file_name(&own.name))),
        peers: own.peers(&settings_snapshot.settings),
        name: own.name,
        listen: own.listen,
        admin: own.admin,
        endpoint_source: EndpointSource::Service(own.discovery),
        max_sockets: own.sockets,
        max_memory: own.memory_mb.saturating_mul(1 << 20),
        saved_list: own.saved_list,
        seed: own.seed,
        settings_snapshot,
        log: precedence::log(&file::File::default(), flags, env),
    };
    let from = |key: &str| overrides.origin(key).unwrap_or(source).to_string();
    let effective = precedence::leaves(root).into_iter();
    let effective = effective.map(|(key, value)| EffectiveValue { from: from(&key), key, value });
    Ok(LoadedConfig { config, effective: effective.collect() })
}
