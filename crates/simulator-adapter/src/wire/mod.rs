//! The simulator's text protocol: converts lines of text to and from the types of the decision module.
//!
//! Only [`mod@parse`] and [`mod@print`] translate the names of the protocol; other modules use these names
//! only in errors. This module makes no decisions. Unknown messages, fields and settings are skipped. A known
//! message that is malformed causes a [`WireError`] that names the line and the field.

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

/// One message from the simulator; messages come in batches.
#[derive(Debug, PartialEq)]
pub(crate) enum Message {
    /// A batch of messages begins; the value is the current time, in microseconds of the simulated clock.
    BeginBatch(Micros),
    /// The current batch of messages ends, and the simulator expects the reply to the batch.
    CommitBatch,
    /// The messages that follow in the batch are for the instance of the decision module with this number.
    SelectInstance(u32),
    /// The selected instance of the decision module starts.
    StartInstance {
        /// Seed of the random numbers of the instance that starts.
        seed: u64,
        /// The settings of the instance that starts.
        settings: Box<Settings>,
    },
    /// The selected instance of the decision module stops as if its process were killed, without a shutdown
    /// event.
    StopInstance,
    /// An event for the selected instance of the decision module.
    Event(Event),
}
