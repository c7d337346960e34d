//! Retries of the calls that create something at the start of the process: which of their failures may be over in the
//! next moment, and how long they are retried.

use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// How long a start retries each call. An address may still be in use by the process before this one, and descriptors or
/// memory of the kernel may be short for a moment.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Whether a call that failed with this error may succeed in the next moment.
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

/// The attempts at one call.
struct Attempts<'a> {
    /// What the call creates, for the log.
    subject: &'a str,
    deadline: Instant,
    logged: bool,
}

impl Attempts<'_> {
    fn new(subject: &str) -> Attempts<'_> {
        Attempts { subject, deadline: Instant::now() + RETRY_TIMEOUT, logged: false }
    }

    /// The result, if it is final; `None` if the call is to be retried. The first retry is logged.
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

/// Calls until it succeeds, fails for good, or [`RETRY_TIMEOUT`] is over.
pub(crate) async fn retry<T>(subject: &str, call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let mut attempts = Attempts::new(subject);
    loop {
        if let Some(result) = attempts.final_result(call()) {
            return result;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// The same where there is no runtime yet.
pub(crate) fn retry_blocking<T>(subject: &str, call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let mut attempts = Attempts::new(subject);
    loop {
        if let Some(result) = attempts.final_result(call()) {
            return result;
        }
        std::thread::sleep(RETRY_DELAY);
    }
}
