//! The simulator's wire: lines of text, mapped to and from the decision module's own terms.
//!
//! The wire's names appear in [`mod@parse`] and [`mod@print`] only, and nothing is decided here. Unknown messages, fields and
//! settings are skipped; a known message that is malformed is a [`WireError`] that names the line and the field.

mod base64;
mod error;
mod fields;
mod parse;
mod print;
mod reader;
mod worker_address;

pub(crate) use error::{FieldError, FieldProblem, WireError};
pub(crate) use print::print_actions;
pub(crate) use reader::Reader;

use vetchbridge_scheduling::{Event, Micros, Settings};

/// One message of a batch.
#[derive(Debug, PartialEq)]
pub(crate) enum Message {
    /// A batch begins, at this time.
    BeginBatch(Micros),
    /// The batch ends.
    CommitBatch,
    /// The messages that follow are for this instance.
    SelectInstance(u32),
    /// The selected instance starts.
    StartInstance {
        /// Its random seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// The selected instance is killed.
    StopInstance,
    /// An event for the selected instance.
    Event(Event),
}
