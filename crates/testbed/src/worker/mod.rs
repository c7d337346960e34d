//! A worker: accepts jobs, runs them by a small model of a worker, and reports to its scheduler by callbacks; or
//! misbehaves, once for each [`JobBehavior`] that a test scripts.
//!
//! One task owns the listeners, the connections and the jobs; [`Worker::kill`] ends all of it as the death of a process
//! does, and dropping the worker likewise. A worker listens on one port for each scheduler, since that is how it knows
//! whom to call back. What ran is recorded in [`Runs`].

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
    /// Where the scheduler is called back.
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

/// The task of a running worker.
struct RunningServer {
    _task: AbortOnDrop,
    stop: oneshot::Sender<Stop>,
}

/// A worker on loopback sockets; dropping it ends it.
pub struct Worker {
    state: Arc<WorkerState>,
    ports: Vec<SchedulerPort>,
    server: Mutex<Option<RunningServer>>,
}

impl Worker {
    /// Starts a worker at full speed with a port for each scheduler, given by the address that it calls back.
    pub async fn start(spec: WorkerSpec, runs: Runs, schedulers: &[SocketAddr]) -> io::Result<Worker> {
        Worker::start_at(spec, runs, schedulers, Instant::now()).await
    }

    /// Like [`Worker::start`], with the time at which the record of runs began.
    pub async fn start_at(
        spec: WorkerSpec,
        runs: Runs,
        schedulers: &[SocketAddr],
        began: Instant,
    ) -> io::Result<Worker> {
        let state = Arc::new(WorkerState::new(spec, runs, began));
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

    /// Its configuration.
    pub fn spec(&self) -> &WorkerSpec {
        &self.state.spec
    }

    /// Where each scheduler reaches it, in the order of the schedulers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.ports.iter().map(|port| port.port.address()).collect()
    }

    /// When its process was last restarted, as Unix time in milliseconds; 0 for never.
    pub fn started_at_ms(&self) -> u64 {
        self.state.restarted_at_ms()
    }

    /// Scripts what it does with the next jobs, one entry each; jobs after them are served.
    pub fn script_jobs(&self, behaviors: impl IntoIterator<Item = JobBehavior>) {
        self.state.lock().script.extend_jobs(behaviors);
    }

    /// Scripts what it does with the next probes, one entry each; probes after them are answered.
    pub fn script_probes(&self, behaviors: impl IntoIterator<Item = ProbeBehavior>) {
        self.state.lock().script.extend_probes(behaviors);
    }

    /// Sets how old its load reports are from now on.
    pub fn set_report_delay(&self, delay: Duration) {
        self.state.lock().load_history.set_delay(delay);
    }

    /// Starts or stops rejecting every job without having run it.
    pub fn reject_jobs(&self, rejecting: bool) {
        self.state.lock().rejecting = rejecting;
    }

    /// Runs this many times slower than configured.
    pub fn set_slowdown(&self, times: f64) {
        self.state.set_slowdown(times);
    }

    /// Returns the jobs that wait, and rejects those that come from now on.
    pub fn drain(&self) {
        self.state.draining.send_replace(true);
    }

    /// Ends its process: its connections are reset, its jobs are lost and new connections are refused. With
    /// `reports_lost_jobs`, the machine's agent reports the lost jobs to the schedulers.
    pub async fn kill(&self, reports_lost_jobs: bool) {
        self.state.lock().killed = true;
        let Some(server) = self.server().take() else { return };
        let open = self.state.open_jobs();
        let (ended, end) = oneshot::channel();
        if server.stop.send(ended).is_ok() {
            let _ = end.await;
        }
        if reports_lost_jobs {
            for id in open {
                self.report_lost(id);
            }
        }
    }

    /// Reports a job as lost to every scheduler.
    fn report_lost(&self, id: u64) {
        for port in &self.ports {
            let (state, scheduler) = (self.state.clone(), port.scheduler);
            tokio::spawn(async move {
                state.report(scheduler, id, &JobUpdate::Lost, Delivery::Retried).await;
            });
        }
    }

    /// Restarts its process after [`Worker::kill`]: warming up and without jobs, at the same ports.
    pub fn restart(&self) -> io::Result<()> {
        self.state.restart();
        self.listen()
    }
}
