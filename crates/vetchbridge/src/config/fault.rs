//! A fault in a configuration: its position, the key, the problem and the remedy.

use std::fmt;

/// A fault in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Fault {
    /// Where the value comes from: a file's name, `environment` or another source.
    pub source: String,
    /// Line and column, counted from 1; `None` if the source has no positions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at: Option<(usize, usize)>,
    /// Path of the key; empty if the fault concerns the whole text.
    pub key: String,
    /// The problem.
    pub what: String,
    /// What the user should do or write instead; may be empty.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.source)?;
        if let Some((line, column)) = self.at {
            write!(f, ":{line}:{column}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.what)?;
        if !self.remedy.is_empty() {
            write!(f, "; {}", self.remedy)?;
        }
        Ok(())
    }
}
