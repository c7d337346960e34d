//! Decides which worker each job is sent to, for a scheduler that pushes jobs to workers.
//!
//! [`Scheduler`] is a state machine: the embedding program passes one [`Event`] at a time with the current
//! time, and carries out the returned [`Action`]s in order. The scheduler does no I/O, reads no clock and
//! derives its random numbers from a seed. Equal sequences of events with the same seed therefore give equal
//! actions.
//!
//! # Choice of a worker
//!
//! A request's key is hashed onto a consistent ring on which every worker has virtual points in proportion to
//! its weight. The first worker clockwise from the key's position gets the job; if that worker has no
//! capacity, the next worker on the ring gets the job. Each further rule of the choice has a file of its own,
//! listed in the section "Files".
//!
//! # Example
//!
//! ```
//! use vetchbridge_scheduling::*;
//!
//! # fn settings() -> Settings {
//! #     Settings {
//! #         scheduler_index: 0, scheduler_count: 1, zone: ZoneId(0),
//! #         classes: vec![Class {
//! #             latency_objective: 500_000, objective_per_work: 2.0, deadline: 5_000_000,
//! #             priority_weight: 1.0, ..Class::default()
//! #         }],
//! #         tenants: vec![], over_quota_weight: 1.0, weight_by_work: false,
//! #         endpoint_delivery: EndpointDelivery::Push,
//! #         load_report_source: LoadReportSource::Responses, weights: WeightSource::Fixed,
//! #         queue_order: QueueOrder::Fifo, reports_start: false, progress_interval: 0,
//! #         limits: Limits {
//! #             max_attempts: 4, dial_timeout: 250_000, hedging: false, may_probe: false,
//! #             may_cancel: true, retry_after: true, max_retry_after: 2_000_000, may_message_peers: false,
//! #         },
//! #         rules: Rules {
//! #             answer_slack: 8_000, drain_grace: 500_000, poll_within: None, slow_start_floor: 0.3,
//! #             slow_start_time: 9_000_000, overload_factor: 3.0, overload_time: 1_000_000,
//! #         },
//! #         cost_weights: CostWeights::default(), tick: 2_000,
//! #     }
//! # }
//! # fn request(id: u64) -> Request {
//! #     Request {
//! #         id: RequestId(id), class: ClassId(0), tenant: TenantId(0), key: Some("timetable".into()),
//! #         deadline: 5_002_000, expected_work: None, slots: 1.0, retry: false,
//! #     }
//! # }
//! # fn rejection(worker: WorkerId) -> Event {
//! #     Event::AttemptFinished {
//! #         request: RequestId(1), attempt: AttemptNo(0), worker, outcome: Outcome::Rejected,
//! #         latency: 900, request_closed: false, load: None,
//! #     }
//! # }
//! let mut scheduler = Scheduler::new(settings(), 42)?;
//! let mut actions = Vec::new();
//!
//! // Discovery delivers the complete endpoint list.
//! let endpoints = [7, 8, 9].map(|n| Endpoint { worker: WorkerId(n), ..Endpoint::default() }).to_vec();
//! let list = Event::Endpoints { update: EndpointUpdate::Snapshot, endpoints };
//! scheduler.handle(1_000, list, &mut actions);
//!
//! // A client's request arrives. The scheduler sends the request to a worker.
//! scheduler.handle(2_000, Event::Request(request(1)), &mut actions);
//! let sent_to =
//!     |action: &Action| if let Action::Send { worker, .. } = action { Some(*worker) } else { None };
//! let worker = actions.iter().find_map(sent_to).expect("the request is sent");
//!
//! // The worker rejects the request, and the scheduler sends the request to the next worker on the ring.
//! actions.clear();
//! scheduler.handle(3_000, rejection(worker), &mut actions);
//! assert!(actions.iter().any(|action| sent_to(action).is_some_and(|next| next != worker)));
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! # Files
//!
//! | concern | files |
//! | --- | --- |
//! | interface | `ids.rs`, `settings.rs`, `events.rs`, `actions.rs` |
//! | state, dispatch of events | `scheduler.rs` |
//! | workers | `fleet.rs` (all), `worker.rs` (one), `ring.rs`, `candidates.rs`, `hot_keys.rs` |
//! | load and health of a worker | `admission.rs`, `concurrency_limit.rs`, `slow_start.rs`, `outlier.rs` |
//! | life cycle of a request | `request.rs`, `placement.rs`, `migration.rs`, `completion.rs`, `retry.rs` |
//! | other schedulers | `coordination.rs`, `peer_message.rs` |
//! | discovery | `endpoint_refresh.rs` |
//! | utilities | `timer.rs`, `hash.rs`, `random.rs` |

#![deny(missing_docs)]

mod actions;
mod admission;
mod candidates;
mod completion;
mod concurrency_limit;
mod coordination;
mod endpoint_refresh;
mod events;
mod fleet;
mod hash;
mod hot_keys;
mod ids;
mod migration;
mod outlier;
mod peer_message;
mod placement;
mod random;
mod request;
mod retry;
mod ring;
mod scheduler;
mod settings;
mod slow_start;
#[cfg(test)]
mod test_support;
mod timer;
mod worker;

pub use actions::*;
pub use endpoint_refresh::LIST_CONFIRMATION_TIMEOUT;
pub use events::*;
pub use ids::*;
pub use peer_message::{Occupancy, PeerMessage};
pub use scheduler::Scheduler;
pub use settings::*;
