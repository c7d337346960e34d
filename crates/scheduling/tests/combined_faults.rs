//! Tests of combined faults of workers and of the endpoint list: the scheduler does not panic, no worker
//! stays ejected after a fault, and no concurrency limit stays low.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

/// Passes 20 requests per second to the scheduler for `seconds` seconds. `outcome_at` returns the outcome of
/// every attempt at a worker. Returns the number of served attempts divided by the number of requests.
fn run_jobs(
    driver: &mut Driver,
    first_id: u64,
    seconds: u64,
    outcome_at: impl Fn(WorkerId) -> Outcome,
) -> f64 {
    let mut served = 0;
    let mut pending_timers: Vec<(Micros, TimerToken)> = Vec::new();
    let jobs = seconds * 20;
    for n in 0..jobs {
        let id = first_id + n;
        let mut unprocessed = vec![driver.request(id, (n % 4) as u32, &format!("key-{}", n % 50))];
        while let Some(actions) = unprocessed.pop() {
            pending_timers.extend(timers(&actions));
            for action in &actions {
                if let Action::Send { request, worker, .. } = action {
                    let outcome = outcome_at(*worker);
                    served += u64::from(outcome == Outcome::Ok);
                    let attempts = (0..4).map(AttemptNo);
                    for attempt in attempts {
                        // The scheduler ignores the results for attempt numbers that are not in flight at
                        // this worker.
                        unprocessed.push(driver.event(Event::AttemptFinished {
                            request: *request,
                            attempt,
                            worker: *worker,
                            outcome,
                            latency: if outcome == Outcome::ConnectFailed {
                                250 * MILLISECOND
                            } else {
                                MILLISECOND
                            },
                            request_closed: outcome == Outcome::Ok,
                            load: None,
                        }));
                    }
                }
            }
            if unprocessed.is_empty() {
                let expired = pending_timers.iter().position(|t| t.0 <= driver.now);
                if let Some(position) = expired {
                    let (_, token) = pending_timers.swap_remove(position);
                    unprocessed.push(driver.event(Event::Timer(token)));
                }
            }
        }
        driver.now += 50 * MILLISECOND;
    }
    served as f64 / jobs as f64
}

#[test]
fn all_jobs_are_served_again_after_all_workers_rejected_jobs_for_a_while() {
    let mut driver = Driver::with_fleet(settings(), 12);
    assert!(run_jobs(&mut driver, 0, 10, |_| Outcome::Rejected) < 0.01);
    run_jobs(&mut driver, 10_000, 5, |_| Outcome::Ok);
    assert!(run_jobs(&mut driver, 20_000, 10, |_| Outcome::Ok) >= 0.99);
}

#[test]
fn workers_that_fail_but_stay_listed_are_ejected_and_get_jobs_again_later() {
    let mut driver = Driver::with_fleet(settings(), 20);
    let failing = |w: WorkerId| if w.0 <= 5 { Outcome::ConnectFailed } else { Outcome::Ok };
    run_jobs(&mut driver, 0, 5, failing);
    assert!(run_jobs(&mut driver, 10_000, 10, failing) > 0.95);
    run_jobs(&mut driver, 20_000, 10, |_| Outcome::Ok);
    let send = |driver: &mut Driver, id: u64, key: &str| sent_to(&driver.request(id, IDEMPOTENT, key));
    let mut workers_with_jobs = std::collections::BTreeSet::new();
    for id in 30_000..30_400 {
        let worker = send(&mut driver, id, &format!("late-{id}"));
        driver.event(attempt_finished(id, 0, worker, Outcome::Ok));
        workers_with_jobs.insert(worker);
    }
    assert_eq!(workers_with_jobs.len(), 20, "not all workers got jobs again");
}

#[test]
fn connection_failures_at_all_workers_keep_no_worker_ejected() {
    let mut driver = Driver::with_fleet(settings(), 12);
    run_jobs(&mut driver, 0, 10, |_| Outcome::ConnectFailed);
    assert!(run_jobs(&mut driver, 10_000, 5, |_| Outcome::Ok) > 0.95);
}

#[test]
fn errors_at_all_workers_leave_no_concurrency_limit_low() {
    let mut driver = Driver::with_fleet(settings(), 4);
    run_jobs(&mut driver, 0, 10, |_| Outcome::Error);
    // After the errors, the scheduler can have many jobs in flight only if served jobs have raised the
    // concurrency limits again.
    run_jobs(&mut driver, 10_000, 5, |_| Outcome::Ok);
    let placed = (0..12)
        .filter(|n| !sent_workers(&driver.request(20_000 + n, IDEMPOTENT, &format!("many-{n}"))).is_empty())
        .count();
    assert!(placed >= 10, "only {placed} of 12 jobs were sent");
}

#[test]
fn no_job_is_lost_while_zones_are_removed_in_turn_after_an_outdated_restored_list() {
    let mut driver = Driver::new(settings());
    driver.event(endpoints_event(EndpointUpdate::Restored, (100..130).map(endpoint)));
    driver.event(endpoints_event(EndpointUpdate::Snapshot, (1..=18).map(endpoint)));
    for round in 0..50u64 {
        let changed = |n: u64| Endpoint {
            state: if endpoint(n).zone == ZoneId((round % 3) as u32) {
                EndpointState::Removed
            } else {
                EndpointState::Ready
            },
            ..endpoint(n)
        };
        driver.event(endpoints_event(EndpointUpdate::Changes, (1..=18).map(changed)));
        let is_removed = move |w: WorkerId| endpoint(w.0).zone == ZoneId((round % 3) as u32) || w.0 >= 100;
        let served = run_jobs(&mut driver, 1_000 * round, 1, |w| {
            assert!(!is_removed(w), "a job was sent to {w:?}, which is removed");
            Outcome::Ok
        });
        assert!(served > 0.99, "round {round}: the served fraction of the jobs is only {served}");
    }
}

#[test]
fn a_fleet_that_grows_fourfold_serves_all_jobs_while_the_new_workers_warm_up() {
    let mut driver = Driver::with_fleet(settings(), 6);
    let started_at = driver.now;
    driver.event(endpoints_event(
        EndpointUpdate::Changes,
        (7..=24).map(|n| Endpoint { started_at, ..endpoint(n) }),
    ));
    assert!(run_jobs(&mut driver, 0, 5, |_| Outcome::Ok) > 0.99);
    driver.now += 20 * SECOND;
    assert!(run_jobs(&mut driver, 10_000, 5, |_| Outcome::Ok) > 0.99);
}
