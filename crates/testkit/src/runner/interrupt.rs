//! Ctrl-C and SIGTERM: the first ends the work cleanly, the second ends the program at once.

use crate::scheduler::kill_all;
use crate::{machine, Failure};
use std::future::Future;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use vetchbridge_testbed::AbortOnDrop;

/// The exit code of a program that was ended by a second signal.
const EXIT_CODE_INTERRUPTED: i32 = 130;

/// Turns the first signal into a request to stop; the second ends the program, and its children with it.
pub struct Interrupt {
    stop: watch::Sender<bool>,
    _listener: AbortOnDrop,
}

impl Interrupt {
    /// Listens for Ctrl-C and SIGTERM from now on; every child is killed when the program ends at once.
    pub fn listen() -> Result<Interrupt, Failure> {
        let mut interrupt = signal(SignalKind::interrupt()).map_err(machine("signals"))?;
        let mut terminate = signal(SignalKind::terminate()).map_err(machine("signals"))?;
        let stop = watch::Sender::new(false);
        let stop_sender = stop.clone();
        let listener = AbortOnDrop::spawn(async move {
            for earlier_signals in 0.. {
                tokio::select! {
                    _ = interrupt.recv() => {}
                    _ = terminate.recv() => {}
                }
                if earlier_signals > 0 {
                    kill_all();
                    std::process::exit(EXIT_CODE_INTERRUPTED);
                }
                eprintln!("stopping; once more ends at once");
                stop_sender.send_replace(true);
            }
        });
        Ok(Interrupt { stop, _listener: listener })
    }

    /// Resolves once a signal has come.
    pub async fn requested(&self) {
        let _ = self.stop.subscribe().wait_for(|stop| *stop).await;
    }

    /// Completes some work, or fails if a signal comes first.
    pub async fn or_stop<T>(&self, work: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
        tokio::select! {
            done = work => done,
            () = self.requested() => Err(Failure::Missed("stopped".to_string())),
        }
    }

    /// A receiver of the request to stop, for a task that ends by itself.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }
}
