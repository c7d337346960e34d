//! The soak test: a few dozen real schedulers under load, with platform faults that overlap in time and with
//! failing system calls in the schedulers. One seed determines all faults. Invariants decide whether the test
//! passes.
//!
//! - [`fault`]: the kinds of platform faults, and the log of injected faults;
//! - `inject`: injects faults into schedulers, workers and discovery, and through `faulty_clients`;
//! - `syscall_faults`: failing system calls in the schedulers' processes;
//! - [`checks`]: compares the observations of the test with the invariants;
//! - [`report`]: the result of the test.

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

/// The shortest duration of a soak test in which every kind of fault must happen.
const FULL_LENGTH: Duration = Duration::from_secs(30);

/// The parameters of a soak test, which the command line sets.
#[derive(Clone, Copy, Debug)]
pub struct SoakSpec {
    /// The seed from which all faults are drawn.
    pub seed: u64,
    /// How long the load lasts.
    pub duration: Duration,
    /// The number of schedulers; `None` means the number in the soak test's plan.
    pub schedulers: Option<usize>,
}

/// Runs a soak test with the built-in plan `soak` and returns the test's report.
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
    let mut deployment =
        interrupt.run_unless_stopped(Deployment::start_with(&plan, daemon, logs, launch)).await?;
    let observed = run_load(spec, &plan, &mut deployment, &interrupt).await?;
    let early_exit = deployment.check_running().err().map(|failure| failure.to_string());
    Ok(judge_run(spec, deployment, observed, early_exit).await)
}

/// What the soak test observed from outside the schedulers while they ran.
struct Observed {
    faults: Vec<InjectedFault>,
    load: LoadRecord,
    classes: Vec<ClassLoad>,
    clients: FaultyClients,
}

/// Sends the load and injects faults until the load and the faults have ended, and returns the observations.
async fn run_load(
    spec: SoakSpec,
    plan: &Plan,
    deployment: &mut Deployment,
    interrupt: &Interrupt,
) -> Result<Observed, Failure> {
    let bad_load = |error: &dyn std::fmt::Display| Failure::BadInput(error.to_string());
    let load = plan.load_spec();
    let clients = Clients::new(load.clone(), vec![deployment.load_balancer.address()]);
    let clients = clients.map_err(|error| bad_load(&error))?;
    let started = Instant::now();
    let offset = started.duration_since(deployment.epoch);
    let log = FaultLog::new(deployment.epoch);
    let faulty_clients = FaultyClients::default();
    let mut progress = Progress::new(spec.duration);
    let load_run =
        clients.run(started, spec.duration, interrupt.subscribe(), |current| progress.show(current));
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
        interrupt.run_unless_stopped(injected)
    )?;
    shift_times(&mut record, offset);
    Ok(Observed { faults: log.faults(), load: record, classes: load.classes, clients: faulty_clients })
}

/// Shuts the deployment down and checks the observations. `early_exit` describes a scheduler that exited on
/// its own. The schedulers' logs are read after the shutdown, because schedulers log violations during the
/// shutdown too.
async fn judge_run(
    spec: SoakSpec,
    mut deployment: Deployment,
    observed: Observed,
    early_exit: Option<String>,
) -> SoakReport {
    let log_paths: Vec<_> =
        deployment.schedulers.iter().map(|scheduler| scheduler.log_path().to_path_buf()).collect();
    let (directory, runs, detection_delay) = (
        deployment.directory().to_path_buf(),
        deployment.runs.clone(),
        deployment.load_balancer.detection_delay(),
    );
    // A temporary directory is removed at the end of this function, after the logs and fault counts in it
    // have been read.
    let _temporary = deployment.take_temporary_directory();
    let failed_shutdowns = deployment.shut_down().await;
    let outages = outages(&observed.faults, detection_delay);
    let jobs = &observed.load.jobs;
    let verdict = audit_jobs(&observed.classes, jobs, Some(&runs.all()), &outages);
    let logs: Vec<String> =
        log_paths.iter().map(|path| std::fs::read_to_string(path).unwrap_or_default()).collect();
    let mut violations = audit_violations(verdict.violations, &observed.clients);
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

/// Returns the audit's violations, except unknown requests that the faulty clients sent: the audit knows only
/// the requests of the load.
fn audit_violations(found: Vec<Violation>, clients: &FaultyClients) -> Vec<InvariantViolation> {
    let ids = clients.request_ids();
    let is_of_faulty_client =
        |violation: &Violation| matches!(violation, Violation::UnknownRequest(id) if ids.contains(id));
    let found = found.into_iter().filter(|violation| !is_of_faulty_client(violation));
    found.map(InvariantViolation::Audit).collect()
}

/// Returns the periods in which attempts may be lost because a scheduler was killed.
fn outages(faults: &[InjectedFault], detection_delay: Duration) -> Vec<Outage> {
    let crashes = faults.iter().filter(|fault| fault.kind == FaultKind::SchedulerCrash);
    let outage = |fault: &InjectedFault| Outage {
        from: fault.started,
        until: fault.started + detection_delay + DETECTION_SLACK,
    };
    crashes.map(outage).collect()
}
