//! The soak test: a few dozen real schedulers under load, with faults that overlap in time and system calls that fail, all
//! drawn from one seed, judged by invariants.
//!
//! - [`fault`]: the kinds of faults, and the log of those that were injected;
//! - `inject`: injects them into schedulers, workers and discovery, and by `faulty_clients`;
//! - `syscall_faults`: the system calls that fail within the schedulers' own processes;
//! - [`checks`]: compares what was observed with the invariants;
//! - [`report`]: the result.

pub mod checks;
pub mod fault;
mod faulty_clients;
mod inject;
pub mod report;
mod syscall_faults;

pub use faulty_clients::{DisconnectedClient, StalledClient};
pub use syscall_faults::SyscallFaultCount;

use crate::deployment::Deployment;
use crate::plan::{self, Plan};
use crate::runner::{shift_times, Interrupt, Progress, DETECTION_SLACK};
use crate::scheduler::{LaunchOptions, Scheduler};
use crate::Failure;
use checks::{Evidence, InvariantViolation};
use fault::{FaultKind, FaultLog, InjectedFault};
use faulty_clients::FaultyClients;
use inject::FaultInjector;
use report::SoakReport;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use syscall_faults::SyscallFaultPlan;
use tokio::time::Instant;
use vetchbridge_testbed::arrivals::ClassLoad;
use vetchbridge_testbed::audit::{audit_jobs, Outage, Violation};
use vetchbridge_testbed::client::{Clients, LoadRecord};

/// From this duration on, each kind of fault must have happened.
const FULL_LENGTH: Duration = Duration::from_secs(30);

/// What is to be tested, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct SoakSpec {
    /// The seed of all faults.
    pub seed: u64,
    /// How long the load lasts.
    pub duration: Duration,
    /// How many schedulers there are; the plan's number where it is absent.
    pub schedulers: Option<usize>,
}

/// Runs the test.
pub async fn run(
    spec: SoakSpec,
    daemon: Option<&Path>,
    logs: Option<&Path>,
    log_filter: &str,
) -> Result<SoakReport, Failure> {
    let mut plan = Plan::parse("the built-in plan soak", plan::SOAK)?;
    plan.schedulers.count = spec.schedulers.unwrap_or(plan.schedulers.count);
    let library = syscall_faults::find_library()?;
    let interrupt = Interrupt::listen()?;
    let launch = |number: usize, directory: &Path| LaunchOptions {
        arguments: vec!["--log-filter".to_string(), log_filter.to_string()],
        environment: SyscallFaultPlan::draw(spec.seed, number).environment(&library, directory, number),
    };
    let mut deployment = interrupt.or_stop(Deployment::start_with(&plan, daemon, logs, launch)).await?;
    let observed = run_load(spec, &plan, &mut deployment, &interrupt).await?;
    let early_exit = deployment.check_running().err().map(|failure| failure.to_string());
    Ok(judge_run(spec, deployment, observed, early_exit).await)
}

/// What was observed from outside the schedulers while they ran.
struct Observed {
    faults: Vec<InjectedFault>,
    load: LoadRecord,
    classes: Vec<ClassLoad>,
    clients: FaultyClients,
}

/// Sends the load and injects the faults meanwhile.
async fn run_load(
    spec: SoakSpec,
    plan: &Plan,
    deployment: &mut Deployment,
    interrupt: &Interrupt,
) -> Result<Observed, Failure> {
    let bad_load = |error: &dyn std::fmt::Display| Failure::BadInput(error.to_string());
    let load = plan.load_spec();
    let clients = Clients::new(load.clone(), vec![deployment.front.address()]);
    let clients = clients.map_err(|error| bad_load(&error))?;
    let started = Instant::now();
    let offset = started.duration_since(deployment.epoch);
    let log = FaultLog::new(deployment.epoch);
    let faulty_clients = FaultyClients::default();
    let mut progress = Progress::new(spec.duration);
    let load_run = clients.run(started, spec.duration, interrupt.subscribe(), |at| progress.show(at));
    let addresses: Vec<SocketAddr> = deployment.schedulers.iter().map(Scheduler::address).collect();
    let injector = FaultInjector {
        seed: spec.seed,
        until: started + spec.duration,
        workers: &deployment.workers,
        discovery: &deployment.discovery,
        log: &log,
    };
    let injected = injector.run(&mut deployment.schedulers, &addresses, &faulty_clients);
    let (mut record, ()) = tokio::try_join!(
        async { load_run.await.map_err(|error| bad_load(&error)) },
        interrupt.or_stop(injected)
    )?;
    shift_times(&mut record, offset);
    Ok(Observed { faults: log.faults(), load: record, classes: load.classes, clients: faulty_clients })
}

/// Shuts the deployment down and judges the run. `early_exit` names a scheduler that had exited by itself. Logs are read
/// after the shutdown, which logs violations too.
async fn judge_run(
    spec: SoakSpec,
    mut deployment: Deployment,
    observed: Observed,
    early_exit: Option<String>,
) -> SoakReport {
    let log_paths: Vec<_> =
        deployment.schedulers.iter().map(|scheduler| scheduler.log_path().to_path_buf()).collect();
    let (directory, runs, notice) =
        (deployment.directory().to_path_buf(), deployment.runs.clone(), deployment.front.detection_delay());
    // Removed at the end of this function, after its logs and counts have been read.
    let _temporary = deployment.take_temporary_directory();
    let failed_shutdowns = deployment.shut_down().await;
    let outages = outages(&observed.faults, notice);
    let jobs = &observed.load.jobs;
    let verdict = audit_jobs(&observed.classes, jobs, Some(&runs.all()), &outages);
    let logs: Vec<String> =
        log_paths.iter().map(|path| std::fs::read_to_string(path).unwrap_or_default()).collect();
    let mut violations = account_violations(verdict.violations, &observed.clients);
    violations.extend(early_exit.map(InvariantViolation::EarlyExit));
    violations.extend(failed_shutdowns.into_iter().map(InvariantViolation::FailedShutdown));
    violations.extend(checks::check_all(&Evidence {
        faults: &observed.faults,
        arrivals: &runs.arrivals(),
        jobs,
        classes: &observed.classes,
        disconnected: &observed.clients.disconnected(),
        stalled: &observed.clients.stalled(),
        logs: &logs,
        publication_delay: inject::PUBLICATION_DELAY,
    }));
    SoakReport {
        seed: spec.seed,
        is_full_length: spec.duration >= FULL_LENGTH,
        jobs: jobs.len(),
        answers: verdict.answers,
        syscall_faults: syscall_faults::read_counts(&directory),
        faults: observed.faults,
        violations,
    }
}

/// The account's violations, without runs of the faulty clients' requests, which the account doesn't know.
fn account_violations(found: Vec<Violation>, clients: &FaultyClients) -> Vec<InvariantViolation> {
    let ids = clients.request_ids();
    let is_of_faulty_client =
        |violation: &Violation| matches!(violation, Violation::UnknownRequest(id) if ids.contains(id));
    let found = found.into_iter().filter(|violation| !is_of_faulty_client(violation));
    found.map(InvariantViolation::Account).collect()
}

/// The times in which attempts may be lost, since a scheduler had been killed.
fn outages(faults: &[InjectedFault], notice: Duration) -> Vec<Outage> {
    let crashes = faults.iter().filter(|fault| fault.kind == FaultKind::SchedulerCrash);
    let outage = |fault: &InjectedFault| Outage {
        from: fault.started,
        until: fault.started + notice + DETECTION_SLACK,
    };
    crashes.map(outage).collect()
}
