//! A job at a stand-in worker: the content of its request, and its entry among the jobs that wait for slots
//! or run.

use super::state::WorkerState;
use crate::runs::{Run, RunEnd};
use crate::wire::Message;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Returns the request id in the `x-trace-id` header, a hexadecimal number; `None` if the request has no such
/// header.
pub(super) fn request_id(message: &Message) -> Option<Result<u64, ParseIntError>> {
    message.header("x-trace-id").map(|id| u64::from_str_radix(id, 16))
}

/// Returns how long the scheduler waits for the end of the job, from the request's `x-expires-in` header: a
/// number with the unit `m` (milliseconds) or `u` (microseconds).
pub(super) fn expires_in(message: &Message) -> Option<Duration> {
    let text = message.header("x-expires-in")?;
    match text.strip_suffix('u') {
        Some(number) => number.parse().ok().map(Duration::from_micros),
        None => text.strip_suffix('m')?.parse().ok().map(Duration::from_millis),
    }
}

/// A job as the scheduler's request describes it.
pub(super) struct JobRequest {
    /// The request id of the job's attempt.
    pub(super) id: u64,
    /// When the complete request arrived, counted from the start of the recording of runs.
    arrived: Duration,
    /// Address of the scheduler that sent the job, to which callbacks are sent.
    pub(super) scheduler: SocketAddr,
    /// The job's work: its run time in a slot at speed 1.
    pub(super) work: Duration,
    /// Number of the worker's slots that the job takes while it runs.
    pub(super) slots: usize,
    /// The object that the worker must have cached or fetched before it runs the job.
    pub(super) object: String,
    class: String,
    key: Option<String>,
}

impl JobRequest {
    /// Reads a job from a request to the path `/CLASS/OBJECT`. The body may state the job's work as
    /// `work_us=NUMBER` (otherwise `default_work`) and its slots as `slots=NUMBER` (otherwise 1).
    pub(super) fn read(
        id: u64,
        arrived: Duration,
        scheduler: SocketAddr,
        message: &Message,
        default_work: Duration,
    ) -> JobRequest {
        let path = message.target().split('?').next().unwrap_or_default().trim_start_matches('/');
        let (class, object) = path.split_once('/').unwrap_or((path, ""));
        let body = message.text();
        JobRequest {
            id,
            arrived,
            scheduler,
            work: number_after(&body, "work_us=").map_or(default_work, Duration::from_micros),
            slots: number_after(&body, "slots=").map_or(1, |slots| slots as usize),
            object: object.to_string(),
            class: class.to_string(),
            key: message.header("idempotency-key").map(str::to_string),
        }
    }

    /// Returns a run of this job for the record of runs; `started` counts from the start of the recording.
    pub(super) fn run_entry(&self, worker: &str, started: Duration) -> Run {
        Run {
            id: self.id,
            key: self.key.clone(),
            class: self.class.clone(),
            object: self.object.clone(),
            worker: worker.to_string(),
            arrived: self.arrived,
            started,
            end: RunEnd::Running,
        }
    }
}

/// Returns the decimal number that follows `name` in `text`.
fn number_after(text: &str, name: &str) -> Option<u64> {
    let rest = text.split(name).nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

/// Whether a job waits for slots or runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
}

/// A job's entry among the worker's jobs that wait for slots or run. Dropping the entry removes the job from
/// the worker's counts, and records the job's run as lost if the run has no recorded end.
pub(super) struct JobEntry {
    worker: Arc<WorkerState>,
    id: u64,
    cancelled: watch::Receiver<bool>,
    /// Number of the job's run in the record of runs, once the run has started.
    run: Option<usize>,
    phase: Phase,
}

impl JobEntry {
    /// Adds a job to the jobs that wait for slots.
    pub(super) fn enqueue(worker: Arc<WorkerState>, id: u64) -> JobEntry {
        let cancelled = worker.enqueue(id);
        JobEntry { worker, id, cancelled, run: None, phase: Phase::Waiting }
    }

    /// Returns a receiver whose value is true once the job is cancelled.
    pub(super) fn cancelled(&self) -> watch::Receiver<bool> {
        self.cancelled.clone()
    }

    /// Counts the job as running instead of waiting.
    pub(super) fn move_to_running(&mut self) {
        self.phase = Phase::Running;
        self.worker.move_to_running();
    }

    /// Sets the number that the job's run has in the record of runs.
    pub(super) fn set_run(&mut self, number: usize) {
        self.run = Some(number);
    }
}

impl Drop for JobEntry {
    fn drop(&mut self) {
        match self.phase {
            Phase::Waiting => self.worker.leave_queue(),
            Phase::Running => self.worker.leave_slot(),
        }
        self.worker.record_load();
        if let Some(run) = self.run {
            // This call has no effect if the end of the run is already recorded.
            self.worker.runs.end(run, RunEnd::Lost);
        }
        self.worker.remove_cancellation(self.id, &self.cancelled);
    }
}
