//! The errors that reading a settings object from JSON can cause.

use std::fmt;

/// The error for a settings object that can't be read: a key is missing or has an invalid value, or the whole
/// object is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFormatError {
    /// The path of the key within the settings object, with `[]` for an entry of a list; empty if the error
    /// concerns the whole settings object.
    pub path: String,
    /// What is wrong with the key or with the whole settings object.
    pub problem: Problem,
}

/// What is wrong with a key of the settings object or with the whole settings object.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The text of the settings is not JSON; the value is the message of the JSON parser.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The settings are JSON, but not a JSON object.
    #[error("not an object")]
    NotAnObject,
    /// A required key of the deployment's settings object is missing; the variant's field is the form that
    /// the key's value must have.
    #[error("missing; add {0}")]
    Missing(Expected),
    /// The value of a key of the deployment's settings object does not have the form that the key requires;
    /// the variant's field is the required form.
    #[error("invalid value; expected {0}")]
    InvalidValue(Expected),
}

/// The form that the JSON value of a key must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// A JSON object.
    Object,
    /// A JSON list.
    List,
    /// A JSON list of objects.
    Objects,
    /// A number.
    Number,
    /// A JSON list with one number for each class of requests.
    NumberForEachClass,
    /// A non-negative number; a fraction of the number is dropped.
    Integer,
    /// A number from 0 to [`u32::MAX`]; a fraction of the number is dropped.
    SmallInteger,
    /// `true` or `false`.
    Boolean,
    /// A string.
    String,
    /// One of the strings in this list.
    OneOf(&'static [&'static str]),
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expected::Object => f.write_str("an object"),
            Expected::List => f.write_str("a list"),
            Expected::Objects => f.write_str("a list of objects"),
            Expected::Number => f.write_str("a number"),
            Expected::NumberForEachClass => f.write_str("a list with a number for each class"),
            Expected::Integer => f.write_str("a non-negative number"),
            Expected::SmallInteger => write!(f, "a number from 0 to {}", u32::MAX),
            Expected::Boolean => f.write_str("true or false"),
            Expected::String => f.write_str("a string"),
            Expected::OneOf(values) => write!(f, "one of {}", values.join(", ")),
        }
    }
}

impl SettingsFormatError {
    pub(crate) fn new(path: impl Into<String>, problem: Problem) -> SettingsFormatError {
        SettingsFormatError { path: path.into(), problem }
    }

    /// Returns the path of the key that the error concerns, prefixed with `root`, the name of the settings
    /// object in the document that contains it.
    #[must_use]
    pub fn key_under(&self, root: &str) -> String {
        if self.path.is_empty() {
            return root.to_string();
        }
        format!("{root}.{}", self.path)
    }
}

impl fmt::Display for SettingsFormatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key_under("settings"), self.problem)
    }
}

impl std::error::Error for SettingsFormatError {}
