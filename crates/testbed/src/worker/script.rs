//! The script of a stand-in worker's behavior: one entry for each of the next jobs and probes.

use std::collections::VecDeque;
use std::time::Duration;

/// How a worker behaves towards one job that a scheduler sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobBehavior {
    /// Accepts the job with 202, runs it and sends its callbacks.
    Serve,
    /// Responds to the job's request with `status` instead of 202 and does not run the job.
    Answer {
        /// HTTP status code of the response.
        status: u16,
        /// Whether the response carries the header `X-Never-Ran: 1`, which states that the job never ran.
        never_ran: bool,
    },
    /// Reads the job's request and sends no bytes until the scheduler closes the connection.
    NoResponse,
    /// Resets the connection after reading the head of the job's request, before reading the request's body.
    ResetInBody,
    /// Reads the complete request of the job, then resets the connection without a response.
    ResetBeforeAnswer,
    /// Sends half of the 202 response, then closes the connection.
    HalfAnswer,
    /// Responds with 202, then neither runs the job nor sends a callback.
    NoCallback,
    /// Responds with 202, starts the job, and reports by a callback that the worker lost the job.
    Lose,
    /// Responds with 202, starts the job, and reports by a callback that the job failed.
    Fail,
    /// Responds with 202, and returns the job to the scheduler by a callback without starting the job.
    ReturnUnstarted,
    /// Runs the job and sends all of its callbacks before the 202 response.
    CallbackBeforeAnswer,
    /// Runs the job and sends its final callback this number of times.
    RepeatCallback(u32),
    /// Responds with 202, sends a callback that is not valid JSON, then runs the job.
    InvalidCallback,
    /// Runs the job; writes the 202 response and every callback one byte at a time.
    ByteByByte,
}

/// How a worker behaves towards one probe of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeBehavior {
    /// Responds to the probe as the worker's configuration states.
    Answer,
    /// Responds to the probe as the worker's configuration states, but only after this delay.
    Delay(Duration),
    /// Sends no bytes until the scheduler closes the connection.
    NoResponse,
    /// Responds with 503.
    Reject,
    /// Resets the connection instead of responding.
    Reset,
}

/// The entries of the script that are left. Jobs and probes without an entry are served normally.
#[derive(Default)]
pub(super) struct Script {
    jobs: VecDeque<JobBehavior>,
    probes: VecDeque<ProbeBehavior>,
}

impl Script {
    /// Appends entries for jobs to the script.
    pub(super) fn extend_jobs(&mut self, behaviors: impl IntoIterator<Item = JobBehavior>) {
        self.jobs.extend(behaviors);
    }

    /// Appends entries for probes to the script.
    pub(super) fn extend_probes(&mut self, behaviors: impl IntoIterator<Item = ProbeBehavior>) {
        self.probes.extend(behaviors);
    }

    /// Removes the entry for the next job from the script and returns it.
    pub(super) fn next_job(&mut self) -> JobBehavior {
        self.jobs.pop_front().unwrap_or(JobBehavior::Serve)
    }

    /// Removes the entry for the next probe from the script and returns it.
    pub(super) fn next_probe(&mut self) -> ProbeBehavior {
        self.probes.pop_front().unwrap_or(ProbeBehavior::Answer)
    }
}
