//! The stage: a whole platform on one machine, with schedulers as child processes.
//!
//! Owns everything that was started; dropping it ends all of it. It must never judge what happens on it.

use crate::plan::{KnownWorker, Plan, SchedulerSpec};
use crate::scheduler::{binary, Launch, Scheduler};
use crate::{machine, Failure};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::{interval, Instant};
use vetchbridge_testbed::discovery::Discovery;
use vetchbridge_testbed::load_balancer::LoadBalancer;
use vetchbridge_testbed::runs::Runs;
use vetchbridge_testbed::worker::Worker;
use vetchbridge_testbed::Port;

/// How long the schedulers may take until all of them are ready.
const READY_WITHIN: Duration = Duration::from_secs(15);

/// See the head of this file.
pub struct Stage {
    /// The schedulers, in their order.
    pub schedulers: Vec<Scheduler>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// Discovery.
    pub discovery: Discovery,
    /// What the workers ran.
    pub runs: Runs,
    /// Where clients connect.
    pub front: LoadBalancer,
    /// When the account of runs began.
    pub began: Instant,
    folder: Folder,
    _ports: Vec<Port>,
}

/// Where files and logs are kept: a folder that was named, or one that goes with the stage.
enum Folder {
    Named(PathBuf),
    Passing(tempfile::TempDir),
}

impl Stage {
    /// Starts everything and waits until every scheduler is ready.
    pub async fn set(
        plan: &Plan,
        daemon: Option<&Path>,
        logs: Option<&Path>,
        extra: &[String],
    ) -> Result<Stage, Failure> {
        let same = |_: usize, _: &Path| Launch { extra: extra.to_vec(), environment: Vec::new() };
        Stage::set_with(plan, daemon, logs, same).await
    }

    /// The same, where each scheduler is launched in its own way, told by its number and the folder of its files.
    pub async fn set_with(
        plan: &Plan,
        daemon: Option<&Path>,
        logs: Option<&Path>,
        launch: impl Fn(usize, &Path) -> Launch,
    ) -> Result<Stage, Failure> {
        let binary = binary(daemon)?;
        let folder = match logs {
            Some(path) => {
                std::fs::create_dir_all(path).map_err(machine("the folder for logs"))?;
                Folder::Named(path.to_path_buf())
            }
            None => Folder::Passing(tempfile::tempdir().map_err(machine("a folder for logs"))?),
        };
        let (runs, began, count) = (Runs::default(), Instant::now(), plan.schedulers.count);
        let ports = (0..count).map(|_| Port::reserve()).collect::<Result<Vec<_>, _>>();
        let ports = ports.map_err(machine("ports for the schedulers"))?;
        let addresses: Vec<SocketAddr> = ports.iter().map(Port::address).collect();
        let discovery = Discovery::start(count).await.map_err(machine("discovery"))?;
        let mut workers = Vec::new();
        for spec in plan.worker_specs() {
            let worker = Worker::start_at(spec, runs.clone(), &addresses, began).await;
            let worker = worker.map_err(machine("a worker"))?;
            discovery.up(&worker);
            workers.push(worker);
        }
        discovery.set_update_delay(plan.schedulers.lateness.duration());
        let front = LoadBalancer::start(&addresses, plan.schedulers.notice.duration())
            .await
            .map_err(machine("the front"))?;
        let mut stage =
            Stage { schedulers: Vec::new(), workers, discovery, runs, front, began, folder, _ports: ports };
        stage.start_schedulers(plan, &binary, &addresses, launch)?;
        stage.ready().await?;
        Ok(stage)
    }

    /// Writes the configuration of each scheduler and starts it.
    fn start_schedulers(
        &mut self,
        plan: &Plan,
        binary: &Path,
        addresses: &[SocketAddr],
        launch: impl Fn(usize, &Path) -> Launch,
    ) -> Result<(), Failure> {
        for (number, listen) in addresses.iter().copied().enumerate() {
            let path = self.folder().join(Plan::file_name(number));
            let text = plan.scheduler_config(SchedulerSpec {
                number,
                listen,
                discovery: self.discovery.address(number),
                known: &self.known_workers(number),
                handover: Some(path.with_extension("handover")),
            });
            std::fs::write(&path, text).map_err(machine("a scheduler's configuration"))?;
            let launch = launch(number, self.folder());
            self.schedulers.push(Scheduler::start(binary, &path, listen, launch)?);
        }
        Ok(())
    }

    /// The workers as one scheduler knows them at its start.
    fn known_workers(&self, scheduler: usize) -> Vec<KnownWorker> {
        let known = |worker: &Worker| KnownWorker {
            spec: worker.spec().clone(),
            address: worker.addresses()[scheduler],
        };
        self.workers.iter().map(known).collect()
    }

    /// Where files and logs are.
    pub fn folder(&self) -> &Path {
        match &self.folder {
            Folder::Named(path) => path,
            Folder::Passing(folder) => folder.path(),
        }
    }

    /// Keeps the folder of files and logs beyond the stage's end: it goes with what is returned, unless it was named.
    pub fn take_folder(&mut self) -> Option<tempfile::TempDir> {
        let path = self.folder().to_path_buf();
        match std::mem::replace(&mut self.folder, Folder::Named(path)) {
            Folder::Passing(folder) => Some(folder),
            Folder::Named(_) => None,
        }
    }

    /// Waits until the front deals to every scheduler.
    pub async fn ready(&mut self) -> Result<(), Failure> {
        let (asked, mut every) = (Instant::now(), interval(Duration::from_millis(20)));
        while self.front.ready_schedulers() < self.schedulers.len() {
            every.tick().await;
            self.all_live()?;
            if asked.elapsed() > READY_WITHIN {
                let ready = self.front.ready_schedulers();
                let text =
                    format!("{ready} of {} schedulers ready after {READY_WITHIN:?}", self.schedulers.len());
                return Err(Failure::Machine(text));
            }
        }
        Ok(())
    }

    /// Whether every scheduler that should run does.
    pub fn all_live(&mut self) -> Result<(), Failure> {
        for (number, scheduler) in self.schedulers.iter_mut().enumerate() {
            if let Some(status) = scheduler.ended() {
                let words = scheduler.last_words();
                return Err(Failure::Machine(format!(
                    "scheduler {number} ended unasked, {status}:\n{words}"
                )));
            }
        }
        Ok(())
    }

    /// Ends every scheduler gracefully, all at once; those that did not end well are named.
    pub async fn end(mut self) -> Vec<String> {
        let mut ends = tokio::task::JoinSet::new();
        for (number, mut scheduler) in self.schedulers.drain(..).enumerate() {
            ends.spawn(async move { (number, scheduler.end().await) });
        }
        let ended = ends.join_all().await;
        let bad = ended.into_iter().filter(|(_, status)| status.is_some_and(|status| !status.success()));
        bad.map(|(number, status)| format!("scheduler {number} ended badly: {status:?}")).collect()
    }
}
