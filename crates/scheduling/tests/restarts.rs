//! Tests of restarted workers: how a scheduler recognises a new process of a worker and determines the
//! process's age. The endpoint list gives the start time of a process by another machine's wall clock, which
//! may have been stepped forward or back.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

const HOUR: Micros = 3600 * SECOND;
const WORKERS: u64 = 12;
/// Id of the worker that restarts in the tests.
const RESTARTED: u64 = 5;
/// Time at which the scheduler under test gets its first endpoint list, in microseconds of its clock.
const BEGIN: Micros = 10 * HOUR;

/// Returns settings with a practically unlimited work budget, so that a warming worker gets all requests
/// whose keys belong to its active virtual points.
fn with_unlimited_work_budget() -> Settings {
    let mut settings = settings();
    settings.rules.overload_factor = 1e9;
    settings
}

/// Returns a scheduler that got the complete endpoint list at `BEGIN` and a response of discovery without
/// changes a second later. `started_at` is the listed start time of all workers.
fn driver_with_confirmed_list(started_at: Micros) -> Driver {
    let mut driver = Driver::new(with_unlimited_work_budget());
    driver.at(
        BEGIN,
        endpoints_event(
            EndpointUpdate::Snapshot,
            (1..=WORKERS).map(|n| Endpoint { started_at, ..endpoint(n) }),
        ),
    );
    driver.at(BEGIN + SECOND, endpoints_event(EndpointUpdate::Changes, []));
    driver
}

/// Passes to the scheduler a change of the endpoint list that gives the restarted worker a new start time.
fn list_start(driver: &mut Driver, started_at: Micros) {
    driver.event(endpoints_event(EndpointUpdate::Changes, [Endpoint { started_at, ..endpoint(RESTARTED) }]));
}

/// Sends the scheduler requests with 2000 keys and counts the requests that go to the restarted worker. Each
/// request is served before the next request arrives.
fn keys_at_restarted_worker(driver: &mut Driver) -> usize {
    let is_sent_to_restarted = |id: u64| {
        let first = sent_workers(&driver.request(id, IDEMPOTENT, &format!("key-{id}")));
        driver.event(attempt_finished(id, 0, first[0], Outcome::Ok));
        first[0] == WorkerId(RESTARTED)
    };
    (0..2000).map(is_sent_to_restarted).filter(|is_sent| *is_sent).count()
}

/// A scheduler assumes that a worker's process is at most as old as the responses of discovery allow. The
/// other machine's wall clock, which gives the listed start time, can only lower this age.
#[test]
fn a_stepped_wall_clock_neither_shortens_nor_extends_a_slow_start() {
    let before = BEGIN - 20 * SECOND;
    let warm = keys_at_restarted_worker(&mut driver_with_confirmed_list(before));
    let now = BEGIN + SECOND + 500 * MILLISECOND;
    for (name, started_at) in [
        ("equal clocks", now - 100 * MILLISECOND),
        ("back by an hour", now - 100 * MILLISECOND - HOUR),
        ("back by 30 s", now - 100 * MILLISECOND - 30 * SECOND),
        ("forward by an hour", now - 100 * MILLISECOND + HOUR),
        ("forward by 5 s", now - 100 * MILLISECOND + 5 * SECOND),
    ] {
        let mut driver = driver_with_confirmed_list(before);
        driver.now = now;
        list_start(&mut driver, started_at);
        let warming = keys_at_restarted_worker(&mut driver);
        // A quarter of a worker's virtual points are active right after its start.
        assert!(
            (warm / 8..=warm / 2).contains(&warming),
            "{name}: {warming} keys of {warm} right after the start"
        );
        driver.now = now + settings().rules.slow_start_time;
        let later = keys_at_restarted_worker(&mut driver);
        assert!(later * 10 >= warm * 9, "{name}: {later} keys of {warm} after the slow start");
    }
}

/// A scheduler that has just started determines a worker's age from the listed start time alone. A listed
/// start time in the future counts as a start at the current time.
#[test]
fn a_start_in_the_future_in_the_first_list_counts_as_a_start_now() {
    let mut driver = Driver::new(with_unlimited_work_budget());
    let endpoints = (1..=WORKERS)
        .map(|n| Endpoint { started_at: if n == RESTARTED { BEGIN + HOUR } else { 0 }, ..endpoint(n) });
    driver.at(BEGIN, endpoints_event(EndpointUpdate::Snapshot, endpoints));
    let warming = keys_at_restarted_worker(&mut driver);
    driver.now = BEGIN + settings().rules.slow_start_time;
    let warm = keys_at_restarted_worker(&mut driver);
    assert!(warming * 2 < warm, "{warming} keys right after the start, {warm} after the slow start");
}

/// A worker's process keeps its age if an update of the endpoint list repeats the start time of the process.
/// The update may be a change, a complete list or the entries of a failed response.
#[test]
fn listing_the_same_start_again_does_not_restart_the_slow_start() {
    let mut driver = driver_with_confirmed_list(BEGIN - 20 * SECOND);
    let warm = keys_at_restarted_worker(&mut driver);
    for update in [EndpointUpdate::Changes, EndpointUpdate::Snapshot, EndpointUpdate::Failed] {
        driver.now += 60 * SECOND;
        driver.event(endpoints_event(
            update,
            (1..=WORKERS).map(|n| Endpoint { started_at: BEGIN - 20 * SECOND, ..endpoint(n) }),
        ));
        assert_eq!(keys_at_restarted_worker(&mut driver), warm, "{update:?}");
    }
}

/// A scheduler updates the zone, machine type and cell of a worker from the endpoint list even if the worker
/// has not restarted. A wrong cell would send a keyed job to a worker that does not drop the repeat, and new
/// settings may number zones and machine types in another order.
#[test]
fn zone_machine_type_and_cell_are_updated_from_the_list() {
    let mut driver = Driver::new(settings());
    driver.event(endpoints_event(
        EndpointUpdate::Snapshot,
        (1..=4).map(|n| Endpoint { machine_type: MachineTypeId(u32::from(n > 2)), ..endpoint(n) }),
    ));
    let serve_machine_bound = |driver: &mut Driver, id: u64| {
        let worker = sent_to(&driver.request(id, MACHINE_BOUND, &format!("key-{id}"))).0;
        driver.event(attempt_finished(id, 0, WorkerId(worker), Outcome::Ok));
        worker
    };
    assert!((0..20).all(|id| serve_machine_bound(&mut driver, id) > 2));
    driver.event(endpoints_event(
        EndpointUpdate::Changes,
        (1..=4).map(|n| Endpoint { machine_type: MachineTypeId(u32::from(n <= 2)), ..endpoint(n) }),
    ));
    assert!((20..40).all(|id| serve_machine_bound(&mut driver, id) <= 2), "the machine types were swapped");

    let mut driver = Driver::new(settings());
    driver.event(endpoints_event(
        EndpointUpdate::Snapshot,
        (1..=4).map(|n| Endpoint { cell: CellId(n as u32 / 2), ..endpoint(n) }),
    ));
    let first = sent_to(&driver.request(1, KEYED_CELL, "k"));
    // The other worker in the first worker's cell moves to another cell, and a different worker moves into
    // the first worker's cell.
    let cell = |n: u64| CellId(u32::from((n == first.0) || (n == first.0 % 4 + 1)));
    driver.event(endpoints_event(
        EndpointUpdate::Changes,
        (1..=4).map(|n| Endpoint { cell: cell(n), ..endpoint(n) }),
    ));
    let next = sent_to(&driver.event(attempt_finished(1, 0, first, Outcome::Reset)));
    assert_eq!(next.0, first.0 % 4 + 1, "the repeat stays in the cell");
}
