use super::*;
use crate::ids::{AttemptNo, RequestId, ZoneId};
use crate::test_support::{endpoint, fleet_of, NOW};
use crate::worker::{AttemptId, InFlightAttempt, OccupancyReport};

fn apply_change(fleet: &mut Fleet, endpoint: Endpoint) {
    fleet.update(NOW, EndpointUpdate::Changes, vec![endpoint], WeightSource::Size);
}

#[test]
fn a_worker_missing_from_a_complete_list_is_not_ready_but_a_worker_missing_from_changes_stays() {
    let mut fleet = fleet_of((1..=3).map(endpoint));
    apply_change(&mut fleet, endpoint(4));
    assert_eq!(fleet.ready_count(), 4);
    fleet.update(NOW, EndpointUpdate::Snapshot, vec![endpoint(2)], WeightSource::Size);
    let ready: Vec<u64> = fleet.ready().map(|worker| worker.endpoint.worker.0).collect();
    assert_eq!(ready, [2]);
}

#[test]
fn only_ready_workers_are_added() {
    let mut fleet = fleet_of([endpoint(1)]);
    for state in [EndpointState::Draining, EndpointState::Removed] {
        apply_change(&mut fleet, Endpoint { state, ..endpoint(2) });
        assert!(fleet.get(WorkerId(2)).is_none(), "{state:?}");
    }
}

#[test]
fn a_listed_weight_counts_only_if_it_is_a_valid_size() {
    for (weights, listed, weight) in [
        (WeightSource::Size, 3.0, 3.0),
        (WeightSource::Size, f64::NAN, 1.0),
        (WeightSource::Size, -1.0, 1.0),
        (WeightSource::Fixed, 3.0, 1.0),
        (WeightSource::Live, 3.0, 1.0),
    ] {
        let mut fleet = Fleet::default();
        let listed = Endpoint { weight: listed, ..endpoint(1) };
        fleet.update(NOW, EndpointUpdate::Snapshot, vec![listed], weights);
        assert_eq!(fleet[0].weight, weight, "{weights:?}");
    }
}

#[test]
fn a_new_start_resets_a_worker_and_its_zone_is_always_taken_from_the_list() {
    let mut fleet = fleet_of([endpoint(1)]);
    fleet[0].occupancy_report = Some(OccupancyReport { slots: Some(1.0), queried_at: NOW });
    apply_change(&mut fleet, Endpoint { zone: ZoneId(7), ..endpoint(1) });
    assert_eq!(fleet[0].endpoint.zone, ZoneId(7));
    assert!(fleet[0].occupancy_report.is_some(), "the same process");
    apply_change(&mut fleet, Endpoint { started_at: NOW - 5, ..endpoint(1) });
    assert!(fleet[0].occupancy_report.is_none(), "another process");
    assert_eq!(fleet[0].started_at, Some(NOW));
}

#[test]
fn removed_workers_without_attempts_in_flight_are_dropped_once_there_are_many_workers() {
    let mut fleet = fleet_of((1..=100).map(endpoint));
    let id = AttemptId { request: RequestId(1), number: AttemptNo(0) };
    let index = fleet.index_of(WorkerId(50)).expect("the worker is listed");
    fleet[index].in_flight.push(InFlightAttempt { id, sent_at: NOW, slots: 1.0 });
    fleet.update(NOW, EndpointUpdate::Snapshot, (91..=100).map(endpoint).collect(), WeightSource::Size);
    assert_eq!((fleet.len(), fleet.ready_count()), (11, 10));
    assert!(fleet.get(WorkerId(50)).is_some() && fleet.get(WorkerId(1)).is_none());
    let points = fleet.ring().clockwise_from(0).map(super::super::ring::Point::worker_index).max();
    assert_eq!(points, Some(10), "the ring refers to workers by their new index");
}
