//! The state machine of the process's lifecycle: starting, serving, draining, drained, shutting down.
//!
//! [`LifecycleState`] answers each question that depends on the state: whether the process can serve, whether
//! it is ready for new clients, whether a response closes its connection, whether idle connections are
//! closed, whether requests are accepted. Callers act on the answers; this module uses no clock and no
//! socket. Callers pass in the time as the duration since the process started.

use std::time::Duration;

/// Time between the start of a drain and the closing of idle client connections. Until then, a load balancer
/// that has not yet noticed that this scheduler is not ready may still send requests on idle connections.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Upper limit on the request deadline for which the shutdown waits. The shutdown waits for the longest
/// deadline of all request classes, but at most for this limit. SIGKILL arrives no earlier than this limited
/// deadline plus 0.7 s after SIGTERM.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// Time between the end of the deadline for which the shutdown waits and the final responses to requests that
/// have no response by then. SIGKILL, which arrives later, would discard these requests without a response.
const FINAL_RESPONSE_DELAY: Duration = Duration::from_millis(300);
/// Time during a shutdown between the last reuse of client connections and the final responses to requests
/// that still have no response. Requests that were accepted until the last reuse have this time to complete.
const CONNECTION_CLOSE_LEAD: Duration = Duration::from_secs(1);

/// The state of a process in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// The process is starting and can't serve yet.
    Starting,
    /// The process is ready for new clients.
    Serving,
    /// An operator drains the process: the process is not ready, and each response closes its connection.
    /// Requests that arrive are still accepted.
    Draining,
    /// As in `Draining`, each response closes its connection, and idle client connections are closed too. The
    /// state lasts until an operator resumes the process or the process shuts down.
    Drained,
    /// The process shuts down gracefully.
    ShuttingDown(ShutdownPhase),
}

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// The process is not ready for new clients. Clients with a connection are still served on it: clients
    /// keep using open connections, and the other schedulers may be restarting too.
    Draining,
    /// Each response closes its connection, and idle client connections are closed, as in
    /// [`LifecycleState::Drained`].
    Drained,
    /// No further request is accepted, and requests without a response get their final response.
    Terminating,
}

/// Why the process can't serve clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unavailable {
    /// The process is starting.
    #[error("starting, it can't serve yet")]
    Starting,
    /// The process is shutting down.
    #[error("ending")]
    ShuttingDown,
}

impl LifecycleState {
    /// Returns an error unless a process in this state can serve requests.
    pub fn ensure_can_serve(self) -> Result<(), Unavailable> {
        match self {
            LifecycleState::Starting => Err(Unavailable::Starting),
            LifecycleState::Serving | LifecycleState::Draining | LifecycleState::Drained => Ok(()),
            LifecycleState::ShuttingDown(_) => Err(Unavailable::ShuttingDown),
        }
    }

    /// Whether load balancers may send new clients to a process in this state.
    pub fn is_ready(self) -> bool {
        self == LifecycleState::Serving
    }

    /// Whether each response to a client closes its connection in this state.
    pub fn closes_after_response(self) -> bool {
        !matches!(
            self,
            LifecycleState::Starting
                | LifecycleState::Serving
                | LifecycleState::ShuttingDown(ShutdownPhase::Draining)
        )
    }

    /// Whether idle client connections are closed in this state.
    pub fn closes_idle_connections(self) -> bool {
        matches!(
            self,
            LifecycleState::Drained
                | LifecycleState::ShuttingDown(ShutdownPhase::Drained | ShutdownPhase::Terminating)
        )
    }

    /// Whether new requests are accepted in this state.
    pub fn accepts_requests(self) -> bool {
        self != LifecycleState::ShuttingDown(ShutdownPhase::Terminating)
    }

    /// Returns the state's name for the log and the admin interface's responses.
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

/// The lifecycle's state machine.
#[derive(Debug)]
pub struct LifecycleMachine {
    state: LifecycleState,
    /// When the drain or the shutdown started, as the time since the process started; zero before either has
    /// started.
    phase_started_at: Duration,
    /// Whether operators have quiesced this scheduler, possibly before the process could serve.
    quiesced: bool,
    /// Time from the start of the shutdown to the final responses to requests that still have no response.
    final_responses_after: Duration,
}

impl LifecycleMachine {
    /// Creates a state machine in state `Starting`. If `quiesced`, the process drains its clients as soon as
    /// it can serve.
    pub fn new(quiesced: bool) -> LifecycleMachine {
        LifecycleMachine {
            state: LifecycleState::Starting,
            phase_started_at: Duration::ZERO,
            quiesced,
            final_responses_after: Duration::ZERO,
        }
    }

    /// Returns the current state of the lifecycle.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Whether operators have quiesced this scheduler, and have not resumed it since.
    pub fn is_quiesced(&self) -> bool {
        self.quiesced
    }

    /// Records that the start of the process is complete, so that the process can serve.
    pub fn start_serving(&mut self, now: Duration) {
        if self.state == LifecycleState::Starting {
            self.state = LifecycleState::Serving;
            if self.quiesced {
                self.begin_draining(now);
            }
        }
    }

    /// Starts to drain clients from this process, at an operator's command. While the process starts or shuts
    /// down, the command is only recorded.
    pub fn quiesce(&mut self, now: Duration) {
        self.quiesced = true;
        if self.state == LifecycleState::Serving {
            self.begin_draining(now);
        }
    }

    /// Ends the drain, at an operator's command, so that the process accepts new clients again. Returns an
    /// error if the process is shutting down.
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

    /// Starts the graceful shutdown of the process. `longest_deadline` is the longest time for which a client
    /// waits for a response. A second call has no effect.
    pub fn begin_shutdown(&mut self, now: Duration, longest_deadline: Duration) {
        if !matches!(self.state, LifecycleState::ShuttingDown(_)) {
            self.state = LifecycleState::ShuttingDown(ShutdownPhase::Draining);
            self.phase_started_at = now;
            self.final_responses_after = longest_deadline.min(MAX_SHUTDOWN_DEADLINE) + FINAL_RESPONSE_DELAY;
        }
    }

    fn begin_draining(&mut self, now: Duration) {
        self.state = LifecycleState::Draining;
        self.phase_started_at = now;
    }

    /// Returns when the next timed transition is due, as the time since the process started; `None` if the
    /// current state has no timed transition.
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

    /// Makes every timed transition that is due at `now`, the time since the process started.
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
