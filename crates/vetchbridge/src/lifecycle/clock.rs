//! The lifecycle at work: its clock, and everyone who has to know of a change.
//!
//! Owns the one [`LifecycleMachine`] of this process. Calls go in, the state comes out on a watch; time is told by
//! [`Lifecycle::keep_time`]. It must never decide what a state means.

use crate::lifecycle::state::{LifecycleMachine, Refusal, State};
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::info;

/// See the head of this file.
pub struct Lifecycle {
    began: Instant,
    machine: Mutex<LifecycleMachine>,
    state: watch::Sender<State>,
}

impl Lifecycle {
    /// The life of a process that has just started.
    pub fn begin(quiesced: bool) -> Lifecycle {
        let machine = LifecycleMachine::new(quiesced);
        let state = watch::Sender::new(machine.state());
        Lifecycle { began: Instant::now(), machine: Mutex::new(machine), state }
    }

    /// The state.
    pub fn state(&self) -> State {
        *self.state.borrow()
    }

    /// Whether operators want its clients sent away.
    pub fn quiesced(&self) -> bool {
        self.call(|lifecycle, _| lifecycle.quiesced())
    }

    /// Follows the state.
    pub fn subscribe(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// It can serve from now on.
    pub fn started(&self) {
        self.call(|lifecycle, now| lifecycle.started(now));
    }

    /// Operators: send clients away.
    pub fn quiesce(&self) {
        self.call(|lifecycle, now| lifecycle.quiesce(now));
    }

    /// Operators: take clients again.
    pub fn resume(&self) -> Result<(), Refusal> {
        self.call(|lifecycle, _| lifecycle.resume())
    }

    /// It is to end; its clients wait no longer than `deadline`.
    pub fn terminate(&self, deadline: std::time::Duration) {
        self.call(|lifecycle, now| lifecycle.terminate(now, deadline));
    }

    fn call<T>(&self, call: impl FnOnce(&mut LifecycleMachine, std::time::Duration) -> T) -> T {
        let machine = &mut *self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.began.elapsed();
        machine.advance(now);
        let answer = call(machine, now);
        let state = machine.state();
        self.state.send_if_modified(|told| {
            let changed = *told != state;
            *told = state;
            changed
        });
        answer
    }

    /// Takes the steps that time alone brings, for as long as the process lives.
    pub async fn keep_time(&self) {
        let mut changes = self.subscribe();
        let mut logged = "";
        loop {
            let wakes = self.call(|lifecycle, _| lifecycle.wakes());
            let name = changes.borrow_and_update().name();
            if name != logged {
                info!(state = name, "daemon.state");
                logged = name;
            }
            let due = async {
                match wakes {
                    Some(at) => sleep_until(self.began + at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {}
                changed = changes.changed() => if changed.is_err() { return },
            }
        }
    }
}
