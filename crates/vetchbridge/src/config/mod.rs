//! The daemon's configuration: the one place where it is read, checked and given defaults.
//!
//! Flags win over the environment, that over the file, that over the defaults. The environment may name the
//! platform's document (`BALANCER_CONFIG`, [`platform`]); ours is TOML ([`file`]). Either becomes a [`Config`], or
//! all of its [`Fault`]s at once. This module must never open a socket or give the decision module an event.

pub mod check;
pub mod file;
mod platform;
pub mod units;

pub use check::Fault;

use crate::list::listing::{Instance, Lifecycle, Listing, Names, Source};
use crate::logs::LogFormat;
use crate::peers::load::{self, Reports};
use crate::snapshot::Snapshot;
use check::{hold, Text};
use file::{File, Follow, FreeSlots, Group, Load, QueueOrder, Repeat, Weights};
use serde_json::Value;
use silverproxy::interface::{
    self, Class, Discovery, Effect, KindId, RepeatGroup, ReportVia, Settings, Tenant, ZoneId,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Everything that the daemon is told at its start.
pub struct Config {
    /// The scheduler's own name.
    pub name: String,
    /// Where clients and the peers' callbacks connect.
    pub listen: SocketAddr,
    /// Where operators call; nowhere if absent.
    pub admin: Option<SocketAddr>,
    /// The Unix socket at which a successor takes over; nowhere if absent.
    pub handover: Option<PathBuf>,
    /// Where the list of peers comes from.
    pub source: Source,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes that it may take.
    pub memory: usize,
    /// Where siblings' datagrams arrive and where each sibling is reached; absent where they may not talk.
    pub siblings: Option<Siblings>,
    /// The list of peers as this scheduler last had it.
    pub known: Listing,
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
pub struct Siblings {
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

/// What the command line says; it wins over everything else.
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
        config.log = log(&file, flags, &env);
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

fn read(
    source: &str,
    text: &str,
    flags: &Flags,
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<Read, ConfigError> {
    if text.trim_start().starts_with('{') {
        return platform::read(source, text, flags, env);
    }
    let file = check_shape(source, text)?;
    let (parsed, _) = Text::parse(source, text);
    let (file, told) = overlay(file, flags, env)?;
    let effective = effective(&file, &parsed, source, &told);
    let config = Meaning { file: &file, text: &parsed, faults: Vec::new() }.config()?;
    Ok(Read { config, effective })
}

/// The file as its shape has it; all that its schema finds wrong otherwise.
fn check_shape(source: &str, text: &str) -> Result<File, ConfigError> {
    hold(source, text, &file::schema()).map_err(ConfigError)
}

/// What flags and environment said, by key.
type Told = Vec<(&'static str, &'static str)>;

fn overlay(
    mut file: File,
    flags: &Flags,
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<(File, Told), ConfigError> {
    let mut told = Told::new();
    let address = |variable: &'static str| match env(variable) {
        None => Ok(None),
        Some(text) => match text.parse::<units::Address>() {
            Ok(address) => Ok(Some(address)),
            Err(what) => {
                Err(ConfigError::one("environment", variable, what, <units::Address as units::Unit>::EXAMPLE))
            }
        },
    };
    let mut take = |key, flag: bool, variable| told.push((key, if flag { "flag" } else { variable }));
    if let Some(name) = flags.name.clone().or_else(|| env("BALANCER_NAME")) {
        file.name = name;
        take("name", flags.name.is_some(), "BALANCER_NAME");
    }
    if let Some(listen) =
        flags.listen.map(units::Address).map_or_else(|| address("BALANCER_LISTEN"), |a| Ok(Some(a)))?
    {
        file.listen = listen;
        take("listen", flags.listen.is_some(), "BALANCER_LISTEN");
    }
    if let Some(admin) = address("BALANCER_ADMIN")? {
        file.admin = Some(admin);
        take("admin", false, "BALANCER_ADMIN");
    }
    let discovery = flags.discovery.map(units::Address);
    if let Some(discovery) = discovery.map_or_else(|| address("BALANCER_DISCOVERY"), |a| Ok(Some(a)))? {
        file.discovery = Some(discovery);
        take("discovery", flags.discovery.is_some(), "BALANCER_DISCOVERY");
    }
    if flags.log_format.is_some() {
        take("log.format", true, "");
    }
    if flags.log_filter.is_some() || env("RUST_LOG").is_some() {
        take("log.filter", flags.log_filter.is_some(), "RUST_LOG");
    }
    file.log = log(&file, flags, env);
    Ok((file, told))
}

fn log(file: &File, flags: &Flags, env: &dyn Fn(&str) -> Option<String>) -> file::Log {
    let filter = flags.log_filter.clone().or_else(|| env("RUST_LOG")).map(units::Filter);
    file::Log {
        format: flags.log_format.unwrap_or(file.log.format),
        filter: filter.unwrap_or_else(|| file.log.filter.clone()),
    }
}

fn effective(file: &File, text: &Text<'_>, source: &str, told: &Told) -> Vec<Effective> {
    let from = |key: &str| match (told.iter().find(|(told, _)| *told == key), text.locate(key)) {
        (Some((_, by)), _) => by.to_string(),
        (None, (true, (line, _))) => format!("{source}:{line}"),
        (None, (false, _)) => "default".to_string(),
    };
    let all = leaves(serde_json::to_value(file).unwrap_or_default());
    all.into_iter().map(|(key, value)| Effective { from: from(&key), key, value }).collect()
}

/// A document's values by the paths of their keys.
fn leaves(document: Value) -> Vec<(String, Value)> {
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

/// A file that is well-formed, on its way into the module's terms.
struct Meaning<'f> {
    file: &'f File,
    text: &'f Text<'f>,
    faults: Vec<Fault>,
}

impl Meaning<'_> {
    fn bad(&mut self, key: impl AsRef<str>, what: impl Into<String>, remedy: impl Into<String>) {
        self.faults.push(self.text.fault(key.as_ref(), what, remedy));
    }

    /// The place of a name among those that it must be one of.
    fn index(&mut self, key: String, name: Option<&String>, among: &[String], list: &str) -> u32 {
        let Some(name) = name else { return 0 };
        if let Some(index) = among.iter().position(|known| known == name) {
            return index as u32;
        }
        self.bad(key, format!("{name:?} is not in {list}"), format!("one of {}", among.join(", ")));
        0
    }

    fn unique<'n>(&mut self, list: &str, names: impl Iterator<Item = &'n String>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            if name.is_empty() {
                self.bad(format!("{list}[{index}].name"), "empty", "a name");
            }
            if !seen.insert(name) {
                self.bad(
                    format!("{list}[{index}].name"),
                    format!("{name:?} is there already"),
                    "a name of its own",
                );
            }
        }
    }

    fn config(mut self) -> Result<Config, ConfigError> {
        let file = self.file;
        if file.class.is_empty() {
            self.bad("class", "no class of requests", "add a [[class]] with name, repeat, aim and deadline");
        }
        self.unique("class", file.class.iter().map(|class| &class.name));
        self.unique("tenant", file.tenant.iter().map(|tenant| &tenant.name));
        self.unique("peer", file.peer.iter().map(|peer| &peer.name));
        if file.discovery.is_none() && file.peer.is_empty() {
            self.bad(
                "discovery",
                "no discovery and no peer",
                "name a discovery service, or list the peers as [[peer]]",
            );
        }
        if file.tier.me >= file.tier.schedulers {
            self.bad(
                "tier.me",
                "not below tier.schedulers",
                format!("0 to {}", file.tier.schedulers.saturating_sub(1)),
            );
        }
        let zone =
            self.index("tier.zone".to_string(), file.tier.zone.as_ref(), &file.fleet.zones, "fleet.zones");
        if file.tier.messages.is_some()
            && !file.tier.each.is_empty()
            && file.tier.each.len() != file.tier.schedulers as usize
        {
            self.bad(
                "tier.each",
                format!("{} addresses for {} schedulers", file.tier.each.len(), file.tier.schedulers),
                "one for each",
            );
        }
        if file.fleet.load == Load::Probes && !file.attempts.probe {
            self.bad(
                "fleet.load",
                "probes that attempts.probe does not permit",
                "attempts.probe = true, or fleet.load = \"off\"",
            );
        }
        let classes: Vec<Class> = (0..file.class.len()).map(|index| self.class(index)).collect();
        let instances: Vec<Instance> = (0..file.peer.len()).map(|index| self.peer(index)).collect();
        let settings = self.settings(zone, classes);
        if let Err(error) = settings.check() {
            self.bad(ours(error.field), error.reason, "");
        }
        if !self.faults.is_empty() {
            self.faults.sort_by_key(|fault| fault.at);
            return Err(ConfigError(self.faults));
        }
        let reports = Reports {
            via: settings.report_via,
            free_slots: match file.fleet.free_slots {
                FreeSlots::X0 => load::FreeSlots::X0,
                FreeSlots::X1 => load::FreeSlots::X1,
                FreeSlots::Untold => load::FreeSlots::Untold,
            },
        };
        let conn_idle = Some(file.fleet.conn_idle.duration()).filter(|idle| !idle.is_zero());
        let listing = Listing { generation: 0, reset: true, instances };
        let (source, known) = match file.discovery {
            Some(address) => (Source::Service(address.0), listing),
            None => (Source::Fixed(listing), Listing::default()),
        };
        Ok(Config {
            name: file.name.clone(),
            listen: file.listen.0,
            admin: file.admin.map(|address| address.0),
            handover: file.handover.clone(),
            source,
            sockets: file.limits.sockets as usize,
            memory: file.limits.memory.0 as usize,
            siblings: file.tier.messages.filter(|_| file.attempts.messages).map(|listen| Siblings {
                listen: listen.0,
                each: file.tier.each.iter().map(|address| address.0).collect(),
                all: file.tier.all.map(|address| address.0),
            }),
            known,
            seed: file.seed.map_or_else(drawn, |seed| seed.0),
            snapshot: Snapshot::new(
                settings,
                Names {
                    zones: file.fleet.zones.clone(),
                    kinds: file.fleet.kinds.clone(),
                    classes: file.class.iter().map(|class| class.name.clone()).collect(),
                    tenants: file.tenant.iter().map(|tenant| tenant.name.clone()).collect(),
                },
                conn_idle.unwrap_or(platform::CONN_IDLE),
                reports,
            ),
            document: None,
            log: file.log.clone(),
        })
    }

    fn class(&mut self, index: usize) -> Class {
        let class = &self.file.class[index];
        let group = match class.group {
            Group::All => RepeatGroup::All,
            Group::Zone => RepeatGroup::Zone,
            Group::Cell => RepeatGroup::Cell,
        };
        let effect = match (class.repeat, class.window) {
            (Repeat::Safe, _) => Effect::Safe,
            (Repeat::Unsafe, _) => Effect::Unsafe,
            (Repeat::Keyed, Some(window)) => Effect::Keyed { group, window: window.0 },
            (Repeat::Keyed, None) => {
                let remedy = "a keyed class says how long peers drop a repeat, such as window = \"15s\"";
                self.bad(format!("class[{index}].window"), "missing", remedy);
                Effect::Unsafe
            }
        };
        if class.aim > class.deadline {
            self.bad(
                format!("class[{index}].aim"),
                "longer than the deadline",
                format!("at most {}", class.deadline),
            );
        }
        if class.name.contains('/') {
            self.bad(format!("class[{index}].name"), "has a slash", "it is one part of a path");
        }
        let key = format!("class[{index}].kind");
        let kind = self.index(key, class.kind.as_ref(), &self.file.fleet.kinds, "fleet.kinds");
        Class {
            aim: class.aim.0,
            stretch: class.stretch,
            deadline: class.deadline.0,
            worth: class.worth,
            late_share: class.late_share,
            effect,
            kind: class.kind.as_ref().map(|_| KindId(kind)),
            priority: class.priority,
            stream: class.stream,
        }
    }

    fn peer(&mut self, index: usize) -> Instance {
        let (peer, fleet) = (&self.file.peer[index], &self.file.fleet);
        let zone = self.index(format!("peer[{index}].zone"), peer.zone.as_ref(), &fleet.zones, "fleet.zones");
        let kind = self.index(format!("peer[{index}].kind"), peer.kind.as_ref(), &fleet.kinds, "fleet.kinds");
        let name = |names: &[String], index: u32| names.get(index as usize).cloned().unwrap_or_default();
        Instance {
            instance_id: peer.name.clone(),
            host_port: peer.address.to_string(),
            zone: name(&fleet.zones, zone),
            machine_type: name(&fleet.kinds, kind),
            cell: peer.cell,
            lifecycle: Lifecycle::Up,
            weight: peer.weight,
            started_at_ms: 0,
        }
    }

    fn settings(&self, zone: u32, classes: Vec<Class>) -> Settings {
        let File { tier, fleet, attempts, rules, prices, worth, tenant, .. } = self.file;
        Settings {
            me: tier.me,
            dispatchers: tier.schedulers,
            zone: ZoneId(zone),
            classes,
            tenants: tenant.iter().map(|t| Tenant { allowance_per_s: t.allowance_per_s }).collect(),
            over_share_worth: worth.over_share,
            worth_by_work: worth.by_work,
            discovery: match fleet.follow {
                Follow::Ask => Discovery::Ask,
                Follow::Push => Discovery::Push,
            },
            report_via: match fleet.load {
                Load::Off => ReportVia::Never,
                Load::Answers => ReportVia::Answers,
                Load::Probes => ReportVia::Probes,
            },
            weights: match fleet.weights {
                Weights::Off => interface::Weights::Fixed,
                Weights::Nominal | Weights::Rough => interface::Weights::Size,
                Weights::Live => interface::Weights::Live,
            },
            queue_order: match fleet.queue_order {
                QueueOrder::Fifo => interface::QueueOrder::Fifo,
                QueueOrder::Backfill => interface::QueueOrder::Backfill,
                QueueOrder::Priority => interface::QueueOrder::Priority,
            },
            tells_start: fleet.tells_start,
            progress_every: fleet.progress.0,
            limits: interface::Limits {
                max_attempts: attempts.max,
                second_copies: attempts.second_copies,
                dial_timeout: attempts.dial_timeout.0,
                may_probe: attempts.probe,
                may_cancel: attempts.cancel,
                retry_after: attempts.retry_after,
                max_retry_after: attempts.max_retry_after.0,
                may_message_peers: attempts.messages,
            },
            rules: interface::Rules {
                answer_slack: rules.answer_slack.0,
                drain_grace: rules.drain_grace.0,
                ask_within: rules.ask_within.map(|span| span.0),
                cold_share: rules.cold_share,
                cold_time: rules.cold_time.0,
                fall_multiple: rules.fall_multiple,
                fall_time: rules.fall_time.0,
            },
            prices: interface::Prices {
                cross_zone: prices.cross_zone,
                probe: prices.probe,
                waste: prices.waste,
                handshake: prices.handshake,
            },
            tick: tier.tick.0,
        }
    }
}

/// What our file calls a field of the module's settings.
fn ours(field: &str) -> &str {
    match field {
        "me" => "tier.me",
        "limits.max_attempts" => "attempts.max",
        "tenants.allowance_per_s" => "tenant",
        other => other,
    }
}

/// A seed of its own for each start.
fn drawn() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    (since.as_nanos() as u64) ^ (u64::from(std::process::id()) << 32)
}
