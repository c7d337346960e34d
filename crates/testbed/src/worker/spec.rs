//! The configuration of a stand-in worker.

use crate::queue::Order;
use crate::stats::StatsSpec;
use crate::store::CacheSpec;
use std::time::Duration;

/// Configuration of one stand-in worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name of the worker in the endpoint list.
    pub name: String,
    /// Zone of the worker in the endpoint list.
    pub zone: String,
    /// Machine type of the worker in the endpoint list.
    pub kind: String,
    /// Cell number of the worker in the endpoint list.
    pub cell: u32,
    /// Weight of the worker in the endpoint list.
    pub weight: f64,
    /// Number of the worker's slots; a job takes one or more slots while it runs.
    pub slots: usize,
    /// Maximum number of jobs that wait for slots; the worker rejects a further job without running it.
    pub max_queued: usize,
    /// Work that one slot completes per second, in seconds of work at speed 1.
    pub speed: f64,
    /// Fraction of `speed` at which the worker runs directly after a restart.
    pub slow_start_floor: f64,
    /// Time from a restart until the worker runs at `speed`.
    pub slow_start_time: Duration,
    /// Whether the worker sends a callback when it starts to run a job.
    pub reports_start: bool,
    /// Interval between the progress callbacks of a running job; with zero, the worker sends none.
    pub progress_interval: Duration,
    /// Maximum number of open connections to the worker; the worker closes a further connection at once.
    pub max_connections: usize,
    /// Time without a request after which the worker closes a connection.
    pub idle_timeout: Duration,
    /// Whether a cancellation by the scheduler stops a job that already runs.
    pub cancels_running_jobs: bool,
    /// Time from the start of a keyed job during which workers deduplicate further jobs with the same key.
    pub deduplication_window: Duration,
    /// Work of a job whose request does not state its work, as run time in a slot at speed 1.
    pub work: Duration,
    /// Order in which waiting jobs and probes get slots.
    pub order: Order,
    /// Configuration of the worker's load reports; `None` if the worker sends no load reports.
    pub stats: Option<StatsSpec>,
    /// Handling of probes; with `None`, the worker responds to probes with 404.
    pub probes: Option<ProbeSpec>,
    /// Cache of the objects that the worker's jobs need; `None` if jobs need no objects.
    pub cache: Option<CacheSpec>,
}

/// How a worker handles probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeSpec {
    /// Whether a probe waits for a slot and takes it as a job does. The worker then rejects a probe when it
    /// would reject a job.
    pub deep: bool,
    /// Work of a probe, as its run time in a slot at speed 1.
    pub work: Duration,
}

impl WorkerSpec {
    /// Returns a configuration with default values: the worker runs at speed 1, and its jobs end at once
    /// unless their requests state work.
    pub fn new(name: &str) -> WorkerSpec {
        WorkerSpec {
            name: name.to_string(),
            zone: "main".to_string(),
            kind: "any".to_string(),
            cell: 0,
            weight: 1.0,
            slots: 64,
            max_queued: 1024,
            speed: 1.0,
            slow_start_floor: 0.2,
            slow_start_time: Duration::from_secs(24),
            reports_start: true,
            progress_interval: Duration::from_secs(1),
            max_connections: 1024,
            idle_timeout: Duration::from_secs(60),
            cancels_running_jobs: true,
            deduplication_window: Duration::from_secs(15),
            work: Duration::ZERO,
            order: Order::Fifo,
            stats: None,
            probes: None,
            cache: None,
        }
    }
}
