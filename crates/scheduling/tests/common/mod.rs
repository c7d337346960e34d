//! Helpers that the integration tests share: settings, endpoints, requests, events, and a driver that passes
//! events to one scheduler.
#![allow(dead_code, missing_docs)]

use vetchbridge_scheduling::*;

pub mod simulation;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Returns a class of requests with a latency objective of 500 ms and a deadline of 5 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 500 * MILLISECOND,
        objective_per_work: 2.0,
        deadline: 5 * SECOND,
        priority_weight: 1.0,
        late_weight: 0.3,
        idempotency,
        machine_type: None,
        priority: 0,
        stream: false,
    }
}

// Indices of the classes in the settings that `settings()` returns.
pub const IDEMPOTENT: u32 = 0;
pub const KEYED_ALL: u32 = 1;
pub const KEYED_CELL: u32 = 2;
pub const NON_IDEMPOTENT: u32 = 3;
pub const MACHINE_BOUND: u32 = 4;

/// Returns the settings of a single scheduler with the five classes from `IDEMPOTENT` to `MACHINE_BOUND`.
/// Jobs of the class `MACHINE_BOUND` run on machine type 1 only.
pub fn settings() -> Settings {
    let deduplication_window = 2 * SECOND;
    let mut machine_bound = class(Idempotency::Idempotent);
    machine_bound.machine_type = Some(MachineTypeId(1));
    Settings {
        scheduler_index: 0,
        scheduler_count: 1,
        zone: ZoneId(0),
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed { scope: DeduplicationScope::All, deduplication_window }),
            class(Idempotency::Keyed { scope: DeduplicationScope::Cell, deduplication_window }),
            class(Idempotency::NonIdempotent),
            machine_bound,
        ],
        tenants: vec![],
        over_quota_weight: 0.1,
        weight_by_work: false,
        endpoint_delivery: EndpointDelivery::Push,
        load_report_source: LoadReportSource::Responses,
        weights: WeightSource::Size,
        queue_order: QueueOrder::Fifo,
        reports_start: false,
        progress_interval: 0,
        limits: Limits {
            max_attempts: 4,
            dial_timeout: 250 * MILLISECOND,
            hedging: false,
            may_probe: false,
            may_cancel: true,
            retry_after: true,
            max_retry_after: 2 * SECOND,
            may_message_peers: false,
        },
        rules: Rules {
            answer_slack: 8 * MILLISECOND,
            drain_grace: 500 * MILLISECOND,
            poll_within: None,
            slow_start_floor: 0.25,
            slow_start_time: 10 * SECOND,
            overload_factor: 3.0,
            overload_time: SECOND,
        },
        cost_weights: CostWeights::default(),
        tick: 2 * MILLISECOND,
    }
}

/// Returns the endpoint list entry of the ready worker with id `n`, whose zone, machine type and cell are
/// derived from `n`.
pub fn endpoint(n: u64) -> Endpoint {
    Endpoint {
        worker: WorkerId(n),
        zone: ZoneId((n % 3) as u32),
        machine_type: MachineTypeId((n % 2) as u32),
        cell: CellId((n / 4) as u32),
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: 0,
    }
}

/// Returns an event that updates the endpoint list with these entries.
pub fn endpoints_event(update: EndpointUpdate, endpoints: impl IntoIterator<Item = Endpoint>) -> Event {
    Event::Endpoints { update, endpoints: endpoints.into_iter().collect() }
}

/// Returns an event with the complete endpoint list of workers 1 to `n`.
pub fn fleet_snapshot(n: u64) -> Event {
    endpoints_event(EndpointUpdate::Snapshot, (1..=n).map(endpoint))
}

pub fn request(id: u64, class: u32, key: &str, deadline: Micros) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: TenantId(0),
        key: Some(key.to_string()),
        deadline,
        expected_work: None,
        slots: 1.0,
        retry: false,
    }
}

pub fn attempt_finished(id: u64, attempt: u32, worker: WorkerId, outcome: Outcome) -> Event {
    Event::AttemptFinished {
        request: RequestId(id),
        attempt: AttemptNo(attempt),
        worker,
        outcome,
        latency: 5 * MILLISECOND,
        request_closed: outcome == Outcome::Ok,
        load: None,
    }
}

/// A scheduler under test and the current time of its clock, in microseconds.
pub struct Driver {
    pub scheduler: Scheduler,
    pub now: Micros,
}

impl Driver {
    pub fn new(settings: Settings) -> Driver {
        Driver {
            scheduler: Scheduler::new(settings, 1).expect("the test's settings are valid"),
            now: 100 * SECOND,
        }
    }

    pub fn with_fleet(settings: Settings, n: u64) -> Driver {
        let mut driver = Driver::new(settings);
        driver.event(fleet_snapshot(n));
        driver
    }

    /// Passes an event to the scheduler at the current time and returns the scheduler's actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        actions
    }

    /// Sets the clock to `now`, passes an event to the scheduler and returns the scheduler's actions.
    pub fn at(&mut self, now: Micros, event: Event) -> Vec<Action> {
        self.now = now;
        self.event(event)
    }

    /// Passes a new request with a deadline in 5 s to the scheduler and returns the scheduler's actions.
    pub fn request(&mut self, id: u64, class: u32, key: &str) -> Vec<Action> {
        let deadline = self.now + 5 * SECOND;
        self.event(Event::Request(request(id, class, key, deadline)))
    }
}

/// Returns the workers to which the actions send attempts, in order.
pub fn sent_workers(actions: &[Action]) -> Vec<WorkerId> {
    let send = |a: &Action| if let Action::Send { worker, .. } = a { Some(*worker) } else { None };
    actions.iter().filter_map(send).collect()
}

/// Returns the worker to which the actions send an attempt. Panics unless the actions send exactly one
/// attempt.
pub fn sent_to(actions: &[Action]) -> WorkerId {
    let workers = sent_workers(actions);
    assert_eq!(workers.len(), 1, "one attempt expected in {actions:?}");
    workers[0]
}

/// Whether one of the actions rejects a request.
pub fn has_rejection(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// Whether one of the actions gives a request a failure as its final answer.
pub fn has_failure(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}

/// Returns the times and tokens of the timers that the actions set.
pub fn timers(actions: &[Action]) -> Vec<(Micros, TimerToken)> {
    let timer = |a: &Action| if let Action::SetTimer { at, token } = a { Some((*at, *token)) } else { None };
    actions.iter().filter_map(timer).collect()
}
