//! The invariants of the soak test, in addition to those of the exactly-once audit, as pure functions of the
//! evidence.

use super::fault::{FaultKind, InjectedFault};
use super::{DisconnectedClient, StalledClient};
use crate::deployment::FailedShutdown;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use vetchbridge_testbed::arrivals::ClassLoad;
use vetchbridge_testbed::audit::Violation;
use vetchbridge_testbed::client::JobRecord;
use vetchbridge_testbed::runs::AttemptArrival;

/// The time within which schedulers must learn of a published change, as long as discovery is available.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);
/// How long attempts may still be sent to a worker after schedulers must know that the worker is draining.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// How long after a client's disconnect an attempt for this client may begin.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// By how much the expiry in an attempt may exceed the client's deadline.
const EXPIRY_TOLERANCE: Duration = Duration::from_millis(150);
/// The time within which a client that stalls in a request must get an error or be disconnected.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest delay between a scheduler's decision and its write.
const SCHEDULER_DELAY: Duration = Duration::from_millis(150);
/// The longest delay that a busy machine adds between two processes.
const MACHINE_DELAY: Duration = Duration::from_millis(250);

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum InvariantViolation {
    /// A violation that the exactly-once audit found.
    Audit(Violation),
    /// A scheduler exited on its own; the text contains its exit status and the last lines of its log.
    EarlyExit(String),
    /// A scheduler did not shut down cleanly.
    FailedShutdown(FailedShutdown),
    /// An attempt reached a worker long after schedulers must have known that the worker is draining.
    AttemptWhileDraining {
        /// The request's id.
        request_id: u64,
        /// The worker's name.
        worker: String,
        /// The time since the worker began to drain.
        after: Duration,
    },
    /// An attempt reached a worker after its client had disconnected.
    AttemptAfterDisconnect {
        /// The request's id.
        request_id: u64,
        /// The worker's name.
        worker: String,
        /// The time since the client disconnected.
        after: Duration,
    },
    /// An attempt reached a worker with an expiry after the client's deadline.
    ExpiryAfterDeadline {
        /// The request's id.
        request_id: u64,
        /// The time from the deadline to the expiry.
        excess: Duration,
    },
    /// A client that stalled in a request was neither answered nor disconnected in time.
    StalledClientKept(StalledClient),
    /// A scheduler logged a violated invariant or a panic.
    LoggedError {
        /// The scheduler's number.
        scheduler: usize,
        /// The logged line.
        line: String,
    },
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Audit(violation) => write!(f, "audit: {violation}"),
            Self::EarlyExit(text) => write!(f, "process: {text}"),
            Self::FailedShutdown(failure) => write!(f, "process: {failure}"),
            Self::AttemptWhileDraining { request_id, worker, after } => {
                write!(
                    f,
                    "draining worker: request {request_id:016x} reached {worker} {after:?} after the drain \
                     began"
                )
            }
            Self::AttemptAfterDisconnect { request_id, worker, after } => {
                write!(
                    f,
                    "disconnected client: request {request_id:016x} reached {worker} {after:?} after the \
                     disconnect"
                )
            }
            Self::ExpiryAfterDeadline { request_id, excess } => {
                write!(f, "expiry: request {request_id:016x} expires {excess:?} after its client's deadline")
            }
            Self::StalledClientKept(StalledClient { stalled_at, ended_after }) => {
                write!(f, "stalled client: stalled at {stalled_at:?}, ended after {ended_after:?}")
            }
            Self::LoggedError { scheduler, line } => write!(f, "log: scheduler {scheduler}: {line}"),
        }
    }
}

/// The observations of a run; times count from the deployment's epoch.
pub struct Evidence<'a> {
    /// The injected faults.
    pub faults: &'a [InjectedFault],
    /// The attempts that arrived at workers.
    pub arrivals: &'a [AttemptArrival],
    /// The load's jobs.
    pub jobs: &'a [JobRecord],
    /// The load's classes, which jobs refer to by index.
    pub classes: &'a [ClassLoad],
    /// Clients that disconnected before their response.
    pub disconnected: &'a [DisconnectedClient],
    /// Clients that stalled in the middle of a request.
    pub stalled: &'a [StalledClient],
    /// The text of each scheduler's log, by the scheduler's number.
    pub logs: &'a [String],
    /// The longest delay with which discovery publishes a change.
    pub publication_delay: Duration,
}

/// Runs all checks and returns the violations.
pub fn check_all(evidence: &Evidence<'_>) -> Vec<InvariantViolation> {
    let found = [
        check_draining_workers(evidence),
        check_disconnected_clients(evidence),
        check_expiries(evidence),
        check_stalled_clients(evidence),
        check_logs(evidence),
    ];
    found.into_iter().flatten().collect()
}

/// Returns when every scheduler must know of a change published at `published`: once discovery has been
/// available for [`PROPAGATION_TIMEOUT`] without interruption.
fn propagation_deadline(published: Duration, faults: &[InjectedFault]) -> Duration {
    let mut available_since = published;
    for outage in faults.iter().filter(|fault| fault.kind.is_discovery_outage()) {
        if outage.started < available_since + PROPAGATION_TIMEOUT && outage.ended > available_since {
            available_since = outage.ended;
        }
    }
    available_since + PROPAGATION_TIMEOUT
}

fn check_draining_workers(evidence: &Evidence<'_>) -> Vec<InvariantViolation> {
    let drains = evidence.faults.iter().filter(|fault| fault.kind == FaultKind::WorkerDrain);
    drains.flat_map(|drain| attempts_while_draining(drain, evidence)).collect()
}

fn attempts_while_draining(drain: &InjectedFault, evidence: &Evidence<'_>) -> Vec<InvariantViolation> {
    let known_at = propagation_deadline(drain.started + evidence.publication_delay, evidence.faults);
    let forbidden = known_at + DRAIN_GRACE + SCHEDULER_DELAY + MACHINE_DELAY..drain.ended;
    let is_late =
        |arrival: &&AttemptArrival| arrival.worker == drain.target && forbidden.contains(&arrival.at);
    let violation = |arrival: &AttemptArrival| InvariantViolation::AttemptWhileDraining {
        request_id: arrival.id,
        worker: arrival.worker.clone(),
        after: arrival.at.saturating_sub(drain.started),
    };
    evidence.arrivals.iter().filter(is_late).map(violation).collect()
}

fn check_disconnected_clients(evidence: &Evidence<'_>) -> Vec<InvariantViolation> {
    let disconnected: HashMap<u64, Duration> =
        evidence.disconnected.iter().map(|client| (client.request_id, client.closed_at)).collect();
    let late = evidence.arrivals.iter().filter_map(|arrival| {
        let after = arrival.at.checked_sub(*disconnected.get(&arrival.id)?)?;
        let is_late = after > DISCONNECT_GRACE + SCHEDULER_DELAY + MACHINE_DELAY;
        is_late.then(|| InvariantViolation::AttemptAfterDisconnect {
            request_id: arrival.id,
            worker: arrival.worker.clone(),
            after,
        })
    });
    late.collect()
}

fn check_expiries(evidence: &Evidence<'_>) -> Vec<InvariantViolation> {
    let mut deadlines: HashMap<u64, Duration> = HashMap::new();
    for job in evidence.jobs {
        let deadline = job.arrival.at + evidence.classes[job.arrival.class].deadline;
        deadlines.extend(job.attempts.iter().map(|attempt| (attempt.id, deadline)));
    }
    let late = evidence.arrivals.iter().filter_map(|arrival| {
        let expiry = arrival.at + arrival.expires_in?;
        let excess = expiry.checked_sub(*deadlines.get(&arrival.id)?)?;
        let is_late = excess > EXPIRY_TOLERANCE + MACHINE_DELAY;
        is_late.then_some(InvariantViolation::ExpiryAfterDeadline { request_id: arrival.id, excess })
    });
    late.collect()
}

fn check_stalled_clients(evidence: &Evidence<'_>) -> Vec<InvariantViolation> {
    let limit = STALL_TIMEOUT + SCHEDULER_DELAY + MACHINE_DELAY;
    let was_kept = |client: &&StalledClient| client.ended_after.is_none_or(|after| after > limit);
    let kept = evidence.stalled.iter().filter(was_kept);
    kept.map(|client| InvariantViolation::StalledClientKept(*client)).collect()
}

fn check_logs(evidence: &Evidence<'_>) -> Vec<InvariantViolation> {
    let is_error = |line: &&str| line.contains("invariant.violated") || line.contains("panicked at");
    let logs = evidence.logs.iter().enumerate();
    let lines =
        logs.flat_map(|(scheduler, log)| log.lines().filter(is_error).map(move |line| (scheduler, line)));
    lines
        .map(|(scheduler, line)| InvariantViolation::LoggedError { scheduler, line: line.to_string() })
        .collect()
}

#[cfg(test)]
mod tests;
