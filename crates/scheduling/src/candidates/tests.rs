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

fn search(settings: &Settings, fleet: &Fleet, request: &PendingRequest) -> Vec<WorkerId> {
    let search = CandidateSearch { now: NOW, settings, fleet, request, ejections_apply: true };
    search.run().into_iter().map(|index| fleet[index].endpoint.worker).collect()
}

fn attempt(worker: WorkerId, state: AttemptState) -> Attempt {
    Attempt { worker, occupancy_at_send: None, state, sent_at: NOW }
}

#[test]
fn the_first_workers_clockwise_are_the_candidates_each_of_them_once() {
    let fleet = fleet_of((1..=12).map(endpoint));
    let candidates = search(&settings(), &fleet, &request(Idempotency::Idempotent));
    let mut walk: Vec<WorkerId> = Vec::new();
    for point in fleet.ring().clockwise_from(KEY) {
        let worker = fleet[point.worker_index()].endpoint.worker;
        if !walk.contains(&worker) {
            walk.push(worker);
        }
    }
    assert_eq!(candidates, walk[..MAX_CANDIDATES]);
}

#[test]
fn a_worker_that_may_have_run_the_job_or_is_ejected_is_no_candidate() {
    let mut fleet = fleet_of((1..=12).map(endpoint));
    let mut request = request(Idempotency::Idempotent);
    let before = search(&settings(), &fleet, &request);
    request.attempts.push(attempt(before[0], AttemptState::MayHaveRun));
    request.attempts.push(attempt(before[2], AttemptState::NeverRan));
    let index = fleet.index_of(before[1]).expect("listed");
    fleet[index].outlier.extend_ejection(NOW, 1);
    assert_eq!(search(&settings(), &fleet, &request)[..2], before[2..]);
}

#[test]
fn a_keyed_job_that_may_have_run_stays_where_its_repeat_is_dropped() {
    let in_cells = |n: u64| Endpoint { cell: CellId((n / 4) as u32), ..endpoint(n) };
    let fleet = fleet_of((0..12).map(in_cells));
    let mut request =
        request(Idempotency::Keyed { scope: DeduplicationScope::Cell, deduplication_window: 1 });
    request.attempts.push(attempt(WorkerId(5), AttemptState::MayHaveRun));
    let mut candidates = search(&settings(), &fleet, &request);
    candidates.sort();
    assert_eq!(candidates, [WorkerId(4), WorkerId(6), WorkerId(7)]);
}

#[test]
fn a_class_that_is_bound_to_a_machine_type_has_candidates_of_that_type_alone() {
    let fleet =
        fleet_of((1..=4).map(|n| Endpoint { machine_type: MachineTypeId(n as u32 / 4), ..endpoint(n) }));
    let mut request = request(Idempotency::Idempotent);
    request.class.machine_type = Some(MachineTypeId(1));
    assert_eq!(search(&settings(), &fleet, &request), [WorkerId(4)]);
}

#[test]
fn workers_that_warm_up_come_after_the_others_unless_they_are_the_key_s_home() {
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
fn a_hot_key_starts_in_the_own_zone_at_a_worker_of_its_spread() {
    let fleet = fleet_of((1..=12).map(|n| Endpoint { zone: ZoneId(n as u32 % 3), ..endpoint(n) }));
    let hot = PendingRequest { spread: 6, ..request(Idempotency::Idempotent) };
    let wide = PendingRequest { spread: 1, ..request(Idempotency::Idempotent) };
    let home = search(&settings(), &fleet, &wide)[0];
    let mut starts = std::collections::BTreeSet::new();
    for scheduler_index in 0..30 {
        let settings = Settings { scheduler_index, scheduler_count: 30, ..settings() };
        let candidates = search(&settings, &fleet, &hot);
        let start = fleet.get(candidates[0]).expect("listed");
        assert_eq!(start.endpoint.zone, settings.zone);
        starts.insert(candidates[0]);
    }
    assert!(starts.len() > 1, "{starts:?}, its home is {home:?}");
}
