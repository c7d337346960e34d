//! The invariants that the soak test checks in addition to the exactly-once audit, as pure functions of the
//! evidence that a run of the test leaves.

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

/// The time within which schedulers must learn of a change that discovery has published, as long as discovery
/// is available.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(6);
/// How long schedulers may still send attempts to a worker after they must know that the worker is draining.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// How long after a client has disconnected a scheduler may still begin an attempt for this client's request.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// By how much the expiry that a scheduler states in an attempt may exceed the client's deadline.
const EXPIRY_TOLERANCE: Duration = Duration::from_millis(150);
/// The time within which a scheduler must respond to a client that stalls in the middle of a request, or must
/// close the client's connection.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest delay between a scheduler's decision, such as to send an attempt, and its write to the
/// connection.
const SCHEDULER_DELAY: Duration = Duration::from_millis(150);
/// The longest delay that a busy machine adds between two processes, such as a scheduler and a worker.
const MACHINE_DELAY: Duration = Duration::from_millis(250);

/// A violation of an invariant that the soak test found.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum InvariantViolation {
    /// A violation that the exactly-once audit found.
    Audit(Violation),
    /// A scheduler exited on its own; the text contains its exit status and the last lines of its log.
    EarlyExit(String),
    /// A scheduler did not shut down cleanly at the end of the test.
    FailedShutdown(FailedShutdown),
    /// An attempt reached a worker long after the schedulers must have known that the worker is draining.
    AttemptWhileDraining {
        /// The attempt's request id.
        request_id: u64,
        /// The name of the draining worker.
        worker: String,
        /// The time from the start of the worker's drain to the arrival of the attempt.
        after: Duration,
    },
    /// An attempt reached a worker although the client of its request had disconnected long enough before.
    AttemptAfterDisconnect {
        /// The attempt's request id.
        request_id: u64,
        /// The name of the worker.
        worker: String,
        /// The time from the client's disconnect to the arrival of the attempt.
        after: Duration,
    },
    /// An attempt that reached a worker states an expiry that is later than the client's deadline.
    ExpiryAfterDeadline {
        /// The attempt's request id.
        request_id: u64,
        /// The time from the client's deadline to the attempt's expiry.
        excess: Duration,
    },
    /// A client that stalled in the middle of a request neither received a response nor was disconnected in
    /// time.
    StalledClientKept(StalledClient),
    /// A scheduler's log contains a violated invariant or a panic.
    LoggedError {
        /// The scheduler's number.
        scheduler: usize,
        /// The line of the scheduler's log.
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

/// The observations of one run of the soak test, which the checks judge; times count from the deployment's
/// epoch.
pub struct Evidence<'a> {
    /// The platform faults that the test injected.
    pub faults: &'a [InjectedFault],
    /// The attempts whose complete requests arrived at workers.
    pub arrivals: &'a [AttemptArrival],
    /// The jobs of the load, with the requests that clients sent for them.
    pub jobs: &'a [JobRecord],
    /// The classes of the load, which jobs refer to by index.
    pub classes: &'a [ClassLoad],
    /// Faulty clients that disconnected before the response to their request.
    pub disconnected: &'a [DisconnectedClient],
    /// Faulty clients that stalled in the middle of a request.
    pub stalled: &'a [StalledClient],
    /// The text of each scheduler's log, by the scheduler's number.
    pub logs: &'a [String],
    /// The longest delay between the publication of a change and its appearance in the endpoint list.
    pub publication_delay: Duration,
}

/// Checks all invariants of this module and returns the violations.
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

/// Returns the time at which every scheduler must know of a change published at `published`: the time at
/// which discovery has been available for [`PROPAGATION_TIMEOUT`] without interruption since the publication.
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
