//! The platform's configuration document: JSON, with the settings object as the simulator has it.
//!
//! The names of its keys are mapped here. The document stays as the platform has it: a key of ours belongs into our own file.

use super::precedence::{self, Environment, Overrides};
use super::{file, Config, ConfigError, Effective, Fault, Flags, Peers, Read};
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

/// Descriptors that the process may hold where nothing says otherwise.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory that it may take where nothing says otherwise, in MiB.
const DEFAULT_MEMORY_MB: usize = 192;
/// After how long workers close an idle connection where nothing says otherwise.
pub const DEFAULT_CONN_IDLE: Duration = Duration::from_secs(60);

/// Characters of a scheduler's name in that of its hand-over file: a Unix socket's path has 107 in all.
const MAX_NAME_IN_FILE: usize = 32;

/// The name of the hand-over socket of a scheduler. Others may share its folder, also some whose names begin alike.
fn handover_file_name(scheduler: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let mut name: String = scheduler.chars().map(plain).collect();
    if name.len() > MAX_NAME_IN_FILE {
        let hash = format!("-{:016x}", name_hash(scheduler));
        name.truncate(MAX_NAME_IN_FILE - hash.len());
        name.push_str(&hash);
    }
    format!("vetchbridge-{name}.handover")
}

/// Reads the document and collects all of its faults.
struct Document<'s> {
    source: &'s str,
    faults: Vec<Fault>,
}

impl Document<'_> {
    fn bad(&mut self, key: &str, what: impl Into<String>) {
        let (source, key) = (self.source.to_string(), key.to_string());
        self.faults.push(Fault { source, at: None, key, what: what.into(), remedy: String::new() });
    }

    fn optional<T: DeserializeOwned>(&mut self, object: Option<&Value>, key: &str, path: &str) -> Option<T> {
        match object?.get(key)? {
            Value::Null => None,
            value => T::deserialize(value).map_err(|error| self.bad(path, error.to_string())).ok(),
        }
    }

    fn required<T: DeserializeOwned>(&mut self, object: &Value, key: &str) -> Option<T> {
        if object.get(key).is_none_or(Value::is_null) {
            self.bad(key, "missing");
        }
        self.optional(Some(object), key, key)
    }

    /// As [`Document::bad`], unless the key, with or without its place in a list, was named already.
    fn bad_once(&mut self, key: &str, what: impl Into<String>) {
        let without_place = |known: &str| {
            let parts = known.split('[').map(|part| part.split_once(']').map_or(part, |(_, rest)| rest));
            parts.collect::<Vec<_>>().join("[]")
        };
        if !self.faults.iter().any(|fault| fault.key == key || without_place(&fault.key) == key) {
            self.bad(key, what);
        }
    }

    /// Every deadline and the number of attempts has to be a number above 0; each that is not becomes a fault.
    fn check_positive(&mut self, settings: &Value) {
        let services = settings.get("services").and_then(Value::as_array).into_iter().flatten();
        let deadlines = services.enumerate().map(|(place, service)| {
            (format!("settings.services[{place}].deadline"), service.get("deadline"))
        });
        let attempts = settings.get("limits").map(|limits| limits.get("max_attempts"));
        let attempts = attempts.map(|attempts| ("settings.limits.max_attempts".to_string(), attempts));
        for (key, value) in deadlines.chain(attempts) {
            match value {
                None => self.bad(&key, "missing"),
                Some(value) if value.as_f64().is_none_or(|number| number < 1.0) => {
                    self.bad(&key, format!("{value} is no number above 0"));
                }
                Some(_) => {}
            }
        }
    }

    /// The name of every entry of a list in the settings.
    fn names_of(&mut self, settings: &Value, list: &str) -> Vec<String> {
        let entries = settings.get(list).and_then(Value::as_array).into_iter().flatten();
        let names = entries.map(|entry| entry.get("name").and_then(Value::as_str).map(str::to_string));
        names.collect::<Option<_>>().unwrap_or_else(|| {
            self.bad(&format!("settings.{list}[].name"), "missing");
            Vec::new()
        })
    }
}

/// The document's keys beside the settings.
struct OwnKeys {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: Option<SocketAddr>,
    sockets: usize,
    memory_mb: usize,
    seed: u64,
    known: EndpointDocument,
    messages: Option<SocketAddr>,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

/// The document's settings and what the daemon alone needs of them.
struct SettingsKeys {
    settings: Settings,
    names: NameTables,
    conn_idle: Duration,
    free_slots: FreeSlotsField,
}

impl Document<'_> {
    /// Reads the keys beside the settings; placeholders stand for those that are at fault.
    fn own_keys(&mut self, root: &Value) -> OwnKeys {
        let (top, limits) = (Some(root), root.get("limits"));
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        OwnKeys {
            sockets: self.optional(limits, "sockets", "limits.sockets").unwrap_or(DEFAULT_SOCKETS),
            memory_mb: self.optional(limits, "memory_mb", "limits.memory_mb").unwrap_or(DEFAULT_MEMORY_MB),
            seed: self.seed(root).unwrap_or_default(),
            name: self.required(root, "name").unwrap_or_default(),
            listen: self.required(root, "listen").unwrap_or(nowhere),
            discovery: self.required(root, "discovery").unwrap_or(nowhere),
            admin: self.optional(top, "admin", "admin"),
            known: self.optional(top, "known", "known").unwrap_or_default(),
            messages: self.optional(top, "peer_listen", "peer_listen"),
            each: self.optional(top, "peers", "peers").unwrap_or_default(),
            all: self.optional(top, "peers_all", "peers_all"),
        }
    }

    fn seed(&mut self, root: &Value) -> Option<u64> {
        let digits: String = self.required(root, "seed")?;
        u64::from_str_radix(&digits, 16).map_err(|error| self.bad("seed", error.to_string())).ok()
    }

    /// Reads the settings; `None` if they can't be read at all.
    fn settings(&mut self, json: &Value) -> Option<SettingsKeys> {
        let limits = json.get("limits");
        let conn_idle = self.optional(limits, "conn_idle", "settings.limits.conn_idle");
        let names = NameTables {
            zones: self.optional(Some(json), "areas", "settings.areas").unwrap_or_default(),
            machine_types: self.optional(Some(json), "kinds", "settings.kinds").unwrap_or_default(),
            classes: self.names_of(json, "services"),
            tenants: self.names_of(json, "accounts"),
        };
        let meaning = |field| json.get("specifics")?.get(field)?.as_str();
        let free_slots = FreeSlotsField::from_descriptions(meaning("report_x0"), meaning("report_x1"));
        self.check_positive(json);
        let settings = vetchbridge_settings::from_value(json)
            .map_err(|fault| self.bad_once(&fault.key_under("settings"), fault.problem.to_string()))
            .ok()?;
        if let Err(error) = settings.check() {
            self.bad_once(&format!("settings.{}", error.field), error.reason);
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
    /// The addresses of the peers, where messages to them are permitted.
    fn peers(&self, settings: &Settings) -> Option<Peers> {
        let listen = self.messages.filter(|_| settings.limits.may_message_peers)?;
        Some(Peers { listen, each: self.each.clone(), all: self.all })
    }
}

/// Parses the document.
fn parse(source: &str, text: &str) -> Result<Map<String, Value>, ConfigError> {
    serde_json::from_str(text).map_err(|error| {
        let at = Some((error.line(), error.column())).filter(|(line, _)| *line > 0);
        let (source, key) = (source.to_string(), String::new());
        let what = format!("not a JSON object: {error}");
        ConfigError(vec![Fault { source, at, key, what, remedy: String::new() }])
    })
}

/// Puts flags and environment over the document.
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

/// Checks the document's text; flags and `env` win over the keys that they name.
pub fn read(source: &str, text: &str, flags: &Flags, env: &Environment<'_>) -> Result<Read, ConfigError> {
    let mut root = parse(source, text)?;
    let as_it_stands = Value::Object(root.clone());
    let overrides = apply(&mut root, flags, env);
    let root = Value::Object(root);
    let mut document = Document { source, faults: Vec::new() };
    let own = document.own_keys(&root);
    let settings = document.settings(root.get("settings").unwrap_or(&Value::Null));
    let (Some(settings), true) = (settings, document.faults.is_empty()) else {
        return Err(ConfigError(document.faults));
    };
    let config = Config {
        // What the platform keeps between two processes of one scheduler is this folder.
        handover: env("TMPDIR").map(|folder| Path::new(&folder).join(handover_file_name(&own.name))),
        peers: own.peers(&settings.settings),
        name: own.name,
        listen: own.listen,
        admin: own.admin,
        source: EndpointSource::Service(own.discovery),
        sockets: own.sockets,
        memory: own.memory_mb.saturating_mul(1 << 20),
        known: own.known,
        seed: own.seed,
        snapshot: settings.snapshot(),
        document: Some(as_it_stands),
        log: precedence::log(&file::File::default(), flags, env),
    };
    let from = |key: &str| overrides.origin(key).unwrap_or(source).to_string();
    let effective = precedence::leaves(root).into_iter();
    let effective = effective.map(|(key, value)| Effective { from: from(&key), key, value });
    Ok(Read { config, effective: effective.collect() })
}

/// Names every key that one document has and the next one lacks. Of lists of objects, what every entry has. The list
/// of workers as last held is free to change.
pub fn check_no_key_removed(old: &Value, new: &Value) -> Result<(), ConfigError> {
    fn entries(value: &Value) -> Option<Vec<&Map<String, Value>>> {
        let list = value.as_array()?.iter().map(Value::as_object).collect::<Option<Vec<_>>>()?;
        (!list.is_empty()).then_some(list)
    }
    fn walk(path: &str, old: &Value, new: &Value, document: &mut Document<'_>) {
        if let (Value::Object(old), Value::Object(new)) = (old, new) {
            for (key, value) in old.iter().filter(|(key, _)| !path.is_empty() || *key != "known") {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match new.get(key) {
                    None => document.bad(&path, "missing; the configuration in force has it"),
                    Some(new) => walk(&path, value, new, document),
                }
            }
        } else if let (Some(old), Some(new)) = (entries(old), entries(new)) {
            let in_all = |key: &String| old.iter().all(|entry| entry.contains_key(key));
            for key in old.iter().take(1).flat_map(|entry| entry.keys()).filter(|key| in_all(key)) {
                for (place, entry) in new.iter().enumerate() {
                    // Only a class whose repeats are dropped says where and for how long.
                    let keyed = entry.get("repeat").is_none_or(|repeat| repeat == "keyed");
                    if !entry.contains_key(key) && (keyed || !matches!(key.as_str(), "group" | "window")) {
                        let what = "missing; every entry of the configuration in force has it";
                        document.bad(&format!("{path}[{place}].{key}"), what);
                    }
                }
            }
        }
    }
    let mut document = Document { source: "configuration", faults: Vec::new() };
    walk("", old, new, &mut document);
    if document.faults.is_empty() {
        return Ok(());
    }
    Err(ConfigError(document.faults))
}
