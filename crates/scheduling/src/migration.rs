//! Migration: an attempt that waits for a slot, stalls or is slow is cancelled and sent to another worker.

use crate::actions::Action;
use crate::admission::CandidateRole;
use crate::events::{JobProgress, Outcome};
use crate::ids::{AttemptNo, Micros, RequestId};
use crate::request::{Attempt, PendingRequest};
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::timer::{SequenceNumber, Timer};
use crate::worker::{AttemptId, StartedAttempt, MAX_START_DELAY};

/// A job that has not started within this, or within a fraction of its time, may migrate, microseconds.
const MIGRATION_DELAY: Micros = 300_000;
/// Part of the time to the deadline after which an attempt is checked at the latest.
const DEADLINE_PARTS: Micros = 4;
/// How often one request may migrate.
const MAX_MIGRATIONS: usize = 2;
/// A running job migrates if the rest of it takes this many times as long as all of it ought to.
const SLOW_FACTOR: f64 = 3.0;
/// A running job has stalled when so many progress reports are missing.
const MISSED_PROGRESS_REPORTS: u64 = 2;

/// Whether attempts may migrate: workers report starts, and a request may have a second attempt.
pub(crate) fn is_enabled(settings: &Settings) -> bool {
    settings.reports_start && settings.limits.may_cancel && settings.limits.hedging
}

/// When an attempt is first checked.
pub(crate) fn first_check_at(sent_at: Micros, deadline: Micros) -> Micros {
    let remaining = deadline.saturating_sub(sent_at);
    sent_at + MIGRATION_DELAY.min(remaining / DEADLINE_PARTS).max(MAX_START_DELAY)
}

/// How an attempt gets on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// It waits for a slot.
    Waiting,
    /// Its progress reports are missing.
    Stalled,
    /// It makes progress, but too slowly.
    Slow,
    /// It is as fast as it ought to be.
    Normal,
}

impl Pace {
    /// Judges an attempt. `worker_speed` is the fraction of its full speed that its worker has.
    fn of(
        attempt: Option<&StartedAttempt>,
        now: Micros,
        progress_interval: Micros,
        expected_work: Micros,
        worker_speed: f64,
    ) -> Pace {
        let Some(attempt) = attempt else { return Pace::Waiting };
        let overdue_at = attempt.last_progress_at + MISSED_PROGRESS_REPORTS * progress_interval;
        if progress_interval > 0 && now > overdue_at {
            return Pace::Stalled;
        }
        if attempt.fraction_done <= 0.0 || expected_work == 0 {
            return Pace::Normal;
        }
        let elapsed = (attempt.last_progress_at - attempt.started_at) as f64;
        let remaining = elapsed * (1.0 - attempt.fraction_done) / attempt.fraction_done;
        if remaining * worker_speed > SLOW_FACTOR * expected_work as f64 {
            Pace::Slow
        } else {
            Pace::Normal
        }
    }
}

/// The latest attempt in flight, if it is time to check it and the request may still migrate.
fn attempt_to_check(now: Micros, request: &PendingRequest) -> Option<(AttemptNo, &Attempt)> {
    let position = request.attempts.iter().rposition(Attempt::is_in_flight)?;
    let attempt = &request.attempts[position];
    let runs = request.attempts.iter().filter(|attempt| attempt.may_have_run()).count();
    // An earlier attempt's timer may expire while this one has its own.
    let is_due = now >= first_check_at(attempt.sent_at, request.deadline);
    (is_due && runs <= MAX_MIGRATIONS).then_some((AttemptNo(position as u32), attempt))
}

impl Scheduler {
    /// Takes a report of an attempt's start or progress.
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
                self.slots_per_unit.record_start(occupancy, started_promptly);
            }
        }
    }

    /// Checks the attempt of a request; it migrates to the first other candidate with capacity if it has to.
    pub(crate) fn on_attempt_check_timer(
        &mut self,
        now: Micros,
        sequence: SequenceNumber,
        actions: &mut Vec<Action>,
    ) {
        let Some((id, request)) = self.requests.find(sequence) else { return };
        let Some((number, attempt)) = attempt_to_check(now, request) else { return };
        let Some(index) = self.fleet.index_of(attempt.worker) else { return };
        let worker = &self.fleet[index];
        let started = worker.started(AttemptId { request: id, number });
        let interval = self.settings.progress_interval;
        let speed = worker.warm_up_fraction(now, &self.settings.rules);
        let pace = Pace::of(started, now, interval, request.expected_work, speed);
        if let Some(target) = self.migration_target(now, id, index, pace) {
            self.retry_budget.withdraw();
            if pace == Pace::Stalled {
                self.fleet[index].record_result(now, Outcome::NoResponse, false);
            }
            actions.push(Action::Cancel { request: id, attempt: number });
            return self.send(now, id, target, actions);
        }
        let pause = if pace == Pace::Waiting { MAX_START_DELAY } else { interval.max(MIGRATION_DELAY) };
        actions.push(Action::SetTimer { at: now + pause, token: Timer::AttemptCheck(sequence).token() });
    }

    /// Where an attempt migrates to, if it has to and may.
    fn migration_target(&self, now: Micros, id: RequestId, from: usize, pace: Pace) -> Option<usize> {
        let request = self.requests.get(id)?;
        let may_migrate =
            self.retry_budget.allows_migration() && request.allows_attempt_by(now + self.settings.tick);
        if pace == Pace::Normal || !may_migrate {
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
