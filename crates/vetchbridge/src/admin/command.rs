//! The commands that operators send to the admin interface: parsing, execution and responses.

use crate::lifecycle::clock::Lifecycle;
use crate::lifecycle::state::{LifecycleState, Unavailable};
use crate::upgrade::process_links::ProcessLinks;
use std::fmt;
use std::str::FromStr;

/// An operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    /// Report whether this scheduler can serve clients, and the state of the process's lifecycle.
    Health,
    /// Start to drain clients from this scheduler.
    Quiesce,
    /// End the drain, so that this scheduler accepts new clients again.
    Resume,
}

/// Why an operator's command was not carried out. The response is `fail` followed by the error's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum CommandError {
    #[error("the connection broke")]
    ConnectionFailed,
    #[error("no whole line came in time")]
    TimedOut,
    #[error("the line is too long")]
    LineTooLong,
    #[error("not text; say health, quiesce or resume")]
    NotText,
    #[error("empty call; say health, quiesce or resume")]
    Empty,
    #[error("unknown call; say health, quiesce or resume")]
    Unknown,
    #[error("{0} takes no further words")]
    UnexpectedArgument(Command),
    #[error("handed over; ask the successor")]
    HandedOver,
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Command::Health => "health",
            Command::Quiesce => "quiesce",
            Command::Resume => "resume",
        })
    }
}

impl FromStr for Command {
    type Err = CommandError;

    fn from_str(line: &str) -> Result<Command, CommandError> {
        let mut arguments = line.split_ascii_whitespace();
        let command = match arguments.next() {
            Some("health") => Command::Health,
            Some("quiesce") => Command::Quiesce,
            Some("resume") => Command::Resume,
            Some(_) => return Err(CommandError::Unknown),
            None => return Err(CommandError::Empty),
        };
        match arguments.next() {
            Some(_) => Err(CommandError::UnexpectedArgument(command)),
            None => Ok(command),
        }
    }
}

impl Command {
    /// Carries out an operator's command and returns the state of the process's lifecycle afterwards.
    fn execute(
        self,
        lifecycle: &Lifecycle,
        process_links: &ProcessLinks,
    ) -> Result<LifecycleState, CommandError> {
        if self != Command::Health && process_links.has_successor() {
            return Err(CommandError::HandedOver);
        }
        match self {
            Command::Health => lifecycle.state().ensure_can_serve()?,
            Command::Quiesce => lifecycle.quiesce(),
            Command::Resume => lifecycle.resume()?,
        }
        Ok(lifecycle.state())
    }
}

/// Carries out the command in a line that an operator sent, and returns the response to the operator without
/// a line feed.
pub(super) fn respond(line: &[u8], lifecycle: &Lifecycle, process_links: &ProcessLinks) -> String {
    let text = std::str::from_utf8(line).map_err(|_| CommandError::NotText);
    let state =
        text.and_then(Command::from_str).and_then(|command| command.execute(lifecycle, process_links));
    match state {
        Ok(state) => format!("ok {}", state.name()),
        Err(error) => failure_response(error),
    }
}

/// Returns the response to an operator's command that was not carried out.
pub(super) fn failure_response(error: CommandError) -> String {
    format!("fail {error}")
}
