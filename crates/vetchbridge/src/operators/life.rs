//! The lifecycle at work: its clock, and everyone who has to know of a change.
//!
//! Owns the one [`Lifecycle`] of this process. Calls go in, the state comes out on a watch; time is told by
//! [`Life::keep_time`]. It must never decide what a state means.

use crate::operators::lifecycle::{Lifecycle, Refusal, State};
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::info;

/// See the head of this file.
pub struct Life {
    began: Instant,
    machine: Mutex<Lifecycle>,
    state: watch::Sender<State>,
}

impl Life {
    /// The life of a process that has just started.
    pub fn begin(quiesced: bool) -> Life {
        let machine = Lifecycle::new(quiesced);
        let state = watch::Sender::new(machine.state());
        Life { began: Instant::now(), machine: Mutex::new(machine), state }
    }

    /// The state.
    pub fn state(&self) -> State {
        *self.state.borrow()
    }

    /// Whether operators want its clients sent away.
    pub fn quiesced(&self) -> bool {
        self.call(|life, _| life.quiesced())
    }

    /// Follows the state.
    pub fn subscribe(&self) -> watch::Receiver<State> {
        self.state.subscribe()
    }

    /// It can serve from now on.
    pub fn started(&self) {
        self.call(|life, now| life.started(now));
    }

    /// Operators: send clients away.
    pub fn quiesce(&self) {
        self.call(|life, now| life.quiesce(now));
    }

    /// Operators: take clients again.
    pub fn resume(&self) -> Result<(), Refusal> {
        self.call(|life, _| life.resume())
    }

    /// It is to end; its clients wait no longer than `deadline`.
    pub fn terminate(&self, deadline: std::time::Duration) {
        self.call(|life, now| life.terminate(now, deadline));
    }

    fn call<T>(&self, call: impl FnOnce(&mut Lifecycle, std::time::Duration) -> T) -> T {
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
            let wakes = self.call(|life, _| life.wakes());
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
