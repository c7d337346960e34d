//! Stand-ins on loopback sockets for everything around a scheduler, implemented from the daemon's protocol: a
//! [`discovery::Discovery`] service whose endpoint list schedulers can watch, [`worker::Worker`]s that run
//! jobs or misbehave as scripted, a [`load_balancer::LoadBalancer`] in front of the schedulers, and
//! [`client`]s with a seeded load. The module [`audit`] compares what the clients received with what the
//! workers ran.
//!
//! Each stand-in is a value that owns its sockets and tasks; dropping the value ends them. A test controls a
//! stand-in by calling its methods. Where a test must stop in the middle of an HTTP message,
//! [`wire::HttpConnection`] serves as either end of a connection. The crate does not depend on the daemon's
//! code: it implements the protocol a second time, so that a mistake in either implementation becomes
//! visible.
//!
//! ```no_run
//! # async fn example() -> std::io::Result<()> {
//! use vetchbridge_testbed::{discovery::Discovery, runs::Runs};
//! use vetchbridge_testbed::worker::{JobBehavior, Worker, WorkerSpec};
//! let scheduler = "127.0.0.1:8080".parse().expect("an address");
//! let (discovery, runs) = (Discovery::start(1).await?, Runs::default());
//! let worker = Worker::start(WorkerSpec::new("s-0"), runs.clone(), &[scheduler]).await?;
//! discovery.list_as_up(&worker);
//! // The next job receives no response, and the job after it is lost.
//! worker.script_jobs([JobBehavior::NoResponse, JobBehavior::Lose]);
//! # Ok(()) }
//! ```

#![deny(missing_docs)]

pub mod arrivals;
pub mod audit;
pub mod client;
pub mod discovery;
pub mod load_balancer;
mod owned;
mod port;
pub mod queue;
pub mod runs;
pub mod stats;
pub mod store;
pub mod wire;
pub mod worker;

pub use owned::AbortOnDrop;
pub use port::Port;
