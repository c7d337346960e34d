//! The state machine of the process's lifecycle: starting, serving, draining, drained, shutting down. Pure: no clock, no
//! socket.
//!
//! [`LifecycleState`] answers each question that depends on the state: whether the process can serve, whether it is ready
//! for new clients, whether a response closes its connection, whether idle connections are closed, whether requests are
//! accepted. Times are spans from the process's start, passed in. It must never act on a state; its callers do.

use std::time::Duration;

/// Time between the start of a drain and the closing of idle connections: a load balancer that has not seen yet that
/// this scheduler is not ready may still send requests on them.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Upper limit on the longest deadline that counts: SIGKILL comes no sooner after SIGTERM than that deadline and 0.7 s.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// Time after that deadline at which open requests get their final response, since SIGKILL would lose them.
const FINAL_RESPONSE_DELAY: Duration = Duration::from_millis(300);
/// Time before the final responses at which connections stop being reused; requests accepted by then have it left.
const CONNECTION_CLOSE_LEAD: Duration = Duration::from_secs(1);

/// How far a process is in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// It can't serve yet.
    Starting,
    /// It accepts clients.
    Serving,
    /// Operators are draining it: it is not ready, and each response closes its connection. Requests that arrive are
    /// still accepted.
    Draining,
    /// Idle connections are closed as well; it stays so until operators resume it.
    Drained,
    /// It is in its graceful shutdown.
    ShuttingDown(ShutdownPhase),
}

/// How far a process is in its graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// Not ready for new clients; those that have a connection are still served on it, since they use it for as long as
    /// it stays open, and another scheduler may be restarting too.
    Draining,
    /// As [`LifecycleState::Drained`].
    Drained,
    /// No request is accepted any more, and those that are open get their final response.
    Terminating,
}

/// Why the process can't serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// Not yet.
    #[error("starting, it can't serve yet")]
    Starting,
    /// Not any more.
    #[error("ending")]
    ShuttingDown,
}

impl LifecycleState {
    /// Fails unless this process can serve the requests that reach it.
    pub fn ensure_can_serve(self) -> Result<(), Unavailable> {
        match self {
            LifecycleState::Starting => Err(Unavailable::Starting),
            LifecycleState::Serving | LifecycleState::Draining | LifecycleState::Drained => Ok(()),
            LifecycleState::ShuttingDown(_) => Err(Unavailable::ShuttingDown),
        }
    }

    /// Whether new clients may be sent here.
    pub fn is_ready(self) -> bool {
        self == LifecycleState::Serving
    }

    /// Whether a response closes its connection.
    pub fn closes_after_response(self) -> bool {
        !matches!(
            self,
            LifecycleState::Starting
                | LifecycleState::Serving
                | LifecycleState::ShuttingDown(ShutdownPhase::Draining)
        )
    }

    /// Whether idle connections are closed.
    pub fn closes_idle_connections(self) -> bool {
        matches!(
            self,
            LifecycleState::Drained
                | LifecycleState::ShuttingDown(ShutdownPhase::Drained | ShutdownPhase::Terminating)
        )
    }

    /// Whether a request that arrives is accepted.
    pub fn accepts_requests(self) -> bool {
        self != LifecycleState::ShuttingDown(ShutdownPhase::Terminating)
    }

    /// The state's name in the log and in the admin interface's responses.
    pub fn name(self) -> &'static str {
        match self {
            LifecycleState::Starting => "starting",
            LifecycleState::Serving => "serving",
            LifecycleState::Draining => "draining",
            LifecycleState::Drained => "drained",
            LifecycleState::ShuttingDown(_) => "ending",
        }
    }
}

/// The state and everything that its next transition depends on.
#[derive(Debug)]
pub struct LifecycleMachine {
    state: LifecycleState,
    /// When the drain or the shutdown started.
    phase_started_at: Duration,
    /// Operators have quiesced this scheduler, perhaps before it could serve.
    quiesced: bool,
    /// Time from the start of the shutdown to the final response to what is still open.
    final_responses_after: Duration,
}

impl LifecycleMachine {
    /// A process that has just been started; `quiesced`: it starts with its clients drained.
    pub fn new(quiesced: bool) -> LifecycleMachine {
        LifecycleMachine {
            state: LifecycleState::Starting,
            phase_started_at: Duration::ZERO,
            quiesced,
            final_responses_after: Duration::ZERO,
        }
    }

    /// The current state.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Whether operators have quiesced this scheduler.
    pub fn is_quiesced(&self) -> bool {
        self.quiesced
    }

    /// Ends the start: the process can serve from now on.
    pub fn start_serving(&mut self, now: Duration) {
        if self.state == LifecycleState::Starting {
            self.state = LifecycleState::Serving;
            if self.quiesced {
                self.begin_draining(now);
            }
        }
    }

    /// Starts to drain clients, at an operator's command. It is remembered while the process starts or shuts down.
    pub fn quiesce(&mut self, now: Duration) {
        self.quiesced = true;
        if self.state == LifecycleState::Serving {
            self.begin_draining(now);
        }
    }

    /// Accepts clients again, at an operator's command.
    pub fn resume(&mut self) -> Result<(), Unavailable> {
        if let LifecycleState::ShuttingDown(_) = self.state {
            return Err(Unavailable::ShuttingDown);
        }
        self.quiesced = false;
        if self.state != LifecycleState::Starting {
            self.state = LifecycleState::Serving;
        }
        Ok(())
    }

    /// Starts the graceful shutdown; no client waits longer than `longest_deadline`. A second call changes nothing.
    pub fn begin_shutdown(&mut self, now: Duration, longest_deadline: Duration) {
        if !matches!(self.state, LifecycleState::ShuttingDown(_)) {
            self.state = LifecycleState::ShuttingDown(ShutdownPhase::Draining);
            self.phase_started_at = now;
            self.final_responses_after = longest_deadline.min(MAX_DEADLINE) + FINAL_RESPONSE_DELAY;
        }
    }

    fn begin_draining(&mut self, now: Duration) {
        self.state = LifecycleState::Draining;
        self.phase_started_at = now;
    }

    /// When time alone brings the next transition, if it ever does.
    pub fn next_transition_at(&self) -> Option<Duration> {
        match self.state {
            LifecycleState::Draining => Some(self.phase_started_at + IDLE_CLOSE_DELAY),
            LifecycleState::ShuttingDown(ShutdownPhase::Draining) => {
                Some(self.phase_started_at + self.final_responses_after.saturating_sub(CONNECTION_CLOSE_LEAD))
            }
            LifecycleState::ShuttingDown(ShutdownPhase::Drained) => {
                Some(self.phase_started_at + self.final_responses_after)
            }
            LifecycleState::Starting
            | LifecycleState::Serving
            | LifecycleState::Drained
            | LifecycleState::ShuttingDown(ShutdownPhase::Terminating) => None,
        }
    }

    /// Makes every transition whose time has come by `now`.
    pub fn advance(&mut self, now: Duration) {
        while self.next_transition_at().is_some_and(|at| at <= now) {
            self.state = match self.state {
                LifecycleState::Draining => LifecycleState::Drained,
                LifecycleState::ShuttingDown(ShutdownPhase::Draining) => {
                    LifecycleState::ShuttingDown(ShutdownPhase::Drained)
                }
                _ => LifecycleState::ShuttingDown(ShutdownPhase::Terminating),
            };
        }
    }
}
