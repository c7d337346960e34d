//! The crate's interface under its earlier path; the crate root exports the same items.

pub use crate::actions::*;
pub use crate::events::*;
pub use crate::ids::*;
pub use crate::settings::*;
