//! Migration: if a request's attempt waits for a slot at its worker, has stalled or is slow, the scheduler
//! cancels the attempt and sends the request to another worker.

use crate::actions::Action;
use crate::admission::CandidateRole;
use crate::events::{JobProgress, Outcome};
use crate::ids::{AttemptNo, Micros, RequestId};
use crate::request::{Attempt, PendingRequest};
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::timer::{SequenceNumber, Timer};
use crate::worker::{AttemptId, StartedAttempt, MAX_START_DELAY};

/// Longest time from sending an attempt to the first check of the attempt's progress, in microseconds; also
/// the shortest interval between later checks of a running attempt.
const MIGRATION_DELAY: Micros = 300_000;
/// The first check of an attempt's progress takes place at the latest after the time from sending the attempt
/// to the request's deadline, divided by this number, but not before [`MAX_START_DELAY`].
const FIRST_CHECK_DIVISOR: Micros = 4;
/// Largest number of migrations of one request to another worker.
const MAX_MIGRATIONS: usize = 2;
/// A running job is too slow if the rest of the job is projected to take more than this multiple of the
/// expected time of the whole job.
const SLOW_FACTOR: f64 = 3.0;
/// A running job has stalled if the worker has sent no progress report during this number of report
/// intervals.
const MISSED_PROGRESS_REPORTS: u64 = 2;

/// Whether attempts may migrate. The settings must say that workers report job starts, that the scheduler may
/// cancel attempts, and that a request may have two attempts in flight.
pub(crate) fn is_enabled(settings: &Settings) -> bool {
    settings.reports_start && settings.limits.may_cancel && settings.limits.hedging
}

/// Returns when the progress of an attempt is checked for the first time, given the time of sending and the
/// request's deadline.
pub(crate) fn first_check_at(sent_at: Micros, deadline: Micros) -> Micros {
    let remaining = deadline.saturating_sub(sent_at);
    sent_at + MIGRATION_DELAY.min(remaining / FIRST_CHECK_DIVISOR).max(MAX_START_DELAY)
}

/// How well an attempt proceeds at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptHealth {
    /// The worker has not started the attempt's job, which waits for a slot.
    Waiting,
    /// The worker has started the attempt's job, but the job's progress reports are overdue.
    Stalled,
    /// The attempt's job makes progress, but too slowly.
    Slow,
    /// The attempt's job is about as fast as expected, or its speed is unknown.
    Normal,
}

impl AttemptHealth {
    /// Assesses how well an attempt proceeds; `attempt` is `None` if the worker has not reported the start of
    /// the attempt. `worker_speed` is the worker's current speed as a fraction of its full speed.
    fn assess(
        attempt: Option<&StartedAttempt>,
        now: Micros,
        progress_interval: Micros,
        expected_work: Micros,
        worker_speed: f64,
    ) -> AttemptHealth {
        let Some(attempt) = attempt else { return AttemptHealth::Waiting };
        let overdue_at = attempt.last_progress_at + MISSED_PROGRESS_REPORTS * progress_interval;
        if progress_interval > 0 && now > overdue_at {
            return AttemptHealth::Stalled;
        }
        if attempt.fraction_done <= 0.0 || expected_work == 0 {
            return AttemptHealth::Normal;
        }
        let elapsed = (attempt.last_progress_at - attempt.started_at) as f64;
        let remaining = elapsed * (1.0 - attempt.fraction_done) / attempt.fraction_done;
        if remaining * worker_speed > SLOW_FACTOR * expected_work as f64 {
            AttemptHealth::Slow
        } else {
            AttemptHealth::Normal
        }
    }
}

/// Returns the request's latest attempt in flight, if the check of the attempt's progress is due and the
/// request may still migrate.
fn attempt_to_check(now: Micros, request: &PendingRequest) -> Option<(AttemptNo, &Attempt)> {
    let position = request.attempts.iter().rposition(Attempt::is_in_flight)?;
    let attempt = &request.attempts[position];
    let runs = request.attempts.iter().filter(|attempt| attempt.may_have_run()).count();
    // The timer that has expired may belong to an earlier attempt of the request.
    let is_due = now >= first_check_at(attempt.sent_at, request.deadline);
    (is_due && runs <= MAX_MIGRATIONS).then_some((AttemptNo(position as u32), attempt))
}

impl Scheduler {
    /// Records a worker's report about the start or the progress of an attempt.
    pub(crate) fn on_job_progress(
        &mut self,
        now: Micros,
        request: RequestId,
        number: AttemptNo,
        progress: JobProgress,
    ) {
        let pending = self.requests.get(request);
        let Some(attempt) = pending.and_then(|pending| pending.attempts.get(number.0 as usize)) else {
            return;
        };
        let Some(index) = self.fleet.index_of(attempt.worker) else { return };
        let (worker, id) = (&mut self.fleet[index], AttemptId { request, number });
        let fraction_done = if let JobProgress::Fraction(fraction) = progress { fraction } else { 0.0 };
        if let Some(started) = worker.started.iter_mut().find(|started| started.id == id) {
            started.last_progress_at = now;
            started.fraction_done = fraction_done;
        } else if let Some(sent) = worker.in_flight.iter().find(|sent| sent.id == id) {
            let started_promptly = now < sent.sent_at + MAX_START_DELAY;
            worker.started.push(StartedAttempt { id, started_at: now, last_progress_at: now, fraction_done });
            if let Some(occupancy) = attempt.occupancy_at_send {
                self.slots_per_weight.record_start(occupancy, started_promptly);
            }
        }
    }

    /// Checks the progress of a request's attempt in flight. If the attempt waits for a slot, has stalled or
    /// is slow, the request migrates to the first other candidate worker with capacity.
    pub(crate) fn on_attempt_check_timer(
        &mut self,
        now: Micros,
        sequence: SequenceNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some((id, request)) = self.requests.find_by_sequence(sequence) else { return };
        let Some((number, attempt)) = attempt_to_check(now, request) else { return };
        let Some(index) = self.fleet.index_of(attempt.worker) else { return };
        let worker = &self.fleet[index];
        let started = worker.started_attempt(AttemptId { request: id, number });
        let interval = self.settings.progress_interval;
        let speed = worker.warm_up_fraction(now, &self.settings.rules);
        let health = AttemptHealth::assess(started, now, interval, request.expected_work, speed);
        if let Some(target) = self.migration_target(now, id, index, health) {
            self.retry_budget.withdraw();
            if health == AttemptHealth::Stalled {
                self.fleet[index].record_result(now, Outcome::NoResponse, false);
            }
            actions.push(Action::Cancel { request: id, attempt: number });
            return self.send(now, id, target, actions);
        }
        let pause =
            if health == AttemptHealth::Waiting { MAX_START_DELAY } else { interval.max(MIGRATION_DELAY) };
        actions.push(Action::SetTimer { at: now + pause, token: Timer::AttemptCheck(sequence).token() });
    }

    /// Returns the index of the worker that an attempt migrates to. Returns `None` if the attempt proceeds
    /// normally, if the attempt may not migrate, or if no other worker has capacity.
    fn migration_target(
        &self,
        now: Micros,
        id: RequestId,
        from: usize,
        health: AttemptHealth,
    ) -> Option<usize> {
        let request = self.requests.get(id)?;
        let may_migrate =
            self.retry_budget.allows_migration() && request.allows_attempt_at(now + self.settings.tick);
        if health == AttemptHealth::Normal || !may_migrate {
            return None;
        }
        let admission = self.admission(now);
        let has_capacity = |index: &usize| {
            *index != from && admission.has_capacity(*index, request.slots, CandidateRole::Alternative)
        };
        self.candidates(now, id).into_iter().find(has_capacity)
    }
}

#[cfg(test)]
mod tests;
