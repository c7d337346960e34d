//! An error in the daemon's configuration (a fault): its position, the configuration key, the problem and the
//! remedy.

use std::fmt;

/// An error in the daemon's configuration, as reported to the user.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Fault {
    /// The source of the configuration that contains the fault: a file's name, `environment` or another
    /// source.
    pub source: String,
    /// Line and column of the fault in its source, counted from 1; `None` if the source has no positions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at: Option<(usize, usize)>,
    /// Path of the configuration key with the fault; empty if the fault concerns the source as a whole.
    pub key: String,
    /// What is wrong with the configuration, in words for the user.
    pub what: String,
    /// What the user should do or write to correct the fault; empty if there is no advice.
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
