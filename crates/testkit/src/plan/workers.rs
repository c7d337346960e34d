//! The workers of a plan: their tables in the format, and the stand-ins' configuration that is made of them.

use super::defaults::unit;
use super::Plan;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use vetchbridge::config::file::QueueOrder;
use vetchbridge::config::units::HumanDuration;
use vetchbridge_testbed::queue::Order;
use vetchbridge_testbed::stats::{Field, StatsSpec};
use vetchbridge_testbed::store::{CacheSpec, Store};
use vetchbridge_testbed::worker::{ProbeSpec, WorkerSpec};

/// How long repeats of a keyed job are deduplicated if no class defines it.
const DEFAULT_DEDUPLICATION_WINDOW: HumanDuration = HumanDuration::from_secs(15);

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "StatsField")]
pub enum LoadReportField {
    /// Requests that a worker has accepted and not finished.
    #[serde(rename = "inflight")]
    InFlight,
    /// Requests that wait at it.
    #[serde(rename = "queue")]
    Queued,
    /// Its free slots.
    #[serde(rename = "x0")]
    FreeSlots,
    /// The share of its slots that is taken.
    #[serde(rename = "util")]
    Utilization,
}

impl LoadReportField {
    fn field(self) -> Field {
        match self {
            LoadReportField::InFlight => Field::Inflight,
            LoadReportField::Queued => Field::Queue,
            LoadReportField::FreeSlots => Field::X0,
            LoadReportField::Utilization => Field::Util,
        }
    }
}

/// How workers report their load.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Stats")]
pub struct LoadReports {
    /// The fields of a report: inflight, queue, x0 and util.
    #[schemars(length(min = 1))]
    pub fields: Vec<LoadReportField>,
    /// How often a report is refreshed.
    #[serde(default, rename = "every")]
    pub interval: HumanDuration,
    /// How old a report is.
    #[serde(default, rename = "late")]
    pub delay: HumanDuration,
    /// Whether answers and callbacks that end an attempt carry a report, too.
    #[serde(default, rename = "in_answers")]
    pub in_responses: bool,
}

impl LoadReports {
    fn spec(&self) -> StatsSpec {
        StatsSpec {
            fields: self.fields.iter().copied().map(LoadReportField::field).collect(),
            refresh_interval: self.interval.duration(),
            delay: self.delay.duration(),
            in_answers: self.in_responses,
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
    pub work: HumanDuration,
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
    #[serde(rename = "fetch")]
    pub fetch_time: HumanDuration,
    /// How many fetches the store serves at once.
    #[serde(rename = "room")]
    #[schemars(range(min = 1))]
    pub store_capacity: usize,
    /// How many objects a worker caches.
    #[serde(rename = "kept")]
    #[schemars(range(min = 1))]
    pub cached_objects: usize,
}

/// Workers of one configuration.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
    /// Their names are this and a number.
    pub prefix: String,
    /// How many.
    #[schemars(range(min = 1, max = 10000))]
    pub count: usize,
    /// Their zone; distributed over daemon.fleet.zones in turn where it is absent.
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
    #[serde(default = "unit")]
    #[schemars(range(min = 0.001))]
    pub speed: f64,
    /// The weight that discovery publishes.
    #[serde(default = "unit")]
    #[schemars(range(min = 0.0))]
    pub weight: f64,
    /// The share of its speed with which one starts to warm up after a crash.
    #[serde(default = "slow_start_floor", rename = "cold_share")]
    #[schemars(range(min = 0.01, max = 1.0))]
    pub slow_start_floor: f64,
    /// How long it takes to warm up.
    #[serde(default = "slow_start_time", rename = "cold_time")]
    pub slow_start_time: HumanDuration,
}

fn slow_start_floor() -> f64 {
    0.2
}

fn slow_start_time() -> HumanDuration {
    HumanDuration::from_secs(24)
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
            slow_start_floor: self.slow_start_floor,
            slow_start_time: self.slow_start_time.duration(),
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
            deduplication_window: windows.max().unwrap_or(DEFAULT_DEDUPLICATION_WINDOW).duration(),
            order: match fleet.queue_order {
                // The stand-ins have no priorities; they serve in order.
                QueueOrder::Fifo | QueueOrder::Priority => Order::Fifo,
                QueueOrder::Backfill => Order::Backfill,
            },
            stats: self.load_reports.as_ref().map(LoadReports::spec),
            probes: self.probes.as_ref().map(Probes::spec),
            cache: setup.map(|setup| CacheSpec {
                store: Store::new(setup.store_capacity, setup.fetch_time.duration()),
                capacity: setup.cached_objects,
            }),
            ..WorkerSpec::new("")
        }
    }
}
