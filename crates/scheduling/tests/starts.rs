//! Which process of a worker a list names, and how old it is: its start is told by another machine's wall clock, which may
//! have been stepped, forward or back.
#![allow(missing_docs)]

mod common;
use common::*;
use vetchbridge_scheduling::*;

const HOUR: Micros = 3600 * S;
const WORKERS: u64 = 12;
const RESTARTED: u64 = 5;
/// When the tests' scheduler hears its first list.
const BEGIN: Micros = 10 * HOUR;

/// Cold workers take what they have points for, however much that is.
fn without_budget() -> Settings {
    let mut settings = settings();
    settings.rules.overload_factor = 1e9;
    settings
}

/// A scheduler that has heard its whole list, and a second later that nothing has changed.
fn serving(started_at: Micros) -> Driver {
    let mut d = Driver::new(without_budget());
    d.at(
        BEGIN,
        list(EndpointUpdate::Snapshot, (1..=WORKERS).map(|n| Endpoint { started_at, ..endpoint(n) })),
    );
    d.at(BEGIN + S, list(EndpointUpdate::Changes, []));
    d
}

fn hears_of_a_start(d: &mut Driver, started_at: Micros) {
    d.event(list(EndpointUpdate::Changes, [Endpoint { started_at, ..endpoint(RESTARTED) }]));
}

/// How many of many keys begin at the restarted worker now. Each request is withdrawn before the next.
fn keys_sent_there(d: &mut Driver) -> usize {
    let sent_there = |id: u64| {
        let first = sends(&d.request(id, SAFE, &format!("key-{id}")));
        d.event(attempt_finished(id, 0, first[0], Outcome::Ok));
        first[0] == WorkerId(RESTARTED)
    };
    (0..2000).map(sent_there).filter(|there| *there).count()
}

/// The age of a process is what this scheduler has observed of it; the wall clock can only make it younger.
#[test]
fn a_stepped_wall_clock_makes_no_restarted_worker_warm_nor_keeps_it_cold() {
    let before = BEGIN - 20 * S;
    let warm = keys_sent_there(&mut serving(before));
    let now = BEGIN + S + 500 * MS;
    for (name, started_at) in [
        ("equal clocks", now - 100 * MS),
        ("back by an hour", now - 100 * MS - HOUR),
        ("back by 30 s", now - 100 * MS - 30 * S),
        ("forward by an hour", now - 100 * MS + HOUR),
        ("forward by 5 s", now - 100 * MS + 5 * S),
    ] {
        let mut d = serving(before);
        d.now = now;
        hears_of_a_start(&mut d, started_at);
        let cold = keys_sent_there(&mut d);
        // A quarter of its points at the start.
        assert!((warm / 8..=warm / 2).contains(&cold), "{name}: {cold} keys of {warm} right after the start");
        d.now = now + settings().rules.slow_start_time;
        let later = keys_sent_there(&mut d);
        assert!(later * 10 >= warm * 9, "{name}: {later} keys of {warm} once it is warm");
    }
}

/// A scheduler that has just started can't know better than the wall clock, but a start in the future has just been.
#[test]
fn a_start_that_the_first_list_puts_into_the_future_was_now() {
    let mut d = Driver::new(without_budget());
    let endpoints = (1..=WORKERS)
        .map(|n| Endpoint { started_at: if n == RESTARTED { BEGIN + HOUR } else { 0 }, ..endpoint(n) });
    d.at(BEGIN, list(EndpointUpdate::Snapshot, endpoints));
    let cold = keys_sent_there(&mut d);
    d.now = BEGIN + settings().rules.slow_start_time;
    let warm = keys_sent_there(&mut d);
    assert!(cold * 2 < warm, "{cold} keys, {warm} once it is warm");
}

/// The same process said again, also in a whole list and after an outage, is as old as it was.
#[test]
fn a_start_that_is_told_again_changes_nothing() {
    let mut d = serving(BEGIN - 20 * S);
    let warm = keys_sent_there(&mut d);
    for kind in [EndpointUpdate::Changes, EndpointUpdate::Snapshot, EndpointUpdate::Failed] {
        d.now += 60 * S;
        d.event(list(kind, (1..=WORKERS).map(|n| Endpoint { started_at: BEGIN - 20 * S, ..endpoint(n) })));
        assert_eq!(keys_sent_there(&mut d), warm, "{kind:?}");
    }
}

/// What a list says of a worker's place binds, also where its process is the same: a key is dropped only within its cell,
/// and new settings may name zones and kinds in another order.
#[test]
fn zone_kind_and_cell_follow_the_list() {
    let mut d = Driver::new(settings());
    d.event(list(
        EndpointUpdate::Snapshot,
        (1..=4).map(|n| Endpoint { kind: KindId(u32::from(n > 2)), ..endpoint(n) }),
    ));
    let bound = |d: &mut Driver, id: u64| {
        let worker = sent(&d.request(id, BOUND, &format!("key-{id}"))).0;
        d.event(attempt_finished(id, 0, WorkerId(worker), Outcome::Ok));
        worker
    };
    assert!((0..20).all(|id| bound(&mut d, id) > 2));
    d.event(list(
        EndpointUpdate::Changes,
        (1..=4).map(|n| Endpoint { kind: KindId(u32::from(n <= 2)), ..endpoint(n) }),
    ));
    assert!((20..40).all(|id| bound(&mut d, id) <= 2), "the kinds have changed places");

    let mut d = Driver::new(settings());
    d.event(list(
        EndpointUpdate::Snapshot,
        (1..=4).map(|n| Endpoint { cell: CellId(n as u32 / 2), ..endpoint(n) }),
    ));
    let first = sent(&d.request(1, KEYED_CELL, "k"));
    // Its cell mate of before is in another cell now, and another worker has come to it.
    let mates = |n: u64| CellId(u32::from((n == first.0) || (n == first.0 % 4 + 1)));
    d.event(list(EndpointUpdate::Changes, (1..=4).map(|n| Endpoint { cell: mates(n), ..endpoint(n) })));
    let next = sent(&d.event(attempt_finished(1, 0, first, Outcome::Reset)));
    assert_eq!(next.0, first.0 % 4 + 1, "the repeat stays in the cell");
}
