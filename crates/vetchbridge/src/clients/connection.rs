//! One client connection: what it is doing, and since when.
//!
//! Owns the time that a request may take to arrive and an answer to leave, what a client writes before its turn, the order
//! in which connections can be spared, and how one is closed. It knows nothing of what requests say. It must never name
//! one as spare that owes an answer or brings a callback, nor one that has just been made.

use super::eviction::{Group, SpareOrder, Standing, YOUNG};
use super::framing::{RequestFraming, MAX_HEAD_BYTES};
use super::lock;
use crate::net::RetryingStream;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// A request is whole this long after its connection was made, or after its first byte on one that is kept.
/// Who is slower is owed an end within 3 s.
const ARRIVAL: Duration = Duration::from_millis(2500);
/// How long an answer may take to leave; a client that does not read must not keep its descriptor.
const LEAVING: Duration = Duration::from_secs(10);
/// How long what a client still writes is read and dropped after our last word: to close on what is unread would take that
/// word back. Short enough for the last answers before SIGKILL.
const LINGER: Duration = Duration::from_millis(300);
/// The most that is read and dropped then.
const DROPPED: usize = 1 << 20;
/// What follows a request in hand is read in pieces of this size.
const PIECE: usize = 512;

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
    /// Our side is closed, and nothing that comes is listened to.
    Lingering,
}

struct State {
    stage: Stage,
    /// Since when it is in this stage; a request's time counts from its connection's first moment.
    since: Instant,
    answered: u32,
    /// What it was doing when it was chosen to make room, if it was.
    chosen: Option<Stage>,
    watch: RequestFraming,
    /// The request in hand has been read to its last byte.
    whole: bool,
    /// What the client wrote after that, for the time when it has been answered.
    ahead: Vec<u8>,
    /// There was more of it than is kept: the answer in hand is the last.
    overrun: bool,
}

impl State {
    /// Where it stands in the order in which connections make room; `None`: it can't be spared.
    fn standing(&self) -> Standing {
        let group = match self.stage {
            _ if self.chosen.is_some() => return None,
            Stage::Lingering => Group::Lingering,
            Stage::Silent => Group::Silent,
            Stage::Arriving if !self.watch.is_callback => Group::Arriving,
            Stage::Idle if self.watch.is_callback => Group::IdleCallback,
            Stage::Idle if self.answered <= 1 => Group::IdleOnce,
            Stage::Idle => Group::IdleKept,
            Stage::Arriving | Stage::Owing | Stage::Answering => return None,
        };
        Some((group, self.since))
    }

    fn see(&mut self, bytes: &[u8]) -> usize {
        let own = self.watch.advance(bytes);
        self.whole = own > 0 && self.watch.is_request_complete();
        match self.stage {
            // The time counts from connecting.
            Stage::Silent => self.stage = Stage::Arriving,
            Stage::Idle => (self.stage, self.since) = (Stage::Arriving, Instant::now()),
            Stage::Arriving | Stage::Owing | Stage::Answering | Stage::Lingering => {}
        }
        own
    }
}

/// One accepted connection.
pub struct ClientConnection {
    number: u64,
    state: Mutex<State>,
    order: Arc<Mutex<SpareOrder>>,
    ended: Notify,
    rests: Notify,
}

impl ClientConnection {
    /// One that has just been made; its number is its own in the order.
    pub(super) fn new(number: u64, order: Arc<Mutex<SpareOrder>>) -> ClientConnection {
        let (stage, since, watch) = (Stage::Silent, Instant::now(), RequestFraming::new());
        let (ahead, whole, overrun) = (Vec::new(), false, false);
        let state = State { stage, since, answered: 0, chosen: None, watch, whole, ahead, overrun };
        lock(&order).move_to(number, None, state.standing());
        let (ended, rests) = (Notify::new(), Notify::new());
        ClientConnection { number, state: Mutex::new(state), order, ended, rests }
    }

    /// Changes what it is doing, and its place in the order with that.
    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let state = &mut *lock(&self.state);
        let (before, was_leaving) = (state.standing(), state.chosen.is_some());
        let changed = change(state);
        let (after, leaves) = (state.standing(), state.chosen.is_some());
        if (before, was_leaving) != (after, leaves) {
            let order = &mut *lock(&self.order);
            order.move_to(self.number, before, after);
            order.leaving = order.leaving + usize::from(leaves) - usize::from(was_leaving);
        }
        changed
    }

    /// Resolves when the connection must end now. One whose request came whole after it was chosen to make room
    /// ends with its answer.
    pub async fn ended(&self) {
        loop {
            self.ended.notified().await;
            let (overdue, state) = (self.overdue(Instant::now()), lock(&self.state));
            match state.stage {
                Stage::Silent | Stage::Idle => return,
                // Chosen since then; a call of before that found it answering counts no more.
                Stage::Lingering if state.chosen.is_some() => return,
                Stage::Arriving if overdue || state.chosen == Some(Stage::Arriving) => return,
                Stage::Answering if overdue => return,
                Stage::Arriving | Stage::Owing | Stage::Answering | Stage::Lingering => {}
            }
        }
    }

    /// It is to look whether it must end now.
    pub(super) fn end(&self) {
        self.ended.notify_one();
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

    /// Resolves while the connection is between requests and has had an answer. Until then its first request may be on the
    /// way.
    pub async fn idles(&self) {
        loop {
            let rests = self.rests.notified();
            if lock(&self.state).stage == Stage::Idle {
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
        lock(&self.state).watch.is_ambiguous
    }

    /// Whether the answer in hand is its last: its next request could not be watched or kept, or it makes room.
    pub fn last(&self) -> bool {
        let state = lock(&self.state);
        state.watch.is_last_request() || state.overrun || state.chosen.is_some()
    }

    /// Our side is closed. It holds its descriptor again until it has gone, also where it was chosen to make room.
    pub(super) fn linger(&self) {
        self.change(|state| {
            (state.stage, state.since, state.chosen) = (Stage::Lingering, Instant::now(), None);
            state.ahead = Vec::new();
        });
    }

    /// It is to make room.
    pub(super) fn choose(&self) {
        self.change(|state| state.chosen = Some(state.stage));
        self.ended.notify_one();
    }

    /// Another process has answered on it already.
    pub fn keep(&self) {
        self.change(|state| (state.stage, state.answered) = (Stage::Idle, 1));
    }

    /// Whether it has had an answer already.
    pub fn kept(&self) -> bool {
        lock(&self.state).answered > 0
    }

    /// The request is whole, an answer is owed.
    pub fn owe(&self) {
        self.change(|state| state.stage = Stage::Owing);
    }

    /// The answer has been made.
    pub fn answered(&self) {
        self.change(|state| {
            (state.stage, state.since) = (Stage::Answering, Instant::now());
            state.answered += 1;
        });
    }

    /// Bytes have come of the request that is arriving; how many of them are its own.
    pub(super) fn seen(&self, bytes: &[u8]) -> usize {
        self.change(|state| state.see(bytes))
    }

    /// Whether a whole request is in hand, so that nothing more is to be handed on until it has been answered.
    fn whole(&self) -> bool {
        lock(&self.state).whole
    }

    /// Hands on what came too early, as far as it belongs to one request; false if there is nothing.
    fn hand_on(&self, buffer: &mut ReadBuf<'_>) -> bool {
        self.change(|state| {
            if state.ahead.is_empty() {
                return false;
            }
            let mut ahead = std::mem::take(&mut state.ahead);
            let room = ahead.len().min(buffer.remaining());
            let own = state.see(&ahead[..room]);
            buffer.put_slice(&ahead[..own]);
            ahead.drain(..own);
            state.ahead = ahead;
            true
        })
    }

    /// Whether what comes while a request is in hand can still be read.
    fn reads_ahead(&self) -> bool {
        let state = lock(&self.state);
        // The head of the last answer is written by then, and could not say that it is the last.
        state.stage != Stage::Answering || state.ahead.len() < MAX_HEAD_BYTES
    }

    /// Keeps what came while a request was in hand.
    fn keep_ahead(&self, bytes: &[u8]) {
        let state = &mut *lock(&self.state);
        state.overrun |= state.stage != Stage::Answering && state.ahead.len() + bytes.len() > MAX_HEAD_BYTES;
        if state.overrun {
            state.ahead = Vec::new();
        } else {
            state.ahead.extend_from_slice(bytes);
        }
    }

    /// What has been written has left; whether the next request is here already.
    pub(super) fn flushed(&self) -> bool {
        let flushed = self.change(|state| {
            if state.stage != Stage::Answering {
                return None;
            }
            let ahead = !state.ahead.is_empty();
            state.stage =
                if state.watch.is_between_requests() && !ahead { Stage::Idle } else { Stage::Arriving };
            (state.since, state.whole) = (Instant::now(), false);
            Some((ahead, state.chosen.is_some()))
        });
        let Some((ahead, makes_room)) = flushed else { return false };
        self.rests.notify_waiters();
        if makes_room {
            self.ended.notify_one();
        }
        ahead
    }

    /// Whether it has used up its time.
    pub(super) fn overdue(&self, now: Instant) -> bool {
        let state = lock(&self.state);
        match state.stage {
            Stage::Silent | Stage::Arriving => now >= state.since + ARRIVAL,
            Stage::Answering => now >= state.since + LEAVING,
            Stage::Owing | Stage::Idle | Stage::Lingering => false,
        }
    }

    /// Whether its last word is out and the client's end is waited for.
    pub(super) fn lingers(&self) -> bool {
        lock(&self.state).stage == Stage::Lingering
    }

    /// Why it is ended by this side, for the log.
    pub(super) fn end_reason(&self) -> &'static str {
        let (overdue, state) = (self.overdue(Instant::now()), lock(&self.state));
        match (overdue, state.stage) {
            (_, _) if state.chosen.is_some() => "makes room",
            (true, Stage::Answering) => "does not read its answer",
            (true, _) => "its request did not arrive in time",
            (false, _) => "ended",
        }
    }

    /// Whether a request has been read whole whose answer has not been made.
    pub(super) fn must_answer(&self) -> bool {
        lock(&self.state).stage == Stage::Owing
    }

    pub(super) fn owes(&self, now: Instant) -> bool {
        let state = lock(&self.state);
        state.stage == Stage::Owing || state.stage == Stage::Answering && now < state.since + YOUNG
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        let state = lock(&self.state);
        let order = &mut *lock(&self.order);
        order.move_to(self.number, state.standing(), None);
        order.leaving -= usize::from(state.chosen.is_some());
    }
}

/// A client connection's bytes, watched on their way: hyper is given those of one request at a time, and until its answer
/// is out sees of what follows only the end. It would take no notice of that end with a byte of another request in hand.
pub struct Watched {
    /// The socket.
    pub(super) stream: RetryingStream,
    /// Whose it is.
    pub(super) connection: Arc<ClientConnection>,
}

impl Watched {
    /// Resolves when the client has gone.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; PIECE];
        while self.connection.reads_ahead() {
            let mut piece = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut piece))?;
            if piece.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.connection.keep_ahead(piece.filled());
        }
        // Woken by the flush of the answer.
        Poll::Pending
    }

    /// Ends the connection after its last word. What the client still writes is read and dropped until it closes its side
    /// too, for a bounded time, or until another needs the descriptor.
    pub async fn close(self) {
        let Watched { mut stream, connection } = self;
        connection.linger();
        let dropping = async {
            stream.shutdown().await?;
            let (mut bytes, mut left) = (vec![0; MAX_HEAD_BYTES], DROPPED);
            while left > 0 {
                match stream.read(&mut bytes).await? {
                    0 => break,
                    read => left = left.saturating_sub(read),
                }
            }
            io::Result::Ok(())
        };
        tokio::select! {
            // Whatever came of it, nothing is left to be said.
            _ = timeout(LINGER, dropping) => {}
            () = connection.ended() => {}
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.whole() {
            return self.poll_end(cx);
        }
        if self.connection.hand_on(buffer) {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            let fresh = &buffer.filled()[before..];
            let own = self.connection.seen(fresh);
            self.connection.keep_ahead(&fresh[own..]);
            buffer.set_filled(before + own);
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
        if matches!(flushed, Poll::Ready(Ok(()))) && self.connection.flushed() {
            // hyper waits for the socket, which may have nothing more to say.
            cx.waker().wake_by_ref();
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

    /// The time of a request counts over its head and body, and from connecting for the first.
    #[tokio::test(start_paused = true)]
    async fn a_request_that_does_not_arrive_is_overdue_and_one_that_is_owed_an_answer_never() {
        let connection = ClientConnection::new(1, Arc::default());
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
}
