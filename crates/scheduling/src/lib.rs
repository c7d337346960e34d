//! vetchbridge_scheduling decides, for a scheduler that pushes jobs to workers, where each job goes.
//!
//! The decisions are in [`scheduler`], its interface in [`interface`]. A scheduler gives the policy one event
//! at a time with its clock, and carries out the actions that come back, in order:
//!
//! ```
//! use vetchbridge_scheduling::*;
//!
//! # fn settings() -> Settings {
//! #     Settings {
//! #         scheduler_index: 0, scheduler_count: 1, zone: ZoneId(0),
//! #         classes: vec![Class {
//! #             latency_objective: 500_000, objective_per_work: 2.0, deadline: 5_000_000, priority_weight: 1.0, late_weight: 0.0,
//! #             idempotency: Idempotency::NonIdempotent, kind: None, priority: 0, stream: false,
//! #         }],
//! #         tenants: vec![], over_quota_weight: 1.0, weight_by_work: false,
//! #         endpoint_delivery: EndpointDelivery::Push, load_report_source: LoadReportSource::Responses, weights: Weights::Fixed,
//! #         queue_order: QueueOrder::Fifo, reports_start: false, progress_interval: 0,
//! #         limits: Limits {
//! #             max_attempts: 4, dial_timeout: 250_000, hedging: false, may_probe: false, may_cancel: true,
//! #             retry_after: true, max_retry_after: 2_000_000, may_message_peers: false,
//! #         },
//! #         rules: Rules {
//! #             answer_slack: 8_000, drain_grace: 500_000, poll_within: None, slow_start_floor: 0.3,
//! #             slow_start_time: 9_000_000, overload_factor: 3.0, overload_time: 1_000_000,
//! #         },
//! #         cost_weights: CostWeights::default(), tick: 2_000,
//! #     }
//! # }
//! let mut scheduler = Scheduler::new(settings(), 42)?;
//! let mut actions = Vec::new();
//!
//! // The list of workers, from discovery.
//! let endpoint = |n| Endpoint {
//!     worker: WorkerId(n), zone: ZoneId(0), kind: KindId(0), cell: CellId(0),
//!     state: EndpointState::Ready, weight: 1.0, started_at: 0,
//! };
//! let list = Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints: vec![endpoint(7), endpoint(8), endpoint(9)] };
//! scheduler.handle(1_000, list, &mut actions);
//!
//! // A client's request: the policy answers with an attempt for the scheduler to send.
//! let request = Request {
//!     id: RequestId(1), class: ClassId(0), tenant: TenantId(0), key: Some("timetable".into()),
//!     deadline: 5_002_000, expected_work: None, slots: 1.0, retry: false,
//! };
//! scheduler.handle(2_000, Event::Request(request), &mut actions);
//! let worker = actions.iter().find_map(|action| match action {
//!     Action::Send { worker, .. } => Some(*worker),
//!     _ => None,
//! }).expect("a fresh worker takes it");
//!
//! // It was turned away unseen: the policy walks on along the ring.
//! actions.clear();
//! let refused = Event::AttemptFinished {
//!     request: RequestId(1), attempt: AttemptNo(0), worker, outcome: Outcome::Rejected,
//!     latency: 900, closed: false, load: None,
//! };
//! scheduler.handle(3_000, refused, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { worker: next, .. } if *next != worker)));
//! # Ok::<(), SettingsError>(())
//! ```

mod actions;
mod events;
mod hash;
mod ids;
pub mod interface;
pub mod peer_message;
mod request;
mod retry;
pub mod scheduler;
mod settings;
mod slow_start;
mod worker;

pub use actions::*;
pub use events::*;
pub use ids::*;
pub use scheduler::{Scheduler, CONFIRM_WITHIN};
pub use settings::*;
