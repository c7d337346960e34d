//! Default values that several tables of the plan's format share, as functions for serde.

/// Returns the default of factors and shares.
pub(super) fn unit() -> f64 {
    1.0
}

/// Returns the default of switches that are on unless a plan turns them off.
pub(super) fn enabled() -> bool {
    true
}
