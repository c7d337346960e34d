//! The list of workers: its form, what may be asked of it, and the watch on whoever keeps it.
//!
//! This room owns how news of workers comes in. It must never judge a list, or speak to a worker that stands on one.

pub mod ask;
pub mod discovery;
pub mod listing;
