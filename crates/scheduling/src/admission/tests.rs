use super::*;
use crate::events::Endpoint;
use crate::ids::{AttemptNo, RequestId};
use crate::test_support::{endpoint, fleet_of, settings, NOW};
use crate::worker::{AttemptId, InFlightAttempt, OccupancyReport};

/// Returns the admission state of a single scheduler at [`NOW`], with one slot per unit of weight.
fn admission<'a>(settings: &'a Settings, fleet: &'a Fleet) -> Admission<'a> {
    Admission { now: NOW, settings, fleet, slots_per_weight: 1.0, budget_share: 1.0 }
}

/// Adds an attempt of `slots` slots to this scheduler's attempts in flight at the worker with this index in
/// the fleet.
fn add_attempt(fleet: &mut Fleet, index: usize, slots: f64) {
    let id = AttemptId { request: RequestId(1), number: AttemptNo(0) };
    fleet[index].in_flight.push(InFlightAttempt { id, sent_at: NOW, slots });
}

/// Sets the occupancy that the worker's coordinator reported at [`NOW`] for the worker with this index in the
/// fleet.
fn set_occupancy(fleet: &mut Fleet, index: usize, slots: f64) {
    fleet[index].occupancy_report = Some(OccupancyReport { slots: Some(slots), queried_at: NOW });
}

#[test]
fn the_estimated_slots_per_weight_change_only_after_starts_that_contradict_the_estimate() {
    let mut slots = SlotsPerWeight::default();
    slots.record_start(0.5, true);
    slots.record_start(2.0, false);
    assert_eq!(slots.get(), 1.0, "both starts agree with the estimate");
    slots.record_start(2.0, true);
    assert_eq!(slots.get(), 1.05);
    let before = slots.get();
    slots.record_start(0.05, false);
    assert_eq!(slots.get(), before + 0.05 * (0.05 - before));
}

#[test]
fn a_worker_of_unknown_load_takes_only_its_fair_share_of_the_slots_in_flight() {
    let settings = settings();
    let mut fleet = fleet_of((1..=4).map(endpoint));
    (0..3).for_each(|index| add_attempt(&mut fleet, index, 1.0));
    assert_eq!(admission(&settings, &fleet).fair_share_limit(3), Some(1.25 * 4.0 / 4.0));
    assert!(admission(&settings, &fleet).has_capacity(3, 1.0, CandidateRole::Home));
    add_attempt(&mut fleet, 3, 1.0);
    assert!(!admission(&settings, &fleet).has_capacity(3, 1.0, CandidateRole::Home));
    set_occupancy(&mut fleet, 3, 0.0);
    assert_eq!(admission(&settings, &fleet).fair_share_limit(3), None, "the load is known");
}

#[test]
fn a_warming_worker_takes_keys_of_other_homes_only_once_its_load_is_known() {
    let settings = settings();
    let mut fleet = fleet_of([Endpoint { started_at: NOW, ..endpoint(1) }]);
    assert!(admission(&settings, &fleet).has_capacity(0, 1.0, CandidateRole::Home));
    assert!(!admission(&settings, &fleet).has_capacity(0, 1.0, CandidateRole::Alternative));
    set_occupancy(&mut fleet, 0, 0.0);
    assert!(admission(&settings, &fleet).has_capacity(0, 1.0, CandidateRole::Alternative));
}

#[test]
fn a_warming_worker_takes_nothing_once_its_work_budget_is_used_up() {
    let settings = settings();
    let mut fleet = fleet_of([Endpoint { started_at: NOW, ..endpoint(1) }]);
    let rate = admission(&settings, &fleet).overload_rate(0);
    assert_eq!(rate, 0.25 * 3.0);
    fleet[0].work_budget.charge(NOW, rate, 1_000_000);
    assert!(admission(&settings, &fleet).remaining_work(0) < 0.0);
    assert!(!admission(&settings, &fleet).has_capacity(0, 1.0, CandidateRole::Home));
}

#[test]
fn a_job_joins_the_shortest_queue_unless_all_queues_are_long_or_the_workers_are_warming_up() {
    let settings = settings();
    let mut fleet = fleet_of((1..=3).map(endpoint));
    for (index, occupancy) in [1.0, 0.5, 2.0].into_iter().enumerate() {
        set_occupancy(&mut fleet, index, occupancy);
    }
    assert_eq!(admission(&settings, &fleet).least_loaded(&[0, 1, 2], 1.0), Some(1));
    assert_eq!(admission(&settings, &fleet).least_loaded(&[0, 2], 1.0), Some(0));
    assert_eq!(
        admission(&settings, &fleet).least_loaded(&[2], 1.0),
        None,
        "the queue of the worker is too long"
    );
    let warming = fleet_of([Endpoint { started_at: NOW, ..endpoint(1) }]);
    assert_eq!(admission(&settings, &warming).least_loaded(&[0], 1.0), None);
}
