//! The daemon's own configuration format: every key with its meaning, its unit and its default.
//!
//! The JSON Schema, the commented default file and the validation are generated from the types in this
//! module. Their fields are named like the keys of the file; `translate` maps the keys to the scheduler's
//! settings. This module reads neither files nor environment variables and repeats none of the scheduler's
//! rules.

// `config default` prints the doc comments of the keys as plain text, so they contain no Markdown.
#![allow(clippy::doc_markdown, rustdoc::broken_intra_doc_links)]

mod classes;
mod fleet;

pub use classes::{Class, Group, Repeat, Tenant};
pub use fleet::{Fleet, Follow, FreeSlots, Load, QueueOrder, Weights, Worker};

use super::units::{Address, Filter, HumanDuration, Seed, Size};
use crate::logs::LogFormat;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Configuration of a scheduler. Durations and sizes are written with a unit, such as "480ms" and "64KiB".
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    /// Name of this scheduler. --name and BALANCER_NAME override it.
    pub name: String,
    /// Address on which the scheduler accepts clients and the callbacks of workers. --listen and
    /// BALANCER_LISTEN override it.
    pub listen: Address,
    /// Address of the admin interface, which takes one command (health, quiesce or resume) per connection. If
    /// absent, there is no admin interface. BALANCER_ADMIN overrides it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admin: Option<Address>,
    /// Path of the Unix socket for upgrades: a process that is started with the same name and addresses
    /// connects to it and takes over from the running process. The folder must belong to this scheduler
    /// alone. If absent, upgrades are off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub handover: Option<PathBuf>,
    /// Address of the discovery service. If absent, [[peer]] must list all workers. --discovery and
    /// BALANCER_DISCOVERY override it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<Address>,
    /// Seed of the scheduler's random numbers. If absent, each start uses a new seed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<Seed>,
    /// Logging.
    pub log: Log,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The schedulers of the deployment (the tier) and this scheduler's place among them.
    pub tier: Tier,
    /// Properties that all workers share.
    pub fleet: Fleet,
    /// What the scheduler may do to serve a request.
    pub attempts: Attempts,
    /// Times and factors of the rules that the scheduler follows.
    pub rules: Rules,
    /// Costs, as fractions of the overall result. The scheduler only compares one cost with another.
    pub prices: Prices,
    /// How requests are weighted.
    pub worth: Worth,
    /// A class of requests; at least one is required. The order of the classes gives their numbers.
    pub class: Vec<Class>,
    /// A tenant. Without tenants, clients have no quotas.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenant: Vec<Tenant>,
    /// A worker. Without a discovery service, the entries are the whole worker list; with one, the entries
    /// are the list that the scheduler last received.
    #[serde(rename = "peer", skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<Worker>,
}

impl Default for File {
    fn default() -> File {
        File {
            name: "n0".to_string(),
            listen: Address(([127, 0, 0, 1], 8080).into()),
            admin: None,
            handover: None,
            discovery: None,
            seed: None,
            log: Log::default(),
            limits: Limits::default(),
            tier: Tier::default(),
            fleet: Fleet::default(),
            attempts: Attempts::default(),
            rules: Rules::default(),
            prices: Prices::default(),
            worth: Worth::default(),
            class: Vec::new(),
            tenant: Vec::new(),
            workers: Vec::new(),
        }
    }
}

/// Logging: one line per event on standard error.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of a log line: text or json. --log-format overrides it.
    pub format: LogFormat,
    /// Which events are logged, as in RUST_LOG. --log-filter and RUST_LOG override it. SIGHUP applies a
    /// changed filter.
    pub filter: Filter,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: LogFormat::Text, filter: Filter(crate::logs::DEFAULT_FILTER.to_string()) }
    }
}

/// Resource limits of the process.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open descriptors. Client connections may use the descriptors that the process
    /// itself and its connections to workers do not need.
    #[schemars(range(min = 16))]
    pub sockets: u64,
    /// Memory that the process may use. Bodies of jobs may use at most an eighth of it, and bodies of
    /// callbacks another eighth.
    pub memory: Size,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { sockets: 1024, memory: Size(192 << 20) }
    }
}

/// The schedulers of the deployment (the tier) and this scheduler's place among them.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Tier {
    /// Number of this scheduler, from 0.
    pub me: u32,
    /// Number of schedulers in the tier.
    #[schemars(range(min = 1))]
    pub schedulers: u32,
    /// Zone of this scheduler, one of fleet.zones; the first zone if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Minimum interval between two batches of events that the scheduler handles.
    pub tick: HumanDuration,
    /// UDP address on which this scheduler receives messages of the other schedulers. If absent, the
    /// scheduler sends and receives no such messages. attempts.messages must be true as well.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub messages: Option<Address>,
    /// UDP address of each scheduler, including this one, in the order of their numbers.
    pub each: Vec<Address>,
    /// UDP address that reaches all schedulers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub all: Option<Address>,
}

impl Default for Tier {
    fn default() -> Tier {
        Tier {
            me: 0,
            schedulers: 1,
            zone: None,
            tick: HumanDuration::from_millis(4),
            messages: None,
            each: Vec::new(),
            all: None,
        }
    }
}

/// What the scheduler may do to serve a request.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Attempts {
    /// Maximum number of attempts for one request.
    #[schemars(range(min = 1))]
    pub max: u32,
    /// Time within which a connection must be established and a worker must accept a job; otherwise the
    /// attempt has failed.
    pub dial_timeout: HumanDuration,
    /// Whether a request may have two attempts in flight at once (hedging), if its class may be repeated.
    pub second_copies: bool,
    /// Whether the scheduler may send probes (health checks) to workers.
    pub probe: bool,
    /// Whether the scheduler may cancel an attempt.
    pub cancel: bool,
    /// Whether responses to rejected clients carry Retry-After.
    pub retry_after: bool,
    /// Longest Retry-After.
    pub max_retry_after: HumanDuration,
    /// Whether schedulers may send messages to one another.
    pub messages: bool,
}

impl Default for Attempts {
    fn default() -> Attempts {
        Attempts {
            max: 6,
            dial_timeout: HumanDuration::from_millis(250),
            second_copies: false,
            probe: false,
            cancel: true,
            retry_after: true,
            max_retry_after: HumanDuration::from_secs(2),
            messages: false,
        }
    }
}

/// Times and factors of the rules that the scheduler follows.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Time after the client's deadline within which a final answer still counts.
    pub answer_slack: HumanDuration,
    /// Time within which the scheduler must stop sending to a draining or removed worker.
    pub drain_grace: HumanDuration,
    /// If fleet.follow is ask: a scheduler that has not polled for this long counts as notified of a change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ask_within: Option<HumanDuration>,
    /// Fraction of its full capacity that a worker has at least when it starts.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub cold_share: f64,
    /// Time after its start by which a worker has its full capacity.
    pub cold_time: HumanDuration,
    /// A worker that is warming up fails if it is sent more than this multiple of its current capacity for
    /// fall_time.
    #[schemars(range(min = 0.0))]
    pub fall_multiple: f64,
    /// How long an overload by fall_multiple lasts before the worker fails.
    pub fall_time: HumanDuration,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            answer_slack: HumanDuration::from_millis(16),
            drain_grace: HumanDuration::from_millis(500),
            ask_within: None,
            cold_share: 0.2,
            cold_time: HumanDuration::from_secs(24),
            fall_multiple: 2.5,
            fall_time: HumanDuration::from_secs(2),
        }
    }
}

/// Costs, as fractions of the overall result.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Cost of attempts that cross zones.
    #[schemars(range(min = 0.0))]
    pub cross_zone: f64,
    /// Cost of one probe per request.
    #[schemars(range(min = 0.0))]
    pub probe: f64,
    /// Cost of one new connection per request.
    #[schemars(range(min = 0.0))]
    pub handshake: f64,
    /// Cost of work that did not lead to a served answer.
    #[schemars(range(min = 0.0))]
    pub waste: f64,
}

/// How requests are weighted.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Worth {
    /// Whether a request is weighted by its work; otherwise all requests of a class have the same weight.
    pub by_work: bool,
    /// Weight of a request that exceeds its tenant's quota, as a fraction of its ordinary weight.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub over_share: f64,
}

impl Default for Worth {
    fn default() -> Worth {
        Worth { by_work: false, over_share: 1.0 }
    }
}

/// Returns a small valid file: the defaults, one class and one worker.
pub fn example() -> File {
    let class = Class {
        name: "job".to_string(),
        repeat: Repeat::Unsafe,
        aim: HumanDuration::from_millis(500),
        stretch: 2.0,
        deadline: HumanDuration::from_secs(10),
        worth: 1.0,
        late_share: 0.5,
        group: Group::All,
        window: None,
        kind: None,
        priority: 0,
        stream: false,
    };
    let address = Address(([127, 0, 0, 1], 9000).into());
    let worker = Worker { name: "p0".to_string(), address, zone: None, kind: None, cell: 0, weight: 1.0 };
    File { class: vec![class], workers: vec![worker], ..File::default() }
}

/// Returns the JSON Schema of the format.
pub fn schema() -> serde_json::Value {
    super::schema::schema_of::<File>()
}
