//! Scripted behaviour: what a worker does with its next jobs and probes, one entry each.

use std::collections::VecDeque;
use std::time::Duration;

/// What a worker does with one job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobBehavior {
    /// Runs it.
    Serve,
    /// Answers with this status instead of 202.
    Answer {
        /// Status code.
        status: u16,
        /// Whether the answer carries `X-Never-Ran: 1`.
        never_ran: bool,
    },
    /// Reads it and sends nothing until the scheduler closes the connection.
    NoResponse,
    /// Resets the connection after the head, with the body unread.
    ResetInBody,
    /// Reads it completely, then resets the connection before any answer.
    ResetBeforeAnswer,
    /// Sends half of a 202, then closes the connection.
    HalfAnswer,
    /// Answers 202 and never sends a callback.
    NoCallback,
    /// Answers 202, starts it and loses it.
    Lose,
    /// Answers 202, starts it and fails.
    Fail,
    /// Answers 202 and returns it without having started it.
    ReturnUnstarted,
    /// Sends the final callback before the 202.
    CallbackBeforeAnswer,
    /// Sends the final callback this many times.
    RepeatCallback(u32),
    /// Answers 202, sends a callback that is not valid JSON, then runs it.
    InvalidCallback,
    /// Runs it, and writes the 202 and every callback one byte at a time.
    ByteByByte,
}

/// What a worker does with one probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeBehavior {
    /// Answers it as configured.
    Answer,
    /// Answers it as configured after this delay.
    Delay(Duration),
    /// Sends nothing until the scheduler closes the connection.
    NoResponse,
    /// Answers 503.
    Reject,
    /// Resets the connection.
    Reset,
}

/// The entries not yet used up; jobs and probes beyond them are served normally.
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

    /// Takes the entry for the next job.
    pub(super) fn next_job(&mut self) -> JobBehavior {
        self.jobs.pop_front().unwrap_or(JobBehavior::Serve)
    }

    /// Takes the entry for the next probe.
    pub(super) fn next_probe(&mut self) -> ProbeBehavior {
        self.probes.pop_front().unwrap_or(ProbeBehavior::Answer)
    }
}
