//! The settings of a scheduler: the scheduler's index among its peers, the request classes and tenants, and
//! the limits and rules of the deployment.

use crate::ids::{MachineTypeId, Micros, ZoneId};

/// Whether workers may run the job of a request of a class more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Workers may run the job of a request any number of times.
    Idempotent,
    /// The request has an idempotency key: the workers of one scope drop a repeat of the request within a
    /// time window after the first attempt.
    Keyed {
        /// The workers that recognise and drop a repeat of the request.
        scope: DeduplicationScope,
        /// How long the workers drop repeats, in microseconds since the first attempt that may have run was
        /// sent.
        deduplication_window: Micros,
    },
    /// Workers must not run the job of a request more than once.
    #[default]
    NonIdempotent,
}

/// The workers that drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers drop a repeat of the request.
    All,
    /// The workers in the zone of the first worker that may have run the job drop a repeat of the request.
    Zone,
    /// The workers in the cell of the first worker that may have run the job drop a repeat of the request.
    Cell,
}

/// A class of requests: all requests of a class share its latency objective, deadline, priority and
/// idempotency.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Latency objective, in microseconds since the request's arrival. A final answer that meets the latency
    /// objective has the full `priority_weight`.
    pub latency_objective: Micros,
    /// Multiple of the job's running time that is added to `latency_objective`. The scheduler uses the
    /// expected running time.
    pub objective_per_work: f64,
    /// How long a client waits for a final answer in total, over the first request and all retries of the
    /// client, in microseconds.
    pub deadline: Micros,
    /// Weight of a request in the overall result if its final answer meets the latency objective.
    pub priority_weight: f64,
    /// Fraction of `priority_weight` that a request still has if its final answer misses the latency
    /// objective.
    pub late_weight: f64,
    /// Whether workers may run the job of a request more than once.
    pub idempotency: Idempotency,
    /// The only machine type whose workers run the jobs of this class; `None` if workers of every machine
    /// type run them.
    pub machine_type: Option<MachineTypeId>,
    /// Priority of the class's jobs in the queues of workers that use [`QueueOrder::Priority`].
    pub priority: i64,
    /// Whether workers stream the response to a request of this class.
    pub stream: bool,
}

/// A tenant of the deployment: requests belong to tenants, and each tenant has a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's quota in requests per second, over all schedulers.
    pub quota_per_second: f64,
}

/// The order in which a worker serves its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// The worker serves its queue in order of arrival. No queued job starts before the first job in the
    /// queue fits into the worker's free slots.
    Fifo,
    /// The worker starts the first queued job that fits into the worker's free slots.
    Backfill,
    /// The worker serves its queue by the priority of the jobs' classes; see [`Class::priority`].
    Priority,
}

/// When workers send load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// Workers send a load report with the response to an attempt and with the response to a probe.
    Responses,
    /// Workers send a load report only with the response to a probe.
    Probes,
    /// Workers send no load reports.
    Never,
}

/// How changes of the endpoint list reach a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointDelivery {
    /// Discovery sends changes of the endpoint list to the scheduler without being asked.
    Push,
    /// Discovery sends changes of the endpoint list only after
    /// [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchEndpoints`](crate::Action::FetchEndpoints).
    Poll,
}

/// What [`Endpoint::weight`](crate::Endpoint::weight) is derived from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// The weights in the endpoint list are ignored: every worker has weight 1.
    Fixed,
    /// The weight in the endpoint list is the registered or approximate size of the worker.
    Size,
    /// The weight in the endpoint list is the worker's size, reduced by the worker's load at an earlier
    /// sample. The scheduler ignores these weights and gives every worker weight 1, because the ring must not
    /// follow the load.
    Live,
}

/// Limits on what a scheduler may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging: bool,
    /// Maximum time to establish a connection to a worker, in microseconds. A connection that takes longer
    /// has failed.
    pub dial_timeout: Micros,
    /// Whether the scheduler may send health checks (probes) to workers.
    pub may_probe: bool,
    /// Whether the scheduler may cancel an attempt that is in flight.
    pub may_cancel: bool,
    /// Whether the scheduler gives the client of a rejected request a Retry-After.
    pub retry_after: bool,
    /// The longest Retry-After that clients honour, in microseconds.
    pub max_retry_after: Micros,
    /// Whether schedulers may send messages to one another.
    pub may_message_peers: bool,
}

/// Times and factors of the rules that schedulers must follow.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Time after a request's deadline within which the request's final answer still counts, in microseconds.
    pub answer_slack: Micros,
    /// Time within which the scheduler must stop sending jobs to a worker that drains or was removed from the
    /// endpoint list, in microseconds.
    pub drain_grace: Micros,
    /// With [`EndpointDelivery::Poll`]: a scheduler that has not polled discovery for this long, in
    /// microseconds, counts as notified of a change of the endpoint list.
    pub poll_within: Option<Micros>,
    /// Smallest fraction of its full capacity that a worker can have right after the start of the worker's
    /// process.
    pub slow_start_floor: f64,
    /// Time after the start of a worker's process by which the worker has its full capacity, in microseconds.
    pub slow_start_time: Micros,
    /// A worker that is warming up fails if schedulers send it more work than this multiple of its current
    /// capacity for `overload_time`.
    pub overload_factor: f64,
    /// How long an overload by `overload_factor` lasts before the warming worker fails, in microseconds.
    pub overload_time: Micros,
}

/// Costs of the scheduler's choices, as fractions of the deployment's overall result. The values serve only
/// to compare one cost with another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostWeights {
    /// Cost of attempts that the scheduler sends to workers in other zones.
    pub cross_zone: f64,
    /// Cost of the health checks that the scheduler sends to workers, per request of a client.
    pub probe: f64,
    /// Cost of the work that workers do on jobs whose request is not served in the end.
    pub waste: f64,
    /// Cost of new connections to workers, per request of a client.
    pub handshake: f64,
}

/// The settings of one scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this scheduler among all schedulers, from 0.
    pub scheduler_index: u32,
    /// Number of schedulers in the deployment, including this scheduler.
    pub scheduler_count: u32,
    /// This scheduler's zone.
    pub zone: ZoneId,
    /// Classes of requests; [`ClassId`](crate::ClassId) is an index into this list.
    pub classes: Vec<Class>,
    /// Tenants; [`TenantId`](crate::TenantId) is an index into this list. Empty if the deployment has no
    /// tenants.
    pub tenants: Vec<Tenant>,
    /// Weight of a request that exceeds its tenant's quota, as a fraction of the request's ordinary weight.
    pub over_quota_weight: f64,
    /// Whether a request is weighted by the work of its job; otherwise all requests of a class have the same
    /// weight.
    pub weight_by_work: bool,
    /// How changes of the endpoint list reach the scheduler.
    pub endpoint_delivery: EndpointDelivery,
    /// When workers send load reports.
    pub load_report_source: LoadReportSource,
    /// What the weights in the endpoint list are derived from.
    pub weights: WeightSource,
    /// The order in which workers serve their queues.
    pub queue_order: QueueOrder,
    /// Whether workers report to the scheduler that a job has started.
    pub reports_start: bool,
    /// Interval between a worker's progress reports about one job, in microseconds; 0 if workers send no
    /// progress reports.
    pub progress_interval: Micros,
    /// Limits on what this scheduler may do to serve requests: the number of attempts for a request, the time
    /// to connect to a worker, the longest Retry-After, and whether the scheduler may hedge, probe workers,
    /// cancel attempts and exchange messages with other schedulers.
    pub limits: Limits,
    /// Times and factors of the rules that schedulers must follow.
    pub rules: Rules,
    /// Costs that the scheduler weighs against one another.
    pub cost_weights: CostWeights,
    /// Minimum interval between two batches of events that the embedding program passes to the scheduler, in
    /// microseconds.
    pub tick: Micros,
}

impl Settings {
    /// Checks that every value of the settings is in range.
    ///
    /// # Errors
    ///
    /// Returns the first field whose value is out of range. The error names the field by its key in the
    /// settings that users write.
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

/// The error for a field of [`Settings`] whose value is out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The key of the field in the settings that users write.
    pub field: &'static str,
    /// The condition that the field's value violates.
    pub reason: &'static str,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "setting {}: {}", self.field, self.reason)
    }
}

impl std::error::Error for SettingsError {}
