//! Faults in combination: nothing panics, no worker stays ejected, no concurrency limit stays low.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

/// Runs `seconds` of 20 jobs a second; `outcome_at` is how an attempt at a worker ends. Returns the fraction
/// that was served.
fn play(driver: &mut Driver, first_id: u64, seconds: u64, outcome_at: impl Fn(WorkerId) -> Outcome) -> f64 {
    let mut served = 0;
    let mut waiting: Vec<(Micros, TimerToken)> = Vec::new();
    let jobs = seconds * 20;
    for n in 0..jobs {
        let id = first_id + n;
        let mut queue = vec![driver.request(id, (n % 4) as u32, &format!("key-{}", n % 50))];
        while let Some(actions) = queue.pop() {
            waiting.extend(timers(&actions));
            for action in &actions {
                if let Action::Send { request, worker, .. } = action {
                    let outcome = outcome_at(*worker);
                    served += u64::from(outcome == Outcome::Ok);
                    let attempt = (0..4).map(AttemptNo);
                    for attempt in attempt {
                        // Only the attempt that is in flight counts; the module ignores the others.
                        queue.push(driver.event(Event::AttemptFinished {
                            request: *request,
                            attempt,
                            worker: *worker,
                            outcome,
                            latency: if outcome == Outcome::ConnectFailed { 250 * MS } else { MS },
                            request_closed: outcome == Outcome::Ok,
                            load: None,
                        }));
                    }
                }
            }
            if queue.is_empty() {
                let expired = waiting.iter().position(|t| t.0 <= driver.now);
                if let Some(place) = expired {
                    let (_, token) = waiting.swap_remove(place);
                    queue.push(driver.event(Event::Timer(token)));
                }
            }
        }
        driver.now += 50 * MS;
    }
    served as f64 / jobs as f64
}

#[test]
fn after_every_worker_rejected_for_a_while_all_jobs_are_served_again() {
    let mut driver = Driver::with_fleet(settings(), 12);
    assert!(play(&mut driver, 0, 10, |_| Outcome::Rejected) < 0.01);
    play(&mut driver, 10_000, 5, |_| Outcome::Ok);
    assert!(play(&mut driver, 20_000, 10, |_| Outcome::Ok) >= 0.99);
}

#[test]
fn workers_that_failed_unlisted_are_ejected_and_taken_back() {
    let mut driver = Driver::with_fleet(settings(), 20);
    let failing = |w: WorkerId| if w.0 <= 5 { Outcome::ConnectFailed } else { Outcome::Ok };
    play(&mut driver, 0, 5, failing);
    assert!(play(&mut driver, 10_000, 10, failing) > 0.95);
    play(&mut driver, 20_000, 10, |_| Outcome::Ok);
    let first = |driver: &mut Driver, id: u64, key: &str| sent(&driver.request(id, IDEMPOTENT, key));
    let mut returned = std::collections::BTreeSet::new();
    for id in 30_000..30_400 {
        let worker = first(&mut driver, id, &format!("late-{id}"));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        returned.insert(worker);
    }
    assert_eq!(returned.len(), 20, "all workers take jobs again");
}

#[test]
fn a_common_loss_of_connections_keeps_no_worker_ejected() {
    let mut driver = Driver::with_fleet(settings(), 12);
    play(&mut driver, 0, 10, |_| Outcome::ConnectFailed);
    assert!(play(&mut driver, 10_000, 5, |_| Outcome::Ok) > 0.95);
}

#[test]
fn errors_everywhere_leave_no_concurrency_limit_low() {
    let mut driver = Driver::with_fleet(settings(), 4);
    play(&mut driver, 0, 10, |_| Outcome::Error);
    // Many jobs in flight right after: the limit must have grown back with the first answers.
    play(&mut driver, 10_000, 5, |_| Outcome::Ok);
    let placed = (0..12)
        .filter(|n| !sends(&driver.request(20_000 + n, IDEMPOTENT, &format!("many-{n}"))).is_empty())
        .count();
    assert!(placed >= 10, "{placed} of 12");
}

#[test]
fn removed_zones_a_flapping_list_and_an_old_restored_list_lose_no_jobs() {
    let mut driver = Driver::new(settings());
    driver.event(list(EndpointUpdate::Restored, (100..130).map(endpoint)));
    driver.event(list(EndpointUpdate::Snapshot, (1..=18).map(endpoint)));
    for round in 0..50u64 {
        let flapping = |n: u64| Endpoint {
            state: if endpoint(n).zone == ZoneId((round % 3) as u32) {
                EndpointState::Removed
            } else {
                EndpointState::Ready
            },
            ..endpoint(n)
        };
        driver.event(list(EndpointUpdate::Changes, (1..=18).map(flapping)));
        let is_removed = move |w: WorkerId| endpoint(w.0).zone == ZoneId((round % 3) as u32) || w.0 >= 100;
        let share = play(&mut driver, 1_000 * round, 1, |w| {
            assert!(!is_removed(w), "sent to {w:?}, which was removed");
            Outcome::Ok
        });
        assert!(share > 0.99, "round {round}: {share}");
    }
}

#[test]
fn a_fleet_that_grows_fourfold_serves_by_its_warm_workers_meanwhile() {
    let mut driver = Driver::with_fleet(settings(), 6);
    let started_at = driver.now;
    driver.event(list(EndpointUpdate::Changes, (7..=24).map(|n| Endpoint { started_at, ..endpoint(n) })));
    assert!(play(&mut driver, 0, 5, |_| Outcome::Ok) > 0.99);
    driver.now += 20 * S;
    assert!(play(&mut driver, 10_000, 5, |_| Outcome::Ok) > 0.99);
}
