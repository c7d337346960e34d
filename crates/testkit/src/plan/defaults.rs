//! Defaults of the format that several tables share, in the form that serde asks for.

/// A factor or share that changes nothing.
pub(super) fn one() -> f64 {
    1.0
}

/// A switch that is on.
pub(super) fn yes() -> bool {
    true
}
