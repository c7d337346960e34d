//! The account: whether each try had exactly one final answer, from both sides: what clients heard against what workers ran.
//!
//! Pure. It must never excuse anything by itself: whoever killed a scheduler says when.

use crate::arrivals::{ClassLoad, Repeat};
use crate::client::{JobRecord, Outcome, Try};
use crate::runs::{result, Run, RunEnd};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Violation {
    /// A try that was taken heard nothing before its client gave up.
    Unanswered(u64),
    /// A try's connection ended without an answer while no scheduler was down.
    Lost(u64),
    /// A try was served with what no worker made for it.
    Foreign(u64),
    /// A keyed job ran to its end twice, or began again after workers had forgotten it.
    KeyedTwice(String),
    /// A job that must not be repeated ran again.
    UnsafeTwice(u64),
    /// A job that must not be repeated ran, and its client was told that trying again is harmless.
    RefusedAfterRun(u64),
    /// Workers ran something that no client sent.
    Unasked(u64),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Unanswered(id) => write!(f, "{id:016x} was never answered"),
            Violation::Lost(id) => write!(f, "{id:016x} lost its connection while no scheduler was down"),
            Violation::Foreign(id) => write!(f, "{id:016x} was served with what no worker made for it"),
            Violation::KeyedTwice(key) => write!(f, "the keyed job {key} ran twice"),
            Violation::UnsafeTwice(id) => write!(f, "{id:016x} must not run twice and did"),
            Violation::RefusedAfterRun(id) => {
                write!(f, "{id:016x} must not run twice and was refused though it had run")
            }
            Violation::Unasked(id) => write!(f, "{id:016x} was run and never sent"),
        }
    }
}

/// A time in which a scheduler was down or about to be noticed as down: tries that were open then may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// From its death ...
    pub from: Duration,
    /// ... until clients were no longer sent there.
    pub until: Duration,
}

/// Answers by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Answers {
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Connection broken without an answer.
    pub lost: u64,
    /// Never taken: no connection was made.
    pub unreachable: u64,
    /// None at all.
    pub none: u64,
}

/// What the account found.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Answers to tries.
    pub answers: Answers,
    /// Runs at workers.
    pub runs: u64,
    /// Broken rules, sorted.
    pub violations: Vec<Violation>,
    /// The share of jobs that ran at the worker that ran most of their object's jobs, over objects with two or more.
    pub affinity: f64,
    /// Worth answered in time over worth asked for.
    pub service: f64,
}

/// Holds the two sides against each other; where the workers' side is unknown, looks at the clients' alone.
pub fn judge(
    classes: &[ClassLoad],
    jobs: &[JobRecord],
    known_runs: Option<&[Run]>,
    outages: &[Outage],
) -> Verdict {
    let runs = known_runs.unwrap_or_default();
    let mut verdict = Verdict { runs: runs.len() as u64, ..Verdict::default() };
    let mut violations = Vec::new();
    let mut sent: HashMap<u64, &JobRecord> = HashMap::new();
    let excused = |one: &Try| outages.iter().any(|o| one.sent < o.until && one.ended >= o.from);
    let ran: HashSet<u64> = runs.iter().map(|run| run.id).collect();
    // What ran before it was sent once more had been taken, and its connection was closed all the same.
    let mut first_run: HashMap<u64, Duration> = HashMap::new();
    for run in runs {
        let first = first_run.entry(run.id).or_insert(run.started);
        *first = run.started.min(*first);
    }
    let taken_and_lost = |one: &Try| {
        let (resent, ran) = (one.resent, first_run.get(&one.id));
        resent.zip(ran).is_some_and(|(resent, ran)| *ran < resent) && !excused(one)
    };
    let (mut asked, mut earned) = (0.0, 0.0);
    for job in jobs {
        let class = &classes[job.arrival.class];
        let worth = class.worth * job.arrival.work.as_secs_f64();
        asked += worth;
        if job.in_time(class) {
            earned += worth;
        }
        for one in &job.tries {
            sent.insert(one.id, job);
            if taken_and_lost(one) {
                violations.push(Violation::Lost(one.id));
            }
            match &one.outcome {
                Outcome::Served(made) => {
                    verdict.answers.served += 1;
                    if known_runs.is_some() && !made_for(made, one.id, job, runs) {
                        violations.push(Violation::Foreign(one.id));
                    }
                }
                Outcome::Refused => {
                    verdict.answers.refused += 1;
                    if class.repeat == Repeat::Unsafe && ran.contains(&one.id) {
                        violations.push(Violation::RefusedAfterRun(one.id));
                    }
                }
                Outcome::Failed(_) => verdict.answers.failed += 1,
                Outcome::Unreachable(_) => verdict.answers.unreachable += 1,
                Outcome::Broken(_) if excused(one) => verdict.answers.lost += 1,
                Outcome::Broken(_) => {
                    verdict.answers.lost += 1;
                    violations.push(Violation::Lost(one.id));
                }
                Outcome::Unanswered => {
                    verdict.answers.none += 1;
                    if !excused(one) {
                        violations.push(Violation::Unanswered(one.id));
                    }
                }
            }
        }
    }
    // A client whose connection ended with its scheduler can't tell that from the close of a resting one: what had begun by
    // then is not held against what came of sending it once more.
    let resent_in_outage: HashMap<u64, Duration> = jobs
        .iter()
        .flat_map(|job| &job.tries)
        .filter(|one| excused(one))
        .filter_map(|one| Some((one.id, one.resent?)))
        .collect();
    let mut by_key: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    let (mut begun, mut objects) = (HashSet::new(), BTreeMap::<&str, BTreeMap<&str, u64>>::new());
    for run in runs {
        let Some(job) = sent.get(&run.id) else {
            violations.push(Violation::Unasked(run.id));
            continue;
        };
        *objects.entry(&run.object).or_default().entry(&run.worker).or_default() += 1;
        if resent_in_outage.get(&run.id).is_some_and(|resent| run.started < *resent) {
            continue;
        }
        // Of a job, not of a try: its client may come back only where it was told that nothing ran.
        let again = !begun.insert(job.arrival.job);
        match classes[job.arrival.class].repeat {
            Repeat::Unsafe if again => violations.push(Violation::UnsafeTwice(run.id)),
            Repeat::Keyed(_) => by_key.entry(run.key.as_deref().unwrap_or_default()).or_default().push(run),
            Repeat::Safe | Repeat::Unsafe => {}
        }
    }
    for (key, of_key) in by_key {
        let window = sent.get(&of_key[0].id).map(|job| classes[job.arrival.class].repeat);
        let Some(Repeat::Keyed(window)) = window else { continue };
        let finished = of_key.iter().filter(|run| run.end == RunEnd::Finished).count();
        let first = of_key.iter().map(|run| run.started).min().unwrap_or_default();
        if finished > 1 || of_key.iter().any(|run| run.started.saturating_sub(first) >= window) {
            violations.push(Violation::KeyedTwice(key.to_string()));
        }
    }
    let repeated = objects.values().filter(|workers| workers.values().sum::<u64>() > 1);
    let (most, all) = repeated.fold((0, 0), |(most, all), workers| {
        (most + workers.values().max().unwrap_or(&0), all + workers.values().sum::<u64>())
    });
    verdict.affinity = if all == 0 { 1.0 } else { most as f64 / all as f64 };
    verdict.service = if asked > 0.0 { earned / asked } else { 1.0 };
    violations.sort();
    violations.dedup();
    verdict.violations = violations;
    verdict
}

/// Whether a result comes from a run that finished, of this try or of its key.
fn made_for(made: &str, id: u64, job: &JobRecord, runs: &[Run]) -> bool {
    let number = made.split_once(':').and_then(|(_, number)| number.parse::<usize>().ok());
    let Some((number, run)) = number.and_then(|number| Some((number, runs.get(number)?))) else {
        return false;
    };
    let same = run.id == id || (run.key.is_some() && run.key == job.key);
    same && run.end == RunEnd::Finished && made == result(run.id, number)
}
