//! Admission and eviction of client connections, and the share that is left to connections to workers.

use super::*;
use crate::clients::budget::PROCESS_DESCRIPTORS;
use crate::clients::eviction::MIN_AGE;
use std::time::Duration;

/// New connections are evicted first, then those with part of a request, then idle ones.
#[tokio::test(start_paused = true)]
async fn new_connections_are_evicted_first_and_those_that_await_a_response_never() {
    let connections = six_connections();
    let slots: Vec<ConnectionSlot<'_>> = (0..6).filter_map(|_| connections.admit(ALONE)).collect();
    let [awaiting, callback, kept_alive, once, partial, new] = &slots[..] else { panic!("six slots") };
    awaiting.connection.mark_awaiting_response();
    callback.connection.record_received(b"POST /callback HTTP/1.1\r\n");
    partial.connection.record_received(b"POST /a");
    for (slot, times) in [(kept_alive, 2), (once, 1)] {
        for _ in 0..times {
            slot.connection.record_received(b"GET / HTTP/1.1\r\n\r\n");
            slot.connection.mark_sending_response();
            slot.connection.record_flush();
        }
    }
    tokio::time::advance(MIN_AGE).await;
    let mut admitted = Vec::new();
    for evicted in [new, partial, once, kept_alive] {
        admitted.push(connections.admit(ALONE).expect("an eviction"));
        admitted.last().unwrap().connection.mark_awaiting_response();
        // Resolves at once for the one that was chosen, and for no other.
        evicted.connection.wait_for_forced_close().await;
    }
    assert!(connections.admit(ALONE).is_none(), "no other may be evicted");
    drop(admitted.pop());
    assert!(connections.admit(ALONE).is_some(), "a slot is released");
}

/// The clients' share is what the process and the workers leave, not a fixed half.
#[tokio::test(start_paused = true)]
async fn clients_get_what_workers_leave_and_are_evicted_when_workers_need_more() {
    let workers = ConnectionCount::default();
    let connections = connections_within(384, 16, workers.clone());
    let in_use: Vec<ConnectionGuard> = (0..46).map(|_| workers.register()).collect();
    let admitted: Vec<ConnectionSlot<'_>> = (0..400).map_while(|_| connections.admit(ALONE)).collect();
    assert_eq!(admitted.len(), 384 - 16 - PROCESS_DESCRIPTORS - 46 - 48);
    for slot in &admitted {
        slot.connection.mark_kept_alive();
    }
    assert!(connections.admit(ALONE).is_some(), "idle ones can be evicted");
    let more: Vec<ConnectionGuard> = (0..100).map(|_| workers.register()).collect();
    connections.enforce_limits(ALONE);
    assert_eq!(lock(&connections.table).remaining(), admitted.len() - 100);
    drop((in_use, more));
    let max_clients =
        |count| connections.budget.max_client_connections(OtherProcesses { count, connections: 100 });
    assert_eq!(max_clients(0) - max_clients(1), PROCESS_DESCRIPTORS);
}

/// In a burst, one new connection does not evict another that had no time to send anything.
#[tokio::test(start_paused = true)]
async fn a_new_connection_has_time_to_send_its_request_before_it_is_evicted() {
    let connections = six_connections();
    let slots: Vec<ConnectionSlot<'_>> = (0..6).filter_map(|_| connections.admit(ALONE)).collect();
    assert!(connections.admit(ALONE).is_none());
    let eviction_at = connections.next_eviction_at(ALONE).expect("they grow old enough");
    tokio::time::advance(eviction_at - Instant::now()).await;
    assert_eq!(connections.next_eviction_at(ALONE), None);
    slots[0].connection.record_received(b"POST /a");
    let _admitted = connections.admit(ALONE).expect("one that has sent nothing is evicted");
    slots[1].connection.wait_for_forced_close().await;
}

/// A client's next request may arrive while its connection is chosen for eviction: it gets its response, and no other.
#[tokio::test(start_paused = true)]
async fn a_request_that_arrives_during_the_eviction_gets_its_response_first() {
    let connections = six_connections();
    let slots: Vec<ConnectionSlot<'_>> = (0..6).filter_map(|_| connections.admit(ALONE)).collect();
    slots[0].connection.mark_kept_alive();
    let _admitted = connections.admit(ALONE).expect("the idle one is evicted");
    let evicted = &slots[0].connection;
    evicted.record_received(b"POST /a HTTP/1.1\r\n\r\n");
    evicted.mark_awaiting_response();
    let forced_close = evicted.wait_for_forced_close();
    tokio::pin!(forced_close);
    assert!(futures_util::poll!(forced_close.as_mut()).is_pending() && evicted.closes_after_response());
    evicted.mark_sending_response();
    evicted.record_flush();
    forced_close.await;
}

/// An evicted connection counts until it has closed, and closes at once when another needs its descriptor.
#[tokio::test(start_paused = true)]
async fn lingering_connections_count_and_are_evicted_first() {
    let connections = six_connections();
    let slots: Vec<ConnectionSlot<'_>> = (0..6).filter_map(|_| connections.admit(ALONE)).collect();
    slots[0].connection.mark_kept_alive();
    let _admitted = connections.admit(ALONE).expect("the idle one is evicted");
    slots[0].connection.wait_for_forced_close().await;
    slots[0].connection.check_close();
    slots[0].connection.start_lingering();
    {
        let forced_close = slots[0].connection.wait_for_forced_close();
        tokio::pin!(forced_close);
        assert!(futures_util::poll!(forced_close).is_pending(), "an earlier notification no longer counts");
    }
    assert!(connections.has_lingering() && lock(&connections.table).remaining() == 7);
    let eviction_at = connections.next_eviction_at(ALONE).expect("its closing alone is not enough");
    tokio::time::advance(eviction_at - Instant::now()).await;
    let _next = connections.admit(ALONE).expect("two are evicted");
    slots[0].connection.wait_for_forced_close().await;
    assert_eq!(lock(&connections.table).remaining(), 6);
}

const ALONE: OtherProcesses = OtherProcesses { count: 0, connections: 0 };

fn connections_within(limit: usize, reserved: usize, workers: ConnectionCount) -> ClientConnections {
    ClientConnections::new(DescriptorBudget::new(limit, reserved, workers))
}

/// Connections of which there may be six, a quarter of the limit.
fn six_connections() -> ClientConnections {
    connections_within(24, 0, ConnectionCount::default())
}

/// New clients are admitted at any time, and workers never lose all of their idle connections.
#[tokio::test]
async fn workers_get_what_clients_leave() {
    for limit in [64, 256, 512, 1024] {
        let connections = connections_within(limit, 4, ConnectionCount::default());
        let mut slots = Vec::new();
        let mut before = usize::MAX;
        while let Some(slot) = connections.admit(ALONE).filter(|_| slots.len() < limit / 2) {
            slot.connection.mark_awaiting_response();
            slots.push(slot);
            let max_workers = connections.max_worker_connections(ALONE);
            assert!(
                max_workers <= before && max_workers >= limit / 4,
                "{max_workers} beside {} of {limit}",
                slots.len()
            );
            let in_use = max_workers + slots.len() + 4 + PROCESS_DESCRIPTORS;
            assert!(max_workers == limit / 4 || in_use < limit, "{in_use} of {limit}");
            before = max_workers;
        }
    }
}

/// The cost follows what changes.
#[test]
fn the_cost_of_a_new_connection_does_not_grow_with_the_number_of_connections() {
    const NEW_CONNECTIONS: usize = 500;
    const ROUNDS: usize = 8;
    let full = |limit| {
        let connections = connections_within(limit, 0, ConnectionCount::default());
        (0..limit).map_while(|_| connections.admit(ALONE)).for_each(|slot| {
            slot.connection.mark_kept_alive();
            std::mem::forget(slot);
        });
        connections
    };
    let costs = |connections: &ClientConnections| {
        let start = std::time::Instant::now();
        for _ in 0..NEW_CONNECTIONS {
            assert_eq!(connections.next_eviction_at(ALONE), None);
            let admitted = connections.admit(ALONE).expect("an idle one is evicted");
            admitted.connection.mark_kept_alive();
            std::mem::forget(admitted);
        }
        start.elapsed()
    };
    let mut spent = [Duration::ZERO; 2];
    for _ in 0..ROUNDS {
        // New tables each round: evicted connections stay in them here, since nothing closes them.
        for (spent, limit) in spent.iter_mut().zip([1_000, 16_000]) {
            *spent += costs(&full(limit));
        }
    }
    let ratio = spent[1].as_secs_f64() / spent[0].as_secs_f64();
    assert!(ratio < 4.0, "{ratio:.1} times the cost with 16 times the connections: {spent:?}");
}
