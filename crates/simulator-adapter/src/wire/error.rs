//! Why the input is malformed.

use std::fmt;
use std::io;
use vetchbridge_scheduling::SettingsError;
use vetchbridge_settings::SettingsFormatError;

/// What is wrong with a field or message.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldProblem {
    #[error("missing")]
    Missing,
    #[error("unreadable value {0:?}")]
    Unreadable(String),
    #[error("unknown value {0:?}")]
    UnknownValue(String),
    #[error("not base64")]
    NotBase64,
    #[error("not UTF-8")]
    NotUtf8,
    #[error("outside a list")]
    OutsideList,
    #[error("missing: the list announced more entries")]
    MissingRow,
    #[error("input ends inside a list")]
    EndsInsideList,
    #[error("input ends in a batch")]
    EndsInsideBatch,
    #[error("inside a batch")]
    InsideBatch,
    #[error("missing before this line")]
    MissingBefore,
    #[error("never opened")]
    NeverOpened,
    #[error("{}", .0.problem)]
    SettingsFormat(SettingsFormatError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A malformed field or message, before its line is known.
#[derive(Debug)]
pub(crate) struct FieldError {
    /// The field or message.
    pub(crate) field: String,
    /// What is wrong with it.
    pub(crate) problem: FieldProblem,
}

impl FieldError {
    pub(crate) fn new(field: impl Into<String>, problem: FieldProblem) -> FieldError {
        FieldError { field: field.into(), problem }
    }

    /// The error at a line.
    pub(crate) fn at_line(self, line: u64) -> WireError {
        WireError { line, error: self }
    }
}

impl From<SettingsFormatError> for FieldError {
    fn from(error: SettingsFormatError) -> FieldError {
        FieldError::new(error.key_under("setup"), FieldProblem::SettingsFormat(error))
    }
}

/// Malformed input.
#[derive(Debug)]
pub(crate) struct WireError {
    /// Line of the input, from 1.
    line: u64,
    error: FieldError,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.error.field, self.error.problem)
    }
}

impl std::error::Error for WireError {}
