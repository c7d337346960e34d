//! The workers of a plan: their tables in the format, and the stand-ins' configuration that is made of them.

use super::defaults::one;
use super::Plan;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use vetchbridge::config::file::QueueOrder;
use vetchbridge::config::units::Span;
use vetchbridge_testbed::queue::Order;
use vetchbridge_testbed::stats::{Field, StatsSpec};
use vetchbridge_testbed::store::{CacheSpec, Store};
use vetchbridge_testbed::worker::{ProbeSpec, WorkerSpec};

/// How long repeats of a keyed job are deduplicated where no class says so.
const DEFAULT_WINDOW: Span = Span::s(15);

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum StatsField {
    /// Requests that a worker holds.
    Inflight,
    /// Requests that wait at it.
    Queue,
    /// Its free slots.
    X0,
    /// The share of its slots that is taken.
    Util,
}

impl StatsField {
    fn field(self) -> Field {
        match self {
            StatsField::Inflight => Field::Inflight,
            StatsField::Queue => Field::Queue,
            StatsField::X0 => Field::X0,
            StatsField::Util => Field::Util,
        }
    }
}

/// How workers report their load.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Stats {
    /// The fields of a report: inflight, queue, x0 and util.
    #[schemars(length(min = 1))]
    pub fields: Vec<StatsField>,
    /// How often a report is refreshed.
    #[serde(default)]
    pub every: Span,
    /// How old a report is.
    #[serde(default)]
    pub late: Span,
    /// Whether answers and callbacks that end an attempt carry a report, too.
    #[serde(default)]
    pub in_answers: bool,
}

impl Stats {
    fn spec(&self) -> StatsSpec {
        StatsSpec {
            fields: self.fields.iter().copied().map(StatsField::field).collect(),
            refresh_interval: self.every.duration(),
            delay: self.late.duration(),
            in_answers: self.in_answers,
        }
    }
}

/// How workers answer probes.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Probes {
    /// Whether a probe waits for a slot as a request does.
    #[serde(default)]
    pub deep: bool,
    /// Its work at speed 1.
    #[serde(default)]
    pub work: Span,
}

impl Probes {
    fn spec(&self) -> ProbeSpec {
        ProbeSpec { deep: self.deep, work: self.work.duration() }
    }
}

/// What jobs need before they can run, for each object: workers cache it, or fetch it from one store.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// How long a fetch takes.
    pub fetch: Span,
    /// How many fetches the store serves at once.
    #[schemars(range(min = 1))]
    pub room: usize,
    /// How many objects a worker caches.
    #[schemars(range(min = 1))]
    pub kept: usize,
}

/// Workers of one make.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
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
    /// The weight that discovery publishes.
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

fn cold_share() -> f64 {
    0.2
}

fn cold_time() -> Span {
    Span::s(24)
}

impl WorkerGroup {
    /// The names of these workers.
    pub(super) fn names(&self) -> impl Iterator<Item = String> + '_ {
        (0..self.count).map(|number| format!("{}-{number}", self.prefix))
    }

    /// The configuration of one of these workers, over what all workers of the plan have in common.
    fn spec(&self, name: String, zone: &str, common: &WorkerSpec) -> WorkerSpec {
        WorkerSpec {
            name,
            zone: self.zone.clone().unwrap_or_else(|| zone.to_string()),
            kind: self.kind.clone(),
            weight: self.weight,
            slots: self.slots,
            max_queued: self.queue,
            speed: self.speed,
            slow_start_floor: self.cold_share,
            slow_start_time: self.cold_time.duration(),
            ..common.clone()
        }
    }
}

impl Plan {
    /// The configuration of each worker, in the order of the plan.
    pub fn worker_specs(&self) -> Vec<WorkerSpec> {
        let (zones, common) = (&self.daemon.fleet.zones, self.common_worker_spec());
        let named = self.workers.iter().flat_map(|workers| workers.names().map(move |name| (workers, name)));
        let spec =
            |((workers, name), zone): ((&WorkerGroup, String), &String)| workers.spec(name, zone, &common);
        named.zip(zones.iter().cycle()).map(spec).collect()
    }

    /// What all workers have in common.
    fn common_worker_spec(&self) -> WorkerSpec {
        let fleet = &self.daemon.fleet;
        let windows = self.daemon.class.iter().filter_map(|class| class.window);
        let setup = self.setup.as_ref();
        WorkerSpec {
            reports_start: fleet.tells_start,
            progress_interval: fleet.progress.duration(),
            idle_timeout: fleet.conn_idle.duration(),
            deduplication_window: windows.max().unwrap_or(DEFAULT_WINDOW).duration(),
            order: match fleet.queue_order {
                // The stand-ins have no priorities; they serve in order.
                QueueOrder::Fifo | QueueOrder::Priority => Order::Fifo,
                QueueOrder::Backfill => Order::Backfill,
            },
            stats: self.stats.as_ref().map(Stats::spec),
            probes: self.probes.as_ref().map(Probes::spec),
            cache: setup.map(|setup| CacheSpec {
                store: Store::new(setup.room, setup.fetch.duration()),
                capacity: setup.kept,
            }),
            ..WorkerSpec::new("")
        }
    }
}
