use super::*;
use crate::events::Endpoint;
use crate::ids::{AttemptNo, RequestId};
use crate::test_support::{endpoint, fleet_of, settings, NOW};
use crate::worker::{AttemptId, InFlightAttempt, OccupancyReport};

fn admission<'a>(settings: &'a Settings, fleet: &'a Fleet) -> Admission<'a> {
    Admission { now: NOW, settings, fleet, slots_per_unit: 1.0, budget_share: 1.0 }
}

fn send(fleet: &mut Fleet, index: usize, slots: f64) {
    let id = AttemptId { request: RequestId(1), number: AttemptNo(0) };
    fleet[index].in_flight.push(InFlightAttempt { id, sent_at: NOW, slots });
}

fn report(fleet: &mut Fleet, index: usize, slots: f64) {
    fleet[index].report = Some(OccupancyReport { slots: Some(slots), queried_at: NOW });
}

#[test]
fn the_slots_of_a_unit_follow_starts_that_contradict_the_estimate() {
    let mut slots = SlotsPerUnit::default();
    slots.record_start(0.5, true);
    slots.record_start(2.0, false);
    assert_eq!(slots.get(), 1.0, "as expected");
    slots.record_start(2.0, true);
    assert_eq!(slots.get(), 1.05);
    let before = slots.get();
    slots.record_start(0.05, false);
    assert_eq!(slots.get(), before + 0.05 * (0.05 - before));
}

#[test]
fn where_load_is_unknown_a_worker_takes_its_fair_share_of_all_own_slots() {
    let settings = settings();
    let mut fleet = fleet_of((1..=4).map(endpoint));
    (0..3).for_each(|index| send(&mut fleet, index, 1.0));
    assert_eq!(admission(&settings, &fleet).fair_share(3), Some(1.25 * 4.0 / 4.0));
    assert!(admission(&settings, &fleet).has_capacity(3, 1.0, Preference::Home));
    send(&mut fleet, 3, 1.0);
    assert!(!admission(&settings, &fleet).has_capacity(3, 1.0, Preference::Home));
    report(&mut fleet, 3, 0.0);
    assert_eq!(admission(&settings, &fleet).fair_share(3), None, "its load is known");
}

#[test]
fn a_warming_worker_takes_its_own_keys_and_others_once_its_load_is_known() {
    let settings = settings();
    let mut fleet = fleet_of([Endpoint { started_at: NOW, ..endpoint(1) }]);
    assert!(admission(&settings, &fleet).has_capacity(0, 1.0, Preference::Home));
    assert!(!admission(&settings, &fleet).has_capacity(0, 1.0, Preference::Alternative));
    report(&mut fleet, 0, 0.0);
    assert!(admission(&settings, &fleet).has_capacity(0, 1.0, Preference::Alternative));
}

#[test]
fn a_warming_worker_takes_nothing_once_its_admission_budget_is_used_up() {
    let settings = settings();
    let mut fleet = fleet_of([Endpoint { started_at: NOW, ..endpoint(1) }]);
    let rate = admission(&settings, &fleet).overload_rate(0);
    assert_eq!(rate, 0.25 * 3.0);
    fleet[0].admitted_work.charge(NOW, rate, 1_000_000);
    assert!(admission(&settings, &fleet).remaining_work(0) < 0.0);
    assert!(!admission(&settings, &fleet).has_capacity(0, 1.0, Preference::Home));
}

#[test]
fn a_job_joins_the_shortest_queue_unless_all_are_long_or_warming_up() {
    let settings = settings();
    let mut fleet = fleet_of((1..=3).map(endpoint));
    for (index, occupancy) in [1.0, 0.5, 2.0].into_iter().enumerate() {
        report(&mut fleet, index, occupancy);
    }
    assert_eq!(admission(&settings, &fleet).least_loaded(&[0, 1, 2], 1.0), Some(1));
    assert_eq!(admission(&settings, &fleet).least_loaded(&[0, 2], 1.0), Some(0));
    assert_eq!(admission(&settings, &fleet).least_loaded(&[2], 1.0), None, "its queue is long");
    let warming = fleet_of([Endpoint { started_at: NOW, ..endpoint(1) }]);
    assert_eq!(admission(&settings, &warming).least_loaded(&[0], 1.0), None);
}
