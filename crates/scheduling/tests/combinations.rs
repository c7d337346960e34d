//! Failures in combination: nothing panics, no worker is shut out for good, no bound stays low.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

/// Plays `seconds` of 20 jobs a second; `verdict` says how an attempt on a worker ends. Gives the share served.
fn play(d: &mut Driver, first_id: u64, seconds: u64, verdict: impl Fn(WorkerId) -> Outcome) -> f64 {
    let mut served = 0;
    let mut waiting: Vec<(Micros, TimerToken)> = Vec::new();
    let jobs = seconds * 20;
    for n in 0..jobs {
        let id = first_id + n;
        let mut queue = vec![d.request(id, (n % 4) as u32, &format!("key-{}", n % 50))];
        while let Some(actions) = queue.pop() {
            waiting.extend(timers(&actions));
            for action in &actions {
                if let Action::Send { request, worker, .. } = action {
                    let outcome = verdict(*worker);
                    served += u64::from(outcome == Outcome::Ok);
                    let slow = Outcome::ConnectFailed;
                    let attempt = (0..4).map(AttemptNo);
                    for attempt in attempt {
                        // Only the attempt that is out is taken; the module ignores the others.
                        queue.push(d.event(Event::AttemptFinished {
                            request: *request,
                            attempt,
                            worker: *worker,
                            outcome,
                            latency: if outcome == slow { 250 * MS } else { MS },
                            closed: outcome == Outcome::Ok,
                            load: None,
                        }));
                    }
                }
            }
            if queue.is_empty() {
                let deadline = waiting.iter().position(|t| t.0 <= d.now);
                if let Some(place) = deadline {
                    let (_, token) = waiting.swap_remove(place);
                    queue.push(d.event(Event::Timer(token)));
                }
            }
        }
        d.now += 50 * MS;
    }
    served as f64 / jobs as f64
}

#[test]
fn after_every_worker_refused_for_a_while_service_comes_back_in_full() {
    let mut d = Driver::with_fleet(settings(), 12);
    assert!(play(&mut d, 0, 10, |_| Outcome::Rejected) < 0.01);
    play(&mut d, 10_000, 5, |_| Outcome::Ok);
    assert!(play(&mut d, 20_000, 10, |_| Outcome::Ok) >= 0.99);
}

#[test]
fn workers_that_died_unseen_are_passed_over_and_taken_back() {
    let mut d = Driver::with_fleet(settings(), 20);
    let dead = |w: WorkerId| if w.0 <= 5 { Outcome::ConnectFailed } else { Outcome::Ok };
    play(&mut d, 0, 5, dead);
    assert!(play(&mut d, 10_000, 10, dead) > 0.95);
    play(&mut d, 20_000, 10, |_| Outcome::Ok);
    let first = |d: &mut Driver, id: u64, key: &str| sent(&d.request(id, SAFE, key));
    let mut returned = std::collections::BTreeSet::new();
    for id in 30_000..30_400 {
        let worker = first(&mut d, id, &format!("late-{id}"));
        d.event(attempt_finished(id, 0, worker, Outcome::Ok));
        returned.insert(worker);
    }
    assert_eq!(returned.len(), 20, "all workers take jobs again");
}

#[test]
fn a_shared_loss_of_connections_ejects_nobody_for_good() {
    let mut d = Driver::with_fleet(settings(), 12);
    play(&mut d, 0, 10, |_| Outcome::ConnectFailed);
    assert!(play(&mut d, 10_000, 5, |_| Outcome::Ok) > 0.95);
}

#[test]
fn errors_everywhere_do_not_leave_a_bound_stuck_low() {
    let mut d = Driver::with_fleet(settings(), 4);
    play(&mut d, 0, 10, |_| Outcome::Error);
    // Many jobs out at once right after: the bound must have grown back with the first answers.
    play(&mut d, 10_000, 5, |_| Outcome::Ok);
    let placed =
        (0..12).filter(|n| !sends(&d.request(20_000 + n, SAFE, &format!("many-{n}"))).is_empty()).count();
    assert!(placed >= 10, "{placed} of 12");
}

#[test]
fn whole_zones_gone_with_a_flapping_list_and_a_stale_saved_list() {
    let mut d = Driver::new(settings());
    d.event(list(EndpointUpdate::Restored, (100..130).map(endpoint)));
    d.event(list(EndpointUpdate::Snapshot, (1..=18).map(endpoint)));
    for round in 0..50u64 {
        let flap = |n: u64| Endpoint {
            state: if endpoint(n).zone == ZoneId((round % 3) as u32) {
                EndpointState::Removed
            } else {
                EndpointState::Ready
            },
            ..endpoint(n)
        };
        d.event(list(EndpointUpdate::Changes, (1..=18).map(flap)));
        let gone = move |w: WorkerId| endpoint(w.0).zone == ZoneId((round % 3) as u32) || w.0 >= 100;
        let share = play(&mut d, 1_000 * round, 1, |w| {
            assert!(!gone(w), "sent to {w:?}, which is gone");
            Outcome::Ok
        });
        assert!(share > 0.99, "round {round}: {share}");
    }
}

#[test]
fn a_fleet_grown_fourfold_with_cold_workers_serves_on_its_warm_ones() {
    let mut d = Driver::with_fleet(settings(), 6);
    let started_at = d.now;
    d.event(list(EndpointUpdate::Changes, (7..=24).map(|n| Endpoint { started_at, ..endpoint(n) })));
    assert!(play(&mut d, 0, 5, |_| Outcome::Ok) > 0.99);
    d.now += 20 * S;
    assert!(play(&mut d, 10_000, 5, |_| Outcome::Ok) > 0.99);
}
