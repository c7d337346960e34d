//! vetchbridge_scheduling decides, for a scheduler that pushes jobs to workers, where each job goes.
//!
//! The decisions are in [`policy`], its interface in [`interface`]. A scheduler gives the policy one event
//! at a time with its clock, and carries out the actions that come back, in order:
//!
//! ```
//! use vetchbridge_scheduling::*;
//!
//! # fn settings() -> Settings {
//! #     Settings {
//! #         me: 0, schedulers: 1, zone: ZoneId(0),
//! #         classes: vec![Class {
//! #             aim: 500_000, stretch: 2.0, deadline: 5_000_000, worth: 1.0, late_share: 0.0,
//! #             effect: Idempotency::NonIdempotent, kind: None, priority: 0, stream: false,
//! #         }],
//! #         tenants: vec![], over_share_worth: 1.0, worth_by_work: false,
//! #         discovery: EndpointDelivery::Push, report_via: LoadReportSource::Responses, weights: Weights::Fixed,
//! #         queue_order: QueueOrder::Fifo, tells_start: false, progress_every: 0,
//! #         limits: Limits {
//! #             max_attempts: 4, dial_timeout: 250_000, second_copies: false, may_probe: false, may_cancel: true,
//! #             retry_after: true, max_retry_after: 2_000_000, may_message_peers: false,
//! #         },
//! #         rules: Rules {
//! #             answer_slack: 8_000, drain_grace: 500_000, ask_within: None, cold_share: 0.3,
//! #             cold_time: 9_000_000, fall_multiple: 3.0, fall_time: 1_000_000,
//! #         },
//! #         prices: CostWeights::default(), tick: 2_000,
//! #     }
//! # }
//! let mut policy = Policy::new(settings(), 42)?;
//! let mut actions = Vec::new();
//!
//! // The list of workers, from discovery.
//! let member = |n| Endpoint {
//!     worker: WorkerId(n), zone: ZoneId(0), kind: KindId(0), cell: CellId(0),
//!     state: EndpointState::Ready, units: 1.0, born: 0,
//! };
//! let list = Event::Endpoints { kind: EndpointUpdate::Snapshot, members: vec![member(7), member(8), member(9)] };
//! policy.handle(1_000, list, &mut actions);
//!
//! // A client's request: the policy answers with an attempt for the scheduler to send.
//! let request = Request {
//!     id: RequestId(1), class: ClassId(0), tenant: TenantId(0), key: Some("timetable".into()),
//!     due: 5_002_000, expected_work: None, slots: 1.0, retry: false,
//! };
//! policy.handle(2_000, Event::Request(request), &mut actions);
//! let worker = actions.iter().find_map(|action| match action {
//!     Action::Send { worker, .. } => Some(*worker),
//!     _ => None,
//! }).expect("a fresh worker takes it");
//!
//! // It was turned away unseen: the policy walks on along the ring.
//! actions.clear();
//! let refused = Event::AttemptFinished {
//!     request: RequestId(1), attempt: AttemptNo(0), worker, status: Outcome::Rejected,
//!     latency: 900, closed: false, load: None,
//! };
//! policy.handle(3_000, refused, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { worker: next, .. } if *next != worker)));
//! # Ok::<(), SettingsError>(())
//! ```

mod hash;
pub mod interface;
pub mod peer_message;
mod retry;
pub mod scheduler;
mod slow_start;

pub use interface::*;
pub use scheduler::{Scheduler, CONFIRM_WITHIN};
