//! The settings in force, as the sockets need them: one snapshot, never changed, replaced whole.
//!
//! Owns which snapshot is current. Whoever works on a request keeps the one that the request was taken under. It must
//! never check a value: what is swapped in has been checked.

use crate::listing::Names;
use silverproxy::interface::{Class, Settings};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Settings, whole.
pub struct Snapshot {
    /// What the module is told.
    pub settings: Settings,
    /// What the settings' indices are called on the sockets.
    pub names: Names,
    /// A peer closes a connection that has been idle for this long.
    pub conn_idle: Duration,
}

impl Snapshot {
    /// The class of a name, and its number.
    pub fn class(&self, name: &str) -> Option<(u32, &Class)> {
        let number = self.names.classes.iter().position(|known| known == name)?;
        Some((number as u32, self.settings.classes.get(number)?))
    }
}

/// The snapshot in force.
pub struct Current(Mutex<Arc<Snapshot>>);

impl Current {
    /// Begins with this one.
    pub fn new(snapshot: Snapshot) -> Current {
        Current(Mutex::new(Arc::new(snapshot)))
    }

    /// The one in force now.
    pub fn get(&self) -> Arc<Snapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts another one in its place, whole; returns the one before.
    pub fn swap(&self, snapshot: Snapshot) -> Arc<Snapshot> {
        let mut current = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *current, Arc::new(snapshot))
    }
}
