//! Handles Ctrl-C (SIGINT) and SIGTERM to the kit: the first signal ends the command cleanly, the second
//! exits the kit immediately.

use crate::scheduler::kill_all;
use crate::{io_failure, Failure};
use std::future::Future;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use vetchbridge_testbed::AbortOnDrop;

/// The kit's exit code after a second Ctrl-C or SIGTERM.
const EXIT_CODE_INTERRUPTED: i32 = 130;

/// Turns the first Ctrl-C or SIGTERM into a request to stop. The second signal kills the child processes and
/// exits the kit.
pub struct Interrupt {
    stop: watch::Sender<bool>,
    _listener: AbortOnDrop,
}

impl Interrupt {
    /// Starts to listen for Ctrl-C and SIGTERM.
    pub fn listen() -> Result<Interrupt, Failure> {
        let mut interrupt = signal(SignalKind::interrupt()).map_err(io_failure("signal handlers"))?;
        let mut terminate = signal(SignalKind::terminate()).map_err(io_failure("signal handlers"))?;
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
                eprintln!("stopping; press Ctrl-C again to exit immediately");
                stop_sender.send_replace(true);
            }
        });
        Ok(Interrupt { stop, _listener: listener })
    }

    /// Waits until the first Ctrl-C or SIGTERM has arrived.
    pub async fn requested(&self) {
        let _ = self.stop.subscribe().wait_for(|stop| *stop).await;
    }

    /// Runs `work` to its end, or fails if Ctrl-C or SIGTERM arrives first.
    pub async fn run_unless_stopped<T>(
        &self,
        work: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        tokio::select! {
            result = work => result,
            () = self.requested() => Err(Failure::CheckFailed("stopped".to_string())),
        }
    }

    /// Returns a receiver whose value is true once a stop is requested, for a task that then ends on its own.
    pub fn subscribe(&self) -> watch::Receiver<bool> {
        self.stop.subscribe()
    }
}
