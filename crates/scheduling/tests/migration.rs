//! Migration: attempts that wait, stall or are slow are sent to another worker.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

fn migrating_fleet() -> Driver {
    let mut settings = Settings { reports_start: true, progress_interval: S, ..settings() };
    settings.limits.hedging = true;
    Driver::with_fleet(settings, 12)
}

/// Advances the driver's clock and lets the timers in `done` expire; adds the actions that follow.
fn wait(driver: &mut Driver, span: Micros, done: &mut Vec<Action>) {
    let until = driver.now + span;
    let next_timer =
        |done: &[Action], from: Micros| timers(done).into_iter().filter(|t| t.0 > from && t.0 <= until).min();
    while let Some((at, _)) = next_timer(done, driver.now) {
        for (_, token) in timers(done).into_iter().filter(|t| t.0 == at) {
            done.extend(driver.at(at, Event::Timer(token)));
        }
    }
    driver.now = until;
}

fn progress(progress: JobProgress) -> Event {
    Event::JobProgress { request: RequestId(1), attempt: AttemptNo(0), progress }
}

/// A slow or stalled worker does not keep its jobs: one that waits for a slot, has stalled or is slow is
/// cancelled and sent elsewhere, as its class allows. One that makes progress stays.
#[test]
fn a_job_that_makes_no_progress_migrates_as_its_class_allows() {
    let waits: &[(Micros, f64)] = &[];
    let stalled = &[(0, 0.0), (S, 0.5)][..];
    let slow = &[(0, 0.0), (S, 0.1), (S, 0.2)][..];
    let running = &[(0, 0.0), (S, 0.5), (S, 0.8), (S, 0.9)][..];
    for (reports, migrates) in [(waits, true), (stalled, true), (slow, true), (running, false)] {
        for class in [IDEMPOTENT, KEYED_ALL, NON_IDEMPOTENT] {
            let mut driver = migrating_fleet();
            let mut job = request(1, class, "k", driver.now + 60 * S);
            job.expected_work = Some(S);
            let mut done = driver.event(Event::Request(job));
            let worker = sent(&done);
            for (after, fraction) in reports {
                wait(&mut driver, *after, &mut done);
                driver.event(progress(if *fraction == 0.0 {
                    JobProgress::Started
                } else {
                    JobProgress::Fraction(*fraction)
                }));
            }
            wait(&mut driver, if migrates { 4 * S } else { S }, &mut done);
            let next = &sends(&done)[1..];
            // The keyed window ends 2 s after the first attempt, before that one is known to have stalled.
            let allowed = class == IDEMPOTENT || class == KEYED_ALL && reports != stalled;
            assert_eq!(!next.is_empty(), migrates && allowed, "class {class}, {reports:?}: {done:?}");
            assert!(!next.contains(&worker));
            let cancelled = Action::Cancel { request: RequestId(1), attempt: AttemptNo(0) };
            assert_eq!(done.contains(&cancelled), migrates && allowed);
        }
    }
}
