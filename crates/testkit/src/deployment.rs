//! A deployment on one machine: schedulers as child processes, and simulated workers, discovery and load
//! balancer within the kit's process.
//!
//! [`Deployment`] owns everything that it starts and ends all of it when dropped. It does not check whether
//! the schedulers behave correctly.

use crate::plan::{KnownWorker, Plan, SchedulerSpec};
use crate::scheduler::{find_daemon, LaunchOptions, Scheduler};
use crate::{io_failure, Failure};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{interval, Instant};
use vetchbridge_testbed::discovery::Discovery;
use vetchbridge_testbed::load_balancer::LoadBalancer;
use vetchbridge_testbed::runs::Runs;
use vetchbridge_testbed::worker::Worker;
use vetchbridge_testbed::Port;

/// The longest time for which a deployment waits until the load balancer counts all of its schedulers as
/// ready, measured from the start of the wait; after this time the wait fails.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// The interval at which a deployment, while it waits for its schedulers, reads from the load balancer how
/// many of them are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment: schedulers, workers, discovery and the load balancer that clients connect to.
pub struct Deployment {
    /// The schedulers; a scheduler's number is its index.
    pub schedulers: Vec<Scheduler>,
    /// The simulated workers, in the order of the plan.
    pub workers: Vec<Worker>,
    /// The simulated discovery service.
    pub discovery: Discovery,
    /// The record of the jobs that the workers ran.
    pub runs: Runs,
    /// The load balancer in front of the schedulers, which clients connect to.
    pub load_balancer: LoadBalancer,
    /// The start of the deployment, from which the times in the workers' records count.
    pub epoch: Instant,
    directory: WorkingDirectory,
    _ports: Vec<Port>,
}

/// The directory that contains the schedulers' configurations and logs.
enum WorkingDirectory {
    /// A directory that the user specified. It stays when the deployment ends.
    Given(PathBuf),
    /// A temporary directory that is removed with the deployment.
    Temporary(tempfile::TempDir),
}

impl WorkingDirectory {
    fn create(given: Option<&Path>) -> Result<WorkingDirectory, Failure> {
        let Some(path) = given else {
            return tempfile::tempdir()
                .map(Self::Temporary)
                .map_err(io_failure("a temporary folder for logs"));
        };
        std::fs::create_dir_all(path).map_err(io_failure("the folder for logs"))?;
        Ok(Self::Given(path.to_path_buf()))
    }

    fn path(&self) -> &Path {
        match self {
            Self::Given(path) => path,
            Self::Temporary(directory) => directory.path(),
        }
    }
}

/// A scheduler that did not shut down cleanly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedShutdown {
    /// The scheduler's number.
    pub scheduler: usize,
    /// The exit status of the scheduler's process.
    pub status: ExitStatus,
}

impl fmt::Display for FailedShutdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "scheduler {} did not shut down cleanly: {}", self.scheduler, self.status)
    }
}

impl Deployment {
    /// Starts a deployment whose schedulers all get the same additional arguments, and waits until every
    /// scheduler is ready.
    pub async fn start(
        plan: &Plan,
        daemon: Option<&Path>,
        logs: Option<&Path>,
        arguments: &[String],
    ) -> Result<Deployment, Failure> {
        let options =
            |_: usize, _: &Path| LaunchOptions { arguments: arguments.to_vec(), ..LaunchOptions::default() };
        Deployment::start_with(plan, daemon, logs, options).await
    }

    /// Starts a deployment as [`Deployment::start`] does, except that `options` returns the options of each
    /// scheduler's process from the scheduler's number and the directory of its files.
    pub async fn start_with(
        plan: &Plan,
        daemon: Option<&Path>,
        logs: Option<&Path>,
        options: impl Fn(usize, &Path) -> LaunchOptions,
    ) -> Result<Deployment, Failure> {
        let binary = find_daemon(daemon)?;
        let directory = WorkingDirectory::create(logs)?;
        let (runs, epoch, count) = (Runs::default(), Instant::now(), plan.schedulers.count);
        let ports = (0..count).map(|_| Port::reserve()).collect::<Result<Vec<_>, _>>();
        let ports = ports.map_err(io_failure("ports for the schedulers"))?;
        let addresses: Vec<SocketAddr> = ports.iter().map(Port::address).collect();
        let discovery = Discovery::start(count).await.map_err(io_failure("discovery"))?;
        let mut workers = Vec::new();
        for spec in plan.worker_specs() {
            let worker = Worker::start_at(spec, runs.clone(), &addresses, epoch).await;
            let worker = worker.map_err(io_failure("a worker"))?;
            discovery.list_as_up(&worker);
            workers.push(worker);
        }
        discovery.set_update_delay(plan.schedulers.publication_delay.duration());
        let load_balancer = LoadBalancer::start(&addresses, plan.schedulers.detection_delay.duration()).await;
        let load_balancer = load_balancer.map_err(io_failure("the load balancer"))?;
        let schedulers = Vec::new();
        let mut deployment = Deployment {
            schedulers,
            workers,
            discovery,
            runs,
            load_balancer,
            epoch,
            directory,
            _ports: ports,
        };
        deployment.start_schedulers(plan, &binary, &addresses, options)?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Writes the configuration file of each scheduler and starts the scheduler.
    fn start_schedulers(
        &mut self,
        plan: &Plan,
        binary: &Path,
        addresses: &[SocketAddr],
        options: impl Fn(usize, &Path) -> LaunchOptions,
    ) -> Result<(), Failure> {
        for (number, listen) in addresses.iter().copied().enumerate() {
            let path = self.directory().join(Plan::file_name(number));
            let text = plan.scheduler_config(SchedulerSpec {
                number,
                listen,
                discovery: self.discovery.address(number),
                known: &self.known_workers(number),
                handover: Some(path.with_extension("handover")),
            });
            std::fs::write(&path, text).map_err(io_failure("a scheduler's configuration"))?;
            let options = options(number, self.directory());
            self.schedulers.push(Scheduler::start(binary, &path, listen, options)?);
        }
        Ok(())
    }

    /// Returns all workers, with the address at which the given scheduler reaches each worker.
    fn known_workers(&self, scheduler: usize) -> Vec<KnownWorker> {
        let known = |worker: &Worker| KnownWorker {
            spec: worker.spec().clone(),
            address: worker.addresses()[scheduler],
        };
        self.workers.iter().map(known).collect()
    }

    /// Returns the directory that contains the schedulers' configurations and logs.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Returns the temporary directory of configurations and logs, which then outlives the deployment; `None`
    /// if the user specified a directory.
    pub fn take_temporary_directory(&mut self) -> Option<tempfile::TempDir> {
        let path = self.directory().to_path_buf();
        match std::mem::replace(&mut self.directory, WorkingDirectory::Given(path)) {
            WorkingDirectory::Temporary(directory) => Some(directory),
            WorkingDirectory::Given(_) => None,
        }
    }

    /// Waits until every scheduler has passed a readiness check of the load balancer. Fails after
    /// `READY_TIMEOUT`.
    pub async fn wait_until_ready(&mut self) -> Result<(), Failure> {
        let (started, mut poll) = (Instant::now(), interval(READY_POLL_INTERVAL));
        while self.load_balancer.ready_schedulers() < self.schedulers.len() {
            poll.tick().await;
            self.check_running()?;
            if started.elapsed() > READY_TIMEOUT {
                let (ready, count) = (self.load_balancer.ready_schedulers(), self.schedulers.len());
                let text = format!("only {ready} of {count} schedulers were ready after {READY_TIMEOUT:?}");
                return Err(Failure::System(text));
            }
        }
        Ok(())
    }

    /// Fails if the process of a scheduler has exited on its own.
    pub fn check_running(&mut self) -> Result<(), Failure> {
        for (number, scheduler) in self.schedulers.iter_mut().enumerate() {
            if let Some(status) = scheduler.try_exit_status() {
                let log = scheduler.log_tail();
                return Err(Failure::System(format!(
                    "scheduler {number} exited on its own ({status}):\n{log}"
                )));
            }
        }
        Ok(())
    }

    /// Shuts down all schedulers gracefully and at the same time. Returns the schedulers that did not exit
    /// cleanly.
    pub async fn shut_down(mut self) -> Vec<FailedShutdown> {
        let mut shutdowns = JoinSet::new();
        for (number, mut scheduler) in self.schedulers.drain(..).enumerate() {
            shutdowns.spawn(async move { (number, scheduler.shut_down().await) });
        }
        let exits = shutdowns.join_all().await;
        let failed = exits.into_iter().filter_map(|(scheduler, status)| {
            let status = status.filter(|status| !status.success())?;
            Some(FailedShutdown { scheduler, status })
        });
        failed.collect()
    }
}
