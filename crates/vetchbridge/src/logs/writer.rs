//! The log writer, which never blocks the daemon's only thread. If a log line can't be written at once, the
//! writer drops the line and counts it. When a later line can be written, the writer first reports the number
//! of dropped lines.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum length of a log line in bytes; longer lines are cut. A pipe that polls as writable takes this many
/// bytes without blocking (`PIPE_BUF`, pipe(7)).
const MAX_LINE_BYTES: usize = 4096;

/// A function that formats the log line that reports how many lines were dropped.
pub(super) type DroppedLinesNotice = fn(u64) -> String;

/// A log writer that drops lines instead of blocking. Clones share the count of dropped lines.
pub(super) struct LossyWriter<W> {
    output: Arc<W>,
    dropped: Arc<AtomicU64>,
    notice: DroppedLinesNotice,
}

impl<W> LossyWriter<W> {
    /// Creates a log writer to `output`. The function `notice` formats the lines that report how many lines
    /// were dropped.
    pub(super) fn new(output: W, notice: DroppedLinesNotice) -> LossyWriter<W> {
        LossyWriter { output: Arc::new(output), dropped: Arc::default(), notice }
    }
}

impl<W> Clone for LossyWriter<W> {
    fn clone(&self) -> Self {
        LossyWriter { output: self.output.clone(), dropped: self.dropped.clone(), notice: self.notice }
    }
}

/// Whether a write of up to [`MAX_LINE_BYTES`] to this file descriptor does not block.
fn is_writable(fd: BorrowedFd<'_>) -> bool {
    let mut fds = [PollFd::from_borrowed_fd(fd, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    // An output that its reader has closed also polls as writable, but a write to such an output fails at
    // once and thus does not block.
    poll(&mut fds, Some(&no_wait)).is_ok_and(|ready| ready > 0)
}

impl<W: AsFd> Write for LossyWriter<W>
where
    for<'a> &'a W: Write,
{
    /// Writes one log line, which is cut at [`MAX_LINE_BYTES`] bytes, or drops the line.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut output = &*self.output;
        if !is_writable(output.as_fd()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(line.len());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            output.write_all((self.notice)(dropped).as_bytes())?;
            if !is_writable(output.as_fd()) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                return Ok(line.len());
            }
        }
        if line.len() <= MAX_LINE_BYTES {
            output.write_all(line)?;
        } else {
            let is_text = |end: &usize| std::str::from_utf8(&line[..*end]).is_ok();
            let end = (0..MAX_LINE_BYTES - 1).rev().find(is_text).unwrap_or(0);
            output.write_all(&[&line[..end], b"\n"].concat())?;
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
