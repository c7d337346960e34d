//! Clients of the schedulers: they send the jobs of a load over real connections, retry each job as its class
//! allows, and record the responses.
//!
//! The clients own the connections and the clock of the load. Latency counts from the time at which a job was
//! due to be sent, not from the time at which it was sent, so that a delay of the clients stays visible in
//! the latency (coordinated omission). The record also contains the largest such delay. [`crate::audit`]
//! checks whether the responses are correct.

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

/// Time limit for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which clients no longer reuse an idle connection to a target.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// The clients that send a load. Clones share their connections and the round robin over the targets.
#[derive(Clone)]
pub struct Clients {
    spec: Arc<LoadSpec>,
    targets: Arc<Vec<SocketAddr>>,
    /// The HTTP client that reuses idle connections.
    pooled: HttpClient,
    /// The HTTP client that makes a new connection for each request.
    unpooled: HttpClient,
    /// Number of attempts for which a target has been chosen so far, for the round robin.
    chosen_targets: Arc<AtomicUsize>,
}

impl Clients {
    /// Creates clients that send their attempts to the addresses `targets` by round robin.
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

    /// Returns the address to which the next attempt is sent, by round robin.
    fn next_target(&self) -> SocketAddr {
        self.targets[self.chosen_targets.fetch_add(1, Ordering::Relaxed) % self.targets.len()]
    }

    /// Creates the job of an arrival; no attempt has been sent yet.
    fn new_job(&self, load_start: Instant, arrival: Arrival) -> Job {
        Job::new(self.clone(), load_start, arrival)
    }

    /// Sends jobs in an open loop from `load_start` on, for `duration` or until `stop` is true, then waits
    /// until the jobs in flight have ended. Calls `on_progress` each time a job is sent or has ended.
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
                    in_flight.spawn(self.new_job(load_start, arrival).run());
                }
                Some(ended) = in_flight.join_next(), if !in_flight.is_empty() =>
                    record.jobs.extend(ended.ok()),
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

    /// Sends jobs in a closed loop for `duration`: each of the connections sends its next job when its
    /// previous job has ended. The number of jobs, not their latency, shows the capacity of the targets.
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
                    jobs.push(clients.new_job(load_start, arrival).run().await);
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
