//! One fault of a configuration: where it is, what is wrong and what would be right.

use std::fmt;

/// One thing that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Fault {
    /// The file, or the variable or flag, at fault.
    pub source: String,
    /// Line and column, from 1, where the source has them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at: Option<(usize, usize)>,
    /// The key, by its path; empty for the text as a whole.
    pub key: String,
    /// What is wrong.
    pub what: String,
    /// What would be right; may be empty.
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
