//! Client connections, all of them: the accepted sockets, those of the peers' callbacks included.
//!
//! Owns the budget of descriptors for them (what the limit leaves beside the program and the peers), and who makes room
//! when it is used up. It must never end a connection that says of itself that it can't be spared.

use super::connection::{ClientConnection, NEWCOMER};
use super::lock;
use crate::peers::Count;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// Descriptors that a process needs for itself: standard streams, runtime, listeners, signals, siblings, discovery and
/// a hand-over. One at rest holds 14.
const PROGRAM: usize = 24;
/// This share of the limit is left free for connections to peers that are still to be made.
const SPARE: usize = 8;
/// Clients have this share of the limit whatever the peers hold.
const AT_LEAST: usize = 4;
/// Connections to peers beyond this share of the limit are not kept when they are idle.
const KEPT: usize = 4;

/// How many connections to peers a process that may hold so many descriptors has before it closes idle ones.
pub fn kept_to_peers(limit: usize) -> usize {
    limit / KEPT
}

/// What other processes of this scheduler hold of the same budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct Elsewhere {
    /// How many there are.
    pub processes: usize,
    /// Their client connections.
    pub connections: usize,
}

#[derive(Default)]
struct Table {
    open: BTreeMap<u64, Arc<ClientConnection>>,
    next: u64,
}

impl Table {
    fn staying(&self) -> usize {
        self.open.values().filter(|c| c.stays()).count()
    }

    /// Sends away the connection that can best be spared, of those that rank no higher; false if there is none.
    fn make_room(&self, highest: u32, now: Instant) -> bool {
        let spare = self.open.values().filter_map(|c| Some((c.spare(now)?, c)));
        let first = spare.filter(|((rank, _), _)| *rank <= highest).min_by_key(|(place, _)| *place);
        first.iter().for_each(|(_, connection)| connection.choose());
        first.is_some()
    }
}

/// See the head of this file.
pub struct ClientConnections {
    /// The most descriptors that the process may hold, and how many are set aside.
    limit: usize,
    aside: usize,
    /// Connections to peers.
    peers: Count,
    table: Mutex<Table>,
}

/// A connection's place in the budget.
pub struct Place<'a> {
    owner: &'a ClientConnections,
    number: u64,
    /// The connection that holds it.
    pub connection: Arc<ClientConnection>,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        lock(&self.owner.table).open.remove(&self.number);
    }
}

impl ClientConnections {
    /// Connections of a process that may hold `limit` descriptors, of which so many are set `aside` beside
    /// [`PROGRAM`]; the connections to `peers` share the rest with them.
    pub fn new(limit: usize, aside: usize, peers: Count) -> ClientConnections {
        ClientConnections { limit, aside, peers, table: Mutex::default() }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        lock(&self.table).open.len()
    }

    /// How many there may be here.
    fn budget(&self, elsewhere: Elsewhere) -> usize {
        let taken = self.aside + PROGRAM * (1 + elsewhere.processes) + self.peers.get() + self.limit / SPARE;
        let clients = self.limit.saturating_sub(taken).max(self.limit / AT_LEAST);
        clients.saturating_sub(elsewhere.connections)
    }

    /// When a new connection can have the place of one that is too young to go now, if there is no other place.
    pub fn relief(&self, elsewhere: Elsewhere) -> Option<Instant> {
        let (now, table) = (Instant::now(), lock(&self.table));
        let over = (table.staying() + 1).saturating_sub(self.budget(elsewhere));
        let room = table.open.values().filter(|c| c.spare(now).is_some()).count() >= over;
        let fresh = table.open.values().filter_map(|c| c.fresh(now)).min();
        fresh.filter(|_| !room)
    }

    /// A place for a new connection, if need be that of one that can be spared; `None` if there is none.
    pub fn place(&self, elsewhere: Elsewhere) -> Option<Place<'_>> {
        let table = &mut *lock(&self.table);
        // Those that made room for others before and have not gone yet hold descriptors as well.
        while table.staying() >= self.budget(elsewhere) {
            if !table.make_room(NEWCOMER, Instant::now()) {
                return None;
            }
        }
        table.next += 1;
        let (number, connection) = (table.next, Arc::new(ClientConnection::new()));
        table.open.insert(number, connection.clone());
        Some(Place { owner: self, number, connection })
    }

    /// Whether any connection owes an answer, or may still be sending one.
    pub fn owe(&self) -> bool {
        let now = Instant::now();
        lock(&self.table).open.values().any(|c| c.owes(now))
    }

    /// Whether any is closed on our side and may still take its last answer in.
    pub fn linger(&self) -> bool {
        lock(&self.table).open.values().any(|c| c.lingers())
    }

    /// Ends the connections that have used up their time, and those that the peers' connections need the room of.
    pub fn sweep(&self, elsewhere: Elsewhere) {
        let (now, table) = (Instant::now(), lock(&self.table));
        table.open.values().filter(|c| c.overdue(now)).for_each(|c| c.end());
        let over = table.staying().saturating_sub(self.budget(elsewhere));
        _ = (0..over).all(|_| table.make_room(NEWCOMER - 1, now));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clients::connection::YOUNG;
    use crate::peers::Counted;

    /// Room is made by who has said nothing, then by who stopped half-way, then by who only stays.
    #[tokio::test(start_paused = true)]
    async fn the_silent_go_first_and_who_is_owed_an_answer_never() {
        let connections = of_six();
        let places: Vec<Place<'_>> = (0..6).filter_map(|_| connections.place(ALONE)).collect();
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

    /// Clients have what the program and the peers leave, not a fixed half; what the peers come to need is given up.
    #[tokio::test(start_paused = true)]
    async fn clients_have_what_the_peers_leave_and_make_room_for_them() {
        let peers = Count::default();
        let connections = ClientConnections::new(384, 16, peers.clone());
        let held: Vec<Counted> = (0..46).map(|_| peers.one()).collect();
        let crowd: Vec<Place<'_>> = (0..400).map_while(|_| connections.place(ALONE)).collect();
        assert_eq!(crowd.len(), 384 - 16 - PROGRAM - 46 - 48);
        for place in &crowd {
            place.connection.keep();
        }
        assert!(connections.place(ALONE).is_some(), "they can be spared");
        let more: Vec<Counted> = (0..100).map(|_| peers.one()).collect();
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
        let places: Vec<Place<'_>> = (0..6).filter_map(|_| connections.place(ALONE)).collect();
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
        let places: Vec<Place<'_>> = (0..6).filter_map(|_| connections.place(ALONE)).collect();
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
        let places: Vec<Place<'_>> = (0..6).filter_map(|_| connections.place(ALONE)).collect();
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
        ClientConnections::new(24, 0, Count::default())
    }
}
