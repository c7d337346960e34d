//! Default values that several tables of the plan's format share, as functions for serde.

/// Returns the default value 1 of factors, weights and shares.
pub(super) fn unit() -> f64 {
    1.0
}

/// Returns the default value of a plan's switches that are on unless the plan turns them off.
pub(super) fn enabled() -> bool {
    true
}
