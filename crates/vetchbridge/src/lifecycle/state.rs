//! How far this process is: starting, serving, draining, drained or ending. Pure: no clock, no socket.
//!
//! Owns the one answer to each question that hangs on it: whether the process can serve, whether it is ready for new
//! clients, whether an answer ends its connection, whether idle connections are closed, whether anything is taken.
//! Times are spans from the start, passed in. It must never act: whoever asks, acts.

use std::time::Duration;

/// Once clients are sent away, idle connections are left to them for this long: the front may still deal them out.
pub const LET_IDLE: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, which counts as no more than this, and 0.7 s more.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Time after that deadline at which open requests get their final answer, since SIGKILL would lose them.
const FINAL_ANSWER_DELAY: Duration = Duration::from_millis(300);
/// Time before the final answers at which connections stop being kept; what was taken by then has the rest.
const CONNECTION_CLOSE_LEAD: Duration = Duration::from_secs(1);

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It can't serve yet.
    Starting,
    /// It takes clients.
    Serving,
    /// Told to send clients away: not ready, each answer closes its connection. What arrives is still taken.
    Draining,
    /// Idle connections are closed as well; it stays so until it is told to take clients again.
    Drained,
    /// Told to end.
    Ending(End),
}

/// How far a process is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Not ready for new clients; those that have a connection are served on, since they use it for as long as it
    /// stays open, and another scheduler may be restarting too.
    Draining,
    /// As [`State::Drained`].
    Drained,
    /// Nothing more is taken, and what is open is given its final answer.
    Leaving,
}

/// Why something asked can't be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Not before it can serve.
    Starting,
    /// Not any more.
    Ending,
}

impl State {
    /// Whether this process can serve what reaches it.
    pub fn can_serve(self) -> Result<(), Refusal> {
        match self {
            State::Starting => Err(Refusal::Starting),
            State::Serving | State::Draining | State::Drained => Ok(()),
            State::Ending(_) => Err(Refusal::Ending),
        }
    }

    /// Whether new clients may be sent here.
    pub fn ready(self) -> bool {
        self == State::Serving
    }

    /// Whether an answer ends its connection.
    pub fn hangs_up(self) -> bool {
        !matches!(self, State::Starting | State::Serving | State::Ending(End::Draining))
    }

    /// Whether idle connections are closed.
    pub fn closes_idle(self) -> bool {
        matches!(self, State::Drained | State::Ending(End::Drained | End::Leaving))
    }

    /// Whether a request that arrives is taken.
    pub fn takes(self) -> bool {
        self != State::Ending(End::Leaving)
    }

    /// Its name, for operators.
    pub fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Serving => "serving",
            State::Draining => "draining",
            State::Drained => "drained",
            State::Ending(_) => "ending",
        }
    }
}

/// The state and what leads on from it.
#[derive(Debug)]
pub struct LifecycleMachine {
    state: State,
    /// When it was told to drain or to end.
    since: Duration,
    /// Operators want clients sent away, from before it can serve on.
    quiesced: bool,
    /// From being told to end to the final answer of what is still open.
    final_answers_after: Duration,
}

impl LifecycleMachine {
    /// A process that has just started; `quiesced`: it begins with its clients sent away.
    pub fn new(quiesced: bool) -> LifecycleMachine {
        LifecycleMachine {
            state: State::Starting,
            since: Duration::ZERO,
            quiesced,
            final_answers_after: Duration::ZERO,
        }
    }

    /// The state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether operators want clients sent away.
    pub fn quiesced(&self) -> bool {
        self.quiesced
    }

    /// It can serve from now on.
    pub fn started(&mut self, now: Duration) {
        if self.state == State::Starting {
            self.state = State::Serving;
            if self.quiesced {
                self.drain(now);
            }
        }
    }

    /// Operators: send clients away. True of a process that ends, too.
    pub fn quiesce(&mut self, now: Duration) {
        self.quiesced = true;
        if self.state == State::Serving {
            self.drain(now);
        }
    }

    /// Operators: take clients again.
    pub fn resume(&mut self) -> Result<(), Refusal> {
        if let State::Ending(_) = self.state {
            return Err(Refusal::Ending);
        }
        self.quiesced = false;
        if self.state != State::Starting {
            self.state = State::Serving;
        }
        Ok(())
    }

    /// It is to end; its clients wait no longer than `deadline`. Told twice, it ends as it does already.
    pub fn terminate(&mut self, now: Duration, deadline: Duration) {
        if !matches!(self.state, State::Ending(_)) {
            (self.state, self.since) = (State::Ending(End::Draining), now);
            self.final_answers_after = deadline.min(MAX_DEADLINE) + FINAL_ANSWER_DELAY;
        }
    }

    fn drain(&mut self, now: Duration) {
        (self.state, self.since) = (State::Draining, now);
    }

    /// When time alone leads on.
    pub fn wakes(&self) -> Option<Duration> {
        match self.state {
            State::Draining => Some(self.since + LET_IDLE),
            State::Ending(End::Draining) => {
                Some(self.since + self.final_answers_after.saturating_sub(CONNECTION_CLOSE_LEAD))
            }
            State::Ending(End::Drained) => Some(self.since + self.final_answers_after),
            State::Starting | State::Serving | State::Drained | State::Ending(End::Leaving) => None,
        }
    }

    /// Takes every step that is due by now.
    pub fn advance(&mut self, now: Duration) {
        while self.wakes().is_some_and(|at| at <= now) {
            self.state = match self.state {
                State::Draining => State::Drained,
                State::Ending(End::Draining) => State::Ending(End::Drained),
                _ => State::Ending(End::Leaving),
            };
        }
    }
}
