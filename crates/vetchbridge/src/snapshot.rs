//! The settings in force: an immutable snapshot that a reload replaces as a whole.
//!
//! This module owns the current snapshot. A request uses the snapshot under which it was accepted until it
//! ends. The configuration module validates a snapshot's values; this module does not check them again.

use crate::workers::load_report::LoadReportSettings;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use vetchbridge_scheduling::{Class, Settings, Tenant, TenantId};

/// The names that clients, workers and discovery use. The settings refer to each name by its index in the
/// table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameTables {
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of machine types.
    pub machine_types: Vec<String>,
    /// Names of request classes.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
}

/// One version of the settings.
pub struct Snapshot {
    /// The scheduler's settings.
    pub settings: Settings,
    /// The names that the settings' indices refer to.
    pub names: NameTables,
    /// Time after which a worker closes an idle connection.
    pub worker_idle_timeout: Duration,
    /// How load reports of workers are read.
    pub load_reports: LoadReportSettings,
}

impl Snapshot {
    /// Creates a snapshot. If the settings list tenants, one tenant without a name and without a quota is
    /// added for the requests of unlisted tenants, which must not use up a listed tenant's quota.
    pub fn new(
        mut settings: Settings,
        names: NameTables,
        worker_idle_timeout: Duration,
        load_reports: LoadReportSettings,
    ) -> Snapshot {
        if !settings.tenants.is_empty() {
            settings.tenants.push(Tenant { quota_per_second: 0.0 });
        }
        Snapshot { settings, names, worker_idle_timeout, load_reports }
    }

    /// Returns the tenant with this name. An unlisted tenant gets the added tenant without a quota; if the
    /// settings list no tenants, every request gets tenant 0.
    pub fn tenant(&self, name: Option<&[u8]>) -> TenantId {
        let listed = self.names.tenants.iter().position(|known| Some(known.as_bytes()) == name);
        let unlisted = self.settings.tenants.len().saturating_sub(1);
        TenantId(listed.unwrap_or(unlisted) as u32)
    }

    /// Returns the class with this name and its index.
    pub fn class(&self, name: &str) -> Option<(u32, &Class)> {
        let index = self.names.classes.iter().position(|known| known == name)?;
        Some((index as u32, self.settings.classes.get(index)?))
    }

    /// Returns the longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or(0))
    }
}

/// Holds the snapshot in force.
pub struct CurrentSettings(Mutex<Arc<Snapshot>>);

impl CurrentSettings {
    /// Creates the holder with the first snapshot.
    pub fn new(snapshot: Snapshot) -> CurrentSettings {
        CurrentSettings(Mutex::new(Arc::new(snapshot)))
    }

    /// Returns the snapshot in force.
    pub fn get(&self) -> Arc<Snapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts another snapshot in force and returns the previous one.
    pub fn swap(&self, snapshot: Snapshot) -> Arc<Snapshot> {
        let mut current = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *current, Arc::new(snapshot))
    }
}
