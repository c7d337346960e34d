//! Client connections: the accepted sockets, those of the peers' callbacks included.
//!
//! Owns the budget of descriptors for them (what the limit leaves beside the program and the peers), the time that a
//! request may take to arrive, and a watch on how requests are framed, of which hyper leaves no trace. It knows what
//! each connection is doing, not what its requests say. It must never end a connection that owes an answer or brings a
//! callback to make room, nor one that has just been made.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A request is whole this long after its connection was made, or after its first byte on one that is kept.
/// Who is slower is owed an end within 3 s.
pub const ARRIVAL: Duration = Duration::from_millis(2500);
/// How long an answer may take to leave; a client that does not read must not keep its descriptor.
const LEAVING: Duration = Duration::from_secs(10);
/// A connection younger than this may have its first bytes on the way.
const YOUNG: Duration = Duration::from_millis(250);
/// A connection younger than this makes room for nobody: it has not had the time to send anything.
const FRESH: Duration = Duration::from_millis(10);
/// Descriptors that a process needs for itself: standard streams, runtime, listeners, signals, siblings, discovery and
/// a hand-over. One at rest holds 14.
pub const PROGRAM: usize = 24;
/// This share of the limit is left free for connections to peers that are still to be made.
const SPARE: usize = 8;
/// Clients have this share of the limit whatever the peers hold.
const AT_LEAST: usize = 4;
/// The longest head; also hyper's read buffer, which bounds the memory that a connection takes.
pub const HEAD_LIMIT: usize = 8 * 1024;
/// The most header lines, as hyper has it.
const MAX_HEADERS: usize = 100;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Not one byte has come.
    Silent,
    /// A request has begun and is not whole.
    Arriving,
    /// An answer is owed.
    Owing,
    /// The answer is on its way out.
    Answering,
    /// Between requests.
    Idle,
}

/// Where in a client's bytes the watch stands.
#[derive(Debug, PartialEq, Eq)]
enum Framing {
    /// In a head, with what has come of it.
    Head(Vec<u8>),
    /// In a body, with this many bytes to come.
    Body(u64),
    /// Past what the watch can follow; the connection ends with the answer that is due.
    Unwatched,
}

/// What the framing told of a connection's requests.
#[derive(Debug)]
struct Watch {
    framing: Framing,
    /// A request had both a `Content-Length` and a `Transfer-Encoding`: another may hide in its body.
    ambiguous: bool,
    /// The request in hand is a callback.
    callback: bool,
}

impl Watch {
    fn new() -> Watch {
        Watch { framing: Framing::Head(Vec::new()), ambiguous: false, callback: false }
    }

    fn between_requests(&self) -> bool {
        matches!(&self.framing, Framing::Head(head) if head.is_empty())
    }

    /// Reads on, with the parser that hyper uses, so that both see the same heads.
    fn see(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.framing {
                Framing::Unwatched => return,
                Framing::Body(left) => {
                    let here = bytes.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= here as u64;
                    bytes = &bytes[here..];
                    if *left == 0 {
                        self.framing = Framing::Head(Vec::new());
                    }
                }
                Framing::Head(head) => {
                    let before = head.len();
                    head.extend_from_slice(bytes);
                    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
                    let mut request = httparse::Request::new(&mut headers);
                    let next = match request.parse(head) {
                        Ok(httparse::Status::Partial) if head.len() <= HEAD_LIMIT => {
                            self.callback = head.starts_with(b"POST /callback");
                            return;
                        }
                        Ok(httparse::Status::Complete(length)) => {
                            let named = |name: &str| {
                                let mut lines = request.headers.iter();
                                lines.find(|h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
                            };
                            self.callback = request.path == Some("/callback");
                            let size = named("content-length");
                            if named("transfer-encoding").is_some() {
                                self.ambiguous |= size.is_some();
                                (Framing::Unwatched, length)
                            } else {
                                let size = size.and_then(|value| std::str::from_utf8(value).ok());
                                match size.map_or(Ok(0), |value| value.trim().parse()) {
                                    Ok(0) => (Framing::Head(Vec::new()), length),
                                    Ok(size) => (Framing::Body(size), length),
                                    Err(_) => (Framing::Unwatched, length),
                                }
                            }
                        }
                        // Too long, or no head at all: hyper answers that itself and closes.
                        Ok(httparse::Status::Partial) | Err(_) => (Framing::Unwatched, head.len()),
                    };
                    bytes = &bytes[next.1 - before..];
                    self.framing = next.0;
                }
            }
        }
    }
}

struct State {
    stage: Stage,
    /// Since when it is in this stage; a request's time counts from its connection's first moment.
    since: Instant,
    answered: u32,
    /// What it was doing when it was chosen to make room, if it was.
    chosen: Option<Stage>,
    watch: Watch,
}

/// One accepted connection.
pub struct ClientConnection {
    state: Mutex<State>,
    ended: Notify,
    rests: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ClientConnection {
    fn new() -> ClientConnection {
        let (stage, since, watch) = (Stage::Silent, Instant::now(), Watch::new());
        let state = State { stage, since, answered: 0, chosen: None, watch };
        ClientConnection { state: Mutex::new(state), ended: Notify::new(), rests: Notify::new() }
    }

    /// Resolves when the connection must end now. One whose request came whole after it was chosen to make room
    /// ends with its answer.
    pub async fn ended(&self) {
        loop {
            self.ended.notified().await;
            let (overdue, state) = (self.overdue(Instant::now()), lock(&self.state));
            match state.stage {
                Stage::Silent | Stage::Idle => return,
                Stage::Arriving if overdue || state.chosen == Some(Stage::Arriving) => return,
                Stage::Answering if overdue => return,
                Stage::Arriving | Stage::Owing | Stage::Answering => {}
            }
        }
    }

    /// Resolves while the connection is between requests, not one byte of the next having been read.
    pub async fn rests(&self) {
        loop {
            let rests = self.rests.notified();
            if matches!(lock(&self.state).stage, Stage::Silent | Stage::Idle) {
                return;
            }
            rests.await;
        }
    }

    /// When the request that is arriving must be whole.
    pub fn due(&self) -> Instant {
        lock(&self.state).since + ARRIVAL
    }

    /// Whether another request may hide in the body of one that came here.
    pub fn ambiguous(&self) -> bool {
        lock(&self.state).watch.ambiguous
    }

    /// Whether the answer in hand is its last: its next request could not be watched, or it makes room.
    pub fn last(&self) -> bool {
        let state = lock(&self.state);
        state.watch.framing == Framing::Unwatched || state.chosen.is_some()
    }

    fn stays(&self) -> bool {
        lock(&self.state).chosen.is_none()
    }

    /// It is to make room.
    fn choose(&self) {
        let state = &mut *lock(&self.state);
        state.chosen = Some(state.stage);
        self.ended.notify_one();
    }

    /// Another process has answered on it already.
    pub fn keep(&self) {
        let state = &mut *lock(&self.state);
        (state.stage, state.answered) = (Stage::Idle, 1);
    }

    /// Whether it has had an answer already.
    pub fn kept(&self) -> bool {
        lock(&self.state).answered > 0
    }

    /// The request is whole, an answer is owed.
    pub fn owe(&self) {
        lock(&self.state).stage = Stage::Owing;
    }

    /// The answer has been made.
    pub fn answered(&self) {
        let state = &mut *lock(&self.state);
        (state.stage, state.since) = (Stage::Answering, Instant::now());
        state.answered += 1;
    }

    fn seen(&self, bytes: &[u8]) {
        let state = &mut *lock(&self.state);
        state.watch.see(bytes);
        match state.stage {
            // The time counts from connecting.
            Stage::Silent => state.stage = Stage::Arriving,
            Stage::Idle => (state.stage, state.since) = (Stage::Arriving, Instant::now()),
            Stage::Arriving | Stage::Owing | Stage::Answering => {}
        }
    }

    fn flushed(&self) {
        let state = &mut *lock(&self.state);
        if state.stage == Stage::Answering {
            state.stage = if state.watch.between_requests() { Stage::Idle } else { Stage::Arriving };
            state.since = Instant::now();
            self.rests.notify_waiters();
            if state.chosen.is_some() {
                self.ended.notify_one();
            }
        }
    }

    /// Whether it has used up its time.
    fn overdue(&self, now: Instant) -> bool {
        let state = lock(&self.state);
        match state.stage {
            Stage::Silent | Stage::Arriving => now >= state.since + ARRIVAL,
            Stage::Answering => now >= state.since + LEAVING,
            Stage::Owing | Stage::Idle => false,
        }
    }

    fn owes(&self, now: Instant) -> bool {
        let state = lock(&self.state);
        state.stage == Stage::Owing || state.stage == Stage::Answering && now < state.since + YOUNG
    }

    /// Until when it is too young to go, if it is.
    fn fresh(&self, now: Instant) -> Option<Instant> {
        let state = lock(&self.state);
        Some(state.since + FRESH).filter(|until| state.stage == Stage::Silent && now < *until)
    }

    /// Its place among those that may go to make room, the first to go lowest; `None`: it stays.
    fn spare(&self, now: Instant) -> Option<(u32, Instant)> {
        let state = lock(&self.state);
        let older_than = |age| now >= state.since + age;
        let rank = match state.stage {
            _ if state.chosen.is_some() => return None,
            Stage::Silent if older_than(YOUNG) => 0,
            Stage::Arriving if older_than(YOUNG) && !state.watch.callback => 1,
            // A peer's next callback is worth more than a client that can connect again.
            Stage::Idle if state.watch.callback => 4,
            // One that has asked again and again is a better guest than one that asked once and stayed.
            Stage::Idle if state.answered <= 1 => 2,
            Stage::Idle => 3,
            Stage::Silent if older_than(FRESH) => NEWCOMER,
            Stage::Silent | Stage::Arriving | Stage::Owing | Stage::Answering => return None,
        };
        Some((rank, state.since))
    }
}

/// The last to make room, and only for another newcomer.
const NEWCOMER: u32 = 5;

/// What other processes of this scheduler hold of the same budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct Elsewhere {
    /// How many there are.
    pub processes: usize,
    /// Their client connections.
    pub connections: usize,
}

/// How many of a kind there are.
#[derive(Clone, Default)]
pub struct Count(Arc<AtomicUsize>);

/// One of those that a [`Count`] counts, until it is dropped.
pub struct Counted(Arc<AtomicUsize>);

impl Count {
    /// One more.
    pub fn one(&self) -> Counted {
        self.0.fetch_add(1, Ordering::Relaxed);
        Counted(self.0.clone())
    }

    /// How many there are.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
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
        let room =
            table.staying() < self.budget(elsewhere) || table.open.values().any(|c| c.spare(now).is_some());
        let fresh = table.open.values().filter_map(|c| c.fresh(now)).min();
        fresh.filter(|_| !room)
    }

    /// A place for a new connection, if need be that of one that can be spared; `None` if there is none.
    pub fn place(&self, elsewhere: Elsewhere) -> Option<Place<'_>> {
        let table = &mut *lock(&self.table);
        if table.staying() >= self.budget(elsewhere) && !table.make_room(NEWCOMER, Instant::now()) {
            return None;
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

    /// Ends the connections that have used up their time, and those that the peers' connections need the room of.
    pub fn sweep(&self, elsewhere: Elsewhere) {
        let (now, table) = (Instant::now(), lock(&self.table));
        table.open.values().filter(|c| c.overdue(now)).for_each(|c| c.ended.notify_one());
        let over = table.staying().saturating_sub(self.budget(elsewhere));
        _ = (0..over).all(|_| table.make_room(NEWCOMER - 1, now));
    }
}

/// A client connection's bytes, watched on their way.
pub struct Watched {
    /// The socket.
    pub stream: TcpStream,
    /// Whose it is.
    pub connection: Arc<ClientConnection>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.connection.seen(&buffer.filled()[before..]);
        }
        read
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if let Poll::Ready(Ok(())) = flushed {
            self.connection.flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn watched(parts: &[&str]) -> Watch {
        let mut watch = Watch::new();
        parts.iter().for_each(|part| watch.see(part.as_bytes()));
        watch
    }

    /// hyper drops the length where both stand; whoever believes it would see another request in the body.
    #[test]
    fn a_length_beside_a_transfer_encoding_is_seen_wherever_it_stands() {
        let (length, chunked) = ("Content-Length: 4\r\n", "transfer-encoding: chunked\r\n");
        for (headers, ambiguous) in [
            (format!("{length}{chunked}"), true),
            (format!("{chunked}{length}"), true),
            (length.to_string(), false),
            (chunked.to_string(), false),
        ] {
            let before = "POST /a/b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
            let whole = format!("{before}POST /a/b HTTP/1.1\r\n{headers}\r\n");
            for cut in 0..whole.len() {
                let watch = watched(&[&whole[..cut], &whole[cut..]]);
                assert_eq!(watch.ambiguous, ambiguous, "{whole} cut at {cut}");
            }
        }
        assert!(watched(&["GET /health/ready HTTP/1.1\r\n\r\n"]).between_requests());
        assert!(!watched(&["POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nx"]).between_requests());
        assert_eq!(watched(&["POST / HTTP/1.1\r\n", &"a: b\r\n".repeat(3000)]).framing, Framing::Unwatched);
    }

    /// The time of a request counts over its head and body, and from connecting for the first.
    #[tokio::test(start_paused = true)]
    async fn a_request_that_does_not_arrive_is_overdue_and_one_that_is_owed_an_answer_never() {
        let connection = ClientConnection::new();
        let after = |share: f64| Instant::now() + ARRIVAL.mul_f64(share);
        tokio::time::advance(ARRIVAL / 2).await;
        connection.seen(b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\n");
        assert!(!connection.overdue(after(0.4)) && connection.overdue(after(0.5)));
        connection.owe();
        assert!(!connection.overdue(after(100.0)));
        connection.answered();
        connection.flushed();
        connection.seen(b"xx");
        assert!(connection.overdue(after(1.0)), "what is left of a body is a request that has not arrived");
    }

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

    const ALONE: Elsewhere = Elsewhere { processes: 0, connections: 0 };

    /// The least of limits: a quarter of it is the clients'.
    fn of_six() -> ClientConnections {
        ClientConnections::new(24, 0, Count::default())
    }
}
