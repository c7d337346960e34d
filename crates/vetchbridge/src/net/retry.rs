//! Calls that make something at the start: which of their failures may be over in the next moment, and how long is tried.

use rustix::io::Errno;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;

/// How long a start tries for each thing that it needs. An address may still be held by the process before this one, and
/// descriptors or memory of the kernel may be short for a moment.
const START_WAIT: Duration = Duration::from_secs(5);
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Whether a call that failed like this may succeed in the next moment.
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

/// One series of tries.
struct Tries<'a> {
    what: &'a str,
    until: Instant,
    told: bool,
}

impl Tries<'_> {
    fn new(what: &str) -> Tries<'_> {
        Tries { what, until: Instant::now() + START_WAIT, told: false }
    }

    /// The result, if it is the last; the first failure that is tried again is logged.
    fn last<T>(&mut self, result: io::Result<T>) -> Option<io::Result<T>> {
        match result {
            Err(error) if is_transient(&error) && Instant::now() < self.until => {
                let told = std::mem::replace(&mut self.told, true);
                if !told && error.kind() == io::ErrorKind::AddrInUse {
                    warn!(address = self.what, wait = ?START_WAIT, "address.taken");
                } else if !told {
                    warn!(what = self.what, %error, wait = ?START_WAIT, "start.waits");
                }
                None
            }
            result => Some(result),
        }
    }
}

/// Tries until it succeeds, fails for good, or [`START_WAIT`] is over.
pub(crate) async fn retry_for<T>(what: &str, call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let mut tries = Tries::new(what);
    loop {
        if let Some(result) = tries.last(call()) {
            return result;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// The same before there is a runtime.
pub(crate) fn retry_blocking<T>(what: &str, call: impl Fn() -> io::Result<T>) -> io::Result<T> {
    let mut tries = Tries::new(what);
    loop {
        if let Some(result) = tries.last(call()) {
            return result;
        }
        std::thread::sleep(RETRY_PAUSE);
    }
}
