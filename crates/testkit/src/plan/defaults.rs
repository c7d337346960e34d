//! Defaults of the format that several tables share, as functions for serde.

/// A factor or share that changes nothing.
pub(super) fn unit() -> f64 {
    1.0
}

/// A switch that is on.
pub(super) fn enabled() -> bool {
    true
}
