use super::*;
use crate::events::Endpoint;
use crate::ids::{CellId, MachineTypeId, WorkerId, ZoneId};
use crate::request::{Attempt, AttemptState};
use crate::settings::{Class, DeduplicationScope};
use crate::test_support::{endpoint, fleet_of, settings, NOW};

const KEY: u64 = 1 << 40;

fn request(idempotency: Idempotency) -> PendingRequest {
    let class = Class { idempotency, ..Class::default() };
    PendingRequest { class, key_hash: KEY, spread: 1, ..PendingRequest::default() }
}

/// Returns the candidate workers of a request in the order of preference; ejected workers are excluded.
fn search(settings: &Settings, fleet: &Fleet, request: &PendingRequest) -> Vec<WorkerId> {
    let search = CandidateSearch { now: NOW, settings, fleet, request, enforce_ejections: true };
    search.run().into_iter().map(|index| fleet[index].endpoint.worker).collect()
}

fn attempt(worker: WorkerId, state: AttemptState) -> Attempt {
    Attempt { worker, occupancy_at_send: None, state, sent_at: NOW }
}

#[test]
fn the_candidates_are_the_first_distinct_workers_clockwise_from_the_key() {
    let fleet = fleet_of((1..=12).map(endpoint));
    let candidates = search(&settings(), &fleet, &request(Idempotency::Idempotent));
    let mut ring_order: Vec<WorkerId> = Vec::new();
    for point in fleet.ring().clockwise_from(KEY) {
        let worker = fleet[point.worker_index()].endpoint.worker;
        if !ring_order.contains(&worker) {
            ring_order.push(worker);
        }
    }
    assert_eq!(candidates, ring_order[..MAX_CANDIDATES]);
}

#[test]
fn a_worker_that_is_ejected_or_returned_the_job_or_may_have_run_it_is_no_candidate() {
    let mut fleet = fleet_of((1..=12).map(endpoint));
    let mut request = request(Idempotency::Idempotent);
    let all_candidates = search(&settings(), &fleet, &request);
    request.attempts.push(attempt(all_candidates[0], AttemptState::MayHaveRun));
    request.attempts.push(attempt(all_candidates[2], AttemptState::NeverRan));
    let index = fleet.index_of(all_candidates[1]).expect("the worker is listed");
    fleet[index].outlier.extend_ejection(NOW, 1);
    assert_eq!(search(&settings(), &fleet, &request)[..2], all_candidates[2..]);
    request.attempts.push(attempt(all_candidates[2], AttemptState::Returned));
    assert_eq!(search(&settings(), &fleet, &request)[..1], all_candidates[3..]);
}

#[test]
fn a_keyed_job_that_may_have_run_is_retried_only_where_its_repeat_is_dropped() {
    let in_cell_of_four = |n: u64| Endpoint { cell: CellId((n / 4) as u32), ..endpoint(n) };
    let fleet = fleet_of((0..12).map(in_cell_of_four));
    let mut request =
        request(Idempotency::Keyed { scope: DeduplicationScope::Cell, deduplication_window: 1 });
    request.attempts.push(attempt(WorkerId(5), AttemptState::MayHaveRun));
    let mut candidates = search(&settings(), &fleet, &request);
    candidates.sort();
    assert_eq!(candidates, [WorkerId(4), WorkerId(6), WorkerId(7)]);
}

#[test]
fn a_class_that_is_bound_to_a_machine_type_has_only_candidates_of_that_type() {
    let fleet =
        fleet_of((1..=4).map(|n| Endpoint { machine_type: MachineTypeId(n as u32 / 4), ..endpoint(n) }));
    let mut request = request(Idempotency::Idempotent);
    request.class.machine_type = Some(MachineTypeId(1));
    assert_eq!(search(&settings(), &fleet, &request), [WorkerId(4)]);
}

#[test]
fn warming_workers_come_after_the_others_unless_they_are_the_home_of_the_key() {
    let started_at = |n| if n > 6 { NOW - 9_000_000 } else { 0 };
    let fleet = fleet_of((1..=12).map(|n| Endpoint { started_at: started_at(n), ..endpoint(n) }));
    let is_warming = |worker: &WorkerId| worker.0 > 6;
    let mut warming_homes = 0;
    for key in 0..50 {
        let request = PendingRequest { key_hash: mix(key), ..request(Idempotency::Idempotent) };
        let candidates = search(&settings(), &fleet, &request);
        warming_homes += usize::from(is_warming(&candidates[0]));
        assert!(!candidates[1..MAX_CANDIDATES].iter().any(is_warming), "{candidates:?}");
        assert!(candidates[MAX_CANDIDATES..].iter().all(is_warming), "{candidates:?}");
        assert!(candidates.len() <= MAX_CANDIDATES + MAX_WARMING_CANDIDATES);
    }
    assert!((10..40).contains(&warming_homes), "{warming_homes} of 50 keys");
}

#[test]
fn a_hot_key_starts_at_a_worker_in_the_zone_of_the_scheduler() {
    let fleet = fleet_of((1..=12).map(|n| Endpoint { zone: ZoneId(n as u32 % 3), ..endpoint(n) }));
    let hot = PendingRequest { spread: 6, ..request(Idempotency::Idempotent) };
    let not_spread = PendingRequest { spread: 1, ..request(Idempotency::Idempotent) };
    let home = search(&settings(), &fleet, &not_spread)[0];
    let mut starts = std::collections::BTreeSet::new();
    for scheduler_index in 0..30 {
        let settings = Settings { scheduler_index, scheduler_count: 30, ..settings() };
        let candidates = search(&settings, &fleet, &hot);
        let start = fleet.get(candidates[0]).expect("the worker is listed");
        assert_eq!(start.endpoint.zone, settings.zone);
        starts.insert(candidates[0]);
    }
    assert!(starts.len() > 1, "all schedulers start at {starts:?}; the home of the key is {home:?}");
}
