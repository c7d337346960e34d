//! Signals to this process: SIGHUP asks for a new reading of the configuration, SIGTERM and SIGINT for the end.
//!
//! The runtime's own driver of signals ends the process when a read of its pipe is interrupted, so that signals are kept
//! here: the handler sets a flag and wakes the reader by a pipe. A wake that is lost shows at the next regular look.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use std::io::{self, ErrorKind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::time::{interval, MissedTickBehavior};

/// How often the flags are looked at without a wake.
const REGULAR_LOOK: Duration = Duration::from_millis(100);

/// Signals that are caught from now on, and kept until [`CaughtSignals::watch`] tells of them.
pub struct CaughtSignals {
    hangup: Arc<AtomicBool>,
    terminate: Arc<AtomicBool>,
    wake: std::os::unix::net::UnixStream,
}

/// Who is told of signals. A signal that comes while nobody waits is told to the next who does.
#[derive(Clone, Default)]
pub struct SignalNotices {
    /// The configuration is to be read again.
    pub hangup: Arc<Notify>,
    /// The process is to end.
    pub terminate: Arc<Notify>,
}

impl CaughtSignals {
    /// Catches the signals.
    pub fn catch() -> io::Result<CaughtSignals> {
        let (wake, waker) = std::os::unix::net::UnixStream::pair()?;
        wake.set_nonblocking(true)?;
        let (hangup, terminate) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        for (signal, asked) in [(SIGHUP, &hangup), (SIGTERM, &terminate), (SIGINT, &terminate)] {
            flag::register(signal, asked.clone())?;
            // After the flag: actions run in the order of their registration.
            pipe::register(signal, waker.try_clone()?)?;
        }
        Ok(CaughtSignals { hangup, terminate, wake })
    }

    /// Tells of signals for as long as the runtime lives.
    pub fn watch(self) -> io::Result<SignalNotices> {
        let (notices, wake) = (SignalNotices::default(), UnixStream::from_std(self.wake)?);
        let (hangup, terminate, told) = (self.hangup, self.terminate, notices.clone());
        tokio::spawn(async move {
            let mut regular = interval(REGULAR_LOOK);
            regular.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    _ = regular.tick() => {}
                    () = woken(&wake) => {}
                }
                if hangup.swap(false, Ordering::Relaxed) {
                    told.hangup.notify_one();
                }
                if terminate.swap(false, Ordering::Relaxed) {
                    told.terminate.notify_one();
                }
            }
        });
        Ok(notices)
    }
}

/// Resolves once the handler has written, with the pipe emptied.
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
            // The other end lives as long as the handler; the regular look goes on in any case.
            _ => return std::future::pending().await,
        }
    }
}
