//! Why a settings object can't be read.

use std::fmt;

/// A key that is missing or unreadable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFormatError {
    /// The key's path within the object, with `[]` for any entry of a list; empty for the object itself.
    pub path: String,
    /// What is wrong there.
    pub problem: Problem,
}

/// What is wrong with a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The text is not JSON, for this reason.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The settings are another kind of value.
    #[error("not an object")]
    NotAnObject,
    /// The key is required.
    #[error("missing; add {0}")]
    Missing(Expected),
    /// The value has another form.
    #[error("unreadable; set it to {0}")]
    Unreadable(Expected),
}

/// The form that a value must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// An object.
    Object,
    /// A list.
    List,
    /// A list of objects.
    Objects,
    /// A number.
    Number,
    /// An integer that is not negative.
    Integer,
    /// An integer from 0 to [`u32::MAX`].
    SmallInteger,
    /// `true` or `false`.
    Flag,
    /// A text.
    Text,
    /// One of these texts.
    OneOf(&'static [&'static str]),
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expected::Object => f.write_str("an object"),
            Expected::List => f.write_str("a list"),
            Expected::Objects => f.write_str("a list of objects"),
            Expected::Number => f.write_str("a number"),
            Expected::Integer => f.write_str("a number from 0 up"),
            Expected::SmallInteger => write!(f, "a number from 0 to {}", u32::MAX),
            Expected::Flag => f.write_str("true or false"),
            Expected::Text => f.write_str("a text"),
            Expected::OneOf(values) => write!(f, "one of {}", values.join(", ")),
        }
    }
}

impl SettingsFormatError {
    pub(crate) fn new(path: impl Into<String>, problem: Problem) -> SettingsFormatError {
        SettingsFormatError { path: path.into(), problem }
    }

    /// The path below `root`, the name that the object has where it was found.
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
