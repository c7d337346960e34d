//! The settings of a scheduler: its index among its peers, request classes, tenants, limits and rules.

use crate::ids::{MachineTypeId, Micros, ZoneId};

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The workers of one scope drop a repeat of the request within a time window.
    Keyed {
        /// The workers that recognise a repeat.
        scope: DeduplicationScope,
        /// How long the workers drop repeats, counted from the first attempt that may have run.
        deduplication_window: Micros,
    },
    /// The request must not run more than once.
    #[default]
    NonIdempotent,
}

/// The workers that drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers in the zone of the worker that may have run the request.
    Zone,
    /// The workers in the cell of the worker that may have run the request.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// An answer within this time has the full `priority_weight`.
    pub latency_objective: Micros,
    /// Multiple of the job's own running time that is added to the latency objective.
    pub objective_per_work: f64,
    /// How long the client waits for an answer in total, over all of its tries.
    pub deadline: Micros,
    /// Weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// Fraction of `priority_weight` that an answer after the latency objective still has.
    pub late_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// The only machine type that runs this class; `None` if every machine type does.
    pub machine_type: Option<MachineTypeId>,
    /// Priority in the queues of workers that use [`QueueOrder::Priority`].
    pub priority: i64,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's quota in requests per second, over all schedulers.
    pub quota_per_second: f64,
}

/// The order in which a worker serves its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// In order of arrival; the first job waits until it fits.
    Fifo,
    /// The first queued job that fits.
    Backfill,
    /// By the priority of the jobs' classes.
    Priority,
}

/// When workers send load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// With attempt outcomes and with probe results.
    Responses,
    /// With probe results only.
    Probes,
    /// Workers send no load reports.
    Never,
}

/// How changes of the endpoint list reach a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointDelivery {
    /// Discovery sends changes without being asked.
    Push,
    /// Discovery sends changes only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    Poll,
}

/// What [`Endpoint::weight`](crate::Endpoint::weight) is derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Listed weights are ignored: every worker has weight 1.
    Fixed,
    /// The registered or approximate size of the worker.
    Size,
    /// The worker's size reduced by its load at an earlier sample. Every worker has weight 1, since the ring
    /// must not follow the load.
    Live,
}

/// Limits on what the scheduler may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging: bool,
    /// A connection that is not established within this time has failed.
    pub dial_timeout: Micros,
    /// Whether the scheduler may send health checks.
    pub may_probe: bool,
    /// Whether the scheduler may cancel an attempt.
    pub may_cancel: bool,
    /// Whether rejected clients are given a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients honour.
    pub max_retry_after: Micros,
    /// Whether schedulers may send messages to one another.
    pub may_message_peers: bool,
}

/// Times and factors of the rules that schedulers must follow.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Time after a request's deadline within which a final answer still counts.
    pub answer_slack: Micros,
    /// The scheduler must stop sending to a draining or removed worker within this time.
    pub drain_grace: Micros,
    /// With [`EndpointDelivery::Poll`]: a scheduler that has not polled for this long counts as notified of a
    /// change.
    pub poll_within: Option<Micros>,
    /// Smallest fraction of its full capacity that a worker has right after its start.
    pub slow_start_floor: f64,
    /// Time after its start by which a worker has its full capacity.
    pub slow_start_time: Micros,
    /// A worker that is warming up fails if it is sent more than this multiple of its current capacity for
    /// `overload_time`.
    pub overload_factor: f64,
    /// How long an overload by `overload_factor` lasts before the worker fails.
    pub overload_time: Micros,
}

/// Costs as fractions of the overall result; used only to compare one cost with another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostWeights {
    /// Cost of attempts that cross zones.
    pub cross_zone: f64,
    /// Cost of a health check, per request.
    pub probe: f64,
    /// Cost of work that did not lead to a served answer.
    pub waste: f64,
    /// Cost of a new connection, per request.
    pub handshake: f64,
}

/// The settings of one scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this scheduler among all schedulers, from 0.
    pub scheduler_index: u32,
    /// Number of schedulers in the deployment.
    pub scheduler_count: u32,
    /// This scheduler's zone.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Tenants; empty if the deployment has none.
    pub tenants: Vec<Tenant>,
    /// Weight of a request that exceeds its tenant's quota, as a fraction of its ordinary weight.
    pub over_quota_weight: f64,
    /// Whether a request is weighted by its work; otherwise all requests of a class have the same weight.
    pub weight_by_work: bool,
    /// How changes of the endpoint list reach the scheduler.
    pub endpoint_delivery: EndpointDelivery,
    /// When workers send load reports.
    pub load_report_source: LoadReportSource,
    /// What the weights in the endpoint list are derived from.
    pub weights: WeightSource,
    /// The order in which workers serve their queues.
    pub queue_order: QueueOrder,
    /// Whether workers report the start of a job.
    pub reports_start: bool,
    /// Interval between progress reports of a job; 0 if workers send none.
    pub progress_interval: Micros,
    /// Limits on what the scheduler may do.
    pub limits: Limits,
    /// Times and factors of the rules that schedulers must follow.
    pub rules: Rules,
    /// Costs that the scheduler weighs against one another.
    pub cost_weights: CostWeights,
    /// Minimum interval between two batches of events.
    pub tick: Micros,
}

impl Settings {
    /// Checks the settings for values that are out of range.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of range, named by the key that users set.
    pub fn check(&self) -> Result<(), SettingsError> {
        let invalid = |field, reason| Err(SettingsError { field, reason });
        if self.scheduler_count == 0 || self.scheduler_index >= self.scheduler_count {
            return invalid("me", "must be below the number of schedulers");
        }
        if self.classes.iter().any(|class| class.deadline == 0) {
            return invalid("services[].deadline", "must be above 0");
        }
        if self.limits.max_attempts == 0 {
            return invalid("limits.max_attempts", "must be at least 1");
        }
        if !(self.rules.slow_start_floor > 0.0 && self.rules.slow_start_floor <= 1.0) {
            return invalid("rules.cold_share", "must lie in (0, 1]");
        }
        if !(self.rules.overload_factor > 0.0 && self.rules.overload_factor.is_finite()) {
            return invalid("rules.fall_multiple", "must be positive");
        }
        if self.tenants.iter().any(|t| !(t.quota_per_second >= 0.0 && t.quota_per_second.is_finite())) {
            return invalid("tenants.allowance_per_s", "must not be negative");
        }
        Ok(())
    }
}

/// An invalid field of [`Settings`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key of the field, as users set it.
    pub field: &'static str,
    /// The condition that the value violates.
    pub reason: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "setting {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}
