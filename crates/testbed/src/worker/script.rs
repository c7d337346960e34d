//! Scripted behavior of a worker: one entry for each of the next jobs and probes.

use std::collections::VecDeque;
use std::time::Duration;

/// How a worker behaves towards one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobBehavior {
    /// Serves the job normally.
    Serve,
    /// Answers the job's request with `status` instead of 202 and does not run the job.
    Answer {
        /// HTTP status code of the answer.
        status: u16,
        /// Whether the answer carries `X-Never-Ran: 1`.
        never_ran: bool,
    },
    /// Reads the request and sends no bytes until the scheduler closes the connection.
    NoResponse,
    /// Resets the connection after reading the request's head, before reading its body.
    ResetInBody,
    /// Reads the complete request, then resets the connection without an answer.
    ResetBeforeAnswer,
    /// Sends half of a 202 answer, then closes the connection.
    HalfAnswer,
    /// Answers 202, then neither runs the job nor sends a callback.
    NoCallback,
    /// Answers 202, starts the job and reports it as lost.
    Lose,
    /// Answers 202, starts the job and reports that it failed.
    Fail,
    /// Answers 202 and returns the job to the scheduler without starting it.
    ReturnUnstarted,
    /// Runs the job and sends all of its callbacks before the 202 answer.
    CallbackBeforeAnswer,
    /// Runs the job and sends the final callback this many times.
    RepeatCallback(u32),
    /// Answers 202, sends a callback that is not valid JSON, then runs the job.
    InvalidCallback,
    /// Runs the job; writes the 202 answer and every callback one byte at a time.
    ByteByByte,
}

/// How a worker behaves towards one probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeBehavior {
    /// Answers the probe as configured.
    Answer,
    /// Answers the probe as configured after this delay.
    Delay(Duration),
    /// Sends no bytes until the scheduler closes the connection.
    NoResponse,
    /// Answers 503.
    Reject,
    /// Resets the connection.
    Reset,
}

/// The remaining entries; jobs and probes for which no entry is left are served normally.
#[derive(Default)]
pub(super) struct Script {
    jobs: VecDeque<JobBehavior>,
    probes: VecDeque<ProbeBehavior>,
}

impl Script {
    /// Appends entries for jobs.
    pub(super) fn extend_jobs(&mut self, behaviors: impl IntoIterator<Item = JobBehavior>) {
        self.jobs.extend(behaviors);
    }

    /// Appends entries for probes.
    pub(super) fn extend_probes(&mut self, behaviors: impl IntoIterator<Item = ProbeBehavior>) {
        self.probes.extend(behaviors);
    }

    /// Removes and returns the entry for the next job.
    pub(super) fn next_job(&mut self) -> JobBehavior {
        self.jobs.pop_front().unwrap_or(JobBehavior::Serve)
    }

    /// Removes and returns the entry for the next probe.
    pub(super) fn next_probe(&mut self) -> ProbeBehavior {
        self.probes.pop_front().unwrap_or(ProbeBehavior::Answer)
    }
}
