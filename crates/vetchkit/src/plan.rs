//! The plan of a platform: schedulers, peers, load. Owns the shape of the file and its meaning in the stand-ins' terms.
//! It must never start anything.

use crate::Failure;
use platform::arrivals::{ClassLoad, LoadSpec, Repeat, TenantLoad};
use platform::discovery::Health;
use platform::peer::{PeerSpec, ProbeSpec};
use platform::queue::Order;
use platform::stats::{Field, StatsSpec};
use platform::store::Store;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;
use vetchbridge::config::check::{hold, Text};
use vetchbridge::config::file::{self, File};
use vetchbridge::config::units::Span;
use vetchbridge::config::Fault;

/// The plan of the demonstration.
pub const DEMO: &str = include_str!("../plans/demo.toml");

/// The built-in plans by their names; a file of such a name is meant where it is written as `./demo`.
pub const BUILT_IN: [(&str, &str); 2] = [("demo", DEMO), ("scans", include_str!("../plans/scans.toml"))];

/// A platform on one machine.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The seed of every draw.
    #[serde(default)]
    pub seed: u64,
    /// The schedulers.
    pub schedulers: Schedulers,
    /// What every scheduler is told, in the daemon's own format; name, addresses, number and zone are filled in.
    pub daemon: File,
    /// How peers tell of their load; they tell nothing where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stats: Option<Stats>,
    /// How peers answer probes; they answer none where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub probes: Option<Probes>,
    /// What jobs need before they can run; nothing where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub setup: Option<Setup>,
    /// The peers.
    pub peers: Vec<Peers>,
    /// Troubles on the way.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trouble: Vec<Trouble>,
    /// The load.
    pub load: Load,
}

/// The schedulers.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Schedulers {
    /// How many.
    #[schemars(range(min = 1, max = 10000))]
    pub count: usize,
    /// How late the front notices that one has gone.
    #[serde(default = "notice")]
    pub notice: Span,
    /// How late discovery learns of changes.
    #[serde(default)]
    pub lateness: Span,
}

fn notice() -> Span {
    Span::s(2)
}

fn one() -> f64 {
    1.0
}

fn cold_share() -> f64 {
    0.2
}

fn cold_time() -> Span {
    Span::s(24)
}

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum StatsField {
    /// Requests that a peer holds.
    Inflight,
    /// Requests that wait at it.
    Queue,
    /// Its free slots.
    X0,
    /// The share of its slots that is taken.
    Util,
}

/// How peers tell of their load.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stats {
    /// The fields of a report: inflight, queue, x0 and util.
    #[schemars(length(min = 1))]
    pub fields: Vec<StatsField>,
    /// A report is looked up anew so often.
    #[serde(default)]
    pub every: Span,
    /// It tells what was true so long ago.
    #[serde(default)]
    pub late: Span,
    /// What ends an attempt carries a report, too.
    #[serde(default)]
    pub in_answers: bool,
}

/// How peers answer probes.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Probes {
    /// A probe waits for a slot as a request does.
    #[serde(default)]
    pub deep: bool,
    /// Its work at speed 1.
    #[serde(default)]
    pub work: Span,
}

/// What jobs need before they can run, for each object: peers keep it for a while, or fetch it from one store.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// How long a fetch takes.
    pub fetch: Span,
    /// How many fetch from the store at once.
    #[schemars(range(min = 1))]
    pub room: usize,
    /// How many objects' a peer keeps.
    #[schemars(range(min = 1))]
    pub kept: usize,
}

/// What goes wrong at a set time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Discovery answers 503 to every call.
    ListRefuses,
    /// Discovery resets every call.
    ListResets,
    /// Peers tell of their load later than they do otherwise.
    StatsLate,
    /// A peer dies, and comes back cold.
    PeerDies,
}

/// A trouble.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    /// list-refuses, list-resets, stats-late or peer-dies.
    pub what: What,
    /// When it begins, from the start of the load.
    pub at: Span,
    /// How long it lasts.
    pub lasts: Span,
    /// Of stats-late: how late they tell.
    #[serde(default)]
    pub late: Span,
    /// Of peer-dies: which, by its name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<String>,
}

impl What {
    /// How discovery answers meanwhile, where it is the list that is out of reach.
    pub fn health(self) -> Option<Health> {
        match self {
            What::ListRefuses => Some(Health::Failing),
            What::ListResets => Some(Health::Resetting),
            What::StatsLate | What::PeerDies => None,
        }
    }
}

/// Peers of one make.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Their names are this and a number.
    pub prefix: String,
    /// How many.
    #[schemars(range(min = 1, max = 10000))]
    pub count: usize,
    /// Their zone; dealt out over daemon.fleet.zones in turn where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Their kind of machine, one of daemon.fleet.kinds.
    pub kind: String,
    /// Jobs that one runs at once.
    #[schemars(range(min = 1))]
    pub slots: usize,
    /// Jobs that may wait beyond those.
    #[serde(default)]
    pub queue: usize,
    /// Work that a slot does in a second, in seconds of a slot at speed 1.
    #[serde(default = "one")]
    #[schemars(range(min = 0.001))]
    pub speed: f64,
    /// The size that discovery tells of.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0))]
    pub weight: f64,
    /// The share of its speed with which one starts after its death.
    #[serde(default = "cold_share")]
    #[schemars(range(min = 0.01, max = 1.0))]
    pub cold_share: f64,
    /// How long it takes to warm up.
    #[serde(default = "cold_time")]
    pub cold_time: Span,
}

/// The load: an open loop.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Jobs a second.
    #[schemars(range(min = 0.001, max = 1000000.0))]
    pub rate: f64,
    /// For how long.
    pub duration: Span,
    /// How often a client comes back.
    #[serde(default)]
    #[schemars(range(max = 100))]
    pub retries: u32,
    /// How long it waits first, where it is told nothing else.
    #[serde(default)]
    pub pause: Span,
    /// The share of refused clients that wait as long as they are told instead.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub heeds: f64,
    /// A client that comes back says so.
    #[serde(default = "yes")]
    pub marks_retries: bool,
    /// Clients give a hint of the work.
    #[serde(default = "yes")]
    pub hints: bool,
    /// How far hints are off: the sigma of a log-normal factor.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 5.0))]
    pub hint_spread: f64,
    /// The tenants, of daemon.tenant; jobs are nobody's where there are none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenant: Vec<LoadTenant>,
    /// What is sent of each class of daemon.class.
    pub class: Vec<LoadClass>,
}

fn yes() -> bool {
    true
}

fn slots() -> usize {
    1
}

/// What is sent for a tenant.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadTenant {
    /// Its name in daemon.tenant.
    pub name: String,
    /// Its share of the jobs, against the others'.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0))]
    pub share: f64,
}

fn objects() -> u64 {
    100
}

/// What is sent of a class.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// Its name in daemon.class.
    pub name: String,
    /// Its share of the jobs, against the others'.
    #[serde(default = "one")]
    #[schemars(range(min = 0.0))]
    pub share: f64,
    /// The mean of its work at speed 1.
    pub work: Span,
    /// How widely work varies: the sigma of a log-normal distribution.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 5.0))]
    pub spread: f64,
    /// How many objects its jobs are about.
    #[serde(default = "objects")]
    #[schemars(range(min = 1))]
    pub objects: u64,
    /// How unevenly these are asked for: the exponent of a Zipf distribution.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 10.0))]
    pub zipf: f64,
    /// Slots that a job takes at a peer.
    #[serde(default = "slots")]
    #[schemars(range(min = 1))]
    pub slots: usize,
}

impl Peers {
    fn names(&self) -> impl Iterator<Item = String> + '_ {
        (0..self.count).map(|number| format!("{}-{number}", self.prefix))
    }
}

impl Stats {
    fn spec(&self) -> StatsSpec {
        let field = |field: &StatsField| match field {
            StatsField::Inflight => Field::Inflight,
            StatsField::Queue => Field::Queue,
            StatsField::X0 => Field::X0,
            StatsField::Util => Field::Util,
        };
        StatsSpec {
            fields: self.fields.iter().map(field).collect(),
            every: self.every.duration(),
            late: self.late.duration(),
            in_answers: self.in_answers,
        }
    }
}

/// The JSON Schema of the format.
pub fn schema() -> serde_json::Value {
    vetchbridge::config::check::schema_of::<Plan>()
}

impl Plan {
    /// Reads a plan, from its file or by its name if it is built in; every fault at once.
    pub fn read(path: Option<&Path>) -> Result<Plan, Failure> {
        let Some(path) = path else { return Plan::parse("the built-in plan", DEMO) };
        if let Some((name, text)) = BUILT_IN.iter().find(|(name, _)| path == Path::new(name)) {
            return Plan::parse(&format!("the built-in plan {name}"), text);
        }
        let source = path.to_string_lossy();
        let text =
            std::fs::read_to_string(path).map_err(|error| Failure::BadInput(format!("{source}: {error}")))?;
        Plan::parse(&source, &text)
    }

    /// Reads a plan's text.
    pub fn parse(source: &str, text: &str) -> Result<Plan, Failure> {
        let faults = |faults: Vec<Fault>| {
            let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
            Failure::BadInput(lines.join("\n"))
        };
        let plan: Plan = hold(source, text, &schema()).map_err(faults)?;
        let (text, _) = Text::parse(source, text);
        let mut found = Vec::new();
        let one_of = |names: &[String]| format!("one of {}", names.join(", "));
        let (zones, kinds) = (&plan.daemon.fleet.zones, &plan.daemon.fleet.kinds);
        for (at, peers) in plan.peers.iter().enumerate() {
            if !kinds.contains(&peers.kind) {
                found.push(text.fault(
                    &format!("peers[{at}].kind"),
                    "not in daemon.fleet.kinds",
                    one_of(kinds),
                ));
            }
            if peers.zone.as_ref().is_some_and(|zone| !zones.contains(zone)) {
                found.push(text.fault(
                    &format!("peers[{at}].zone"),
                    "not in daemon.fleet.zones",
                    one_of(zones),
                ));
            }
            if plan.peers[..at].iter().any(|other| other.prefix == peers.prefix) {
                found.push(text.fault(
                    &format!("peers[{at}].prefix"),
                    "is there already",
                    "a prefix of its own",
                ));
            }
        }
        let classes: Vec<String> = plan.daemon.class.iter().map(|class| class.name.clone()).collect();
        for (at, class) in plan.load.class.iter().enumerate() {
            if !classes.contains(&class.name) {
                found.push(text.fault(
                    &format!("load.class[{at}].name"),
                    "not in daemon.class",
                    one_of(&classes),
                ));
            }
        }
        let tenants: Vec<String> = plan.daemon.tenant.iter().map(|tenant| tenant.name.clone()).collect();
        for (at, tenant) in plan.load.tenant.iter().enumerate() {
            if !tenants.contains(&tenant.name) {
                found.push(text.fault(
                    &format!("load.tenant[{at}].name"),
                    "not in daemon.tenant",
                    one_of(&tenants),
                ));
            }
        }
        let names: Vec<String> = plan.peers.iter().flat_map(Peers::names).collect();
        for (at, trouble) in plan.trouble.iter().enumerate() {
            let named = trouble.peer.as_ref().is_some_and(|peer| names.contains(peer));
            if trouble.what == What::PeerDies && !named {
                found.push(text.fault(
                    &format!("trouble[{at}].peer"),
                    "no such peer",
                    "a prefix of [[peers]] and a number, such as prefix-0",
                ));
            }
        }
        if plan.peers.is_empty() {
            found.push(text.fault(
                "peers",
                "the list of peers is empty",
                "add a [[peers]] with prefix, count, kind and slots",
            ));
        }
        if !found.is_empty() {
            return Err(faults(found));
        }
        // What the daemon would refuse is refused here, before anything is started.
        let text = plan.scheduler(0, &[([127, 0, 0, 1], 1).into()], ([127, 0, 0, 1], 1).into(), &[], None).1;
        if let Err(error) =
            vetchbridge::config::read_text(&format!("{source}, as a scheduler is told"), &text)
        {
            return Err(faults(error.0));
        }
        if let Err(error) = platform::arrivals::Arrivals::new(&plan.load_spec()) {
            return Err(Failure::BadInput(format!("{source}: load.{}: {}", error.key, error.reason)));
        }
        Ok(plan)
    }

    /// The peers, in their order.
    pub fn peer_specs(&self) -> Vec<PeerSpec> {
        let zones = &self.daemon.fleet.zones;
        let window = self.daemon.class.iter().filter_map(|class| class.window).max().unwrap_or(Span::s(15));
        let all = self.peers.iter().flat_map(|peers| peers.names().map(move |name| (peers, name)));
        let setup = self.setup.as_ref();
        let setup = setup.map(|setup| (Store::new(setup.room, setup.fetch.duration()), setup.kept));
        let spec = |(at, (peers, name)): (usize, (&Peers, String))| PeerSpec {
            zone: peers.zone.clone().unwrap_or_else(|| zones[at % zones.len()].clone()),
            kind: peers.kind.clone(),
            weight: peers.weight,
            slots: peers.slots,
            queue: peers.queue,
            speed: peers.speed,
            cold_share: peers.cold_share,
            cold_time: peers.cold_time.duration(),
            tells_start: self.daemon.fleet.tells_start,
            progress: self.daemon.fleet.progress.duration(),
            idle: self.daemon.fleet.conn_idle.duration(),
            window: window.duration(),
            order: match self.daemon.fleet.queue_order {
                // Of priorities the stand-ins know nothing; they serve in order.
                file::QueueOrder::Fifo | file::QueueOrder::Priority => Order::Fifo,
                file::QueueOrder::Backfill => Order::Backfill,
            },
            stats: self.stats.as_ref().map(Stats::spec),
            probes: self
                .probes
                .as_ref()
                .map(|probes| ProbeSpec { deep: probes.deep, work: probes.work.duration() }),
            setup: setup.clone(),
            ..PeerSpec::new(&name)
        };
        all.enumerate().map(spec).collect()
    }

    /// The load in the clients' terms.
    pub fn load_spec(&self) -> LoadSpec {
        let class = |load: &LoadClass| {
            let class = self.daemon.class.iter().find(|class| class.name == load.name)?;
            Some(ClassLoad {
                name: load.name.clone(),
                share: load.share,
                worth: class.worth,
                work: load.work.duration(),
                spread: load.spread,
                aim: class.aim.duration(),
                stretch: class.stretch,
                deadline: class.deadline.duration(),
                repeat: match class.repeat {
                    file::Repeat::Safe => Repeat::Safe,
                    file::Repeat::Unsafe => Repeat::Unsafe,
                    file::Repeat::Keyed => Repeat::Keyed(class.window.map_or(Duration::ZERO, Span::duration)),
                },
                objects: load.objects,
                zipf: load.zipf,
                slots: load.slots,
            })
        };
        LoadSpec {
            seed: self.seed,
            rate: self.load.rate,
            classes: self.load.class.iter().filter_map(class).collect(),
            tenants: self
                .load
                .tenant
                .iter()
                .map(|tenant| TenantLoad { name: tenant.name.clone(), share: tenant.share })
                .collect(),
            hints: self.load.hints.then_some(self.load.hint_spread),
            heeds: self.load.heeds,
            marks_retries: self.load.marks_retries,
            retries: self.load.retries,
            pause: self.load.pause.duration(),
        }
    }

    /// What a scheduler is told: its name, and its file.
    pub fn scheduler(
        &self,
        number: usize,
        listen: &[std::net::SocketAddr],
        discovery: std::net::SocketAddr,
        known: &[(PeerSpec, std::net::SocketAddr)],
        handover: Option<PathBuf>,
    ) -> (String, String) {
        use vetchbridge::config::units::{Address, Seed};
        let mut file = self.daemon.clone();
        file.name = format!("n{number}");
        file.listen = Address(listen[number]);
        file.discovery = Some(Address(discovery));
        file.handover = handover;
        file.seed = Some(Seed(self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(number as u64)));
        file.tier.me = number as u32;
        file.tier.schedulers = self.schedulers.count as u32;
        file.tier.zone = Some(file.fleet.zones[number % file.fleet.zones.len()].clone());
        let peer = |(spec, address): &(PeerSpec, std::net::SocketAddr)| file::Peer {
            name: spec.name.clone(),
            address: Address(*address),
            zone: Some(spec.zone.clone()),
            kind: Some(spec.kind.clone()),
            cell: spec.cell,
            weight: spec.weight,
        };
        file.peer = known.iter().map(peer).collect();
        // A File is plain data, which TOML can always hold.
        let text = toml::to_string(&file).unwrap_or_default();
        (file.name, text)
    }

    /// Where a scheduler's file may be kept.
    pub fn file_name(number: usize) -> PathBuf {
        PathBuf::from(format!("n{number}.toml"))
    }
}
