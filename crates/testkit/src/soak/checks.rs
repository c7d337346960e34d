//! The promises that a soak test is judged by, beside the account of answers and runs: pure functions of what was seen.

use super::clients::{Departure, Stayed};
use super::troubles::{Episode, TroubleKind};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use vetchbridge_testbed::arrivals::ClassLoad;
use vetchbridge_testbed::client::JobRecord;
use vetchbridge_testbed::runs::AttemptArrival;

/// News counts as told so long after discovery had it and could be reached.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// Attempts may go to a draining worker for so long after that.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// An attempt may begin so long after its client has gone.
const LEFT_GRACE: Duration = Duration::from_millis(100);
/// A worker may be told so much more than its client has left.
const EXPIRY_SLACK: Duration = Duration::from_millis(150);
/// A client that stopped in a request has its error or its end within this.
const STOPPED_GRACE: Duration = Duration::from_secs(3);
/// A scheduler may be held up so long between a decision and its write.
const HELD_UP: Duration = Duration::from_millis(150);
/// What a busy machine may add between two processes.
const MACHINE: Duration = Duration::from_millis(250);

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Broken {
    /// Of the account of answers and runs.
    Account(String),
    /// A scheduler ended unasked, or badly.
    Process(String),
    /// An attempt came to a worker that had long been told to be draining.
    Drained(String),
    /// An attempt came to a worker after its client had gone.
    ClientGone(String),
    /// A worker was told more time than its client had left.
    Expiry(String),
    /// A client that stopped in a request and stayed was kept.
    Stopped(String),
    /// A scheduler counted a violation of its own, or panicked.
    Log(String),
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::Account(text) => write!(f, "account: {text}"),
            Broken::Process(text) => write!(f, "process: {text}"),
            Broken::Drained(text) => write!(f, "drained: {text}"),
            Broken::ClientGone(text) => write!(f, "client gone: {text}"),
            Broken::Expiry(text) => write!(f, "expiry: {text}"),
            Broken::Stopped(text) => write!(f, "stopped: {text}"),
            Broken::Log(text) => write!(f, "log: {text}"),
        }
    }
}

/// What was seen; times count from the beginning of the account.
pub struct Evidence<'a> {
    /// The troubles.
    pub episodes: &'a [Episode],
    /// Attempts that arrived at workers.
    pub arrivals: &'a [AttemptArrival],
    /// The load's jobs.
    pub jobs: &'a [JobRecord],
    /// Its classes.
    pub classes: &'a [ClassLoad],
    /// Clients that left.
    pub departures: &'a [Departure],
    /// Clients that stopped.
    pub stayed: &'a [Stayed],
    /// The schedulers' logs.
    pub logs: &'a [String],
    /// The latest that discovery learns of a change.
    pub discovery_lateness: Duration,
}

/// Every check.
pub fn all(evidence: &Evidence<'_>) -> Vec<Broken> {
    let found =
        [drained(evidence), client_gone(evidence), expiry(evidence), stopped(evidence), logs(evidence)];
    found.into_iter().flatten().collect()
}

/// When a change of that moment counts as told to every scheduler: discovery could be reached for so long on end.
fn told_by(changed: Duration, episodes: &[Episode]) -> Duration {
    let mut from = changed;
    for outage in episodes.iter().filter(|episode| episode.kind.hides_discovery()) {
        if outage.from < from + TOLD_WITHIN && outage.until > from {
            from = outage.until;
        }
    }
    from + TOLD_WITHIN
}

fn drained(evidence: &Evidence<'_>) -> Vec<Broken> {
    let mut broken = Vec::new();
    for drain in evidence.episodes.iter().filter(|episode| episode.kind == TroubleKind::WorkerDrains) {
        let told = told_by(drain.from + evidence.discovery_lateness, evidence.episodes);
        let from = told + DRAIN_GRACE + HELD_UP + MACHINE;
        let late = |arrival: &&AttemptArrival| {
            arrival.worker == drain.whom && (from..drain.until).contains(&arrival.at)
        };
        broken.extend(evidence.arrivals.iter().filter(late).map(|arrival| {
            let after = arrival.at.saturating_sub(drain.from);
            Broken::Drained(format!(
                "{:016x} came to {} {after:?} after it began to drain",
                arrival.id, arrival.worker
            ))
        }));
    }
    broken
}

fn client_gone(evidence: &Evidence<'_>) -> Vec<Broken> {
    let gone: HashMap<u64, Duration> = evidence.departures.iter().map(|one| (one.id, one.closed)).collect();
    let late = evidence.arrivals.iter().filter_map(|arrival| {
        let after = arrival.at.checked_sub(*gone.get(&arrival.id)?)?;
        (after > LEFT_GRACE + HELD_UP + MACHINE).then(|| {
            Broken::ClientGone(format!(
                "{:016x} came to {} {after:?} after its client",
                arrival.id, arrival.worker
            ))
        })
    });
    late.collect()
}

fn expiry(evidence: &Evidence<'_>) -> Vec<Broken> {
    let mut gives_up: HashMap<u64, Duration> = HashMap::new();
    for job in evidence.jobs {
        let deadline = job.arrival.at + evidence.classes[job.arrival.class].deadline;
        gives_up.extend(job.attempts.iter().map(|one| (one.id, deadline)));
    }
    let late = evidence.arrivals.iter().filter_map(|arrival| {
        let told = arrival.at + arrival.expires_in?;
        let over = told.checked_sub(*gives_up.get(&arrival.id)?)?;
        (over > EXPIRY_SLACK + MACHINE).then(|| {
            Broken::Expiry(format!("{:016x} was told {over:?} more than its client had left", arrival.id))
        })
    });
    late.collect()
}

fn stopped(evidence: &Evidence<'_>) -> Vec<Broken> {
    let kept = |one: &&Stayed| one.ended_after.is_none_or(|after| after > STOPPED_GRACE + HELD_UP + MACHINE);
    let kept = evidence.stayed.iter().filter(kept);
    kept.map(|one| Broken::Stopped(format!("at {:?}: ended after {:?}", one.since, one.ended_after)))
        .collect()
}

fn logs(evidence: &Evidence<'_>) -> Vec<Broken> {
    let tells = |line: &&str| line.contains("invariant.violated") || line.contains("panicked at");
    let lines = evidence.logs.iter().enumerate();
    let lines = lines.flat_map(|(number, log)| log.lines().filter(tells).map(move |line| (number, line)));
    lines.map(|(number, line)| Broken::Log(format!("scheduler {number}: {line}"))).collect()
}

#[cfg(test)]
mod tests;
