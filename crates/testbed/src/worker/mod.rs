//! A stand-in worker: accepts jobs from schedulers, simulates running them, and reports their state to the
//! scheduler by callbacks. A test can script misbehavior: each [`JobBehavior`] applies to one job.
//!
//! One task owns the listeners, the connections and the jobs of a worker. [`Worker::kill`], like dropping the
//! worker, ends all of them as the death of a process does. A worker listens on one port for each scheduler:
//! the port on which a job arrives determines the scheduler that receives the callbacks. [`Runs`] records the
//! jobs that ran.

mod callbacks;
mod connection;
mod execution;
mod job;
mod probes;
mod reporting;
mod script;
mod server;
mod spec;
mod state;

pub use script::{JobBehavior, ProbeBehavior};
pub use spec::{ProbeSpec, WorkerSpec};

use crate::runs::Runs;
use crate::{AbortOnDrop, Port};
use callbacks::{Delivery, JobUpdate};
use server::{SchedulerListener, Stop};
use state::WorkerState;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The port on which one scheduler reaches a worker.
struct SchedulerPort {
    port: Port,
    /// Address of the scheduler that connects to the port; callbacks are sent to this address.
    scheduler: SocketAddr,
}

impl SchedulerPort {
    fn reserve(scheduler: SocketAddr) -> io::Result<SchedulerPort> {
        Ok(SchedulerPort { port: Port::reserve()?, scheduler })
    }

    fn listen(&self) -> io::Result<SchedulerListener> {
        Ok(SchedulerListener { listener: self.port.listen()?, scheduler: self.scheduler })
    }
}

/// The server task of a running worker, and the channel by which the worker asks it to stop.
struct RunningServer {
    _task: AbortOnDrop,
    stop: oneshot::Sender<Stop>,
}

/// A stand-in worker on loopback sockets; dropping the value ends the worker.
pub struct Worker {
    state: Arc<WorkerState>,
    ports: Vec<SchedulerPort>,
    server: Mutex<Option<RunningServer>>,
}

impl Worker {
    /// Starts a worker at full speed, with a port for each scheduler. `schedulers` are the addresses to which
    /// the worker sends callbacks, and `runs` is the record to which the worker adds its runs.
    pub async fn start(spec: WorkerSpec, runs: Runs, schedulers: &[SocketAddr]) -> io::Result<Worker> {
        Worker::start_at(spec, runs, schedulers, Instant::now()).await
    }

    /// Starts a worker like [`Worker::start`], except that the times of its runs count from
    /// `recording_start`.
    pub async fn start_at(
        spec: WorkerSpec,
        runs: Runs,
        schedulers: &[SocketAddr],
        recording_start: Instant,
    ) -> io::Result<Worker> {
        let state = Arc::new(WorkerState::new(spec, runs, recording_start));
        let ports = schedulers.iter().copied().map(SchedulerPort::reserve).collect::<io::Result<_>>()?;
        let worker = Worker { state, ports, server: Mutex::new(None) };
        worker.listen()?;
        Ok(worker)
    }

    fn listen(&self) -> io::Result<()> {
        let listeners = self.ports.iter().map(SchedulerPort::listen).collect::<io::Result<_>>()?;
        let (stop, stopped) = oneshot::channel();
        let task = AbortOnDrop::spawn(server::serve(self.state.clone(), listeners, stopped));
        *self.server() = Some(RunningServer { _task: task, stop });
        Ok(())
    }

    fn server(&self) -> MutexGuard<'_, Option<RunningServer>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the worker's configuration.
    pub fn spec(&self) -> &WorkerSpec {
        &self.state.spec
    }

    /// Returns the address at which each scheduler reaches the worker, in the order of the schedulers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.ports.iter().map(|port| port.port.address()).collect()
    }

    /// Returns when the worker was last restarted, as Unix time in milliseconds; 0 if the worker was never
    /// restarted.
    pub fn started_at_ms(&self) -> u64 {
        self.state.restarted_at_ms()
    }

    /// Appends a behavior for each of the next jobs to the script. Jobs after the scripted ones are served
    /// normally.
    pub fn script_jobs(&self, behaviors: impl IntoIterator<Item = JobBehavior>) {
        self.state.lock().script.extend_jobs(behaviors);
    }

    /// Appends a behavior for each of the next probes to the script. The worker responds normally to probes
    /// after the scripted ones.
    pub fn script_probes(&self, behaviors: impl IntoIterator<Item = ProbeBehavior>) {
        self.state.lock().script.extend_probes(behaviors);
    }

    /// Sets how old the load in the worker's load reports is, from this call on.
    pub fn set_report_delay(&self, delay: Duration) {
        self.state.lock().load_history.set_delay(delay);
    }

    /// Sets whether the worker rejects every job without running it.
    pub fn reject_jobs(&self, rejecting: bool) {
        self.state.lock().rejecting = rejecting;
    }

    /// Sets the factor by which the worker is slower than its configured speed.
    pub fn set_slowdown(&self, factor: f64) {
        self.state.set_slowdown(factor);
    }

    /// Starts draining: the worker returns the jobs that wait for slots to the scheduler and rejects new
    /// jobs.
    pub fn drain(&self) {
        self.state.draining.send_replace(true);
    }

    /// Ends the worker as the death of its process does: the worker's connections are reset, its jobs are
    /// lost and new connections are refused. With `reports_lost_jobs`, callbacks report the lost jobs to
    /// every scheduler, as an agent on the worker's machine would.
    pub async fn kill(&self, reports_lost_jobs: bool) {
        self.state.lock().killed = true;
        let Some(server) = self.server().take() else { return };
        let open_jobs = self.state.open_jobs();
        let (ended, end) = oneshot::channel();
        if server.stop.send(ended).is_ok() {
            let _ = end.await;
        }
        if reports_lost_jobs {
            for id in open_jobs {
                self.report_lost(id);
            }
        }
    }

    /// Reports the job of a request as lost to every scheduler.
    fn report_lost(&self, id: u64) {
        for port in &self.ports {
            let (state, scheduler) = (self.state.clone(), port.scheduler);
            tokio::spawn(async move {
                state.report(scheduler, id, &JobUpdate::Lost, Delivery::Retried).await;
            });
        }
    }

    /// Restarts the worker after [`Worker::kill`], on the same ports, without jobs and in slow start.
    pub fn restart(&self) -> io::Result<()> {
        self.state.restart();
        self.listen()
    }
}
