//! Restarted workers: which process of a worker the endpoint list names, and how old it is. Its start is
//! dated by another machine's wall clock, which may have been stepped, forward or back.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

const HOUR: Micros = 3600 * S;
const WORKERS: u64 = 12;
const RESTARTED: u64 = 5;
/// When the tests' scheduler gets its first list.
const BEGIN: Micros = 10 * HOUR;

/// Workers that warm up take what they have points for, however much that is.
fn without_admission_budget() -> Settings {
    let mut settings = settings();
    settings.rules.overload_factor = 1e9;
    settings
}

/// A scheduler that has its complete list, and a second later a response without changes.
fn serving(started_at: Micros) -> Driver {
    let mut driver = Driver::new(without_admission_budget());
    driver.at(
        BEGIN,
        list(EndpointUpdate::Snapshot, (1..=WORKERS).map(|n| Endpoint { started_at, ..endpoint(n) })),
    );
    driver.at(BEGIN + S, list(EndpointUpdate::Changes, []));
    driver
}

fn list_start(driver: &mut Driver, started_at: Micros) {
    driver.event(list(EndpointUpdate::Changes, [Endpoint { started_at, ..endpoint(RESTARTED) }]));
}

/// How many of many keys have their home at the restarted worker now. Each request is served before the next.
fn keys_at_restarted_worker(driver: &mut Driver) -> usize {
    let sent_there = |id: u64| {
        let first = sends(&driver.request(id, IDEMPOTENT, &format!("key-{id}")));
        driver.event(attempt_finished(id, 0, first[0], Outcome::Ok));
        first[0] == WorkerId(RESTARTED)
    };
    (0..2000).map(sent_there).filter(|there| *there).count()
}

/// A process is as old as this scheduler has observed; the wall clock can only make it younger.
#[test]
fn a_stepped_wall_clock_neither_shortens_nor_extends_a_worker_s_slow_start() {
    let before = BEGIN - 20 * S;
    let warm = keys_at_restarted_worker(&mut serving(before));
    let now = BEGIN + S + 500 * MS;
    for (name, started_at) in [
        ("equal clocks", now - 100 * MS),
        ("back by an hour", now - 100 * MS - HOUR),
        ("back by 30 s", now - 100 * MS - 30 * S),
        ("forward by an hour", now - 100 * MS + HOUR),
        ("forward by 5 s", now - 100 * MS + 5 * S),
    ] {
        let mut driver = serving(before);
        driver.now = now;
        list_start(&mut driver, started_at);
        let warming = keys_at_restarted_worker(&mut driver);
        // A quarter of its points at the start.
        assert!(
            (warm / 8..=warm / 2).contains(&warming),
            "{name}: {warming} keys of {warm} right after the start"
        );
        driver.now = now + settings().rules.slow_start_time;
        let later = keys_at_restarted_worker(&mut driver);
        assert!(later * 10 >= warm * 9, "{name}: {later} keys of {warm} once it is warm");
    }
}

/// A scheduler that has just started has only the wall clock to go by, but a start in the future has just
/// been.
#[test]
fn a_start_that_the_first_list_dates_in_the_future_was_now() {
    let mut driver = Driver::new(without_admission_budget());
    let endpoints = (1..=WORKERS)
        .map(|n| Endpoint { started_at: if n == RESTARTED { BEGIN + HOUR } else { 0 }, ..endpoint(n) });
    driver.at(BEGIN, list(EndpointUpdate::Snapshot, endpoints));
    let warming = keys_at_restarted_worker(&mut driver);
    driver.now = BEGIN + settings().rules.slow_start_time;
    let warm = keys_at_restarted_worker(&mut driver);
    assert!(warming * 2 < warm, "{warming} keys, {warm} once it is warm");
}

/// The same process, also in a complete list and after an outage, is as old as it was.
#[test]
fn a_start_that_is_listed_again_changes_nothing() {
    let mut driver = serving(BEGIN - 20 * S);
    let warm = keys_at_restarted_worker(&mut driver);
    for update in [EndpointUpdate::Changes, EndpointUpdate::Snapshot, EndpointUpdate::Failed] {
        driver.now += 60 * S;
        driver.event(list(
            update,
            (1..=WORKERS).map(|n| Endpoint { started_at: BEGIN - 20 * S, ..endpoint(n) }),
        ));
        assert_eq!(keys_at_restarted_worker(&mut driver), warm, "{update:?}");
    }
}

/// A worker's zone, machine type and cell follow the list also where its process is the same: a repeat is
/// dropped only within its cell, and new settings may number zones and machine types in another order.
#[test]
fn zone_kind_and_cell_follow_the_list() {
    let mut driver = Driver::new(settings());
    driver.event(list(
        EndpointUpdate::Snapshot,
        (1..=4).map(|n| Endpoint { kind: KindId(u32::from(n > 2)), ..endpoint(n) }),
    ));
    let machine_bound = |driver: &mut Driver, id: u64| {
        let worker = sent(&driver.request(id, MACHINE_BOUND, &format!("key-{id}"))).0;
        driver.event(attempt_finished(id, 0, WorkerId(worker), Outcome::Ok));
        worker
    };
    assert!((0..20).all(|id| machine_bound(&mut driver, id) > 2));
    driver.event(list(
        EndpointUpdate::Changes,
        (1..=4).map(|n| Endpoint { kind: KindId(u32::from(n <= 2)), ..endpoint(n) }),
    ));
    assert!((20..40).all(|id| machine_bound(&mut driver, id) <= 2), "the machine types have changed places");

    let mut driver = Driver::new(settings());
    driver.event(list(
        EndpointUpdate::Snapshot,
        (1..=4).map(|n| Endpoint { cell: CellId(n as u32 / 2), ..endpoint(n) }),
    ));
    let first = sent(&driver.request(1, KEYED_CELL, "k"));
    // The other worker of its cell is in another cell now, and another worker has come to its own.
    let cell = |n: u64| CellId(u32::from((n == first.0) || (n == first.0 % 4 + 1)));
    driver.event(list(EndpointUpdate::Changes, (1..=4).map(|n| Endpoint { cell: cell(n), ..endpoint(n) })));
    let next = sent(&driver.event(attempt_finished(1, 0, first, Outcome::Reset)));
    assert_eq!(next.0, first.0 % 4 + 1, "the repeat stays in the cell");
}
