//! The exactly-once audit: compares the answers that clients received with the jobs that workers ran.
//!
//! Pure. It excuses nothing by itself: whoever ends a scheduler passes the time of the [`Outage`] in.

use crate::arrivals::{ClassLoad, Idempotency};
use crate::client::{Attempt, JobRecord, Outcome};
use crate::runs::{run_result, Run, RunEnd};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

/// A guarantee that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Violation {
    /// An accepted attempt received no response before its client's deadline.
    Unanswered(u64),
    /// An attempt's connection ended without a response while no scheduler was down.
    Lost(u64),
    /// An attempt was answered with a result that no worker produced for it.
    ForeignResult(u64),
    /// A keyed job finished twice, or started again after workers had forgotten its key.
    KeyedRanTwice(String),
    /// A non-idempotent job ran again.
    NonIdempotentRanTwice(u64),
    /// A non-idempotent job ran, and its client was answered that a retry is harmless.
    RejectedAfterRun(u64),
    /// Workers ran a request that no client sent.
    UnknownRequest(u64),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Unanswered(id) => write!(f, "{id:016x} was never answered"),
            Violation::Lost(id) => write!(f, "{id:016x} lost its connection while no scheduler was down"),
            Violation::ForeignResult(id) => {
                write!(f, "{id:016x} was served with what no worker made for it")
            }
            Violation::KeyedRanTwice(key) => write!(f, "the keyed job {key} ran twice"),
            Violation::NonIdempotentRanTwice(id) => write!(f, "{id:016x} must not run twice and did"),
            Violation::RejectedAfterRun(id) => {
                write!(f, "{id:016x} must not run twice and was refused though it had run")
            }
            Violation::UnknownRequest(id) => write!(f, "{id:016x} was run and never sent"),
        }
    }
}

/// A time in which a scheduler was down, or was not yet known to be down: attempts in flight then may be
/// lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When the scheduler ended.
    pub from: Duration,
    /// When new connections were no longer sent to it.
    pub until: Duration,
}

impl Outage {
    fn overlaps(&self, attempt: &Attempt) -> bool {
        attempt.sent < self.until && attempt.ended >= self.from
    }
}

/// Numbers of attempts by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Answers {
    /// Served.
    pub served: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// The connection ended without a response.
    pub lost: u64,
    /// No connection was made.
    pub unreachable: u64,
    /// No response before the deadline.
    #[serde(rename = "none")]
    pub unanswered: u64,
}

impl Answers {
    fn count(&mut self, outcome: &Outcome) {
        let counter = match outcome {
            Outcome::Served(_) => &mut self.served,
            Outcome::Rejected => &mut self.rejected,
            Outcome::Failed(_) => &mut self.failed,
            Outcome::Unreachable(_) => &mut self.unreachable,
            Outcome::Broken(_) => &mut self.lost,
            Outcome::Unanswered => &mut self.unanswered,
        };
        *counter += 1;
    }
}

/// The result of an audit.
#[derive(Debug, Default)]
pub struct Audit {
    /// Numbers of attempts by outcome.
    pub answers: Answers,
    /// Number of runs at workers.
    pub runs: u64,
    /// Broken guarantees, sorted.
    pub violations: Vec<Violation>,
    /// The share of jobs that ran at the worker with most of their object's jobs, over objects with two or
    /// more.
    pub affinity: f64,
    /// Priority weight answered in time over priority weight sent.
    pub in_time_share: f64,
}

/// Compares clients' records with workers' runs; without known runs, audits the clients' side alone.
pub fn audit_jobs(
    classes: &[ClassLoad],
    jobs: &[JobRecord],
    known_runs: Option<&[Run]>,
    outages: &[Outage],
) -> Audit {
    let mut auditor = Auditor::new(classes, jobs, known_runs, outages);
    auditor.check_attempts();
    auditor.check_runs();
    let mut violations = auditor.violations;
    violations.sort();
    violations.dedup();
    let runs = known_runs.unwrap_or_default();
    Audit {
        answers: auditor.answers,
        runs: runs.len() as u64,
        violations,
        affinity: auditor.affinity.share(),
        in_time_share: in_time_share(classes, jobs),
    }
}

/// The records under audit, and what was found in them so far.
struct Auditor<'a> {
    classes: &'a [ClassLoad],
    jobs: &'a [JobRecord],
    known_runs: Option<&'a [Run]>,
    outages: &'a [Outage],
    /// When the first run of each request started.
    first_starts: HashMap<u64, Duration>,
    answers: Answers,
    affinity: Affinity<'a>,
    violations: Vec<Violation>,
}

impl<'a> Auditor<'a> {
    fn new(
        classes: &'a [ClassLoad],
        jobs: &'a [JobRecord],
        known_runs: Option<&'a [Run]>,
        outages: &'a [Outage],
    ) -> Auditor<'a> {
        let mut first_starts = HashMap::new();
        for run in known_runs.unwrap_or_default() {
            let first = first_starts.entry(run.id).or_insert(run.started);
            *first = run.started.min(*first);
        }
        Auditor {
            classes,
            jobs,
            known_runs,
            outages,
            first_starts,
            answers: Answers::default(),
            affinity: Affinity::default(),
            violations: Vec::new(),
        }
    }

    /// Whether an outage excuses the loss of an attempt.
    fn is_excused(&self, attempt: &Attempt) -> bool {
        self.outages.iter().any(|outage| outage.overlaps(attempt))
    }

    /// Whether an attempt was accepted before its connection ended: it ran before the client sent it again.
    fn ran_before_resend(&self, attempt: &Attempt) -> bool {
        let first_start = self.first_starts.get(&attempt.id);
        attempt.resent.zip(first_start).is_some_and(|(resent, started)| *started < resent)
    }

    fn check_attempts(&mut self) {
        for job in self.jobs {
            for attempt in &job.attempts {
                self.answers.count(&attempt.outcome);
                self.check_connection(attempt);
                self.check_result(job, attempt);
                self.check_rejection(job, attempt);
            }
        }
    }

    /// An attempt receives a response, unless its scheduler went down.
    fn check_connection(&mut self, attempt: &Attempt) {
        if self.is_excused(attempt) {
            return;
        }
        match attempt.outcome {
            Outcome::Broken(_) => self.violations.push(Violation::Lost(attempt.id)),
            Outcome::Unanswered => self.violations.push(Violation::Unanswered(attempt.id)),
            _ => {}
        }
        if self.ran_before_resend(attempt) {
            self.violations.push(Violation::Lost(attempt.id));
        }
    }

    /// A result comes from a finished run of this attempt or of its key.
    fn check_result(&mut self, job: &JobRecord, attempt: &Attempt) {
        let (Outcome::Served(result), Some(runs)) = (&attempt.outcome, self.known_runs) else { return };
        if !is_result_of(result, attempt.id, job, runs) {
            self.violations.push(Violation::ForeignResult(attempt.id));
        }
    }

    /// A rejected attempt of a non-idempotent job has not run.
    fn check_rejection(&mut self, job: &JobRecord, attempt: &Attempt) {
        let non_idempotent = self.classes[job.arrival.class].idempotency == Idempotency::NonIdempotent;
        let ran = self.first_starts.contains_key(&attempt.id);
        if attempt.outcome == Outcome::Rejected && non_idempotent && ran {
            self.violations.push(Violation::RejectedAfterRun(attempt.id));
        }
    }

    /// Each run belongs to a request, and repeats stay within what the job's class allows.
    fn check_runs(&mut self) {
        let jobs_by_id = self.jobs_by_id();
        let resent_in_outage = self.resent_in_outage();
        let mut started_jobs = HashSet::new();
        let mut keyed_runs: BTreeMap<&str, KeyedRuns<'_>> = BTreeMap::new();
        for run in self.known_runs.unwrap_or_default() {
            let Some(job) = jobs_by_id.get(&run.id) else {
                self.violations.push(Violation::UnknownRequest(run.id));
                continue;
            };
            self.affinity.record(run);
            if resent_in_outage.get(&run.id).is_some_and(|resent| run.started < *resent) {
                continue;
            }
            // By job, not by attempt: a client may retry only after a rejection, which means that nothing
            // ran.
            let started_before = !started_jobs.insert(job.arrival.job);
            match self.classes[job.arrival.class].idempotency {
                Idempotency::NonIdempotent if started_before => {
                    self.violations.push(Violation::NonIdempotentRanTwice(run.id));
                }
                Idempotency::Keyed(window) => {
                    let key = run.key.as_deref().unwrap_or_default();
                    keyed_runs.entry(key).or_insert_with(|| KeyedRuns::new(window)).runs.push(run);
                }
                Idempotency::Idempotent | Idempotency::NonIdempotent => {}
            }
        }
        let repeated = keyed_runs.iter().filter(|(_, runs)| runs.are_repeated());
        self.violations.extend(repeated.map(|(key, _)| Violation::KeyedRanTwice((*key).to_string())));
    }

    fn jobs_by_id(&self) -> HashMap<u64, &'a JobRecord> {
        let attempts =
            self.jobs.iter().flat_map(|job| job.attempts.iter().map(move |attempt| (attempt, job)));
        attempts.map(|(attempt, job)| (attempt.id, job)).collect()
    }

    /// When attempts that were in flight in an outage were sent again. A client can't distinguish the end of
    /// its scheduler from the close of an idle connection, so runs that started before the resend don't count
    /// as repeated by it.
    fn resent_in_outage(&self) -> HashMap<u64, Duration> {
        let attempts = self.jobs.iter().flat_map(|job| &job.attempts);
        let excused = attempts.filter(|attempt| self.is_excused(attempt));
        excused.filter_map(|attempt| Some((attempt.id, attempt.resent?))).collect()
    }
}

/// The runs of one idempotency key.
struct KeyedRuns<'a> {
    /// How long workers remember the key.
    window: Duration,
    runs: Vec<&'a Run>,
}

impl KeyedRuns<'_> {
    fn new(window: Duration) -> Self {
        KeyedRuns { window, runs: Vec::new() }
    }

    /// Whether more than one finished, or one started after the key was forgotten.
    fn are_repeated(&self) -> bool {
        let finished = self.runs.iter().filter(|run| run.end == RunEnd::Finished).count();
        let first = self.runs.iter().map(|run| run.started).min().unwrap_or_default();
        finished > 1 || self.runs.iter().any(|run| run.started.saturating_sub(first) >= self.window)
    }
}

/// How many jobs of each object ran at each worker.
#[derive(Default)]
struct Affinity<'a>(BTreeMap<&'a str, BTreeMap<&'a str, u64>>);

impl<'a> Affinity<'a> {
    fn record(&mut self, run: &'a Run) {
        *self.0.entry(&run.object).or_default().entry(&run.worker).or_default() += 1;
    }

    /// The share of jobs at their object's most used worker, over objects with two jobs or more; 1 without
    /// any.
    fn share(&self) -> f64 {
        let (mut at_most_used, mut all) = (0, 0);
        for workers in self.0.values() {
            let jobs: u64 = workers.values().sum();
            if jobs > 1 {
                at_most_used += workers.values().max().unwrap_or(&0);
                all += jobs;
            }
        }
        if all == 0 {
            1.0
        } else {
            at_most_used as f64 / all as f64
        }
    }
}

/// Priority weight answered in time over priority weight sent; 1 without any.
fn in_time_share(classes: &[ClassLoad], jobs: &[JobRecord]) -> f64 {
    let (mut sent, mut in_time) = (0.0, 0.0);
    for job in jobs {
        let class = &classes[job.arrival.class];
        let weight = class.priority_weight * job.arrival.work.as_secs_f64();
        sent += weight;
        if job.in_time(class) {
            in_time += weight;
        }
    }
    if sent > 0.0 {
        in_time / sent
    } else {
        1.0
    }
}

/// Whether a result comes from a finished run of this attempt or of its job's key.
fn is_result_of(text: &str, id: u64, job: &JobRecord, runs: &[Run]) -> bool {
    let number = text.split_once(':').and_then(|(_, number)| number.parse::<usize>().ok());
    let Some((number, run)) = number.and_then(|number| Some((number, runs.get(number)?))) else {
        return false;
    };
    let same_request = run.id == id || (run.key.is_some() && run.key == job.key);
    same_request && run.end == RunEnd::Finished && text == run_result(run.id, number)
}
