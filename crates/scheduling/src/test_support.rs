//! Settings, endpoints and fleets that the unit tests share.

use crate::events::{Endpoint, EndpointUpdate};
use crate::fleet::Fleet;
use crate::ids::{Micros, WorkerId, ZoneId};
use crate::settings::{
    Class, CostWeights, EndpointDelivery, Idempotency, Limits, LoadReportSource, QueueOrder, Rules, Settings,
    WeightSource,
};

/// The current time in the tests, in microseconds.
pub(crate) const NOW: Micros = 100_000_000;

/// Returns the settings of a single scheduler with one class of idempotent requests.
pub(crate) fn settings() -> Settings {
    Settings {
        scheduler_index: 0,
        scheduler_count: 1,
        zone: ZoneId(0),
        classes: vec![Class {
            latency_objective: 500_000,
            objective_per_work: 2.0,
            deadline: 5_000_000,
            priority_weight: 1.0,
            late_weight: 0.3,
            idempotency: Idempotency::Idempotent,
            ..Class::default()
        }],
        tenants: vec![],
        over_quota_weight: 0.1,
        weight_by_work: false,
        endpoint_delivery: EndpointDelivery::Push,
        load_report_source: LoadReportSource::Responses,
        weights: WeightSource::Size,
        queue_order: QueueOrder::Fifo,
        reports_start: false,
        progress_interval: 0,
        limits: limits(),
        rules: rules(),
        cost_weights: CostWeights::default(),
        tick: 2_000,
    }
}

fn limits() -> Limits {
    Limits {
        max_attempts: 4,
        hedging: false,
        dial_timeout: 250_000,
        may_probe: false,
        may_cancel: true,
        retry_after: true,
        max_retry_after: 2_000_000,
        may_message_peers: false,
    }
}

/// Returns rules under which a worker starts with a quarter of its capacity and warms up within ten seconds.
pub(crate) fn rules() -> Rules {
    Rules {
        answer_slack: 8_000,
        drain_grace: 500_000,
        poll_within: None,
        slow_start_floor: 0.25,
        slow_start_time: 10_000_000,
        overload_factor: 3.0,
        overload_time: 1_000_000,
    }
}

/// Returns the endpoint list entry of a ready worker of weight 1 that started long ago.
pub(crate) fn endpoint(n: u64) -> Endpoint {
    Endpoint { worker: WorkerId(n), weight: 1.0, ..Endpoint::default() }
}

/// Returns a fleet of the workers in `endpoints`, in the order of `endpoints`.
pub(crate) fn fleet_of(endpoints: impl IntoIterator<Item = Endpoint>) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.update(NOW, EndpointUpdate::Snapshot, endpoints.into_iter().collect(), WeightSource::Size);
    fleet
}
