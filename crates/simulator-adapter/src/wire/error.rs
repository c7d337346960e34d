//! Errors for malformed messages in the simulator's input.

use std::fmt;
use std::io;
use vetchbridge_scheduling::SettingsError;
use vetchbridge_settings::SettingsFormatError;

/// What is wrong with a field or a message of the simulator's input.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldProblem {
    #[error("missing")]
    Missing,
    #[error("invalid value {0:?}")]
    InvalidValue(String),
    #[error("unknown value {0:?}")]
    UnknownValue(String),
    #[error("not base64")]
    NotBase64,
    #[error("not UTF-8")]
    NotUtf8,
    #[error("outside an endpoint list")]
    OutsideList,
    #[error("missing; the endpoint list announced more entries")]
    MissingRow,
    #[error("missing; the input ends inside an endpoint list")]
    EndsInsideList,
    #[error("missing; the input ends inside a batch")]
    EndsInsideBatch,
    #[error("the previous batch has not ended")]
    BatchNotEnded,
    #[error("must precede this line")]
    MissingBefore,
    #[error("the selected instance is not running")]
    NotRunning,
    #[error("{}", .0.problem)]
    SettingsFormat(SettingsFormatError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// An error in a field or a message of the simulator's input, without the number of the line.
#[derive(Debug)]
pub(crate) struct FieldError {
    /// Name that the simulator's protocol has for the field or the message that contains the error.
    pub(crate) field: String,
    /// What is wrong with the field or the message.
    pub(crate) problem: FieldProblem,
}

impl FieldError {
    pub(crate) fn new(field: impl Into<String>, problem: FieldProblem) -> FieldError {
        FieldError { field: field.into(), problem }
    }

    /// Adds to this error the number of the input line that contains the field or the message.
    pub(crate) fn at_line(self, line: u64) -> WireError {
        WireError { line, error: self }
    }
}

impl From<SettingsFormatError> for FieldError {
    fn from(error: SettingsFormatError) -> FieldError {
        FieldError::new(error.key_under("setup"), FieldProblem::SettingsFormat(error))
    }
}

/// An error in the simulator's input, with the number of the line that contains the error.
#[derive(Debug)]
pub(crate) struct WireError {
    /// Number of the malformed line in the simulator's input, counted from 1.
    line: u64,
    error: FieldError,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.error.field, self.error.problem)
    }
}

impl std::error::Error for WireError {}
