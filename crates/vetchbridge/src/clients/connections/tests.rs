//! The budget of client connections: who makes room, and what is left to the workers.

use super::*;
use crate::clients::eviction::YOUNG;
use std::time::Duration;

/// Room is made by who has said nothing, then by who stopped half-way, then by who only stays.
#[tokio::test(start_paused = true)]
async fn the_silent_go_first_and_who_is_owed_an_answer_never() {
    let connections = of_six();
    let places: Vec<ConnectionSlot<'_>> = (0..6).filter_map(|_| connections.place(ALONE)).collect();
    let [owed, callback, kept, once, half, silent] = &places[..] else { panic!("six places") };
    owed.connection.owe();
    callback.connection.seen(b"POST /callback HTTP/1.1\r\n");
    half.connection.seen(b"POST /a");
    for (place, times) in [(kept, 2), (once, 1)] {
        for _ in 0..times {
            place.connection.seen(b"GET / HTTP/1.1\r\n\r\n");
            place.connection.answered();
            place.connection.flushed();
        }
    }
    tokio::time::advance(YOUNG).await;
    let mut newcomers = Vec::new();
    for leaves in [silent, half, once, kept] {
        newcomers.push(connections.place(ALONE).expect("room"));
        newcomers.last().unwrap().connection.owe();
        // A permit is there at once for the one that was chosen, and for no other.
        leaves.connection.ended().await;
    }
    assert!(connections.place(ALONE).is_none(), "nobody may be sent away for another");
    drop(newcomers.pop());
    assert!(connections.place(ALONE).is_some(), "a place is given back");
}

/// Clients have what the program and the workers leave, not a fixed half; what the workers come to need is given up.
#[tokio::test(start_paused = true)]
async fn clients_have_what_the_workers_leave_and_make_room_for_them() {
    let workers = ConnectionCount::default();
    let connections = ClientConnections::new(384, 16, workers.clone());
    let held: Vec<ConnectionGuard> = (0..46).map(|_| workers.register()).collect();
    let crowd: Vec<ConnectionSlot<'_>> = (0..400).map_while(|_| connections.place(ALONE)).collect();
    assert_eq!(crowd.len(), 384 - 16 - PROGRAM - 46 - 48);
    for place in &crowd {
        place.connection.keep();
    }
    assert!(connections.place(ALONE).is_some(), "they can be spared");
    let more: Vec<ConnectionGuard> = (0..100).map(|_| workers.register()).collect();
    connections.sweep(ALONE);
    assert_eq!(lock(&connections.table).staying(), crowd.len() - 100);
    drop((held, more));
    let budget = |processes| connections.budget(Elsewhere { processes, connections: 100 });
    assert_eq!(budget(0) - budget(1), PROGRAM);
}

/// In a burst, one newcomer does not take the place of another that has not had the time to speak.
#[tokio::test(start_paused = true)]
async fn a_connection_just_made_is_left_the_time_to_send_its_request() {
    let connections = of_six();
    let places: Vec<ConnectionSlot<'_>> = (0..6).filter_map(|_| connections.place(ALONE)).collect();
    assert!(connections.place(ALONE).is_none());
    let relief = connections.relief(ALONE).expect("they grow older");
    tokio::time::advance(relief - Instant::now()).await;
    assert_eq!(connections.relief(ALONE), None);
    places[0].connection.seen(b"POST /a");
    let _newcomer = connections.place(ALONE).expect("one that still says nothing makes room");
    places[1].connection.ended().await;
}

/// A client's next request may cross the choice of its connection to make room: it is answered, and no other.
#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_the_choice_is_answered_first() {
    let connections = of_six();
    let places: Vec<ConnectionSlot<'_>> = (0..6).filter_map(|_| connections.place(ALONE)).collect();
    places[0].connection.keep();
    let _newcomer = connections.place(ALONE).expect("the idle one makes room");
    let chosen = &places[0].connection;
    chosen.seen(b"POST /a HTTP/1.1\r\n\r\n");
    chosen.owe();
    let ended = chosen.ended();
    tokio::pin!(ended);
    assert!(futures_util::poll!(ended.as_mut()).is_pending() && chosen.last());
    chosen.answered();
    chosen.flushed();
    ended.await;
}

/// Who made room and has not gone yet is counted until it has, and goes at once when another needs its descriptor.
#[tokio::test(start_paused = true)]
async fn who_lingers_is_counted_and_goes_first() {
    let connections = of_six();
    let places: Vec<ConnectionSlot<'_>> = (0..6).filter_map(|_| connections.place(ALONE)).collect();
    places[0].connection.keep();
    let _newcomer = connections.place(ALONE).expect("the idle one makes room");
    places[0].connection.ended().await;
    places[0].connection.end();
    places[0].connection.linger();
    {
        let ended = places[0].connection.ended();
        tokio::pin!(ended);
        assert!(futures_util::poll!(ended).is_pending(), "what it was told before is past");
    }
    assert!(connections.linger() && lock(&connections.table).staying() == 7);
    let relief = connections.relief(ALONE).expect("its going alone makes no room");
    tokio::time::advance(relief - Instant::now()).await;
    let _next = connections.place(ALONE).expect("two make room");
    places[0].connection.ended().await;
    assert_eq!(lock(&connections.table).staying(), 6);
}

const ALONE: Elsewhere = Elsewhere { processes: 0, connections: 0 };

/// The least of limits: a quarter of it is the clients'.
fn of_six() -> ClientConnections {
    ClientConnections::new(24, 0, ConnectionCount::default())
}

/// Idle connections to workers have what the clients leave: clients find room as they come, and workers never lose all of theirs.
#[tokio::test]
async fn workers_have_what_the_clients_leave() {
    for limit in [64, 256, 512, 1024] {
        let connections = ClientConnections::new(limit, 4, ConnectionCount::default());
        let mut places = Vec::new();
        let mut before = usize::MAX;
        while let Some(place) = connections.place(ALONE).filter(|_| places.len() < limit / 2) {
            place.connection.owe();
            places.push(place);
            let left = connections.left_to_workers(ALONE);
            assert!(left <= before && left >= limit / 4, "{left} beside {} of {limit}", places.len());
            let in_use = left + places.len() + 4 + PROGRAM;
            assert!(left == limit / 4 || in_use < limit, "{in_use} of {limit}");
            before = left;
        }
    }
}

/// What a newcomer costs follows what changes, not how many connections there are.
#[test]
fn a_newcomer_costs_the_same_however_many_connections_there_are() {
    const NEWCOMERS: usize = 500;
    const ROUNDS: usize = 8;
    let full = |limit| {
        let connections = ClientConnections::new(limit, 0, ConnectionCount::default());
        (0..limit).map_while(|_| connections.place(ALONE)).for_each(|place| {
            place.connection.keep();
            std::mem::forget(place);
        });
        connections
    };
    let costs = |connections: &ClientConnections| {
        let began = std::time::Instant::now();
        for _ in 0..NEWCOMERS {
            assert_eq!(connections.relief(ALONE), None);
            let newcomer = connections.place(ALONE).expect("an idle one makes room");
            newcomer.connection.keep();
            std::mem::forget(newcomer);
        }
        began.elapsed()
    };
    let mut spent = [Duration::ZERO; 2];
    for _ in 0..ROUNDS {
        // Each round its own tables: those that made room stay in them here, since nobody closes them.
        for (spent, limit) in spent.iter_mut().zip([1_000, 16_000]) {
            *spent += costs(&full(limit));
        }
    }
    let ratio = spent[1].as_secs_f64() / spent[0].as_secs_f64();
    assert!(ratio < 4.0, "{ratio:.1} times the cost with 16 times the connections: {spent:?}");
}
