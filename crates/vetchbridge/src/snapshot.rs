//! The settings in force, as the sockets need them: one snapshot, never changed, replaced whole.
//!
//! Owns which snapshot is current. Whoever works on a request keeps the one that the request was taken under. It must
//! never check a value: what is swapped in has been checked.

use crate::workers::load_report::LoadReportSettings;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use vetchbridge_scheduling::interface::{Class, Settings, Tenant, TenantId};

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

/// Settings, whole.
pub struct Snapshot {
    /// What the module is told.
    pub settings: Settings,
    /// What the settings' indices are called on the sockets.
    pub names: NameTables,
    /// A worker closes a connection that has been idle for this long.
    pub conn_idle: Duration,
    /// Which load reports of workers count.
    pub reports: LoadReportSettings,
}

impl Snapshot {
    /// Settings as they were read. Where they name tenants, one more is added, without a share and without a name: whose
    /// request names none of them must not use up what is another's.
    pub fn new(
        mut settings: Settings,
        names: NameTables,
        conn_idle: Duration,
        reports: LoadReportSettings,
    ) -> Snapshot {
        if !settings.tenants.is_empty() {
            settings.tenants.push(Tenant { quota_per_second: 0.0 });
        }
        Snapshot { settings, names, conn_idle, reports }
    }

    /// The tenant of a name; the one without a share if there is no such name, 0 if there are no tenants.
    pub fn tenant(&self, name: Option<&[u8]>) -> TenantId {
        let number = self.names.tenants.iter().position(|known| Some(known.as_bytes()) == name);
        TenantId(number.unwrap_or(self.settings.tenants.len().saturating_sub(1)) as u32)
    }

    /// The longest time that a client waits, of all classes.
    pub fn longest_deadline(&self) -> Duration {
        Duration::from_micros(self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
    }

    /// The class of a name, and its number.
    pub fn class(&self, name: &str) -> Option<(u32, &Class)> {
        let number = self.names.classes.iter().position(|known| known == name)?;
        Some((number as u32, self.settings.classes.get(number)?))
    }
}

/// The snapshot in force.
pub struct CurrentSettings(Mutex<Arc<Snapshot>>);

impl CurrentSettings {
    /// Begins with this one.
    pub fn new(snapshot: Snapshot) -> CurrentSettings {
        CurrentSettings(Mutex::new(Arc::new(snapshot)))
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
