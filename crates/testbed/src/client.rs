//! Clients: a load of jobs over real connections, each retried as its class allows, and the record of what
//! they received.
//!
//! Owns the connections and the clock of the load. Latency counts from when a job should have been sent, so
//! that a delay of the clients is not hidden (coordinated omission); that delay is recorded beside it.
//! Whether the answers are right is checked by [`crate::audit`].

mod exchange;
mod job;
mod record;
mod retry;

pub use record::{Attempt, JobRecord, LoadProgress, LoadRecord, Outcome};

use crate::arrivals::{Arrival, Arrivals, LoadError, LoadErrorReason, LoadSpec};
use exchange::HttpClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use job::Job;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is reused.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// The clients of a load. Clones share their connections.
#[derive(Clone)]
pub struct Clients {
    spec: Arc<LoadSpec>,
    targets: Arc<Vec<SocketAddr>>,
    /// Reuses idle connections.
    pooled: HttpClient,
    /// Makes a new connection for each request.
    unpooled: HttpClient,
    /// Number of targets chosen so far.
    chosen_targets: Arc<AtomicUsize>,
}

impl Clients {
    /// Clients that spread their jobs over these addresses by round robin.
    pub fn new(spec: LoadSpec, targets: Vec<SocketAddr>) -> Result<Clients, LoadError> {
        Arrivals::new(&spec)?;
        if targets.is_empty() {
            return Err(LoadError::new("targets", LoadErrorReason::Empty));
        }
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pooled = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector.clone());
        let unpooled = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(connector);
        let (spec, targets) = (Arc::new(spec), Arc::new(targets));
        Ok(Clients { spec, targets, pooled, unpooled, chosen_targets: Arc::default() })
    }

    /// The target of the next attempt.
    fn next_target(&self) -> SocketAddr {
        self.targets[self.chosen_targets.fetch_add(1, Ordering::Relaxed) % self.targets.len()]
    }

    /// The job of an arrival, from its first attempt to its last.
    fn job(&self, load_start: Instant, arrival: Arrival) -> Job {
        Job::new(self.clone(), load_start, arrival)
    }

    /// Sends an open loop of jobs for `duration` from `load_start` on, or until `stop` is true; then waits
    /// for the jobs in flight. `on_progress` is called after each change.
    pub async fn run(
        self,
        load_start: Instant,
        duration: Duration,
        mut stop: watch::Receiver<bool>,
        mut on_progress: impl FnMut(LoadProgress),
    ) -> Result<LoadRecord, LoadError> {
        let (mut record, mut in_flight) = (LoadRecord::default(), JoinSet::new());
        let (mut sent, mut stopped) = (0, false);
        let mut arrivals = Arrivals::new(&self.spec)?.take_while(|arrival| arrival.at < duration).peekable();
        loop {
            let next_at = arrivals.peek().filter(|_| !stopped).map(|arrival| load_start + arrival.at);
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop), if !stopped => stopped = true,
                () = sleep_until(next_at.unwrap_or(load_start)), if next_at.is_some() => {
                    let Some(arrival) = arrivals.next() else { continue };
                    record.lag = record.lag.max(load_start.elapsed().saturating_sub(arrival.at));
                    sent += 1;
                    in_flight.spawn(self.job(load_start, arrival).run());
                }
                Some(ended) = in_flight.join_next(), if !in_flight.is_empty() => record.jobs.extend(ended.ok()),
                else => break,
            }
            on_progress(LoadProgress { elapsed: load_start.elapsed(), sent, ended: record.jobs.len() });
            if next_at.is_none() && in_flight.is_empty() {
                break;
            }
        }
        record.jobs.sort_by_key(|job| job.arrival.job);
        Ok(record)
    }

    /// Runs a closed loop for `duration`: each of the connections sends its next job when the last has ended.
    /// The capacity of a server shows in the number of jobs, not in their latency.
    pub async fn run_closed_loop(
        self,
        connections: usize,
        duration: Duration,
    ) -> Result<LoadRecord, LoadError> {
        let load_start = Instant::now();
        let arrivals = Arc::new(Mutex::new(Arrivals::new(&self.spec)?));
        let mut in_flight = JoinSet::new();
        for _ in 0..connections {
            let (clients, arrivals) = (self.clone(), arrivals.clone());
            in_flight.spawn(async move {
                let mut jobs = Vec::new();
                while load_start.elapsed() < duration {
                    let arrival = arrivals.lock().unwrap_or_else(PoisonError::into_inner).next();
                    let Some(arrival) = arrival else { break };
                    let arrival = Arrival { at: load_start.elapsed(), ..arrival };
                    jobs.push(clients.job(load_start, arrival).run().await);
                }
                jobs
            });
        }
        let jobs = in_flight.join_all().await.into_iter().flatten().collect();
        Ok(LoadRecord { jobs, lag: Duration::ZERO })
    }
}

#[cfg(test)]
mod tests;
