//! The configuration of a stand-in worker.

use crate::queue::Order;
use crate::stats::StatsSpec;
use crate::store::CacheSpec;
use std::time::Duration;

/// Configuration of one worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name under which discovery lists the worker.
    pub name: String,
    /// Zone that discovery lists for the worker.
    pub zone: String,
    /// Machine type that discovery lists for the worker.
    pub kind: String,
    /// Cell number that discovery lists for the worker.
    pub cell: u32,
    /// Weight that discovery lists for the worker.
    pub weight: f64,
    /// Number of slots; a job takes one or more of them while it runs.
    pub slots: usize,
    /// Maximum number of jobs that wait for slots; a further job is rejected without running.
    pub max_queued: usize,
    /// Work that one slot completes per second, in seconds of work at speed 1.
    pub speed: f64,
    /// Fraction of `speed` at which a worker runs directly after a restart.
    pub slow_start_floor: f64,
    /// Time from a restart until the worker reaches full speed.
    pub slow_start_time: Duration,
    /// Whether the worker sends a callback when a job starts.
    pub reports_start: bool,
    /// Interval between the progress callbacks of a running job; zero disables them.
    pub progress_interval: Duration,
    /// Maximum number of open connections; the worker closes a further connection at once.
    pub max_connections: usize,
    /// Idle time after which the worker closes a connection.
    pub idle_timeout: Duration,
    /// Whether a cancellation stops a job that already runs.
    pub cancels_running_jobs: bool,
    /// Time from the start of a keyed job during which workers deduplicate further jobs with the same key.
    pub deduplication_window: Duration,
    /// Work of a job whose body does not state its work, at speed 1.
    pub work: Duration,
    /// Order in which waiting jobs get slots.
    pub order: Order,
    /// Configuration of the load reports; `None` if the worker sends no load reports.
    pub stats: Option<StatsSpec>,
    /// Handling of probes; with `None` the worker answers probes with 404.
    pub probes: Option<ProbeSpec>,
    /// Cache of the objects that jobs need; `None` if jobs need no objects.
    pub cache: Option<CacheSpec>,
}

/// How a worker handles probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeSpec {
    /// Whether a probe waits for a slot and takes it as a job does, and is rejected when a job would be
    /// rejected.
    pub deep: bool,
    /// Work of a probe at speed 1.
    pub work: Duration,
}

impl WorkerSpec {
    /// Returns the configuration of a worker at full speed, whose jobs end at once unless their body states
    /// work.
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
