//! The kinds of platform faults that a soak test injects, and the log of the injected faults.

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A kind of fault that a soak test injects into the platform: schedulers, workers, discovery or clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A scheduler shuts down gracefully and is restarted.
    SchedulerRestart,
    /// A successor process takes over from a scheduler's process.
    SchedulerUpgrade,
    /// A scheduler is drained and then resumes.
    SchedulerDrain,
    /// A scheduler reloads its configuration several times in a row.
    SchedulerReload,
    /// Discovery moves to another address for one scheduler, and the scheduler learns the address by
    /// reloading its configuration.
    DiscoveryMove,
    /// A scheduler is killed by SIGKILL and restarted.
    SchedulerCrash,
    /// A worker crashes and is restarted.
    WorkerCrash,
    /// Discovery publishes a worker as draining.
    WorkerDrain,
    /// A worker handles some attempts as a faulty program might, for example without a response or without a
    /// callback.
    WorkerMisbehavior,
    /// A worker runs its jobs slower than configured.
    WorkerSlowdown,
    /// A worker rejects all jobs without running them.
    WorkerRefusal,
    /// Discovery responds to schedulers with status 503.
    DiscoveryError,
    /// Discovery resets the connections of schedulers.
    DiscoveryReset,
    /// Discovery accepts requests of schedulers and never responds.
    DiscoveryTimeout,
    /// Discovery closes connections in the middle of its responses.
    DiscoveryTruncation,
    /// Discovery publishes changes of workers with a delay.
    DiscoveryDelay,
    /// Clients disconnect before the response to their request.
    ClientDisconnect,
    /// A client stalls in the middle of a request.
    ClientStall,
    /// Clients open many connections to a scheduler and send nothing.
    ConnectionFlood,
}

impl FaultKind {
    /// All kinds of faults, in the order in which the report lists them.
    pub const ALL: &'static [FaultKind] = &[
        FaultKind::SchedulerRestart,
        FaultKind::SchedulerUpgrade,
        FaultKind::SchedulerDrain,
        FaultKind::SchedulerReload,
        FaultKind::DiscoveryMove,
        FaultKind::SchedulerCrash,
        FaultKind::WorkerCrash,
        FaultKind::WorkerDrain,
        FaultKind::WorkerMisbehavior,
        FaultKind::WorkerSlowdown,
        FaultKind::WorkerRefusal,
        FaultKind::DiscoveryError,
        FaultKind::DiscoveryReset,
        FaultKind::DiscoveryTimeout,
        FaultKind::DiscoveryTruncation,
        FaultKind::DiscoveryDelay,
        FaultKind::ClientDisconnect,
        FaultKind::ClientStall,
        FaultKind::ConnectionFlood,
    ];

    /// Whether schedulers can't get the endpoint list from discovery during a fault of this kind.
    pub fn is_discovery_outage(self) -> bool {
        matches!(
            self,
            FaultKind::DiscoveryError
                | FaultKind::DiscoveryReset
                | FaultKind::DiscoveryTimeout
                | FaultKind::DiscoveryTruncation
        )
    }
}

/// Writes the name of the kind as the printed report shows it. Scripts may match these names.
impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FaultKind::SchedulerRestart => "SchedulerRestarts",
            FaultKind::SchedulerUpgrade => "SchedulerIsReplaced",
            FaultKind::SchedulerDrain => "SchedulerIsDrained",
            FaultKind::SchedulerReload => "SchedulerReloads",
            FaultKind::DiscoveryMove => "SchedulerFollowsAnotherDiscovery",
            FaultKind::SchedulerCrash => "SchedulerDies",
            FaultKind::WorkerCrash => "WorkerDies",
            FaultKind::WorkerDrain => "WorkerDrains",
            FaultKind::WorkerMisbehavior => "WorkerMisbehaves",
            FaultKind::WorkerSlowdown => "WorkerIsSlow",
            FaultKind::WorkerRefusal => "WorkerRefuses",
            FaultKind::DiscoveryError => "ListRefuses",
            FaultKind::DiscoveryReset => "ListResets",
            FaultKind::DiscoveryTimeout => "ListIsMute",
            FaultKind::DiscoveryTruncation => "ListBreaksOff",
            FaultKind::DiscoveryDelay => "ListComesLate",
            FaultKind::ClientDisconnect => "ClientLeaves",
            FaultKind::ClientStall => "ClientStops",
            FaultKind::ConnectionFlood => "ClientsCrowd",
        })
    }
}

/// A fault that a soak test injected; times count from the deployment's epoch.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The target of the fault: a worker's name, a scheduler's number or address; empty for discovery.
    pub target: String,
    /// When the fault began.
    pub started: Duration,
    /// When the fault ended.
    pub ended: Duration,
}

impl InjectedFault {
    /// Whether this fault and `other` overlapped in time.
    pub fn overlaps(&self, other: &InjectedFault) -> bool {
        self.started < other.ended && other.started < self.ended
    }
}

/// The log of the faults of a soak test; each fault is recorded once it has ended.
pub(super) struct FaultLog {
    epoch: Instant,
    faults: Mutex<Vec<InjectedFault>>,
}

impl FaultLog {
    pub(super) fn new(epoch: Instant) -> FaultLog {
        FaultLog { epoch, faults: Mutex::default() }
    }

    /// Returns the deployment's epoch, from which the times in the log count.
    pub(super) fn epoch(&self) -> Instant {
        self.epoch
    }

    /// Records a fault that began at `started` and has just ended.
    pub(super) fn record(&self, kind: FaultKind, target: &str, started: Instant) {
        let (started, ended) = (started.duration_since(self.epoch), self.epoch.elapsed());
        self.locked_faults().push(InjectedFault { kind, target: target.to_string(), started, ended });
    }

    /// Returns the recorded faults, sorted by their start.
    pub(super) fn faults(&self) -> Vec<InjectedFault> {
        let mut faults = self.locked_faults().clone();
        faults.sort_by_key(|fault| fault.started);
        faults
    }

    fn locked_faults(&self) -> MutexGuard<'_, Vec<InjectedFault>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
