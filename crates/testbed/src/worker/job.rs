//! A job: the content of its request, and its place among the jobs in flight at a worker.

use super::state::WorkerState;
use crate::runs::{Run, RunEnd};
use crate::wire::Message;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The id that a request carries; `None` if it carries none.
pub(super) fn request_id(message: &Message) -> Option<Result<u64, ParseIntError>> {
    message.header("x-trace-id").map(|id| u64::from_str_radix(id, 16))
}

/// How long the scheduler waits for the end of the job, by the request: a number with the unit `m` or `u`.
pub(super) fn expires_in(message: &Message) -> Option<Duration> {
    let text = message.header("x-expires-in")?;
    match text.strip_suffix('u') {
        Some(number) => number.parse().ok().map(Duration::from_micros),
        None => text.strip_suffix('m')?.parse().ok().map(Duration::from_millis),
    }
}

/// A job as its request describes it.
pub(super) struct JobRequest {
    /// The request's id.
    pub(super) id: u64,
    /// Where the scheduler is called back.
    pub(super) scheduler: SocketAddr,
    /// Seconds of work at speed 1.
    pub(super) work: Duration,
    /// Number of slots that it takes.
    pub(super) slots: usize,
    /// The object that it needs.
    pub(super) object: String,
    class: String,
    key: Option<String>,
}

impl JobRequest {
    /// Reads a job of the path `/CLASS/OBJECT`, whose body may name `work_us=` and `slots=`.
    pub(super) fn read(
        id: u64,
        scheduler: SocketAddr,
        message: &Message,
        default_work: Duration,
    ) -> JobRequest {
        let path = message.target().split('?').next().unwrap_or_default().trim_start_matches('/');
        let (class, object) = path.split_once('/').unwrap_or((path, ""));
        let body = message.text();
        JobRequest {
            id,
            scheduler,
            work: number_after(&body, "work_us=").map_or(default_work, Duration::from_micros),
            slots: number_after(&body, "slots=").map_or(1, |slots| slots as usize),
            object: object.to_string(),
            class: class.to_string(),
            key: message.header("idempotency-key").map(str::to_string),
        }
    }

    /// The entry for the record of runs.
    pub(super) fn run(&self, worker: &str, started: Duration) -> Run {
        Run {
            id: self.id,
            key: self.key.clone(),
            class: self.class.clone(),
            object: self.object.clone(),
            worker: worker.to_string(),
            started,
            end: RunEnd::Running,
        }
    }
}

/// The decimal number that follows a name in a text.
fn number_after(text: &str, name: &str) -> Option<u64> {
    let rest = text.split(name).nth(1)?;
    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
}

/// A job's place among those that wait or run; dropping it gives the place back and ends its run as lost unless it
/// has ended otherwise.
pub(super) struct JobPlace {
    worker: Arc<WorkerState>,
    id: u64,
    cancelled: watch::Receiver<bool>,
    run: Option<usize>,
    phase: Phase,
}

impl JobPlace {
    /// Enters a job among those that wait.
    pub(super) fn enqueue(worker: Arc<WorkerState>, id: u64) -> JobPlace {
        let cancelled = worker.enqueue(id);
        JobPlace { worker, id, cancelled, run: None, phase: Phase::Waiting }
    }

    /// Signals that the job is cancelled.
    pub(super) fn cancelled(&self) -> watch::Receiver<bool> {
        self.cancelled.clone()
    }

    /// Moves the job from the queue to a slot.
    pub(super) fn begin(&mut self) {
        self.phase = Phase::Running;
        self.worker.begin();
    }

    /// Names the run that this place is for.
    pub(super) fn set_run(&mut self, number: usize) {
        self.run = Some(number);
    }
}

impl Drop for JobPlace {
    fn drop(&mut self) {
        match self.phase {
            Phase::Waiting => self.worker.leave_queue(),
            Phase::Running => self.worker.leave_slot(),
        }
        self.worker.record_load();
        if let Some(run) = self.run {
            // An end that is already recorded stays.
            self.worker.runs.end(run, RunEnd::Lost);
        }
        self.worker.forget_cancellation(self.id, &self.cancelled);
    }
}
