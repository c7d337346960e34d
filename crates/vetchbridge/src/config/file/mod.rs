//! The daemon's own configuration format: every key with its meaning, its unit and its default.
//!
//! The JSON Schema, the commented default file and the validation are generated from the types in this
//! module. Their fields are named like the keys of the configuration file; `translate` maps the keys to the
//! scheduler's settings. This module reads neither files nor environment variables and repeats none of the
//! scheduler's rules.

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
    /// Name of this scheduler. The flag --name and the environment variable BALANCER_NAME override it.
    pub name: String,
    /// Address on which the scheduler accepts clients and the callbacks of workers. --listen and
    /// BALANCER_LISTEN override it.
    pub listen: Address,
    /// Address of the admin interface, which takes one command (health, quiesce or resume) per connection. If
    /// absent, there is no admin interface. BALANCER_ADMIN overrides it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admin: Option<Address>,
    /// Path of the Unix socket for upgrades. A new process with the same name and the same addresses connects
    /// to this socket and takes over from the running process without closing client connections. The
    /// socket's folder must belong to this scheduler alone. If absent, upgrades are off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub handover: Option<PathBuf>,
    /// Address of the discovery service, which keeps the list of workers. If absent, the [[peer]] entries
    /// must list all workers. --discovery and BALANCER_DISCOVERY override it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub discovery: Option<Address>,
    /// Seed of the scheduler's random numbers. If absent, each start uses a new seed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<Seed>,
    /// Logging: one line per event on standard error.
    pub log: Log,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The schedulers of the deployment (the tier) and this scheduler's place among them.
    pub tier: Tier,
    /// Properties that all workers share.
    pub fleet: Fleet,
    /// What the scheduler may do to serve a request: attempts, probes and messages to the other schedulers.
    pub attempts: Attempts,
    /// Times and factors of the rules that the scheduler follows, for deadlines, workers that leave, and
    /// workers that have just started.
    pub rules: Rules,
    /// Costs of serving requests, as fractions of the overall result. The scheduler only compares one cost
    /// with another.
    pub prices: Prices,
    /// How requests are weighted against one another.
    pub worth: Worth,
    /// A class of requests; at least one is required. The order of the [[class]] entries gives the classes
    /// their numbers.
    pub class: Vec<Class>,
    /// A tenant, for whose clients a quota applies. Without tenants, clients have no quotas.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenant: Vec<Tenant>,
    /// A worker. Without a discovery service, the [[peer]] entries are the complete worker list. With a
    /// discovery service, they are the list that the scheduler last received, which it uses if the service
    /// does not answer at the start.
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
    /// Which events are logged, in the syntax of RUST_LOG. --log-filter and the environment variable RUST_LOG
    /// override it. After a change of this key, send SIGHUP to the process to apply the new filter.
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
    /// Memory that the process may use. Connections, jobs, callbacks and the list of workers share it; while it
    /// is short, new jobs are rejected and incomplete requests are closed.
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
    /// Number of this scheduler in the tier, counted from 0.
    pub me: u32,
    /// Number of schedulers in the tier.
    #[schemars(range(min = 1))]
    pub schedulers: u32,
    /// Zone in which this scheduler runs, one of fleet.zones; the first zone if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Minimum interval between two batches of events that the scheduler handles.
    pub tick: HumanDuration,
    /// UDP address on which this scheduler receives messages of the other schedulers. If absent, the
    /// scheduler sends and receives no such messages. attempts.messages must be true as well.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub messages: Option<Address>,
    /// UDP addresses for messages between schedulers: one for each scheduler, including this one, in the
    /// order of the schedulers' numbers.
    pub each: Vec<Address>,
    /// UDP address for a message to all schedulers at once.
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

/// What the scheduler may do to serve a request: attempts, probes and messages to the other schedulers.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Attempts {
    /// Maximum number of attempts for one request.
    #[schemars(range(min = 1))]
    pub max: u32,
    /// Time within which a connection to a worker must be established, and within which the worker must then
    /// accept the job. Otherwise the attempt has failed.
    pub dial_timeout: HumanDuration,
    /// Whether a request may have two attempts in flight at once (hedging), if its class permits more than
    /// one run.
    pub second_copies: bool,
    /// Whether the scheduler may send probes (health checks) to workers.
    pub probe: bool,
    /// Whether the scheduler may cancel an attempt at a worker.
    pub cancel: bool,
    /// Whether the scheduler's responses to rejected requests carry a Retry-After header.
    pub retry_after: bool,
    /// Longest time that the scheduler writes into a Retry-After header.
    pub max_retry_after: HumanDuration,
    /// Whether the schedulers of the tier may send messages to one another. tier.messages and tier.each set
    /// their addresses.
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

/// Times and factors of the rules that the scheduler follows, for deadlines, workers that leave, and workers
/// that have just started.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Time after a request's deadline within which a final answer to the client still counts.
    pub answer_slack: HumanDuration,
    /// Time within which the scheduler must stop sending jobs to a worker that drains or was removed from the
    /// worker list.
    pub drain_grace: HumanDuration,
    /// Time after which a scheduler that has not polled the discovery service counts as notified of a change
    /// of the worker list. Used only if fleet.follow is ask.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ask_within: Option<HumanDuration>,
    /// Smallest capacity that a worker may have just after its start, as a fraction of its full capacity. The
    /// scheduler assumes that the capacity grows from there to the full capacity within cold_time.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub cold_share: f64,
    /// Time that a worker takes from its start until it has its full capacity.
    pub cold_time: HumanDuration,
    /// Load at which a worker that is warming up fails, as a multiple of its current capacity. The worker
    /// fails if it is sent more than this load for fall_time.
    #[schemars(range(min = 0.0))]
    pub fall_multiple: f64,
    /// How long a worker that is warming up withstands more load than fall_multiple permits before it fails.
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

/// Costs of serving requests, as fractions of the overall result.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    /// Cost of attempts that cross from one zone to another.
    #[schemars(range(min = 0.0))]
    pub cross_zone: f64,
    /// Cost of sending one probe to a worker for every request.
    #[schemars(range(min = 0.0))]
    pub probe: f64,
    /// Cost of opening one new connection to a worker for every request.
    #[schemars(range(min = 0.0))]
    pub handshake: f64,
    /// Cost of the workers' work that did not lead to a served answer.
    #[schemars(range(min = 0.0))]
    pub waste: f64,
}

/// How requests are weighted against one another.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Worth {
    /// Whether the weight of a request grows with its work. Otherwise all requests of a class have the same
    /// weight.
    pub by_work: bool,
    /// Weight of a request that exceeds the quota of its tenant, as a fraction of the request's ordinary
    /// weight.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub over_share: f64,
}

impl Default for Worth {
    fn default() -> Worth {
        Worth { by_work: false, over_share: 1.0 }
    }
}

/// Returns a small valid configuration file: the defaults, one class and one worker.
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

/// Returns the JSON Schema of the configuration file.
pub fn schema() -> serde_json::Value {
    super::schema::schema_of::<File>()
}
