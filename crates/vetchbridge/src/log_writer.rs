//! The writer of the log: it never blocks the one thread of the daemon. A line is written only where it fits at once;
//! otherwise it is dropped and counted, and the count is written once a line fits again.

use crate::logs::LogFormat;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum length of a line in bytes: a pipe that polls as writable takes this much without blocking (`PIPE_BUF`,
/// pipe(7)).
const MAX_LINE: usize = 4096;

/// A writer that drops lines rather than block. Clones share the count of dropped lines.
pub(crate) struct LossyWriter<W> {
    to: Arc<W>,
    dropped: Arc<AtomicU64>,
    format: LogFormat,
}

impl<W> LossyWriter<W> {
    /// A writer to `to` that tells of dropped lines in this format.
    pub(crate) fn new(to: W, format: LogFormat) -> LossyWriter<W> {
        LossyWriter { to: Arc::new(to), dropped: Arc::default(), format }
    }

    /// The line that tells of dropped lines.
    fn notice(&self, dropped: u64) -> String {
        match self.format {
            LogFormat::Text => format!("WARN log.dropped lines={dropped}\n"),
            LogFormat::Json => {
                format!("{{\"level\":\"WARN\",\"message\":\"log.dropped\",\"lines\":{dropped}}}\n")
            }
        }
    }
}

impl<W> Clone for LossyWriter<W> {
    fn clone(&self) -> Self {
        LossyWriter { to: self.to.clone(), dropped: self.dropped.clone(), format: self.format }
    }
}

/// Whether a write of up to [`MAX_LINE`] bytes does not block.
fn fits(fd: BorrowedFd<'_>) -> bool {
    let mut fds = [PollFd::from_borrowed_fd(fd, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    // A reader that has gone is writable too; the write fails at once.
    poll(&mut fds, Some(&at_once)).is_ok_and(|ready| ready > 0)
}

impl<W: AsFd> Write for LossyWriter<W>
where
    for<'a> &'a W: Write,
{
    /// Takes one whole line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut to = &*self.to;
        if !fits(to.as_fd()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            to.write_all(self.notice(dropped).as_bytes())?;
            if !fits(to.as_fd()) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                return Ok(line.len());
            }
        }
        if line.len() <= MAX_LINE {
            to.write_all(line)?;
        } else {
            let cut =
                (0..MAX_LINE - 1).rev().find(|at| std::str::from_utf8(&line[..*at]).is_ok()).unwrap_or(0);
            to.write_all(&[&line[..cut], b"\n"].concat())?;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a, W: AsFd + 'static> MakeWriter<'a> for LossyWriter<W>
where
    for<'b> &'b W: Write,
{
    type Writer = LossyWriter<W>;

    fn make_writer(&'a self) -> LossyWriter<W> {
        self.clone()
    }
}

#[cfg(test)]
mod tests;
