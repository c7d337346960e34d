//! The exactly-once audit: compares the responses that clients received with the jobs that workers ran.
//!
//! The audit is a pure function of these records. It excuses the loss of an attempt only during an
//! [`Outage`]; the code that kills a scheduler passes the outage to the audit.

use crate::arrivals::{ClassLoad, Idempotency};
use crate::client::{Attempt, JobRecord, Outcome};
use crate::runs::{run_result, Run, RunEnd};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::time::Duration;

/// A guarantee of the schedulers that the audit found broken. Numbers are request ids; the text is an
/// idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[non_exhaustive]
pub enum Violation {
    /// An attempt received no response before its client's deadline.
    Unanswered(u64),
    /// The connection of an attempt ended without a response, although no scheduler was down.
    ConnectionLost(u64),
    /// A client received a result that does not come from a finished run of the attempt's job.
    ForeignResult(u64),
    /// A keyed job finished twice, or started again after workers had forgotten its key.
    KeyedRanTwice(String),
    /// A non-idempotent job ran more than once.
    NonIdempotentRanTwice(u64),
    /// An attempt of a non-idempotent job ran, but its client received a rejection, which states that the job
    /// did not run and may be retried.
    RejectedAfterRun(u64),
    /// A worker ran a request that no client sent.
    UnknownRequest(u64),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Unanswered(id) => write!(f, "request {id:016x} was never answered"),
            Violation::ConnectionLost(id) => write!(f, "request {id:016x} lost its connection (no outage)"),
            Violation::ForeignResult(id) => {
                write!(f, "request {id:016x} received a result that no worker produced for it")
            }
            Violation::KeyedRanTwice(key) => write!(f, "the job with idempotency key {key} ran twice"),
            Violation::NonIdempotentRanTwice(id) => write!(f, "non-idempotent request {id:016x} ran twice"),
            Violation::RejectedAfterRun(id) => {
                write!(f, "non-idempotent request {id:016x} was rejected although it had run")
            }
            Violation::UnknownRequest(id) => write!(f, "request {id:016x} ran, but no client sent it"),
        }
    }
}

/// A period in which a scheduler was down but the load balancer might still send connections to it. Attempts
/// in flight during the period may be lost. The times count from the same start as those of the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When the scheduler's process ended.
    pub from: Duration,
    /// The time by which the load balancer has stopped sending connections to the scheduler.
    pub until: Duration,
}

impl Outage {
    fn overlaps(&self, attempt: &Attempt) -> bool {
        attempt.sent < self.until && attempt.ended >= self.from
    }
}

/// Numbers of attempts by outcome, as the clients observed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Answers {
    /// Attempts whose response had status 200.
    pub served: u64,
    /// Attempts whose response had status 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Attempts whose response had any other status.
    pub failed: u64,
    /// Attempts whose connection ended before the response was complete.
    pub lost: u64,
    /// Attempts for which the client could not make a connection.
    pub unreachable: u64,
    /// Attempts that received no response before the client's deadline.
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
    /// Numbers of attempts by outcome, as the clients observed it.
    pub answers: Answers,
    /// Number of runs of jobs at workers.
    pub runs: u64,
    /// The broken guarantees, sorted and without duplicates.
    pub violations: Vec<Violation>,
    /// How strongly the jobs of an object went to one worker: the share of runs that took place at the worker
    /// with most runs of the same object, over objects with two runs or more; 1 if there are no such objects.
    pub affinity: f64,
    /// The priority weight of the jobs that were served within their latency objective, divided by the
    /// priority weight of all jobs; 1 without jobs.
    pub in_time_share: f64,
}

/// Audits the records of clients against the runs of jobs at workers. If `known_runs` is absent, the audit
/// checks the records of clients alone.
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

/// The records of clients and workers under audit, and the violations found so far.
struct Auditor<'a> {
    classes: &'a [ClassLoad],
    jobs: &'a [JobRecord],
    known_runs: Option<&'a [Run]>,
    outages: &'a [Outage],
    /// When the first run of each request started, by request id.
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

    /// Whether the attempt was in flight during an outage, which excuses the loss of the attempt.
    fn is_excused(&self, attempt: &Attempt) -> bool {
        self.outages.iter().any(|outage| outage.overlaps(attempt))
    }

    /// Whether an attempt ran before its client sent it again on a new connection. In that case a scheduler
    /// had accepted the attempt before the first connection ended.
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

    /// Reports a violation if the attempt received no response and no outage excuses the loss.
    fn check_connection(&mut self, attempt: &Attempt) {
        if self.is_excused(attempt) {
            return;
        }
        match attempt.outcome {
            Outcome::Broken(_) => self.violations.push(Violation::ConnectionLost(attempt.id)),
            Outcome::Unanswered => self.violations.push(Violation::Unanswered(attempt.id)),
            _ => {}
        }
        if self.ran_before_resend(attempt) {
            self.violations.push(Violation::ConnectionLost(attempt.id));
        }
    }

    /// Reports a violation if the client received a result that does not come from a finished run of this
    /// attempt, or of another attempt with the same idempotency key.
    fn check_result(&mut self, job: &JobRecord, attempt: &Attempt) {
        let (Outcome::Served(result), Some(runs)) = (&attempt.outcome, self.known_runs) else { return };
        if !is_result_of(result, attempt.id, job, runs) {
            self.violations.push(Violation::ForeignResult(attempt.id));
        }
    }

    /// Reports a violation if a rejected attempt of a non-idempotent job ran.
    fn check_rejection(&mut self, job: &JobRecord, attempt: &Attempt) {
        let non_idempotent = self.classes[job.arrival.class].idempotency == Idempotency::NonIdempotent;
        let ran = self.first_starts.contains_key(&attempt.id);
        if attempt.outcome == Outcome::Rejected && non_idempotent && ran {
            self.violations.push(Violation::RejectedAfterRun(attempt.id));
        }
    }

    /// Reports a violation for each run of a request that no client sent, and for repeated runs of a job that
    /// the job's class forbids.
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
            if resent_in_outage.get(&run.id).is_some_and(|resent| run.arrived < *resent) {
                continue;
            }
            // Repeated runs are counted by job, not by attempt: a client may retry a non-idempotent job only
            // after a rejection or a failure to connect, which means that the job has not run.
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

    /// Returns the job of each request, by request id; each attempt of a job has a request id of its own.
    fn jobs_by_id(&self) -> HashMap<u64, &'a JobRecord> {
        let attempts =
            self.jobs.iter().flat_map(|job| job.attempts.iter().map(move |attempt| (attempt, job)));
        attempts.map(|(attempt, job)| (attempt.id, job)).collect()
    }

    /// Returns when each attempt in flight during an outage was sent again on a new connection, by request
    /// id. A client can't distinguish the end of its scheduler from the close of an idle connection, so the run
    /// of an attempt that had arrived at its worker before the resend doesn't count towards repeated runs.
    fn resent_in_outage(&self) -> HashMap<u64, Duration> {
        let attempts = self.jobs.iter().flat_map(|job| &job.attempts);
        let excused = attempts.filter(|attempt| self.is_excused(attempt));
        excused.filter_map(|attempt| Some((attempt.id, attempt.resent?))).collect()
    }
}

/// The runs of the jobs that carry the same idempotency key.
struct KeyedRuns<'a> {
    /// How long workers remember the key after the start of a run.
    window: Duration,
    runs: Vec<&'a Run>,
}

impl KeyedRuns<'_> {
    fn new(window: Duration) -> Self {
        KeyedRuns { window, runs: Vec::new() }
    }

    /// Whether more than one run finished, or a run started after workers had forgotten the key of the first
    /// run.
    fn are_repeated(&self) -> bool {
        let finished = self.runs.iter().filter(|run| run.end == RunEnd::Finished).count();
        let first = self.runs.iter().map(|run| run.started).min().unwrap_or_default();
        finished > 1 || self.runs.iter().any(|run| run.started.saturating_sub(first) >= self.window)
    }
}

/// Numbers of runs, by object and worker.
#[derive(Default)]
struct Affinity<'a>(BTreeMap<&'a str, BTreeMap<&'a str, u64>>);

impl<'a> Affinity<'a> {
    fn record(&mut self, run: &'a Run) {
        *self.0.entry(&run.object).or_default().entry(&run.worker).or_default() += 1;
    }

    /// Returns the share of runs that took place at the worker with most runs of the same object, over
    /// objects with two runs or more; 1 if there are no such objects.
    fn share(&self) -> f64 {
        let (mut at_most_used, mut total) = (0, 0);
        for workers in self.0.values() {
            let runs: u64 = workers.values().sum();
            if runs > 1 {
                at_most_used += workers.values().max().unwrap_or(&0);
                total += runs;
            }
        }
        if total == 0 {
            1.0
        } else {
            at_most_used as f64 / total as f64
        }
    }
}

/// Returns the priority weight of the jobs that were served within their latency objective, divided by the
/// priority weight of all jobs; 1 without jobs.
fn in_time_share(classes: &[ClassLoad], jobs: &[JobRecord]) -> f64 {
    let (mut total_weight, mut in_time_weight) = (0.0, 0.0);
    for job in jobs {
        let class = &classes[job.arrival.class];
        let weight = class.priority_weight * job.arrival.work.as_secs_f64();
        total_weight += weight;
        if job.in_time(class) {
            in_time_weight += weight;
        }
    }
    if total_weight > 0.0 {
        in_time_weight / total_weight
    } else {
        1.0
    }
}

/// Whether the result `text` comes from a finished run of the attempt `id`, or of a run with the job's
/// idempotency key. Such a text ends with the number of the run.
fn is_result_of(text: &str, id: u64, job: &JobRecord, runs: &[Run]) -> bool {
    let number = text.split_once(':').and_then(|(_, number)| number.parse::<usize>().ok());
    let Some((number, run)) = number.and_then(|number| Some((number, runs.get(number)?))) else {
        return false;
    };
    let same_request = run.id == id || (run.key.is_some() && run.key == job.key);
    same_request && run.end == RunEnd::Finished && text == run_result(run.id, number)
}
