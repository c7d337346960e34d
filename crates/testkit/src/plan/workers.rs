//! The workers of a plan: their tables in the plan's file format, and their conversion to the configuration
//! of the simulated workers.

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

/// How long workers deduplicate repeats of a keyed job if no class of the plan defines a deduplication
/// window.
const DEFAULT_DEDUPLICATION_WINDOW: HumanDuration = HumanDuration::from_secs(15);

/// A field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[schemars(rename = "StatsField")]
pub enum LoadReportField {
    /// The number of requests that a worker has accepted and not finished.
    #[serde(rename = "inflight")]
    InFlight,
    /// The number of requests that wait for a slot.
    #[serde(rename = "queue")]
    Queued,
    /// The number of free slots.
    #[serde(rename = "x0")]
    FreeSlots,
    /// The share of slots that are occupied.
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
    /// The interval at which a report is refreshed.
    #[serde(default, rename = "every")]
    pub interval: HumanDuration,
    /// The age of a report when it is sent.
    #[serde(default, rename = "late")]
    pub delay: HumanDuration,
    /// Whether responses and callbacks that end an attempt carry a load report, too.
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
    /// The work of a probe: its run time in a slot at speed 1.
    #[serde(default)]
    pub work: HumanDuration,
}

impl Probes {
    fn spec(&self) -> ProbeSpec {
        ProbeSpec { deep: self.deep, work: self.work.duration() }
    }
}

/// The setup of jobs: each job needs its object, which a worker has cached or fetches from a common store.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Setup {
    /// How long a fetch takes.
    #[serde(rename = "fetch")]
    pub fetch_time: HumanDuration,
    /// The number of fetches that the store serves at once.
    #[serde(rename = "room")]
    #[schemars(range(min = 1))]
    pub store_capacity: usize,
    /// The number of objects that a worker caches.
    #[serde(rename = "kept")]
    #[schemars(range(min = 1))]
    pub cached_objects: usize,
}

/// A group of workers with the same configuration.
#[derive(Clone, Debug, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WorkerGroup {
    /// The prefix of the workers' names; a worker's name is the prefix, a hyphen and a number from 0.
    pub prefix: String,
    /// The number of workers.
    #[schemars(range(min = 1, max = 10000))]
    pub count: usize,
    /// The workers' zone. Without it, the workers are distributed over daemon.fleet.zones in turn.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// The workers' machine type, one of daemon.fleet.kinds.
    pub kind: String,
    /// The number of slots: the jobs that a worker runs at once.
    #[schemars(range(min = 1))]
    pub slots: usize,
    /// The number of jobs that may wait for a slot.
    #[serde(default)]
    pub queue: usize,
    /// The speed of a slot: the seconds of work, measured at speed 1, that the slot does per second.
    #[serde(default = "unit")]
    #[schemars(range(min = 0.001))]
    pub speed: f64,
    /// The weight that discovery publishes.
    #[serde(default = "unit")]
    #[schemars(range(min = 0.0))]
    pub weight: f64,
    /// The share of its speed with which a worker starts after a crash.
    #[serde(default = "slow_start_floor", rename = "cold_share")]
    #[schemars(range(min = 0.01, max = 1.0))]
    pub slow_start_floor: f64,
    /// How long a worker takes to reach its full speed after a crash.
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
    /// Returns the names of the group's workers.
    pub(super) fn names(&self) -> impl Iterator<Item = String> + '_ {
        (0..self.count).map(|number| format!("{}-{number}", self.prefix))
    }

    /// Returns the configuration of one worker of the group. `common` holds the values that all workers of
    /// the plan share.
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
    /// Returns the configuration of each worker, in the order of the plan's groups.
    pub fn worker_specs(&self) -> Vec<WorkerSpec> {
        let (zones, common) = (&self.daemon.fleet.zones, self.common_worker_spec());
        let named = self.workers.iter().flat_map(|workers| workers.names().map(move |name| (workers, name)));
        let spec =
            |((workers, name), zone): ((&WorkerGroup, String), &String)| workers.spec(name, zone, &common);
        named.zip(zones.iter().cycle()).map(spec).collect()
    }

    /// Returns the configuration values that all workers of the plan share.
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
                // The simulated workers know no priorities; they serve jobs in the order of arrival.
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
