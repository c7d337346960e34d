//! Runs the state machine of the process's lifecycle in real time and publishes its state.
//!
//! [`Lifecycle`] owns the [`LifecycleMachine`] of this process. The module [`state`](crate::lifecycle::state)
//! alone defines what each state allows.

use crate::lifecycle::state::{LifecycleMachine, LifecycleState, Unavailable};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::info;

/// The lifecycle of this process. Methods of this type change the lifecycle's state, and a watch channel
/// publishes each change.
pub struct Lifecycle {
    started_at: Instant,
    machine: Mutex<LifecycleMachine>,
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    /// Creates the lifecycle of a process in state `Starting`. If `quiesced`, the process drains its clients
    /// as soon as it can serve.
    pub fn new(quiesced: bool) -> Lifecycle {
        let machine = LifecycleMachine::new(quiesced);
        let state = watch::Sender::new(machine.state());
        Lifecycle { started_at: Instant::now(), machine: Mutex::new(machine), state }
    }

    /// Returns the current state of the lifecycle.
    pub fn state(&self) -> LifecycleState {
        *self.state.borrow()
    }

    /// Whether operators have quiesced this scheduler.
    pub fn is_quiesced(&self) -> bool {
        self.with_machine(|machine, _| machine.is_quiesced())
    }

    /// Returns a receiver that is notified of each change of the lifecycle's state.
    pub fn subscribe(&self) -> watch::Receiver<LifecycleState> {
        self.state.subscribe()
    }

    /// Records that the start of the process is complete, so that the process can serve.
    pub fn start_serving(&self) {
        self.with_machine(super::state::LifecycleMachine::start_serving);
    }

    /// Starts to drain clients from this process. Called for an operator's command.
    pub fn quiesce(&self) {
        self.with_machine(super::state::LifecycleMachine::quiesce);
    }

    /// Ends the drain, so that the process accepts new clients again. Called for an operator's command.
    pub fn resume(&self) -> Result<(), Unavailable> {
        self.with_machine(|machine, _| machine.resume())
    }

    /// Starts the graceful shutdown of the process. `longest_deadline` is the longest time for which a client
    /// waits for a response.
    pub fn begin_shutdown(&self, longest_deadline: Duration) {
        self.with_machine(|machine, now| machine.begin_shutdown(now, longest_deadline));
    }

    /// Advances the lifecycle's state machine to the current time, calls `call` on the state machine, and
    /// publishes the resulting state.
    fn with_machine<T>(&self, call: impl FnOnce(&mut LifecycleMachine, Duration) -> T) -> T {
        let machine = &mut *self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.started_at.elapsed();
        machine.advance(now);
        let result = call(machine, now);
        let state = machine.state();
        self.state.send_if_modified(|published| {
            let changed = *published != state;
            *published = state;
            changed
        });
        result
    }

    /// Makes each timed transition of the lifecycle when the transition is due, and logs every change of the
    /// state, until the process ends.
    pub async fn run_transitions(&self) {
        let mut changes = self.subscribe();
        let mut logged = "";
        loop {
            let next_transition = self.with_machine(|machine, _| machine.next_transition_at());
            let name = changes.borrow_and_update().name();
            if name != logged {
                info!(state = name, "daemon.state_changed");
                logged = name;
            }
            let timer = async {
                match next_transition {
                    Some(at) => sleep_until(self.started_at + at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = timer => {}
                changed = changes.changed() => if changed.is_err() { return },
            }
        }
    }
}
