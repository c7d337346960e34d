//! Configuration of a stand-in worker.

use crate::queue::Order;
use crate::stats::StatsSpec;
use crate::store::CacheSpec;
use std::time::Duration;

/// Configuration of one worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name in discovery.
    pub name: String,
    /// Zone in discovery.
    pub zone: String,
    /// Kind of machine.
    pub kind: String,
    /// Cell number.
    pub cell: u32,
    /// Weight that discovery publishes.
    pub weight: f64,
    /// Number of jobs that run at once.
    pub slots: usize,
    /// Number of jobs that may wait for a slot; the next one is rejected without having run.
    pub max_queued: usize,
    /// Work that one slot completes per second, in seconds at speed 1.
    pub speed: f64,
    /// Fraction of `speed` at which a restarted worker begins.
    pub slow_start_floor: f64,
    /// Time that a restarted worker takes to reach full speed.
    pub slow_start_time: Duration,
    /// Whether it sends a callback when a job starts.
    pub reports_start: bool,
    /// Interval between progress callbacks; zero for none.
    pub progress_interval: Duration,
    /// Maximum number of open connections; a further one is closed at once.
    pub max_connections: usize,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
    /// Whether a running job stops when it is cancelled.
    pub cancels_running_jobs: bool,
    /// How long repeats of a keyed job are deduplicated.
    pub deduplication_window: Duration,
    /// Work of a job whose body names none.
    pub work: Duration,
    /// Order in which waiting jobs start.
    pub order: Order,
    /// Load reports; none are sent if absent.
    pub stats: Option<StatsSpec>,
    /// Handling of probes; they are answered with 404 if absent.
    pub probes: Option<ProbeSpec>,
    /// Cache of the objects that jobs need; they need none if absent.
    pub cache: Option<CacheSpec>,
}

/// How a worker handles probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeSpec {
    /// Whether a probe takes a slot as a job does, and is rejected where a job would be.
    pub deep: bool,
    /// Work of a probe at speed 1.
    pub work: Duration,
}

impl WorkerSpec {
    /// A worker at full speed with free slots, whose jobs end at once.
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
