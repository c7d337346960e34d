//! What a scheduler is configured with: its place among its peers, classes, tenants, limits and rules.

use crate::ids::{KindId, Micros, ZoneId};

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Workers of one scope drop a repeat within a window.
    Keyed {
        /// Which workers recognise a repeat.
        scope: DeduplicationScope,
        /// How long a repeat is dropped, counted from the first attempt that may have run.
        deduplication_window: Micros,
    },
    /// Must not run twice.
    #[default]
    NonIdempotent,
}

/// Which workers drop the repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// Those in the zone of the worker that may have run it.
    Zone,
    /// Those in its cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time counts in full.
    pub latency_objective: Micros,
    /// The latency objective grows by this many times the job's own running time.
    pub objective_per_work: f64,
    /// The client's total wait over all of its tries.
    pub deadline: Micros,
    /// Weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// Fraction of that weight that a later answer still has.
    pub late_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// The only machine type that runs this class, if it is bound to one.
    pub kind: Option<KindId>,
    /// Priority in the workers' queues, where they keep one.
    pub priority: i64,
    /// The answer is streamed.
    pub stream: bool,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all schedulers, that are within its quota.
    pub quota_per_second: f64,
}

/// How a worker serves its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// In order; the head waits until it fits.
    Fifo,
    /// Whatever fits first.
    Backfill,
    /// By the classes' priority.
    Priority,
}

/// When workers send load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With outcomes and with probe results.
    Responses,
    /// With probe results only.
    Probes,
    /// Never.
    Never,
}

/// How changes of the endpoint list reach a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointDelivery {
    /// Watch events arrive by themselves.
    Push,
    /// Only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    Poll,
}

/// What [`Endpoint::weight`](crate::Endpoint::weight) stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// Nothing: always 1.
    Fixed,
    /// The registered or approximate size.
    Size,
    /// The size lowered by the load, sampled earlier. Taken as 1, since the ring must not follow the load.
    Live,
}

/// What the scheduler may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// A connection not made within this time has failed.
    pub dial_timeout: Micros,
    /// Health checks are allowed.
    pub may_probe: bool,
    /// Cancelling an attempt is allowed.
    pub may_cancel: bool,
    /// Rejected clients are given a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that a client heeds.
    pub max_retry_after: Micros,
    /// Messages between schedulers are allowed.
    pub may_message_peers: bool,
}

/// Times and factors of the protocol's rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Grace after a request's deadline in which a final answer still counts.
    pub answer_slack: Micros,
    /// Sends to a draining or removed worker must stop within this time.
    pub drain_grace: Micros,
    /// With [`EndpointDelivery::Poll`]: a scheduler that has not polled for this long counts as notified.
    pub poll_within: Option<Micros>,
    /// A worker starts with at least this fraction of its capacity.
    pub slow_start_floor: f64,
    /// A worker has its full capacity after this time at the latest.
    pub slow_start_time: Micros,
    /// A worker that is warming up fails when it is sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_time: Micros,
}

/// What things cost, as fractions of the result; used only to weigh one against another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostWeights {
    /// For attempts that cross zones.
    pub cross_zone: f64,
    /// For a health check, per request.
    pub probe: f64,
    /// For work that served no answer.
    pub waste: f64,
    /// For a new connection, per request.
    pub handshake: f64,
}

/// The settings of one scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This scheduler's number among the schedulers, from 0.
    pub scheduler_index: u32,
    /// How many schedulers there are.
    pub scheduler_count: u32,
    /// This scheduler's zone.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; empty where a site has none.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond its tenant's quota, as a fraction.
    pub over_quota_weight: f64,
    /// Weights count by the work in a request rather than by request.
    pub weight_by_work: bool,
    /// How changes of the endpoint list arrive.
    pub endpoint_delivery: EndpointDelivery,
    /// Where load reports come from.
    pub load_report_source: LoadReportSource,
    /// Meaning of the listed weights.
    pub weights: Weights,
    /// How workers serve their queues.
    pub queue_order: QueueOrder,
    /// Workers report when a job starts.
    pub reports_start: bool,
    /// Interval of progress reports; 0 for none.
    pub progress_interval: Micros,
    /// Permissions.
    pub limits: Limits,
    /// Times and factors of the rules.
    pub rules: Rules,
    /// What things cost.
    pub cost_weights: CostWeights,
    /// Events come in batches at most this often.
    pub tick: Micros,
}

impl Settings {
    /// Checks the settings for values that contradict one another.
    ///
    /// # Errors
    ///
    /// The first field that is out of its range, by the key that users set.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |field, reason| Err(SettingsError { field, reason });
        if self.scheduler_count == 0 || self.scheduler_index >= self.scheduler_count {
            return bad("me", "must be below the number of schedulers");
        }
        if self.classes.iter().any(|class| class.deadline == 0) {
            return bad("services[].deadline", "must be above 0");
        }
        if self.limits.max_attempts == 0 {
            return bad("limits.max_attempts", "must be at least 1");
        }
        if !(self.rules.slow_start_floor > 0.0 && self.rules.slow_start_floor <= 1.0) {
            return bad("rules.cold_share", "must lie in (0, 1]");
        }
        if !(self.rules.overload_factor > 0.0 && self.rules.overload_factor.is_finite()) {
            return bad("rules.fall_multiple", "must be positive");
        }
        if self.tenants.iter().any(|t| !(t.quota_per_second >= 0.0 && t.quota_per_second.is_finite())) {
            return bad("tenants.allowance_per_s", "must not be negative");
        }
        Ok(())
    }
}

/// Why [`Settings`] were not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key, as users set it.
    pub field: &'static str,
    /// What is wrong.
    pub reason: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "setting {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}
