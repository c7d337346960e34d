//! The settings in force: one immutable snapshot, replaced as a whole by a reload.
//!
//! Owns which snapshot is current. A request keeps the snapshot that it was accepted under to its end. No value is
//! checked in this module: a snapshot has been checked before it is put in force.

use crate::workers::load_report::LoadReportSettings;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use vetchbridge_scheduling::{Class, Settings, Tenant, TenantId};

/// The names behind the settings' indices, as the sockets use them: a name's place in its table is its index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameTables {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machine.
    pub kinds: Vec<String>,
    /// Classes of requests.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
}

/// One version of the settings.
pub struct Snapshot {
    /// The scheduler's settings.
    pub settings: Settings,
    /// The names behind the settings' indices.
    pub names: NameTables,
    /// How long a connection may be idle before its worker closes it.
    pub worker_idle_timeout: Duration,
    /// Which load reports of workers count.
    pub load_reports: LoadReportSettings,
}

impl Snapshot {
    /// A snapshot of settings as they were read. Where they list tenants, one more is added that has neither a quota nor
    /// a name: a request of no listed tenant must not use up another one's quota.
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

    /// The tenant of this name; the one without a quota if there is none, 0 if no tenants are listed.
    pub fn tenant(&self, name: Option<&[u8]>) -> TenantId {
        let listed = self.names.tenants.iter().position(|known| Some(known.as_bytes()) == name);
        let unlisted = self.settings.tenants.len().saturating_sub(1);
        TenantId(listed.unwrap_or(unlisted) as u32)
    }

    /// The class of this name, and its index.
    pub fn class(&self, name: &str) -> Option<(u32, &Class)> {
        let index = self.names.classes.iter().position(|known| known == name)?;
        Some((index as u32, self.settings.classes.get(index)?))
    }

    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or(0))
    }
}

/// The place of the snapshot in force.
pub struct CurrentSettings(Mutex<Arc<Snapshot>>);

impl CurrentSettings {
    /// Puts a first snapshot in force.
    pub fn new(snapshot: Snapshot) -> CurrentSettings {
        CurrentSettings(Mutex::new(Arc::new(snapshot)))
    }

    /// The snapshot in force now.
    pub fn get(&self) -> Arc<Snapshot> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts another snapshot in force; returns the one before.
    pub fn swap(&self, snapshot: Snapshot) -> Arc<Snapshot> {
        let mut current = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *current, Arc::new(snapshot))
    }
}
