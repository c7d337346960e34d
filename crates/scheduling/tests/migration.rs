//! Tests of migration: if an attempt waits for a slot, stalls or is slow, the scheduler sends the request to
//! another worker.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

/// Returns a scheduler that may migrate attempts, with twelve workers that report progress every second.
fn migrating_driver() -> Driver {
    let mut settings = Settings { reports_start: true, progress_interval: SECOND, ..settings() };
    settings.limits.hedging = true;
    Driver::with_fleet(settings, 12)
}

/// Advances the scheduler's clock by `duration` and lets the timers in `actions` expire. Appends the
/// scheduler's actions to `actions`.
fn advance(driver: &mut Driver, duration: Micros, actions: &mut Vec<Action>) {
    let end = driver.now + duration;
    let next_timer =
        |issued: &[Action], now: Micros| timers(issued).into_iter().filter(|t| t.0 > now && t.0 <= end).min();
    while let Some((at, _)) = next_timer(actions, driver.now) {
        for (_, token) in timers(actions).into_iter().filter(|t| t.0 == at) {
            actions.extend(driver.at(at, Event::Timer(token)));
        }
    }
    driver.now = end;
}

/// Returns an event with a worker's progress report about the first attempt of request 1.
fn progress_report(progress: JobProgress) -> Event {
    Event::JobProgress { request: RequestId(1), attempt: AttemptNo(0), progress }
}

/// If an attempt waits for a slot, has stalled or is slow, the scheduler cancels the attempt and sends the
/// request to another worker, provided that the request's class allows a second attempt. An attempt that
/// makes progress as expected stays at its worker.
#[test]
fn an_attempt_that_makes_too_little_progress_migrates_if_its_class_allows_it() {
    // The worker's progress reports about the attempt. Each report consists of the time since the previous
    // report and the completed fraction of the job; a fraction of 0 reports the start of the job.
    let waiting: &[(Micros, f64)] = &[];
    let stalled = &[(0, 0.0), (SECOND, 0.5)][..];
    let slow = &[(0, 0.0), (SECOND, 0.1), (SECOND, 0.2)][..];
    let running = &[(0, 0.0), (SECOND, 0.5), (SECOND, 0.8), (SECOND, 0.9)][..];
    for (reports, needs_migration) in [(waiting, true), (stalled, true), (slow, true), (running, false)] {
        for class in [IDEMPOTENT, KEYED_ALL, NON_IDEMPOTENT] {
            let mut driver = migrating_driver();
            let mut job = request(1, class, "k", driver.now + 60 * SECOND);
            job.expected_work = Some(SECOND);
            let mut actions = driver.event(Event::Request(job));
            let worker = sent_to(&actions);
            for (after, fraction) in reports {
                advance(&mut driver, *after, &mut actions);
                driver.event(progress_report(if *fraction == 0.0 {
                    JobProgress::Started
                } else {
                    JobProgress::Fraction(*fraction)
                }));
            }
            advance(&mut driver, if needs_migration { 4 * SECOND } else { SECOND }, &mut actions);
            let targets = &sent_workers(&actions)[1..];
            // The deduplication window of a keyed job ends 2 s after the first attempt was sent, before the
            // scheduler detects the stall.
            let allowed = class == IDEMPOTENT || class == KEYED_ALL && reports != stalled;
            assert_eq!(
                !targets.is_empty(),
                needs_migration && allowed,
                "class {class}, {reports:?}: {actions:?}"
            );
            assert!(!targets.contains(&worker));
            let cancel = Action::Cancel { request: RequestId(1), attempt: AttemptNo(0) };
            assert_eq!(actions.contains(&cancel), needs_migration && allowed);
        }
    }
}
