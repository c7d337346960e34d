//! Retries the system calls that create sockets and other resources at the start of the process. This module
//! defines which errors are transient, and how long calls are retried.

use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// Maximum time for which a system call is retried. A retry may succeed because the previous process may
/// still be using an address, or because descriptors or kernel memory may be exhausted only temporarily.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two tries of a system call.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whether a system call that failed with this error may succeed if it is retried soon.
fn is_transient(error: &io::Error) -> bool {
    let transient = [
        Errno::ADDRINUSE,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    Errno::from_io_error(error).is_some_and(|errno| transient.contains(&errno))
}

/// The state of the retries of one system call.
struct RetryState<'a> {
    /// The name that the log uses for the resource that the system call creates.
    subject: &'a str,
    deadline: Instant,
    logged: bool,
}

impl RetryState<'_> {
    fn new(subject: &str) -> RetryState<'_> {
        RetryState { subject, deadline: Instant::now() + RETRY_TIMEOUT, logged: false }
    }

    /// Returns the result of a system call if the result is final; `None` if the system call is to be
    /// retried. Logs the first retry.
    fn final_result<T>(&mut self, result: io::Result<T>) -> Option<io::Result<T>> {
        match result {
            Err(error) if is_transient(&error) && Instant::now() < self.deadline => {
                if !std::mem::replace(&mut self.logged, true) {
                    self.log_retry(&error);
                }
                None
            }
            result => Some(result),
        }
    }

    fn log_retry(&self, error: &io::Error) {
        if error.kind() == io::ErrorKind::AddrInUse {
            warn!(address = self.subject, timeout = ?RETRY_TIMEOUT, "address.in_use");
        } else {
            warn!(subject = self.subject, %error, timeout = ?RETRY_TIMEOUT, "start.retried");
        }
    }
}

/// Repeats the system call `call` until it succeeds, fails with a permanent error, or [`RETRY_TIMEOUT`] has
/// passed. Returns the result of the last try.
pub(crate) async fn retry<T>(subject: &str, call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let mut state = RetryState::new(subject);
    loop {
        if let Some(result) = state.final_result(call()) {
            return result;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Repeats the system call `call` like [`retry`], but needs no async runtime: the thread is blocked between
/// tries.
pub(crate) fn retry_blocking<T>(subject: &str, call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let mut state = RetryState::new(subject);
    loop {
        if let Some(result) = state.final_result(call()) {
            return result;
        }
        std::thread::sleep(RETRY_DELAY);
    }
}
