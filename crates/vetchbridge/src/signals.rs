//! Signals to this process: SIGHUP reloads the configuration, SIGTERM and SIGINT start the shutdown.
//!
//! The runtime's own signal driver ends the process when a read of its pipe is interrupted, so signals are handled here:
//! the handler sets a flag and wakes the reader by a socket pair. A wake that is lost is made up for by the next regular
//! check of the flags.

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

/// How often the flags are checked without a wake.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Installed signal handlers. Signals are remembered until [`SignalHandlers::watch`] notifies of them.
pub struct SignalHandlers {
    hangup: Arc<AtomicBool>,
    terminate: Arc<AtomicBool>,
    wake: StdUnixStream,
}

/// Notifications of signals. A signal that arrives while no task waits is delivered to the next one that does.
#[derive(Clone, Default)]
pub struct SignalNotifications {
    /// The configuration is to be read again.
    pub hangup: Arc<Notify>,
    /// The process is to shut down.
    pub terminate: Arc<Notify>,
}

impl SignalHandlers {
    /// Installs the handlers. No runtime is needed.
    pub fn install() -> io::Result<SignalHandlers> {
        let (wake, waker) = StdUnixStream::pair()?;
        wake.set_nonblocking(true)?;
        let hangup = Arc::<AtomicBool>::default();
        let terminate = Arc::<AtomicBool>::default();
        for (signal, received) in [(SIGHUP, &hangup), (SIGTERM, &terminate), (SIGINT, &terminate)] {
            flag::register(signal, received.clone())?;
            // After the flag: actions run in the order of their registration.
            pipe::register(signal, waker.try_clone()?)?;
        }
        Ok(SignalHandlers { hangup, terminate, wake })
    }

    /// Notifies of signals for as long as the runtime lives.
    pub fn watch(self) -> io::Result<SignalNotifications> {
        let notifications = SignalNotifications::default();
        let wake = UnixStream::from_std(self.wake)?;
        let SignalNotifications { hangup, terminate } = notifications.clone();
        tokio::spawn(async move {
            let mut regular = interval(FLAG_CHECK_INTERVAL);
            regular.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    _ = regular.tick() => {}
                    () = woken(&wake) => {}
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

/// Resolves once a handler has written to the socket pair, with what it wrote read.
async fn woken(wake: &UnixStream) {
    let mut bytes = [0_u8; 64];
    loop {
        match wake.try_read(&mut bytes) {
            Ok(read) if read > 0 => return,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => match wake.readable().await {
                Ok(()) => {}
                Err(_) => return std::future::pending().await,
            },
            // The other end lives as long as the handlers; the regular check goes on in any case.
            _ => return std::future::pending().await,
        }
    }
}
