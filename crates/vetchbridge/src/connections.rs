//! Client connections: the accepted sockets, those of the peers' callbacks included.
//!
//! Owns the budget of descriptors for them, the time that a request may take to arrive, and a watch on how
//! requests are framed, of which hyper leaves no trace. It knows what each connection is doing, not what its
//! requests say. It must never end a connection that owes an answer or brings a callback to make room.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
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
        let state = State { stage: Stage::Silent, since: Instant::now(), answered: 0, watch: Watch::new() };
        ClientConnection { state: Mutex::new(state), ended: Notify::new(), rests: Notify::new() }
    }

    /// Resolves when the connection must end now.
    pub async fn ended(&self) {
        self.ended.notified().await;
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

    /// Whether its next request could not be watched: the answer in hand is its last.
    pub fn last(&self) -> bool {
        lock(&self.state).watch.framing == Framing::Unwatched
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

    /// Its place among those that may go to make room, the first to go lowest; `None`: it stays.
    fn spare(&self, now: Instant) -> Option<(u32, Instant)> {
        let state = lock(&self.state);
        let young = now < state.since + YOUNG;
        let rank = match state.stage {
            Stage::Silent if !young => 0,
            Stage::Arriving if !young && !state.watch.callback => 1,
            // One that has asked again and again is a better guest than one that asked once and stayed.
            Stage::Idle if state.answered <= 1 => 2,
            Stage::Idle => 3,
            Stage::Silent => 4,
            Stage::Arriving | Stage::Owing | Stage::Answering => return None,
        };
        Some((rank, state.since))
    }
}

#[derive(Default)]
struct Table {
    open: BTreeMap<u64, Arc<ClientConnection>>,
    next: u64,
}

/// See the head of this file.
pub struct ClientConnections {
    budget: usize,
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
    /// Room for this many connections.
    pub fn new(budget: usize) -> ClientConnections {
        ClientConnections { budget, table: Mutex::default() }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        lock(&self.table).open.len()
    }

    /// A place for a new connection, if need be that of one that can be spared; `None` if there is none. So many
    /// places are taken `elsewhere`.
    pub fn place(&self, elsewhere: usize) -> Option<Place<'_>> {
        let table = &mut *lock(&self.table);
        if table.open.len() + elsewhere >= self.budget {
            let now = Instant::now();
            let spare = table.open.iter().filter_map(|(number, c)| Some((c.spare(now)?, *number)));
            let (_, number) = spare.min()?;
            table.open.remove(&number)?.ended.notify_one();
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

    /// Ends the connections that have used up their time.
    pub fn sweep(&self) {
        let now = Instant::now();
        lock(&self.table).open.values().filter(|c| c.overdue(now)).for_each(|c| c.ended.notify_one());
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
        let connections = ClientConnections::new(6);
        let places: Vec<Place<'_>> = (0..6).filter_map(|_| connections.place(0)).collect();
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
            newcomers.push(connections.place(0).expect("room"));
            newcomers.last().unwrap().connection.owe();
            // A permit is there at once for the one that was chosen, and for no other.
            leaves.connection.ended().await;
        }
        assert!(connections.place(0).is_none(), "nobody may be sent away for another");
        drop(newcomers.pop());
        assert!(connections.place(0).is_some(), "a place is given back");
    }
}
