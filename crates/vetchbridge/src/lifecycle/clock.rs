//! Runs the lifecycle's state machine in real time and publishes its state.
//!
//! [`Lifecycle`] owns the one [`LifecycleMachine`] of this process. It must never decide what a state means; that is
//! [`state`](crate::lifecycle::state)'s.

use crate::lifecycle::state::{LifecycleMachine, LifecycleState, Unavailable};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::info;

/// The lifecycle of this process: calls go in, the state comes out on a watch channel.
pub struct Lifecycle {
    started_at: Instant,
    machine: Mutex<LifecycleMachine>,
    state: watch::Sender<LifecycleState>,
}

impl Lifecycle {
    /// The lifecycle of a process that has just been started; `quiesced`: it starts with its clients drained.
    pub fn new(quiesced: bool) -> Lifecycle {
        let machine = LifecycleMachine::new(quiesced);
        let state = watch::Sender::new(machine.state());
        Lifecycle { started_at: Instant::now(), machine: Mutex::new(machine), state }
    }

    /// The current state.
    pub fn state(&self) -> LifecycleState {
        *self.state.borrow()
    }

    /// Whether operators have quiesced this scheduler.
    pub fn is_quiesced(&self) -> bool {
        self.with_machine(|machine, _| machine.is_quiesced())
    }

    /// A receiver of each change of the state.
    pub fn subscribe(&self) -> watch::Receiver<LifecycleState> {
        self.state.subscribe()
    }

    /// Ends the start: the process can serve from now on.
    pub fn start_serving(&self) {
        self.with_machine(super::state::LifecycleMachine::start_serving);
    }

    /// Starts to drain clients, at an operator's command.
    pub fn quiesce(&self) {
        self.with_machine(super::state::LifecycleMachine::quiesce);
    }

    /// Accepts clients again, at an operator's command.
    pub fn resume(&self) -> Result<(), Unavailable> {
        self.with_machine(|machine, _| machine.resume())
    }

    /// Starts the graceful shutdown; no client waits longer than `longest_deadline`.
    pub fn begin_shutdown(&self, longest_deadline: Duration) {
        self.with_machine(|machine, now| machine.begin_shutdown(now, longest_deadline));
    }

    /// Calls the state machine, brought up to the present, and publishes the state that it has afterwards.
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

    /// Makes the transitions that time alone brings, and logs every one, for as long as the process lives.
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
