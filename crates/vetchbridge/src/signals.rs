//! Handles the signals to this process: SIGHUP reloads the configuration, and SIGTERM and SIGINT start the
//! shutdown.
//!
//! The async runtime's own signal driver ends the process when a read of its pipe is interrupted, so this
//! module installs handlers of its own. A handler sets a flag and wakes the task that watches the flags
//! through a socket pair. If a wake-up is lost, the next periodic check of the flags finds the signal.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, ErrorKind};
use std::os::unix::net::UnixStream as StdUnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::time::{interval, MissedTickBehavior};

/// Interval between periodic checks of the flags that the signal handlers set, which are made even without a
/// wake-up.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The installed signal handlers. The handlers record signals from their installation on;
/// [`SignalHandlers::watch`] then reports the recorded signals.
pub struct SignalHandlers {
    hangup: Arc<AtomicBool>,
    terminate: Arc<AtomicBool>,
    wake_receiver: StdUnixStream,
}

/// Notifications of signals to this process. A signal that arrives while no task waits for it is delivered to
/// the next task that waits.
#[derive(Clone, Default)]
pub struct SignalNotifications {
    /// Notified by SIGHUP: the configuration is to be read again.
    pub hangup: Arc<Notify>,
    /// Notified by SIGTERM and SIGINT: the process is to shut down.
    pub terminate: Arc<Notify>,
}

impl SignalHandlers {
    /// Installs the signal handlers. Needs no async runtime.
    pub fn install() -> io::Result<SignalHandlers> {
        let (wake_receiver, wake_sender) = StdUnixStream::pair()?;
        wake_receiver.set_nonblocking(true)?;
        let hangup = Arc::<AtomicBool>::default();
        let terminate = Arc::<AtomicBool>::default();
        for (signal, received) in [(SIGHUP, &hangup), (SIGTERM, &terminate), (SIGINT, &terminate)] {
            flag::register(signal, received.clone())?;
            // The wake-up is registered after the flag, since a signal's actions run in the order of their
            // registration and the flag must be set first.
            pipe::register(signal, wake_sender.try_clone()?)?;
        }
        Ok(SignalHandlers { hangup, terminate, wake_receiver })
    }

    /// Starts a task that reports signals until the async runtime ends.
    pub fn watch(self) -> io::Result<SignalNotifications> {
        let notifications = SignalNotifications::default();
        let wake_receiver = UnixStream::from_std(self.wake_receiver)?;
        let SignalNotifications { hangup, terminate } = notifications.clone();
        tokio::spawn(async move {
            let mut periodic_check = interval(FLAG_CHECK_INTERVAL);
            periodic_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    _ = periodic_check.tick() => {}
                    () = wait_for_wake_up(&wake_receiver) => {}
                }
                if self.hangup.swap(false, Ordering::Relaxed) {
                    hangup.notify_one();
                }
                if self.terminate.swap(false, Ordering::Relaxed) {
                    terminate.notify_one();
                }
            }
        });
        Ok(notifications)
    }
}

/// Waits until a signal handler has written to the socket pair, and reads the written bytes.
async fn wait_for_wake_up(wake_receiver: &UnixStream) {
    let mut bytes = [0_u8; 64];
    loop {
        match wake_receiver.try_read(&mut bytes) {
            Ok(read) if read > 0 => return,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => match wake_receiver.readable().await {
                Ok(()) => {}
                Err(_) => return std::future::pending().await,
            },
            // This case is not expected, since the signal handlers keep the other end of the socket pair
            // open. The periodic check continues to find signals.
            _ => return std::future::pending().await,
        }
    }
}
