//! Tests of the admission and eviction of client connections, and of the share of the descriptor budget for
//! connections to workers.

use super::*;
use crate::clients::budget::PROCESS_DESCRIPTORS;
use crate::clients::eviction::MIN_AGE;
use std::time::Duration;

/// New connections are evicted first, then connections with an incomplete request, then idle connections.
#[tokio::test(start_paused = true)]
async fn new_connections_are_evicted_first_and_connections_that_await_a_response_never() {
    let connections = room_for_six_connections();
    let slots: Vec<ConnectionSlot<'_>> =
        (0..6).filter_map(|_| connections.admit(NO_OTHER_PROCESSES)).collect();
    let [awaiting, callback, kept_alive, one_response, incomplete, new] = &slots[..] else {
        panic!("six slots")
    };
    awaiting.connection.mark_awaiting_response();
    callback.connection.record_received(b"POST /callback HTTP/1.1\r\n");
    incomplete.connection.record_received(b"POST /a");
    for (slot, responses) in [(kept_alive, 2), (one_response, 1)] {
        for _ in 0..responses {
            slot.connection.record_received(b"GET / HTTP/1.1\r\n\r\n");
            slot.connection.mark_sending_response(0);
            slot.connection.record_flush();
        }
    }
    tokio::time::advance(MIN_AGE).await;
    let mut admitted = Vec::new();
    for evicted in [new, incomplete, one_response, kept_alive] {
        admitted.push(connections.admit(NO_OTHER_PROCESSES).expect("an eviction"));
        admitted.last().unwrap().connection.mark_awaiting_response();
        // The call resolves only for the connection that was chosen for eviction.
        evicted.connection.wait_for_forced_close().await;
    }
    assert!(connections.admit(NO_OTHER_PROCESSES).is_none(), "no other connection may be evicted");
    drop(admitted.pop());
    assert!(connections.admit(NO_OTHER_PROCESSES).is_some(), "the dropped slot is free again");
}

/// Client connections get all descriptors that the process and connections to workers leave, not a fixed
/// share.
#[tokio::test(start_paused = true)]
async fn clients_get_what_workers_leave_and_are_evicted_when_workers_need_more() {
    let workers = ConnectionCount::default();
    let connections = connections_with_limit(384, 16, workers.clone());
    let in_use: Vec<ConnectionGuard> = (0..46).map(|_| workers.register()).collect();
    let admitted: Vec<ConnectionSlot<'_>> =
        (0..400).map_while(|_| connections.admit(NO_OTHER_PROCESSES)).collect();
    assert_eq!(admitted.len(), 384 - 16 - PROCESS_DESCRIPTORS - 46 - 48);
    for slot in &admitted {
        slot.connection.mark_kept_alive();
    }
    assert!(connections.admit(NO_OTHER_PROCESSES).is_some(), "idle connections can be evicted");
    let more: Vec<ConnectionGuard> = (0..100).map(|_| workers.register()).collect();
    connections.enforce_limits(NO_OTHER_PROCESSES);
    assert_eq!(lock_ignoring_poison(&connections.table).non_evicted_count(), admitted.len() - 100);
    drop((in_use, more));
    let max_clients =
        |count| connections.budget.max_client_connections(OtherProcesses { count, client_connections: 100 });
    assert_eq!(max_clients(0) - max_clients(1), PROCESS_DESCRIPTORS);
}

/// In a burst of new connections, a new connection does not evict another new connection that has had no time
/// to send anything.
#[tokio::test(start_paused = true)]
async fn a_new_connection_has_time_to_send_its_request_before_it_is_evicted() {
    let connections = room_for_six_connections();
    let slots: Vec<ConnectionSlot<'_>> =
        (0..6).filter_map(|_| connections.admit(NO_OTHER_PROCESSES)).collect();
    assert!(connections.admit(NO_OTHER_PROCESSES).is_none());
    let paused_until = connections
        .accept_paused_until(NO_OTHER_PROCESSES)
        .expect("new connections become old enough to be evicted");
    tokio::time::advance(paused_until - Instant::now()).await;
    assert_eq!(connections.accept_paused_until(NO_OTHER_PROCESSES), None);
    slots[0].connection.record_received(b"POST /a");
    let _admitted = connections.admit(NO_OTHER_PROCESSES).expect("a connection without input is evicted");
    slots[1].connection.wait_for_forced_close().await;
}

/// A client's next request may arrive at the moment when its connection is chosen for eviction. The request
/// is answered first, and then the connection closes.
#[tokio::test(start_paused = true)]
async fn a_request_that_arrives_during_the_eviction_gets_its_response_first() {
    let connections = room_for_six_connections();
    let slots: Vec<ConnectionSlot<'_>> =
        (0..6).filter_map(|_| connections.admit(NO_OTHER_PROCESSES)).collect();
    slots[0].connection.mark_kept_alive();
    let _admitted = connections.admit(NO_OTHER_PROCESSES).expect("the idle connection is evicted");
    let evicted = &slots[0].connection;
    evicted.record_received(b"POST /a HTTP/1.1\r\n\r\n");
    evicted.mark_awaiting_response();
    let forced_close = evicted.wait_for_forced_close();
    tokio::pin!(forced_close);
    assert!(futures_util::poll!(forced_close.as_mut()).is_pending() && evicted.closes_after_response());
    evicted.mark_sending_response(0);
    evicted.record_flush();
    forced_close.await;
}

/// An evicted connection that lingers after its close still counts against the budget, and is closed
/// completely as soon as another connection needs its descriptor.
#[tokio::test(start_paused = true)]
async fn lingering_connections_count_and_are_evicted_first() {
    let connections = room_for_six_connections();
    let slots: Vec<ConnectionSlot<'_>> =
        (0..6).filter_map(|_| connections.admit(NO_OTHER_PROCESSES)).collect();
    slots[0].connection.mark_kept_alive();
    let _admitted = connections.admit(NO_OTHER_PROCESSES).expect("the idle connection is evicted");
    slots[0].connection.wait_for_forced_close().await;
    slots[0].connection.trigger_close_check();
    slots[0].connection.start_lingering();
    {
        let forced_close = slots[0].connection.wait_for_forced_close();
        tokio::pin!(forced_close);
        assert!(
            futures_util::poll!(forced_close).is_pending(),
            "a notification from before lingering began does not count"
        );
    }
    assert!(connections.has_lingering() && lock_ignoring_poison(&connections.table).non_evicted_count() == 7);
    let paused_until = connections
        .accept_paused_until(NO_OTHER_PROCESSES)
        .expect("the close of the lingering connection alone is not enough");
    tokio::time::advance(paused_until - Instant::now()).await;
    let _next = connections.admit(NO_OTHER_PROCESSES).expect("two connections are evicted");
    slots[0].connection.wait_for_forced_close().await;
    assert_eq!(lock_ignoring_poison(&connections.table).non_evicted_count(), 6);
}

/// Memory limit of the process in bytes; more than these tests need.
const MEMORY_LIMIT: usize = 192 << 20;
const NO_OTHER_PROCESSES: OtherProcesses = OtherProcesses { count: 0, client_connections: 0 };

fn connections_with_limit(limit: usize, reserved: usize, workers: ConnectionCount) -> ClientConnections {
    ClientConnections::new(DescriptorBudget::new(limit, reserved, workers), MemoryBudget::new(MEMORY_LIMIT))
}

/// Returns an empty set of client connections with room for six connections, a quarter of the descriptor
/// limit.
fn room_for_six_connections() -> ClientConnections {
    connections_with_limit(24, 0, ConnectionCount::default())
}

/// A new client always finds a free descriptor, and connections to workers always keep a quarter of the
/// descriptors.
#[tokio::test]
async fn workers_get_what_clients_leave() {
    for limit in [64, 256, 512, 1024] {
        let connections = connections_with_limit(limit, 4, ConnectionCount::default());
        let mut slots = Vec::new();
        let mut previous_max_workers = usize::MAX;
        while let Some(slot) = connections.admit(NO_OTHER_PROCESSES).filter(|_| slots.len() < limit / 2) {
            slot.connection.mark_awaiting_response();
            slots.push(slot);
            let max_workers = connections.max_worker_connections(NO_OTHER_PROCESSES);
            assert!(
                max_workers <= previous_max_workers && max_workers >= limit / 4,
                "at most {max_workers} worker connections beside {} client connections of {limit}",
                slots.len()
            );
            let in_use = max_workers + slots.len() + 4 + PROCESS_DESCRIPTORS;
            assert!(max_workers == limit / 4 || in_use < limit, "{in_use} descriptors in use of {limit}");
            previous_max_workers = max_workers;
        }
    }
}

/// The cost of admitting a connection, and of the eviction that makes room for it, does not depend on the
/// number of open connections.
#[test]
fn the_cost_of_a_new_connection_does_not_grow_with_the_number_of_connections() {
    const NEW_CONNECTIONS: usize = 500;
    const ROUNDS: usize = 8;
    let full_table = |limit| {
        let connections = connections_with_limit(limit, 0, ConnectionCount::default());
        (0..limit).map_while(|_| connections.admit(NO_OTHER_PROCESSES)).for_each(|slot| {
            slot.connection.mark_kept_alive();
            std::mem::forget(slot);
        });
        connections
    };
    let time_admissions = |connections: &ClientConnections| {
        let start = std::time::Instant::now();
        for _ in 0..NEW_CONNECTIONS {
            assert_eq!(connections.accept_paused_until(NO_OTHER_PROCESSES), None);
            let admitted = connections.admit(NO_OTHER_PROCESSES).expect("an idle connection is evicted");
            admitted.connection.mark_kept_alive();
            std::mem::forget(admitted);
        }
        start.elapsed()
    };
    let mut elapsed = [Duration::ZERO; 2];
    for _ in 0..ROUNDS {
        // Each round uses new connection tables, since this test never closes a connection and evicted
        // connections thus stay in their table.
        for (elapsed, limit) in elapsed.iter_mut().zip([1_000, 16_000]) {
            *elapsed += time_admissions(&full_table(limit));
        }
    }
    let ratio = elapsed[1].as_secs_f64() / elapsed[0].as_secs_f64();
    assert!(ratio < 4.0, "{ratio:.1} times the cost with 16 times the connections: {elapsed:?}");
}
