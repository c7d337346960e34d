//! The platform faults that a soak test injects, and the log of injected faults.

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A kind of platform fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A scheduler shuts down gracefully and is restarted.
    SchedulerRestart,
    /// A successor takes over from a scheduler's process.
    SchedulerUpgrade,
    /// A scheduler is drained and then resumes.
    SchedulerDrain,
    /// A scheduler reloads its configuration several times in a row.
    SchedulerReload,
    /// A scheduler's discovery moves to another address, which the scheduler learns by a configuration
    /// reload.
    DiscoveryMove,
    /// A scheduler is killed by SIGKILL and restarted.
    SchedulerCrash,
    /// A worker crashes and restarts.
    WorkerCrash,
    /// A worker is published as draining.
    WorkerDrain,
    /// A worker handles some attempts as a broken program might.
    WorkerMisbehavior,
    /// A worker runs its jobs many times slower.
    WorkerSlowdown,
    /// A worker refuses connections.
    WorkerRefusal,
    /// Discovery answers with status 503.
    DiscoveryError,
    /// Discovery resets connections.
    DiscoveryReset,
    /// Discovery accepts requests and never answers.
    DiscoveryTimeout,
    /// Discovery truncates its responses.
    DiscoveryTruncation,
    /// Discovery publishes changes with a delay.
    DiscoveryDelay,
    /// Clients disconnect before the response.
    ClientDisconnect,
    /// A client stalls in the middle of a request.
    ClientStall,
    /// Clients open many connections and send nothing.
    ConnectionFlood,
}

impl FaultKind {
    /// All kinds, in the order of the report.
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

    /// Whether schedulers can't poll discovery during the fault.
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

/// Writes the kind's name in the printed report. Scripts may match these names.
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

/// A fault that was injected; times count from the deployment's epoch.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// What the fault was injected into: a worker's name, a scheduler's number or address; empty for
    /// discovery.
    pub target: String,
    /// When the fault began.
    pub started: Duration,
    /// When the fault ended.
    pub ended: Duration,
}

impl InjectedFault {
    /// Whether the two faults overlapped in time.
    pub fn overlaps(&self, other: &InjectedFault) -> bool {
        self.started < other.ended && other.started < self.ended
    }
}

/// Records each fault once it has ended.
pub(super) struct FaultLog {
    epoch: Instant,
    faults: Mutex<Vec<InjectedFault>>,
}

impl FaultLog {
    pub(super) fn new(epoch: Instant) -> FaultLog {
        FaultLog { epoch, faults: Mutex::default() }
    }

    /// Returns the instant from which the log counts times.
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
