//! The script of a stand-in worker's behavior: one entry for each of the next jobs and probes.

use std::collections::VecDeque;
use std::time::Duration;

/// How a worker behaves towards one job that a scheduler sends. A worker without capacity for the job rejects
/// it with status 503 in place of a behavior that would accept or run the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobBehavior {
    /// The worker responds to the job's request with status 202, runs the job and sends its callbacks.
    Serve,
    /// The worker responds to the job's request with `status` instead of 202 and does not run the job.
    Answer {
        /// HTTP status code of the response.
        status: u16,
        /// Whether the response carries the header `X-Never-Ran: 1`, which states that the job never ran.
        never_ran: bool,
    },
    /// The worker reads the job's request and sends no bytes until the scheduler closes the connection.
    NoResponse,
    /// The worker resets the connection after reading the head of the job's request, before reading the
    /// request's body.
    ResetInBody,
    /// The worker reads the complete request of the job, then resets the connection without a response.
    ResetBeforeAnswer,
    /// The worker sends an incomplete first line of a response with status 202, then closes the connection
    /// and does not run the job.
    HalfAnswer,
    /// The worker responds to the job's request with status 202, then neither runs the job nor sends a
    /// callback.
    NoCallback,
    /// The worker responds to the job's request with status 202, starts the job, and reports by a callback
    /// that it lost the job.
    Lose,
    /// The worker responds to the job's request with status 202, starts the job, and reports by a callback
    /// that the job failed.
    Fail,
    /// The worker responds to the job's request with status 202, and returns the job to the scheduler by a
    /// callback without starting the job.
    ReturnUnstarted,
    /// The worker runs the job and sends all of the job's callbacks, then responds to the job's request with
    /// status 202.
    CallbackBeforeAnswer,
    /// The worker runs the job and sends the job's final callback this number of times.
    RepeatCallback(u32),
    /// The worker responds to the job's request with status 202, sends a callback that is not valid JSON,
    /// then runs the job.
    InvalidCallback,
    /// The worker runs the job, and writes the response with status 202 and every callback one byte at a
    /// time.
    ByteByByte,
}

/// How a worker behaves towards one probe of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeBehavior {
    /// The worker responds to the probe as its configuration states.
    Answer,
    /// The worker waits for this delay, then responds to the probe as its configuration states.
    Delay(Duration),
    /// The worker sends no bytes until the scheduler closes the connection.
    NoResponse,
    /// The worker responds to the probe with status 503.
    Reject,
    /// The worker resets the connection instead of responding to the probe.
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
