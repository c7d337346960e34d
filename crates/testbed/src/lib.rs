//! Stand-ins on loopback sockets for everything around a scheduler, written from the daemon's protocol: a
//! [`discovery::Discovery`] with watches, [`worker::Worker`]s that run jobs or misbehave as scripted, a
//! [`load_balancer::LoadBalancer`] in front of the schedulers, and [`client`]s with a seeded load.
//!
//! Each part is a value that owns its sockets and tasks; dropping it ends them. A test scripts a part by
//! calling it; [`wire::Wire`] is either end of a connection where a test must break off inside a message.
//! Nothing here depends on the daemon's code: the protocol is written down a second time, so that a mistake
//! in either shows.
//!
//! ```no_run # async fn example() -> std::io::Result<()> { use vetchbridge_testbed::{discovery::Discovery,
//! worker::{JobBehavior, Worker, WorkerSpec}, runs::Runs}; let scheduler =
//! "127.0.0.1:8080".parse().expect("an address"); let (discovery, runs) = (Discovery::start(1).await?,
//! Runs::default()); let worker = Worker::start(WorkerSpec::new("s-0"), runs.clone(), &[scheduler]).await?;
//! discovery.list_as_up(&worker); worker.script_jobs([JobBehavior::NoResponse, JobBehavior::Lose]); // the
//! next job gets no response, the one after is lost # Ok(()) } ```

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
