//! Shows the progress of a load on standard error.

use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::time::Duration;
use vetchbridge_testbed::client::LoadProgress;

/// The interval between two lines of progress if standard error is not a terminal.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Shows the progress of a load on standard error: as a bar on a terminal, as plain lines elsewhere.
pub struct Progress {
    bar: Option<ProgressBar>,
    total: Duration,
    last_line: Duration,
}

impl Progress {
    /// Creates the progress display of a load that lasts `total`.
    pub fn new(total: Duration) -> Progress {
        let bar = std::io::stderr().is_terminal().then(|| {
            let bar = ProgressBar::new(total.as_millis() as u64);
            if let Ok(style) = ProgressStyle::with_template("{bar:40} {msg}") {
                bar.set_style(style);
            }
            bar
        });
        Progress { bar, total, last_line: Duration::ZERO }
    }

    /// Updates the bar, or prints a line if the last line is old enough.
    pub fn show(&mut self, progress: LoadProgress) {
        let text = format!(
            "{:.0} of {:.0} s, {} sent, {} in flight",
            progress.elapsed.as_secs_f64(),
            self.total.as_secs_f64(),
            progress.sent,
            progress.sent - progress.ended
        );
        match &self.bar {
            Some(bar) => {
                bar.set_position(progress.elapsed.min(self.total).as_millis() as u64);
                bar.set_message(text);
            }
            None if progress.elapsed >= self.last_line + LINE_INTERVAL => {
                self.last_line = progress.elapsed;
                eprintln!("{text}");
            }
            None => {}
        }
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}
