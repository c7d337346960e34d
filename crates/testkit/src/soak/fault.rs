//! The faults that a soak test injects into the platform, and the log of those that were injected.

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// One kind of injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A scheduler shuts down gracefully and is started again.
    SchedulerRestart,
    /// A successor takes over from a scheduler's process.
    SchedulerUpgrade,
    /// A scheduler is drained and resumes.
    SchedulerDrain,
    /// A scheduler reads its configuration again, several times in a row.
    SchedulerReload,
    /// A scheduler's discovery moves to another address, which a reload makes known.
    DiscoveryMove,
    /// A scheduler is killed by SIGKILL and is started again.
    SchedulerCrash,
    /// A worker crashes and restarts.
    WorkerCrash,
    /// A worker is published as draining.
    WorkerDrain,
    /// A worker answers some attempts in ways that a broken program might.
    WorkerMisbehavior,
    /// A worker runs its jobs many times slower.
    WorkerSlowdown,
    /// A worker refuses connections.
    WorkerRefusal,
    /// Discovery answers 503.
    DiscoveryError,
    /// Discovery resets connections.
    DiscoveryReset,
    /// Discovery accepts requests and never answers.
    DiscoveryTimeout,
    /// Discovery breaks its answers off.
    DiscoveryTruncation,
    /// Discovery publishes changes late.
    DiscoveryDelay,
    /// Clients disconnect before their response.
    ClientDisconnect,
    /// A client stalls in the middle of a request.
    ClientStall,
    /// Clients open many connections and send nothing.
    ConnectionFlood,
}

impl FaultKind {
    /// Each kind, in the order of the report.
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

    /// Whether schedulers can't poll discovery while the fault lasts.
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

/// The name in the printed report, which scripts may read.
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

/// One fault that was injected; times count from the deployment's epoch.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// What it was.
    pub kind: FaultKind,
    /// What it was injected into: a worker's name, a scheduler's number or address; empty for discovery.
    pub target: String,
    /// When it began.
    pub started: Duration,
    /// When it was over.
    pub ended: Duration,
}

impl InjectedFault {
    /// Whether both lasted at a common time.
    pub fn overlaps(&self, other: &InjectedFault) -> bool {
        self.started < other.ended && other.started < self.ended
    }
}

/// Records each fault once it is over.
pub(super) struct FaultLog {
    epoch: Instant,
    faults: Mutex<Vec<InjectedFault>>,
}

impl FaultLog {
    pub(super) fn new(epoch: Instant) -> FaultLog {
        FaultLog { epoch, faults: Mutex::default() }
    }

    /// The time from which the log counts.
    pub(super) fn epoch(&self) -> Instant {
        self.epoch
    }

    /// Records a fault that began at `started` and is over now.
    pub(super) fn record(&self, kind: FaultKind, target: &str, started: Instant) {
        let (started, ended) = (started.duration_since(self.epoch), self.epoch.elapsed());
        self.lock().push(InjectedFault { kind, target: target.to_string(), started, ended });
    }

    /// The recorded faults by the time of their beginning.
    pub(super) fn faults(&self) -> Vec<InjectedFault> {
        let mut faults = self.lock().clone();
        faults.sort_by_key(|fault| fault.started);
        faults
    }

    fn lock(&self) -> MutexGuard<'_, Vec<InjectedFault>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
